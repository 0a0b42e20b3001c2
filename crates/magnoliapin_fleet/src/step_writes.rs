//! Rows that one step writes. Steps of plans and of operators are checked here by the same rules.

use magnoliapin_model::ClientToken;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::RackId;
use magnoliapin_model::RowVersion;
use magnoliapin_wire::RowGuard;
use magnoliapin_wire::RowWrite;
use magnoliapin_wire::TableTransaction;
use serde::Serialize;

use crate::budget::max_unavailable;
use crate::transition::InstanceTransition;
use crate::ControlRow;
use crate::FleetSnapshot;
use crate::FleetStep;
use crate::InstanceChange;
use crate::InstanceRow;
use crate::PoolRow;
use crate::RackRow;
use crate::RolloutRow;
use crate::RowKey;
use crate::StepGoal;
use crate::StepRefusal;
use crate::UnixSeconds;
use crate::VersionedRow;

/// Rows that one step writes and rows that it guards.
///
/// A step guards the row of its instance and of each pool whose counters it changes. A step that
/// was planned from a stale state therefore conflicts, and the budget checked here still holds at
/// commit.
#[derive(Clone, Debug, Default)]
pub struct StepWrites {
    guards: Vec<RowGuard>,
    instance: Option<(InstanceId, Option<InstanceRow>)>,
    pools: Vec<(PoolId, PoolRow)>,
    racks: Option<RackRow>,
    rollout: Option<(PoolId, RolloutRow)>,
    control: Option<ControlRow>,
}

impl StepWrites {
    /// Checks a step against the rules and computes its writes.
    ///
    /// # Errors
    ///
    /// Returns the [`StepRefusal`] with the budget or rule that forbids the step.
    pub fn new(
        snapshot: &FleetSnapshot,
        document: &ConfigDocument,
        step: &FleetStep,
        now: UnixSeconds,
    ) -> Result<Self, StepRefusal> {
        let mut writes = Self::default();
        match step {
            FleetStep::Instance { instance, change } => {
                writes.add_instance_writes(snapshot, document, *instance, change, now)?;
            }
            FleetStep::Rollout { pool, row } => {
                let version = snapshot.rollouts.get(pool).map_or(RowVersion(0), |row| row.version);
                writes.guard(RowKey::Rollout(*pool), version);
                writes.rollout = Some((*pool, row.clone()));
            }
            FleetStep::Control(row) => {
                writes.guard(RowKey::Control, snapshot.control.version);
                writes.control = Some(*row);
            }
        }
        Ok(writes)
    }

    /// Returns the transaction that executes the step.
    pub fn to_transaction(&self, token: ClientToken) -> TableTransaction {
        TableTransaction { token, guards: self.guards.clone(), writes: self.row_writes() }
    }

    /// Applies the step to a snapshot, with the versions that the commit assigned to the rows, in
    /// the order of the transaction's writes. A row without one gets its old version plus 1.
    pub fn apply_to(&self, snapshot: &mut FleetSnapshot, versions: &[RowVersion]) {
        let mut versions = versions.iter().copied();
        let mut next = |old: RowVersion| versions.next().unwrap_or(RowVersion(old.0 + 1));
        if let Some((instance, row)) = &self.instance {
            let status = snapshot.instances.entry(*instance).or_default();
            let old = status.row.as_ref().map_or(RowVersion(0), |row| row.version);
            let version = next(old);
            status.row = row.clone().map(|row| VersionedRow::new(version, row));
        }
        for (pool, row) in &self.pools {
            let old = snapshot.pool(*pool).version;
            snapshot.pools.insert(*pool, VersionedRow::new(next(old), *row));
        }
        if let Some(row) = &self.racks {
            snapshot.racks = VersionedRow::new(next(snapshot.racks.version), row.clone());
        }
        if let Some((pool, row)) = &self.rollout {
            let old = snapshot.rollouts.get(pool).map_or(RowVersion(0), |row| row.version);
            snapshot.rollouts.insert(*pool, VersionedRow::new(next(old), row.clone()));
        }
        if let Some(row) = self.control {
            snapshot.control = VersionedRow::new(next(snapshot.control.version), row);
        }
    }

    fn add_instance_writes(
        &mut self,
        snapshot: &FleetSnapshot,
        document: &ConfigDocument,
        instance: InstanceId,
        change: &InstanceChange,
        now: UnixSeconds,
    ) -> Result<(), StepRefusal> {
        let status = snapshot.instances.get(&instance).ok_or(StepRefusal::NoInstance(instance))?;
        let old = status.row.as_ref().map(|versioned| &versioned.row);
        let transition = InstanceTransition { document, instance, status, now };
        let new = transition.next_row(change)?;
        let version = status.row.as_ref().map_or(RowVersion(0), |row| row.version);
        self.guard(RowKey::Instance(instance), version);
        self.add_pool_writes(snapshot, document, old, new.as_ref(), change)?;
        self.add_rack_write(snapshot, document, old, new.as_ref())?;
        if let InstanceChange::Drain { goal, .. } = change {
            self.check_planned_start(snapshot, document, old, goal)?;
        }
        self.instance = Some((instance, new));
        Ok(())
    }

    fn add_pool_writes(
        &mut self,
        snapshot: &FleetSnapshot,
        document: &ConfigDocument,
        old: Option<&InstanceRow>,
        new: Option<&InstanceRow>,
        change: &InstanceChange,
    ) -> Result<(), StepRefusal> {
        let is_unchanged = old.map(|row| (row.pool, row.unavailable_cause()))
            == new.map(|row| (row.pool, row.unavailable_cause()));
        if is_unchanged {
            return Ok(());
        }
        let mut pools: Vec<PoolId> = old.iter().chain(new.iter()).map(|row| row.pool).collect();
        pools.dedup();
        for pool in pools {
            let before = snapshot.pool(pool);
            let mut after = before.row;
            if let Some(row) = old.filter(|row| row.pool == pool) {
                if !after.remove(row.unavailable_cause()) {
                    return Err(StepRefusal::Counters(pool));
                }
            }
            if let Some(row) = new.filter(|row| row.pool == pool) {
                after.add(row.unavailable_cause());
            }
            if change.must_fit_budget() {
                check_budget(document, pool, before.row, after)?;
            }
            self.guard(RowKey::Pool(pool), before.version);
            self.pools.push((pool, after));
        }
        Ok(())
    }

    fn add_rack_write(
        &mut self,
        snapshot: &FleetSnapshot,
        document: &ConfigDocument,
        old: Option<&InstanceRow>,
        new: Option<&InstanceRow>,
    ) -> Result<(), StepRefusal> {
        let old = old.filter(|row| row.goal.is_some()).map(|row| row.rack);
        let new = new.filter(|row| row.goal.is_some()).map(|row| row.rack);
        if old == new {
            return Ok(());
        }
        let mut racks = snapshot.racks.row.clone();
        if let Some(rack) = old {
            let _was_counted = racks.remove(rack);
        }
        if let Some(rack) = new {
            check_racks(document, &racks, rack)?;
            racks.add(rack);
        }
        self.guard(RowKey::Racks, snapshot.racks.version);
        self.racks = Some(racks);
        Ok(())
    }

    /// Checks the rules for the start of a planned step. Guards the operators' switches and, for a
    /// reboot, the roll-out of the pool.
    fn check_planned_start(
        &mut self,
        snapshot: &FleetSnapshot,
        document: &ConfigDocument,
        old: Option<&InstanceRow>,
        goal: &StepGoal,
    ) -> Result<(), StepRefusal> {
        if document.maintenance.paused || snapshot.control.row.paused {
            return Err(StepRefusal::Paused);
        }
        self.guard(RowKey::Control, snapshot.control.version);
        let Some(pool) = old.map(|row| row.pool) else { return Ok(()) };
        match goal {
            StepGoal::Move { .. } => check_floor(document, pool, snapshot.pool(pool).row),
            StepGoal::Reboot { .. } => {
                let version = snapshot.rollouts.get(&pool).map_or(RowVersion(0), |row| row.version);
                self.guard(RowKey::Rollout(pool), version);
                Ok(())
            }
        }
    }

    fn guard(&mut self, key: RowKey, version: RowVersion) {
        self.guards.push(RowGuard { key: key.to_string(), version });
    }

    fn row_writes(&self) -> Vec<RowWrite> {
        let mut writes = Vec::new();
        if let Some((instance, row)) = &self.instance {
            writes.push(row_write(RowKey::Instance(*instance), row.as_ref()));
        }
        for (pool, row) in &self.pools {
            writes.push(row_write(RowKey::Pool(*pool), Some(row)));
        }
        if let Some(row) = &self.racks {
            writes.push(row_write(RowKey::Racks, Some(row)));
        }
        if let Some((pool, row)) = &self.rollout {
            writes.push(row_write(RowKey::Rollout(*pool), Some(row)));
        }
        if let Some(row) = &self.control {
            writes.push(row_write(RowKey::Control, Some(row)));
        }
        writes
    }
}

/// Checks that a step which adds an unavailable instance keeps the pool within its budget.
fn check_budget(
    document: &ConfigDocument,
    pool: PoolId,
    before: PoolRow,
    after: PoolRow,
) -> Result<(), StepRefusal> {
    let max_unavailable = max_unavailable(document, pool);
    let (old_total, new_total) = (before.unavailable.total(), after.unavailable.total());
    if new_total > old_total && new_total > max_unavailable {
        let unavailable = before.unavailable;
        return Err(StepRefusal::Budget { pool, unavailable, max_unavailable });
    }
    Ok(())
}

/// Checks that a pool that is not spare keeps its declared size minus its budget when an instance
/// moves away.
fn check_floor(document: &ConfigDocument, pool: PoolId, row: PoolRow) -> Result<(), StepRefusal> {
    let Some(section) = document.pools.get(&pool) else { return Ok(()) };
    if section.spare {
        return Ok(());
    }
    let floor = section.instances.saturating_sub(section.max_unavailable);
    let available = row.available();
    if available <= floor {
        return Err(StepRefusal::Floor { pool, available, floor });
    }
    Ok(())
}

fn check_racks(
    document: &ConfigDocument,
    racks: &RackRow,
    rack: RackId,
) -> Result<(), StepRefusal> {
    let max_racks = document.maintenance.max_racks;
    let open = racks.planned_racks();
    if !racks.has_planned_work(rack) && open >= max_racks {
        return Err(StepRefusal::Racks { rack, open, max_racks });
    }
    Ok(())
}

fn row_write<T: Serialize>(key: RowKey, row: Option<&T>) -> RowWrite {
    let value = row.map(|row| {
        let text = serde_json::to_string(row);
        debug_assert!(text.is_ok(), "a row of the fleet always serializes to JSON");
        text.unwrap_or_default()
    });
    RowWrite { key: key.to_string(), value }
}
