//! Messages to and from the store, which holds all durable state.

use std::time::Duration;

use magnoliapin_model::RowVersion;

use crate::SiteChange;
use crate::TargetChange;
use crate::WaveState;

/// Identifies a row by its table, partition and key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RowId {
    /// The table.
    pub table: &'static str,
    /// The partition; rows of one partition can change in one transaction.
    pub partition: String,
    /// The key.
    pub key: String,
}

impl RowId {
    /// Creates the identifier of a row.
    pub fn new(table: &'static str, partition: impl Into<String>, key: impl Into<String>) -> Self {
        Self { table, partition: partition.into(), key: key.into() }
    }
}

/// A row that was read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRow {
    /// Its table.
    pub table: String,
    /// Its partition.
    pub partition: String,
    /// Its key.
    pub key: String,
    /// Version of its last change.
    pub version: RowVersion,
    /// Its value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// Changes that are committed atomically if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreTransaction {
    /// Rows with the versions that they must have; 0 if the row must not exist.
    pub expected: Vec<(RowId, RowVersion)>,
    /// Rows to write, with their new values.
    pub writes: Vec<(RowId, Vec<u8>)>,
    /// Rows to remove.
    pub removals: Vec<RowId>,
}

impl StoreTransaction {
    /// Adds a condition.
    #[must_use]
    pub fn with_expected(mut self, row: RowId, version: RowVersion) -> Self {
        self.expected.push((row, version));
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn with_write(mut self, row: RowId, value: Vec<u8>) -> Self {
        self.writes.push((row, value));
        self
    }

    /// Adds a removal.
    #[must_use]
    pub fn with_removal(mut self, row: RowId) -> Self {
        self.removals.push(row);
        self
    }

    /// Adds all conditions and changes of another transaction.
    #[must_use]
    pub fn with_all(mut self, other: Self) -> Self {
        self.expected.extend(other.expected);
        self.writes.extend(other.writes);
        self.removals.extend(other.removals);
        self
    }

    /// Returns the total size of the values, in bytes.
    pub fn value_bytes(&self) -> usize {
        self.writes.iter().map(|(_, value)| value.len()).sum()
    }

    /// Returns the number of conditions and changes, which the store limits.
    pub fn entry_count(&self) -> usize {
        self.expected.len() + self.writes.len() + self.removals.len()
    }
}

/// Rows of one partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowRange {
    /// The table.
    pub table: &'static str,
    /// The partition.
    pub partition: String,
    /// First key, inclusive; empty for the start of the partition.
    pub from: String,
    /// End key, exclusive; empty for the end of the partition.
    pub to: String,
    /// Maximum number of rows in one reply; 0 leaves the limit to the store.
    pub limit: u32,
}

impl RowRange {
    /// Returns the range that contains only the given row.
    pub fn single(row: &RowId) -> Self {
        let to = format!("{}\0", row.key);
        let from = row.key.clone();
        Self { table: row.table, partition: row.partition.clone(), from, to, limit: 1 }
    }

    /// Returns the range of a whole partition.
    pub fn whole_partition(table: &'static str, partition: impl Into<String>) -> Self {
        let partition = partition.into();
        Self { table, partition, from: String::new(), to: String::new(), limit: 0 }
    }
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Commits a transaction.
    Commit(StoreTransaction),
    /// Reads a consistent snapshot of rows.
    Read(RowRange),
    /// Waits for changes of a table after a version.
    Watch {
        /// The table.
        table: &'static str,
        /// Version after which changes are returned.
        after: RowVersion,
        /// Maximum wait.
        wait: Duration,
    },
    /// Reads all rows of the operator.
    ReadSite,
    /// Waits for changes to the rows of the operator.
    WatchSite {
        /// Version after which changes are returned.
        after: RowVersion,
        /// Maximum wait.
        wait: Duration,
    },
    /// Reads a page of registrations, in the order of their names.
    ReadTargets {
        /// First key of the page; empty for the first page.
        from: String,
    },
    /// Waits for changes of registrations.
    WatchTargets {
        /// Version after which changes are returned.
        after: RowVersion,
        /// Maximum wait.
        wait: Duration,
    },
    /// Reports the progress of a wave to the operator.
    ReportWave {
        /// The wave.
        wave: u64,
        /// Its progress.
        state: WaveState,
    },
}

/// A reply of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The transaction or report was committed, with this version.
    Committed(RowVersion),
    /// Nothing was written; holds the current state of the rows whose versions were expected.
    Conflict(Vec<StoreRow>),
    /// Rows of a read or changed rows of a watch.
    Rows {
        /// The rows; those of a read in the order of their keys.
        rows: Vec<StoreRow>,
        /// Whether the range contains more rows.
        has_more: bool,
        /// Newest version of the store at the time of the read.
        version: RowVersion,
    },
    /// Changes to the rows of the operator, or all of its rows.
    Site {
        /// The changes.
        changes: Vec<SiteChange>,
        /// Version from which the next watch continues.
        version: RowVersion,
    },
    /// Changes of registrations, or a page of all registrations.
    Targets {
        /// The changes.
        changes: Vec<TargetChange>,
        /// First key of the next page; `None` on the last page.
        next: Option<String>,
        /// Version from which the next watch continues.
        version: RowVersion,
    },
    /// The store no longer has the changes after the version; all rows must be read again.
    HistoryLost,
    /// The call failed.
    Failed(CallFailure),
}

/// Outcome of a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum CallFailure {
    /// The call was not carried out.
    NotDone,
    /// It is unknown whether the call was carried out; it may still be.
    Unknown,
}
