//! In-memory table that asserts the fleet's invariants at each commit.

use indexmap::IndexMap;
use magnoliapin_fleet::ExpectedCounters;
use magnoliapin_fleet::FleetSnapshot;
use magnoliapin_fleet::InstanceRow;
use magnoliapin_fleet::InstanceState;
use magnoliapin_fleet::PoolRow;
use magnoliapin_fleet::RackRow;
use magnoliapin_fleet::RowKey;
use magnoliapin_fleet::VersionedRow;
use magnoliapin_model::ClientToken;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::RowVersion;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;
use magnoliapin_wire::TableTransaction;
use magnoliapin_wire::TransactionResult;

/// Rows, the results of past transactions, and the fleet that the rows describe.
#[derive(Debug, Default)]
pub(crate) struct SimulatedTable {
    rows: IndexMap<String, TableRow>,
    results: IndexMap<ClientToken, TransactionResult>,
    last_version: u64,
    /// The fleet that the rows describe.
    pub(crate) fleet: FleetSnapshot,
    /// Commits so far.
    pub(crate) commits: u64,
    /// Conflicts so far.
    pub(crate) conflicts: u64,
}

impl SimulatedTable {
    /// Carries out a transaction and checks the fleet after it; a repeated token returns the result
    /// of the first transaction with it.
    pub(crate) fn transact(
        &mut self,
        transaction: &TableTransaction,
        document: &ConfigDocument,
    ) -> TransactionResult {
        if let Some(result) = self.results.get(&transaction.token) {
            return result.clone();
        }
        let stale: Vec<TableRow> = transaction
            .guards
            .iter()
            .map(|guard| (self.row(&guard.key), guard.version))
            .filter(|(row, version)| row.version != *version)
            .map(|(row, _)| row)
            .collect();
        let result = if stale.is_empty() {
            TransactionResult::Committed(self.commit(transaction, document))
        } else {
            self.conflicts += 1;
            TransactionResult::Conflict(stale)
        };
        self.results.insert(transaction.token, result.clone());
        result
    }

    /// Returns the result of a transaction, or `None` if it has not arrived.
    pub(crate) fn resolve(&self, token: ClientToken) -> Option<TransactionResult> {
        self.results.get(&token).cloned()
    }

    /// Returns the requested rows; rows of a prefix are sorted by key.
    pub(crate) fn read(&self, read: &TableRead) -> Vec<TableRow> {
        match read {
            TableRead::Keys(keys) => {
                keys.iter().filter_map(|key| self.rows.get(key).cloned()).collect()
            }
            TableRead::Prefix { prefix, after, limit } => {
                let mut rows: Vec<&TableRow> = self
                    .rows
                    .values()
                    .filter(|row| row.key.starts_with(prefix) && row.key > *after)
                    .collect();
                rows.sort_by(|left, right| left.key.cmp(&right.key));
                rows.into_iter().take(*limit as usize).cloned().collect()
            }
        }
    }

    fn row(&self, key: &str) -> TableRow {
        let missing =
            TableRow { key: key.to_owned(), version: RowVersion(0), value: String::new() };
        self.rows.get(key).cloned().unwrap_or(missing)
    }

    fn commit(
        &mut self,
        transaction: &TableTransaction,
        document: &ConfigDocument,
    ) -> Vec<RowVersion> {
        let before = self.fleet.clone();
        self.commits += 1;
        let mut versions = Vec::new();
        for write in &transaction.writes {
            self.last_version += 1;
            let version = RowVersion(self.last_version);
            versions.push(version);
            match &write.value {
                Some(value) => {
                    let row = TableRow { key: write.key.clone(), version, value: value.clone() };
                    self.rows.insert(write.key.clone(), row);
                }
                None => drop(self.rows.shift_remove(&write.key)),
            }
            self.update_fleet(&write.key, version, write.value.as_deref());
        }
        check_counters(&self.fleet);
        for (instance, status) in &self.fleet.instances {
            let old = before.row(*instance);
            let new = status.row.as_ref().map(|row| &row.row);
            check_transition(*instance, old, new, &before, &self.fleet, document);
        }
        versions
    }

    /// Applies a written row to the fleet; the lease is not part of it.
    fn update_fleet(&mut self, key: &str, version: RowVersion, value: Option<&str>) {
        match key.parse() {
            Ok(RowKey::Instance(instance)) => {
                let row = value.map(|value| serde_json::from_str::<InstanceRow>(value).unwrap());
                let row = row.map(|row| VersionedRow::new(version, row));
                self.fleet.instances.entry(instance).or_default().row = row;
            }
            Ok(RowKey::Pool(pool)) => {
                let row: PoolRow = serde_json::from_str(value.unwrap()).unwrap();
                self.fleet.pools.insert(pool, VersionedRow::new(version, row));
            }
            Ok(RowKey::Rollout(pool)) => {
                let row = serde_json::from_str(value.unwrap()).unwrap();
                self.fleet.rollouts.insert(pool, VersionedRow::new(version, row));
            }
            Ok(RowKey::Racks) => {
                let row: RackRow = serde_json::from_str(value.unwrap()).unwrap();
                self.fleet.racks = VersionedRow::new(version, row);
            }
            Ok(RowKey::Control) => {
                let row = serde_json::from_str(value.unwrap()).unwrap();
                self.fleet.control = VersionedRow::new(version, row);
            }
            Ok(RowKey::Lease) => {}
            Err(error) => panic!("{key}: {error}"),
        }
    }
}

/// Checks that the counters of pools and racks match the instances' rows, so that each instance
/// counts in exactly one pool.
fn check_counters(fleet: &FleetSnapshot) {
    let expected = ExpectedCounters::new(fleet.rows().map(|(_, _, row)| row));
    if let Err(mismatch) = expected.check(fleet) {
        panic!("{mismatch}");
    }
    let members: u32 = fleet.pools.values().map(|pool| pool.row.members).sum();
    assert_eq!(members as usize, fleet.rows().count(), "each instance belongs to one pool");
}

/// Checks the change of one instance: its state and pool, the budget of its pool and the number of
/// racks with planned work.
fn check_transition(
    instance: InstanceId,
    old: Option<&InstanceRow>,
    new: Option<&InstanceRow>,
    before: &FleetSnapshot,
    after: &FleetSnapshot,
    document: &ConfigDocument,
) {
    let (Some(old), Some(new)) = (old, new) else { return };
    if old == new {
        return;
    }
    assert!(
        is_valid_transition(old.state, new.state),
        "{instance}: {} to {}",
        old.state,
        new.state
    );
    let is_join = old.state == InstanceState::Moving && new.state == InstanceState::Joining;
    assert!(old.pool == new.pool || is_join, "{instance} changes its pool outside a move");
    if new.state == InstanceState::Failed {
        return;
    }
    let (old_pool, new_pool) = (before.pool(new.pool).row, after.pool(new.pool).row);
    let max_unavailable = document.pools.get(&new.pool).map_or(1, |pool| pool.max_unavailable);
    let adds_unavailable = new_pool.unavailable.total() > old_pool.unavailable.total();
    assert!(
        !adds_unavailable || new_pool.unavailable.total() <= max_unavailable,
        "{instance}: {} brings pool {} to {}, but max_unavailable is {max_unavailable}",
        new.state,
        new.pool,
        new_pool.unavailable
    );
    let starts_step = old.goal.is_none() && new.goal.is_some();
    let planned_racks = after.racks.row.planned_racks();
    assert!(
        !starts_step || planned_racks <= document.maintenance.max_racks,
        "{planned_racks} racks have planned work"
    );
}

fn is_valid_transition(old: InstanceState, new: InstanceState) -> bool {
    use InstanceState::Draining;
    use InstanceState::Failed;
    use InstanceState::Joining;
    use InstanceState::Moving;
    use InstanceState::Quarantined;
    use InstanceState::Rebooting;
    use InstanceState::Serving;
    matches!(
        (old, new),
        (_, Failed)
            | (Serving, Draining | Quarantined)
            | (Draining, Serving | Draining | Rebooting | Moving | Quarantined)
            | (Moving, Joining | Serving)
            | (Rebooting, Joining)
            | (Joining, Serving)
            | (Failed | Quarantined, Serving | Draining)
            | (Quarantined, Quarantined)
    )
}
