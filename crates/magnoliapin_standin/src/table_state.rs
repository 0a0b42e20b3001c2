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

/// Most results of committed transactions that the table remembers.
pub const MAX_TOKENS: usize = 100_000;

/// Rows with versions, changed by guarded transactions.
///
/// Versions come from one counter over the whole table, so a row that was deleted and made again
/// never gets an old version back.
#[derive(Clone, Debug, Default)]
pub struct TableState {
    rows: BTreeMap<String, StoredRow>,
    last_version: RowVersion,
    committed: IndexMap<ClientToken, Vec<RowVersion>>,
    oldest_token: usize,
    counts: TableCounts,
}

plain_data! {
    /// How much the table was used.
    #[derive(Copy, Default, Eq)]
    pub struct TableCounts {
        /// Transactions that were sent, with repeated ones.
        pub transactions: u64,
        /// Transactions that committed.
        pub commits: u64,
        /// Transactions that met a guard that did not hold.
        pub conflicts: u64,
        /// Transactions that were answered from the memory of tokens.
        pub repeats: u64,
        /// Rows written or deleted.
        pub row_writes: u64,
        /// Reads that were sent.
        pub reads: u64,
        /// Rows that reads returned.
        pub rows_read: u64,
    }
}

#[derive(Clone, Debug)]
struct StoredRow {
    version: RowVersion,
    value: String,
}

impl TableState {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Commits a transaction if all its guards hold.
    ///
    /// A token whose transaction has committed gets the first result again. A conflict is not
    /// remembered.
    pub fn transact(&mut self, transaction: &TableTransaction) -> TransactionResult {
        self.counts.transactions += 1;
        if let Some(versions) = self.committed.get(&transaction.token) {
            self.counts.repeats += 1;
            return TransactionResult::Committed(versions.clone());
        }
        let broken = self.broken_guards(&transaction.guards);
        if !broken.is_empty() {
            self.counts.conflicts += 1;
            return TransactionResult::Conflict(broken);
        }
        let versions: Vec<_> = transaction.writes.iter().map(|write| self.write(write)).collect();
        self.counts.commits += 1;
        self.remember(transaction.token, versions.clone());
        TransactionResult::Committed(versions)
    }

    /// Reads rows from one state of the whole table.
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
    /// None says that no such transaction has committed so far; one that is still on its way may
    /// commit later.
    pub fn resolve(&self, token: ClientToken) -> Option<TransactionResult> {
        self.committed.get(&token).cloned().map(TransactionResult::Committed)
    }

    /// Returns how much the table was used.
    pub fn counts(&self) -> TableCounts {
        self.counts
    }

    fn broken_guards(&self, guards: &[RowGuard]) -> Vec<TableRow> {
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

    fn remember(&mut self, token: ClientToken, versions: Vec<RowVersion>) {
        if self.committed.len() < MAX_TOKENS {
            self.committed.insert(token, versions);
            return;
        }
        // The map is used as a ring: the newest token takes the place of the oldest one.
        self.committed.insert(token, versions);
        self.committed.swap_remove_index(self.oldest_token);
        self.oldest_token = (self.oldest_token + 1) % MAX_TOKENS;
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
