//! The transactional table of the platform.

use std::collections::BTreeMap;
use std::ops::Bound;

use indexmap::IndexMap;
use magnoliapin_model::plain_data;
use magnoliapin_model::ClientToken;
use magnoliapin_model::RowVersion;
use magnoliapin_wire::RowGuard;
use magnoliapin_wire::RowWrite;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;
use magnoliapin_wire::TableTransaction;
use magnoliapin_wire::TransactionResult;

/// Maximum number of committed transactions whose results are retained for deduplication.
pub const MAX_TOKENS: usize = 100_000;

/// Versioned rows, changed by guarded transactions.
///
/// Versions come from one counter for the whole table, so a row that is deleted and created again
/// never reuses an old version.
#[derive(Clone, Debug, Default)]
pub struct TableState {
    rows: BTreeMap<String, StoredRow>,
    last_version: RowVersion,
    committed: IndexMap<ClientToken, Vec<RowVersion>>,
    oldest_index: usize,
    counts: TableCounts,
}

plain_data! {
    /// Usage counts of the table.
    #[derive(Copy, Default, Eq)]
    pub struct TableCounts {
        /// Transactions received, including repeated ones.
        pub transactions: u64,
        /// Transactions that committed.
        pub commits: u64,
        /// Transactions with a failed guard.
        pub conflicts: u64,
        /// Transactions answered with the stored result of their token.
        pub repeats: u64,
        /// Rows written or deleted.
        pub row_writes: u64,
        /// Reads received.
        pub reads: u64,
        /// Rows returned by reads.
        pub rows_read: u64,
    }
}

#[derive(Clone, Debug)]
struct StoredRow {
    version: RowVersion,
    value: String,
}

impl TableState {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Commits a transaction if all its guards hold.
    ///
    /// If a transaction with this token has committed, returns its result again without writing.
    /// Conflicts are not stored.
    pub fn transact(&mut self, transaction: &TableTransaction) -> TransactionResult {
        self.counts.transactions += 1;
        if let Some(versions) = self.committed.get(&transaction.token) {
            self.counts.repeats += 1;
            return TransactionResult::Committed(versions.clone());
        }
        let failed = self.failed_guards(&transaction.guards);
        if !failed.is_empty() {
            self.counts.conflicts += 1;
            return TransactionResult::Conflict(failed);
        }
        let versions: Vec<_> = transaction.writes.iter().map(|write| self.write(write)).collect();
        self.counts.commits += 1;
        self.store_result(transaction.token, versions.clone());
        TransactionResult::Committed(versions)
    }

    /// Reads rows from a consistent snapshot of the table.
    pub fn read(&mut self, read: &TableRead) -> Vec<TableRow> {
        let rows = match read {
            TableRead::Keys(keys) => self.rows_with_keys(keys),
            TableRead::Prefix { prefix, after, limit } => {
                self.rows_with_prefix(prefix, after, *limit)
            }
        };
        self.counts.reads += 1;
        self.counts.rows_read += rows.len() as u64;
        rows
    }

    /// Returns the result of the committed transaction with this token.
    ///
    /// `None` means that no such transaction has committed so far or that its result was evicted. A
    /// transaction that is still in transit may commit later.
    pub fn resolve(&self, token: ClientToken) -> Option<TransactionResult> {
        self.committed.get(&token).cloned().map(TransactionResult::Committed)
    }

    /// Returns the usage counts of the table.
    pub fn counts(&self) -> TableCounts {
        self.counts
    }

    fn failed_guards(&self, guards: &[RowGuard]) -> Vec<TableRow> {
        guards
            .iter()
            .map(|guard| (guard, self.row(&guard.key)))
            .filter(|(guard, row)| guard.version != row.version)
            .map(|(_, row)| row)
            .collect()
    }

    fn row(&self, key: &str) -> TableRow {
        let stored = self.rows.get(key);
        TableRow {
            key: key.to_owned(),
            version: stored.map_or(RowVersion(0), |row| row.version),
            value: stored.map_or_else(String::new, |row| row.value.clone()),
        }
    }

    fn write(&mut self, write: &RowWrite) -> RowVersion {
        self.counts.row_writes += 1;
        let Some(value) = &write.value else {
            self.rows.remove(&write.key);
            return RowVersion(0);
        };
        self.last_version.0 += 1;
        let row = StoredRow { version: self.last_version, value: value.clone() };
        self.rows.insert(write.key.clone(), row);
        self.last_version
    }

    fn store_result(&mut self, token: ClientToken, versions: Vec<RowVersion>) {
        if self.committed.len() < MAX_TOKENS {
            self.committed.insert(token, versions);
            return;
        }
        // The map is a ring buffer: the newest token takes the slot of the oldest one.
        self.committed.insert(token, versions);
        self.committed.swap_remove_index(self.oldest_index);
        self.oldest_index = (self.oldest_index + 1) % MAX_TOKENS;
    }

    fn rows_with_keys(&self, keys: &[String]) -> Vec<TableRow> {
        keys.iter()
            .filter(|key| self.rows.contains_key(key.as_str()))
            .map(|key| self.row(key))
            .collect()
    }

    fn rows_with_prefix(&self, prefix: &str, after: &str, limit: u32) -> Vec<TableRow> {
        let start = if after < prefix { Bound::Included(prefix) } else { Bound::Excluded(after) };
        self.rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit as usize)
            .map(|(key, row)| TableRow {
                key: key.clone(),
                version: row.version,
                value: row.value.clone(),
            })
            .collect()
    }
}
