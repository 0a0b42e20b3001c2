//! Calls of the store that keeps everything that must last.

use std::time::Duration;

use magnoliapin_model::RowVersion;

use crate::SiteChange;
use crate::TargetChange;
use crate::WaveState;

/// Names a row: a table, a partition of it, and a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RowId {
    /// The table.
    pub table: &'static str,
    /// The partition; rows of one partition change together.
    pub partition: String,
    /// The key.
    pub key: String,
}

impl RowId {
    /// Makes the name of a row.
    pub fn new(table: &'static str, partition: impl Into<String>, key: impl Into<String>) -> Self {
        Self { table, partition: partition.into(), key: key.into() }
    }
}

/// A row as it was read.
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
    /// Its value; none if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// Changes that commit together if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreTransaction {
    /// Versions that rows must have; 0 for a row that must not exist.
    pub expected: Vec<(RowId, RowVersion)>,
    /// New values.
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

    /// Returns the number of conditions and changes, which the store limits.
    pub fn entries(&self) -> usize {
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
    /// First key; empty for the start.
    pub from: String,
    /// Key behind the last one; empty for the end.
    pub to: String,
    /// Most rows of one answer; 0 leaves it to the store.
    pub limit: u32,
}

impl RowRange {
    /// Returns the range that holds nothing but one row.
    pub fn one(row: &RowId) -> Self {
        let to = format!("{}\0", row.key);
        let from = row.key.clone();
        Self { table: row.table, partition: row.partition.clone(), from, to, limit: 1 }
    }

    /// Returns the range of a whole partition.
    pub fn whole(table: &'static str, partition: impl Into<String>) -> Self {
        let partition = partition.into();
        Self { table, partition, from: String::new(), to: String::new(), limit: 0 }
    }
}

/// A call of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Commits a transaction.
    Commit(StoreTransaction),
    /// Reads rows, as of one moment.
    Read(RowRange),
    /// Waits for changes of a table after a version.
    Watch {
        /// The table.
        table: &'static str,
        /// The version.
        after: RowVersion,
        /// Longest wait.
        wait: Duration,
    },
    /// Reads everything that the operator has written.
    ReadSite,
    /// Waits for changes by the operator.
    WatchSite {
        /// Version after which changes count.
        after: RowVersion,
        /// Longest wait.
        wait: Duration,
    },
    /// Reads registrations, in the order of their names, after the one given.
    ReadTargets {
        /// Where the page before ended; empty for the first.
        from: String,
    },
    /// Waits for changes of registrations.
    WatchTargets {
        /// Version after which changes count.
        after: RowVersion,
        /// Longest wait.
        wait: Duration,
    },
    /// Tells the operator how far a wave is.
    ReportWave {
        /// The wave.
        wave: u64,
        /// How far it is.
        state: WaveState,
    },
}

/// The store's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The transaction or report was committed, with this version.
    Committed(RowVersion),
    /// Nothing was written; holds the rows whose versions were expected, as they are.
    Conflict(Vec<StoreRow>),
    /// Rows that were read.
    Rows {
        /// The rows, by key.
        rows: Vec<StoreRow>,
        /// Whether the range holds more.
        has_more: bool,
        /// Newest version of the store at that moment.
        version: RowVersion,
    },
    /// Changes by the operator, or all that it has written.
    Site {
        /// The changes.
        changes: Vec<SiteChange>,
        /// Version to go on from.
        version: RowVersion,
    },
    /// Changes of registrations, or a page of all.
    Targets {
        /// The changes.
        changes: Vec<TargetChange>,
        /// Where the next page begins, if there is one.
        next: Option<String>,
        /// Version to go on from.
        version: RowVersion,
    },
    /// The changes after the version are no longer known; read everything again.
    HistoryLost,
    /// There is no answer.
    Failed(CallFailure),
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum CallFailure {
    /// Nothing was done.
    NotDone,
    /// The call may have been carried out, or may still be.
    Unknown,
}
