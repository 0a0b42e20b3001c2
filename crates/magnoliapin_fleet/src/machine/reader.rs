//! Reads the list and the rows, one call after another, into a new snapshot.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::PoolId;
use magnoliapin_model::RowVersion;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;
use serde::de::DeserializeOwned;

use super::FleetCall;
use crate::FleetSnapshot;
use crate::InstanceRow;
use crate::PoolRow;
use crate::RowKey;
use crate::VersionedRow;

/// What to read next.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ReadStage {
    List,
    Pools,
    Instances { after: String },
    Rollouts,
    Switches,
    PoolsAgain,
}

/// Reads the list and the rows.
#[derive(Debug)]
pub(super) struct FleetReader {
    page_rows: u32,
    stage: Option<ReadStage>,
    pending: Option<FleetCall>,
    list: Vec<InstanceRecord>,
    rows: IndexMap<InstanceId, VersionedRow<InstanceRow>>,
    first_pools: IndexMap<PoolId, VersionedRow<PoolRow>>,
    next: FleetSnapshot,
    started_at: Option<Moment>,
    finished_start: Option<Moment>,
}

/// A snapshot that was read to its end.
#[derive(Debug)]
pub(super) struct ReadResult {
    /// The snapshot, without what targets said.
    pub(super) snapshot: FleetSnapshot,
    /// Whether no counter changed meanwhile, so that counters and rows must agree.
    pub(super) is_consistent: bool,
}

impl FleetReader {
    /// Makes a reader that has read nothing.
    pub(super) fn new(page_rows: u32) -> Self {
        Self {
            page_rows,
            stage: None,
            pending: None,
            list: Vec::new(),
            rows: IndexMap::new(),
            first_pools: IndexMap::new(),
            next: FleetSnapshot::default(),
            started_at: None,
            finished_start: None,
        }
    }

    /// Returns whether a read is under way.
    pub(super) fn is_reading(&self) -> bool {
        self.stage.is_some()
    }

    /// Returns when the last finished read was started.
    pub(super) fn finished_start(&self) -> Option<Moment> {
        self.finished_start
    }

    /// Returns whether the last read was started at least `interval` ago.
    pub(super) fn is_due(&self, now: Moment, interval: Duration) -> bool {
        self.started_at.is_none_or(|started_at| now >= started_at + interval)
    }

    /// Starts to read from the beginning.
    pub(super) fn start(&mut self, now: Moment) {
        self.started_at = Some(now);
        self.stage = Some(ReadStage::List);
        self.list.clear();
        self.rows.clear();
        self.first_pools.clear();
        self.next = FleetSnapshot::default();
    }

    /// Returns whether an answer belongs to the reader.
    pub(super) fn owns(&self, call: FleetCall) -> bool {
        self.pending == Some(call)
    }

    /// Returns the next call of the platform, if one is to be made.
    pub(super) fn next_request(&mut self, call: FleetCall) -> Option<PlatformRequest> {
        if self.pending.is_some() {
            return None;
        }
        let request = match self.stage.as_ref()? {
            ReadStage::List => PlatformRequest::Instances,
            ReadStage::Pools | ReadStage::PoolsAgain => self.prefix(RowKey::POOLS, String::new()),
            ReadStage::Instances { after } => self.prefix(RowKey::INSTANCES, after.clone()),
            ReadStage::Rollouts => self.prefix(RowKey::ROLLOUTS, String::new()),
            ReadStage::Switches => {
                let keys = vec![RowKey::Racks.to_string(), RowKey::Control.to_string()];
                PlatformRequest::Read(TableRead::Keys(keys))
            }
        };
        self.pending = Some(call);
        Some(request)
    }

    /// Takes an answer and returns the snapshot if it was the last one. A failed call ends the
    /// read.
    pub(super) fn take_reply(&mut self, reply: PlatformReply) -> Option<ReadResult> {
        self.pending = None;
        let stage = self.stage.take()?;
        match (stage, reply) {
            (ReadStage::List, PlatformReply::Instances(list)) => {
                self.list = list;
                self.stage = Some(ReadStage::Pools);
            }
            (ReadStage::Pools, PlatformReply::Rows(rows)) => {
                self.first_pools = parse_pools(&rows);
                self.stage = Some(ReadStage::Instances { after: String::new() });
            }
            (ReadStage::Instances { .. }, PlatformReply::Rows(rows)) => self.take_page(&rows),
            (ReadStage::Rollouts, PlatformReply::Rows(rows)) => {
                self.take_rollouts(&rows);
                self.stage = Some(ReadStage::Switches);
            }
            (ReadStage::Switches, PlatformReply::Rows(rows)) => {
                self.take_switches(&rows);
                self.stage = Some(ReadStage::PoolsAgain);
            }
            (ReadStage::PoolsAgain, PlatformReply::Rows(rows)) => {
                self.next.pools = parse_pools(&rows);
                return Some(self.finish());
            }
            _ => {}
        }
        None
    }

    fn prefix(&self, prefix: &str, after: String) -> PlatformRequest {
        let limit = self.page_rows;
        PlatformRequest::Read(TableRead::Prefix { prefix: prefix.to_owned(), after, limit })
    }

    fn take_page(&mut self, rows: &[TableRow]) {
        for row in rows {
            if let (Ok(RowKey::Instance(instance)), Some(value)) = (row.key.parse(), parse(row)) {
                self.rows.insert(instance, value);
            }
        }
        let is_full = u32::try_from(rows.len()).is_ok_and(|rows| rows >= self.page_rows);
        self.stage = Some(match rows.last() {
            Some(last) if is_full => ReadStage::Instances { after: last.key.clone() },
            _ => ReadStage::Rollouts,
        });
    }

    fn take_rollouts(&mut self, rows: &[TableRow]) {
        for row in rows {
            if let (Ok(RowKey::Rollout(pool)), Some(value)) = (row.key.parse(), parse(row)) {
                self.next.rollouts.insert(pool, value);
            }
        }
    }

    fn take_switches(&mut self, rows: &[TableRow]) {
        for row in rows {
            match row.key.parse() {
                Ok(RowKey::Racks) => self.next.racks = parse(row).unwrap_or_default(),
                Ok(RowKey::Control) => self.next.control = parse(row).unwrap_or_default(),
                _ => {}
            }
        }
    }

    fn finish(&mut self) -> ReadResult {
        let mut snapshot = std::mem::take(&mut self.next);
        for (instance, row) in std::mem::take(&mut self.rows) {
            snapshot.instances.entry(instance).or_default().row = Some(row);
        }
        for record in std::mem::take(&mut self.list) {
            let facts = snapshot.instances.entry(record.instance).or_default();
            facts.record = Some(record);
        }
        self.finished_start = self.started_at;
        ReadResult { is_consistent: self.first_pools == snapshot.pools, snapshot }
    }
}

fn parse_pools(rows: &[TableRow]) -> IndexMap<PoolId, VersionedRow<PoolRow>> {
    let mut pools = IndexMap::new();
    for row in rows {
        if let (Ok(RowKey::Pool(pool)), Some(value)) = (row.key.parse(), parse(row)) {
            pools.insert(pool, value);
        }
    }
    pools
}

/// Takes rows out of a conflict into a snapshot, so that the next step is not decided from old
/// ones.
pub(super) fn take_rows(snapshot: &mut FleetSnapshot, rows: &[TableRow]) {
    for row in rows {
        match row.key.parse() {
            Ok(RowKey::Instance(instance)) => {
                snapshot.instances.entry(instance).or_default().row = parse(row);
            }
            Ok(RowKey::Pool(pool)) => {
                snapshot.pools.insert(pool, parse(row).unwrap_or_default());
            }
            Ok(RowKey::Rollout(pool)) => match parse(row) {
                Some(value) => drop(snapshot.rollouts.insert(pool, value)),
                None => drop(snapshot.rollouts.shift_remove(&pool)),
            },
            Ok(RowKey::Racks) => snapshot.racks = parse(row).unwrap_or_default(),
            Ok(RowKey::Control) => snapshot.control = parse(row).unwrap_or_default(),
            Ok(RowKey::Lease) | Err(_) => {}
        }
    }
}

/// Returns the value of a row, or none if another version of the program wrote it.
fn parse<T: DeserializeOwned>(row: &TableRow) -> Option<VersionedRow<T>> {
    if row.version == RowVersion(0) {
        return None;
    }
    let value = serde_json::from_str(&row.value).ok()?;
    Some(VersionedRow::new(row.version, value))
}
