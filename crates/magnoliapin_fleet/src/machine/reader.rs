//! Reads the instance list and the rows into a new snapshot, with one call at a time.

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

use super::FleetCallId;
use crate::FleetSnapshot;
use crate::InstanceRow;
use crate::PoolRow;
use crate::RowKey;
use crate::VersionedRow;

/// What to read next.
///
/// Pools are read before and after the instances to detect changes of their counters meanwhile.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ReadStage {
    InstanceList,
    Pools,
    InstanceRows { after: String },
    Rollouts,
    RacksAndControl,
    PoolsAgain,
}

/// Reads the instance list and the rows.
#[derive(Debug)]
pub(super) struct FleetReader {
    page_rows: u32,
    stage: Option<ReadStage>,
    pending: Option<FleetCallId>,
    records: Vec<InstanceRecord>,
    instance_rows: IndexMap<InstanceId, VersionedRow<InstanceRow>>,
    pools_before: IndexMap<PoolId, VersionedRow<PoolRow>>,
    partial: FleetSnapshot,
    /// Start of the last read, completed or not.
    started_at: Option<Moment>,
    /// Start of the last completed read.
    last_read_start: Option<Moment>,
}

/// Result of a completed read.
#[derive(Debug)]
pub(super) struct ReadResult {
    /// The snapshot, without loads and findings.
    pub(super) snapshot: FleetSnapshot,
    /// Whether no pool counter changed during the read, so that counters and rows must match.
    pub(super) is_consistent: bool,
}

impl FleetReader {
    /// Creates a reader that has not read anything.
    pub(super) fn new(page_rows: u32) -> Self {
        Self {
            page_rows,
            stage: None,
            pending: None,
            records: Vec::new(),
            instance_rows: IndexMap::new(),
            pools_before: IndexMap::new(),
            partial: FleetSnapshot::default(),
            started_at: None,
            last_read_start: None,
        }
    }

    /// Returns whether a read is in progress.
    pub(super) fn is_reading(&self) -> bool {
        self.stage.is_some()
    }

    /// Returns the start time of the last completed read.
    pub(super) fn last_read_start(&self) -> Option<Moment> {
        self.last_read_start
    }

    /// Returns whether the last read, completed or not, started at least `interval` ago.
    pub(super) fn is_due(&self, now: Moment, interval: Duration) -> bool {
        self.started_at.is_none_or(|started_at| now >= started_at + interval)
    }

    /// Starts a new read from the beginning.
    pub(super) fn start(&mut self, now: Moment) {
        self.started_at = Some(now);
        self.stage = Some(ReadStage::InstanceList);
        self.records.clear();
        self.instance_rows.clear();
        self.pools_before.clear();
        self.partial = FleetSnapshot::default();
    }

    /// Returns whether `call` is the pending call of the reader.
    pub(super) fn owns(&self, call: FleetCallId) -> bool {
        self.pending == Some(call)
    }

    /// Returns the next platform request, if a read is in progress and no call is pending.
    pub(super) fn next_request(&mut self, call: FleetCallId) -> Option<PlatformRequest> {
        if self.pending.is_some() {
            return None;
        }
        let request = match self.stage.as_ref()? {
            ReadStage::InstanceList => PlatformRequest::Instances,
            ReadStage::Pools | ReadStage::PoolsAgain => {
                self.read_prefix(RowKey::POOLS, String::new())
            }
            ReadStage::InstanceRows { after } => self.read_prefix(RowKey::INSTANCES, after.clone()),
            ReadStage::Rollouts => self.read_prefix(RowKey::ROLLOUTS, String::new()),
            ReadStage::RacksAndControl => {
                let keys = vec![RowKey::Racks.to_string(), RowKey::Control.to_string()];
                PlatformRequest::Read(TableRead::Keys(keys))
            }
        };
        self.pending = Some(call);
        Some(request)
    }

    /// Handles a reply and returns the snapshot if it was the last one. A failed call aborts the
    /// read.
    pub(super) fn handle_reply(&mut self, reply: PlatformReply) -> Option<ReadResult> {
        self.pending = None;
        let stage = self.stage.take()?;
        match (stage, reply) {
            (ReadStage::InstanceList, PlatformReply::Instances(records)) => {
                self.records = records;
                self.stage = Some(ReadStage::Pools);
            }
            (ReadStage::Pools, PlatformReply::Rows(rows)) => {
                self.pools_before = parse_pools(&rows);
                self.stage = Some(ReadStage::InstanceRows { after: String::new() });
            }
            (ReadStage::InstanceRows { .. }, PlatformReply::Rows(rows)) => self.apply_page(&rows),
            (ReadStage::Rollouts, PlatformReply::Rows(rows)) => {
                self.apply_rollouts(&rows);
                self.stage = Some(ReadStage::RacksAndControl);
            }
            (ReadStage::RacksAndControl, PlatformReply::Rows(rows)) => {
                self.apply_racks_and_control(&rows);
                self.stage = Some(ReadStage::PoolsAgain);
            }
            (ReadStage::PoolsAgain, PlatformReply::Rows(rows)) => {
                self.partial.pools = parse_pools(&rows);
                return Some(self.finish());
            }
            _ => {}
        }
        None
    }

    fn read_prefix(&self, prefix: &str, after: String) -> PlatformRequest {
        let limit = self.page_rows;
        PlatformRequest::Read(TableRead::Prefix { prefix: prefix.to_owned(), after, limit })
    }

    fn apply_page(&mut self, rows: &[TableRow]) {
        for row in rows {
            if let (Ok(RowKey::Instance(instance)), Some(value)) = (row.key.parse(), parse(row)) {
                self.instance_rows.insert(instance, value);
            }
        }
        let is_full = u32::try_from(rows.len()).is_ok_and(|rows| rows >= self.page_rows);
        self.stage = Some(match rows.last() {
            Some(last) if is_full => ReadStage::InstanceRows { after: last.key.clone() },
            _ => ReadStage::Rollouts,
        });
    }

    fn apply_rollouts(&mut self, rows: &[TableRow]) {
        for row in rows {
            if let (Ok(RowKey::Rollout(pool)), Some(value)) = (row.key.parse(), parse(row)) {
                self.partial.rollouts.insert(pool, value);
            }
        }
    }

    fn apply_racks_and_control(&mut self, rows: &[TableRow]) {
        for row in rows {
            match row.key.parse() {
                Ok(RowKey::Racks) => self.partial.racks = parse(row).unwrap_or_default(),
                Ok(RowKey::Control) => self.partial.control = parse(row).unwrap_or_default(),
                _ => {}
            }
        }
    }

    fn finish(&mut self) -> ReadResult {
        let mut snapshot = std::mem::take(&mut self.partial);
        for (instance, row) in std::mem::take(&mut self.instance_rows) {
            snapshot.instances.entry(instance).or_default().row = Some(row);
        }
        for record in std::mem::take(&mut self.records) {
            let status = snapshot.instances.entry(record.instance).or_default();
            status.record = Some(record);
        }
        self.last_read_start = self.started_at;
        ReadResult { is_consistent: self.pools_before == snapshot.pools, snapshot }
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

/// Applies the rows of a conflict to a snapshot, so that the next step is not decided from outdated
/// rows.
pub(super) fn apply_rows(snapshot: &mut FleetSnapshot, rows: &[TableRow]) {
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

/// Returns the value of a row, or `None` if the row does not exist or cannot be parsed, for example
/// because another version of the program wrote it.
fn parse<T: DeserializeOwned>(row: &TableRow) -> Option<VersionedRow<T>> {
    if row.version == RowVersion(0) {
        return None;
    }
    let value = serde_json::from_str(&row.value).ok()?;
    Some(VersionedRow::new(row.version, value))
}
