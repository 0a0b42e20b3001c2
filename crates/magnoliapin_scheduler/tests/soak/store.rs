//! An in-memory store with row versions, watches and a change history that can be lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use magnoliapin_model::ByteSize;
use magnoliapin_model::RowVersion;
use magnoliapin_site::MaintenanceWave;
use magnoliapin_site::RowId;
use magnoliapin_site::RowRange;
use magnoliapin_site::SiteChange;
use magnoliapin_site::SiteConfig;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;
use magnoliapin_site::StoreTransaction;
use magnoliapin_site::TargetChange;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::WaveState;
use magnoliapin_site::ZoneName;

/// Size of the largest value of a row.
pub(crate) const VALUE_SIZE: ByteSize = ByteSize(48 * 1024);
/// Largest total size of the values in a transaction.
pub(crate) const TRANSACTION_SIZE: ByteSize = ByteSize(700_000);
/// Size of the largest name of a row, in bytes.
const NAME_BYTES: usize = 200;
/// Default number of rows in a reply.
const PAGE_ROWS: usize = 50;

type Key = (String, String, String);

/// An in-memory store.
#[derive(Default)]
pub(crate) struct FakeStore {
    version: u64,
    rows: BTreeMap<Key, (u64, Vec<u8>)>,
    /// Version, row and value of each change; `None` if the row was removed.
    history: Vec<(u64, Key, Option<Vec<u8>>)>,
    /// Oldest version after which the history is complete.
    history_start: u64,
    config: Option<(u64, SiteConfig)>,
    wave: Option<(u64, MaintenanceWave)>,
    /// Evacuations of zones, each with the version of its last change and whether its row exists.
    evacuations: BTreeMap<ZoneName, (u64, bool)>,
    /// Waves that were reported as completed.
    completed_waves: BTreeSet<u64>,
    /// Whether the simulation has evacuations of zones.
    pub(crate) tracks_evacuations: bool,
    registrations: BTreeMap<String, (u64, TargetRecord)>,
    registration_history: Vec<(u64, TargetName, Option<TargetRecord>)>,
}

impl FakeStore {
    pub(crate) fn set_config(&mut self, config: SiteConfig) {
        self.version += 1;
        self.config = Some((self.version, config));
    }

    pub(crate) fn set_wave(&mut self, wave: MaintenanceWave) {
        self.version += 1;
        self.wave = Some((self.version, wave));
    }

    /// Writes or removes the row of an evacuation.
    pub(crate) fn set_evacuated(&mut self, zone: ZoneName, is_evacuated: bool) {
        self.version += 1;
        self.evacuations.insert(zone, (self.version, is_evacuated));
    }

    pub(crate) fn is_wave_completed(&self, wave: u64) -> bool {
        self.completed_waves.contains(&wave)
    }

    pub(crate) fn register(&mut self, record: TargetRecord) {
        let registered = self.registrations.get(record.name.as_str());
        if registered.is_some_and(|(_, registered)| *registered == record) {
            return;
        }
        self.version += 1;
        let name = record.name.clone();
        self.registration_history.push((self.version, name.clone(), Some(record.clone())));
        self.registrations.insert(name.as_str().to_owned(), (self.version, record));
    }

    pub(crate) fn unregister(&mut self, name: &TargetName) {
        if self.registrations.remove(name.as_str()).is_some() {
            self.version += 1;
            self.registration_history.push((self.version, name.clone(), None));
        }
    }

    pub(crate) fn drop_history(&mut self) {
        self.history.clear();
        self.registration_history.clear();
        self.evacuations.retain(|_, (_, is_evacuated)| *is_evacuated);
        self.history_start = self.version;
    }

    /// Executes a request. Returns `None` for a watch without changes.
    pub(crate) fn call(&mut self, request: &StoreRequest) -> Option<StoreReply> {
        Some(match request {
            StoreRequest::Commit(transaction) => self.commit(transaction),
            StoreRequest::Read(range) => self.read(range),
            StoreRequest::Watch { table, after, .. } => return self.watch(table, after.0),
            StoreRequest::ReadSite => self.site_changes(0)?,
            // Without evacuations, simulations run as if no change of the operator were ever missed.
            StoreRequest::WatchSite { after, .. }
                if self.tracks_evacuations && after.0 < self.history_start =>
            {
                StoreReply::HistoryLost
            }
            StoreRequest::WatchSite { after, .. } => return self.site_changes(after.0),
            StoreRequest::ReadTargets { .. } => self.all_targets(),
            StoreRequest::WatchTargets { after, .. } => return self.watch_targets(after.0),
            StoreRequest::ReportWave { wave, state } => {
                if *state == WaveState::Completed {
                    self.completed_waves.insert(*wave);
                }
                StoreReply::Committed(RowVersion(self.version))
            }
        })
    }

    /// Returns the reply to a watch whose wait has expired without changes.
    pub(crate) fn empty_reply(&self, request: &StoreRequest) -> StoreReply {
        let version = RowVersion(self.version);
        match request {
            StoreRequest::WatchSite { .. } | StoreRequest::ReadSite => {
                StoreReply::Site { changes: Vec::new(), version }
            }
            StoreRequest::WatchTargets { .. } => {
                StoreReply::Targets { changes: Vec::new(), next: None, version }
            }
            _ => StoreReply::Rows { rows: Vec::new(), has_more: false, version },
        }
    }

    fn commit(&mut self, transaction: &StoreTransaction) -> StoreReply {
        assert!(transaction.entry_count() <= 100, "a transaction holds at most 100 entries");
        let size = |value: &Vec<u8>| value.len() as u64;
        let sizes = || transaction.writes.iter().map(|(_, value)| size(value));
        assert!(sizes().all(|size| size <= VALUE_SIZE.0), "a row takes at most {VALUE_SIZE} bytes");
        assert!(sizes().sum::<u64>() <= TRANSACTION_SIZE.0, "a transaction is too large");
        let mut names = transaction.writes.iter().map(|(row, _)| &row.key);
        assert!(names.all(|name| name.len() <= NAME_BYTES), "the name of a row is too long");
        let mut partitions: Vec<&str> =
            transaction.expected.iter().map(|(row, _)| row.partition.as_str()).collect();
        partitions.extend(transaction.writes.iter().map(|(row, _)| row.partition.as_str()));
        partitions.extend(transaction.removals.iter().map(|row| row.partition.as_str()));
        partitions.dedup();
        assert!(partitions.len() <= 1, "a transaction stays in one partition: {partitions:?}");
        let version_of = |row: &RowId| self.rows.get(&key(row)).map_or(0, |(version, _)| *version);
        if transaction.expected.iter().any(|(row, version)| version_of(row) != version.0) {
            let rows = transaction.expected.iter().filter_map(|(row, _)| {
                let (version, value) = self.rows.get(&key(row))?;
                Some(store_row(&key(row), *version, Some(value.clone())))
            });
            return StoreReply::Conflict(rows.collect());
        }
        self.version += 1;
        for (row, value) in &transaction.writes {
            self.rows.insert(key(row), (self.version, value.clone()));
            self.history.push((self.version, key(row), Some(value.clone())));
        }
        for row in &transaction.removals {
            if self.rows.remove(&key(row)).is_some() {
                self.history.push((self.version, key(row), None));
            }
        }
        StoreReply::Committed(RowVersion(self.version))
    }

    fn read(&self, range: &RowRange) -> StoreReply {
        let table = range.table.to_owned();
        let from = (table.clone(), range.partition.clone(), range.from.clone());
        let in_range = self
            .rows
            .range(from..)
            .take_while(|((row_table, partition, key), _)| {
                *row_table == table
                    && *partition == range.partition
                    && (range.to.is_empty() || *key < range.to)
            })
            .map(|(key, (version, value))| store_row(key, *version, Some(value.clone())));
        let limit = if range.limit == 0 { PAGE_ROWS } else { range.limit as usize };
        let mut rows: Vec<StoreRow> = in_range.take(limit + 1).collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        StoreReply::Rows { rows, has_more, version: RowVersion(self.version) }
    }

    fn watch(&self, table: &str, after: u64) -> Option<StoreReply> {
        if after < self.history_start {
            return Some(StoreReply::HistoryLost);
        }
        let changed =
            self.history.iter().filter(|(version, key, _)| *version > after && key.0 == table);
        let rows: Vec<StoreRow> =
            changed.map(|(version, key, value)| store_row(key, *version, value.clone())).collect();
        let version = RowVersion(self.version);
        (!rows.is_empty()).then_some(StoreReply::Rows { rows, has_more: false, version })
    }

    fn site_changes(&self, after: u64) -> Option<StoreReply> {
        let mut changes = Vec::new();
        if let Some((_, config)) = self.config.as_ref().filter(|(version, _)| *version > after) {
            changes.push(SiteChange::Config(Box::new(config.clone())));
        }
        if let Some((_, wave)) = self.wave.as_ref().filter(|(version, _)| *version > after) {
            changes.push(SiteChange::Wave(wave.clone()));
        }
        for (zone, (version, is_evacuated)) in &self.evacuations {
            if *version > after && *is_evacuated {
                changes.push(SiteChange::ZoneEvacuated(zone.clone()));
            } else if *version > after && after > 0 {
                changes.push(SiteChange::ZoneRestored(zone.clone()));
            }
        }
        let version = RowVersion(self.version);
        (!changes.is_empty()).then_some(StoreReply::Site { changes, version })
    }

    fn all_targets(&self) -> StoreReply {
        let records = self.registrations.values();
        let changes = records.map(|(_, record)| TargetChange::Registered(record.clone())).collect();
        StoreReply::Targets { changes, next: None, version: RowVersion(self.version) }
    }

    fn watch_targets(&self, after: u64) -> Option<StoreReply> {
        if after < self.history_start {
            return Some(StoreReply::HistoryLost);
        }
        let changed = self.registration_history.iter().filter(|(version, ..)| *version > after);
        let changes: Vec<TargetChange> = changed
            .map(|(_, name, record)| match record {
                Some(record) => TargetChange::Registered(record.clone()),
                None => TargetChange::Removed(name.clone()),
            })
            .collect();
        let version = RowVersion(self.version);
        (!changes.is_empty()).then_some(StoreReply::Targets { changes, next: None, version })
    }
}

fn key(row: &RowId) -> Key {
    (row.table.to_owned(), row.partition.clone(), row.key.clone())
}

fn store_row(key: &Key, version: u64, value: Option<Vec<u8>>) -> StoreRow {
    StoreRow {
        table: key.0.clone(),
        partition: key.1.clone(),
        key: key.2.clone(),
        version: RowVersion(version),
        value,
    }
}
