//! State of the fleet that a plan is based on.

use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::RowVersion;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;

use crate::ControlRow;
use crate::InstanceRow;
use crate::PoolRow;
use crate::RackRow;
use crate::RolloutRow;
use crate::VersionedRow;

/// Rows, the platform's instance list and loads of targets, as last read by one entry.
#[derive(Clone, Debug, Default)]
pub struct FleetSnapshot {
    /// Instances by identifier.
    pub instances: IndexMap<InstanceId, InstanceStatus>,
    /// Counters of the pools.
    pub pools: IndexMap<PoolId, VersionedRow<PoolRow>>,
    /// Roll-outs of the pools.
    pub rollouts: IndexMap<PoolId, VersionedRow<RolloutRow>>,
    /// Racks with planned work.
    pub racks: VersionedRow<RackRow>,
    /// Switches set by operators.
    pub control: VersionedRow<ControlRow>,
}

/// Row, platform record, load and health of one instance.
#[derive(Clone, Debug, Default)]
pub struct InstanceStatus {
    /// Its row, or `None` if the table has none.
    pub row: Option<VersionedRow<InstanceRow>>,
    /// Its record in the platform's instance list.
    pub record: Option<InstanceRecord>,
    /// Load that its target last reported.
    pub load: Option<TargetLoad>,
    /// Version of the row under which the load was requested; 0 if it was not requested. If that
    /// row is draining, the platform had accepted its drain order by then.
    pub load_epoch: RowVersion,
    /// Whether it is healthy, or `None` without a recent finding.
    pub healthy: Option<bool>,
    /// Whether it was proposed for quarantine (true) or release (false), or `None` without a recent
    /// proposal.
    pub quarantine_proposal: Option<bool>,
}

/// Load that a target reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Its current incarnation.
    pub incarnation: TargetIncarnation,
    /// Whether it refuses new work.
    pub leaving: bool,
    /// Running tasks that are not checkpointed.
    pub busy: u32,
}

impl FleetSnapshot {
    /// Returns the row of an instance, if there is one.
    pub fn row(&self, instance: InstanceId) -> Option<&InstanceRow> {
        Some(&self.instances.get(&instance)?.row.as_ref()?.row)
    }

    /// Returns every instance that has a row.
    pub fn rows(&self) -> impl Iterator<Item = (InstanceId, &InstanceStatus, &InstanceRow)> {
        self.instances.iter().filter_map(|(instance, status)| {
            status.row.as_ref().map(|versioned| (*instance, status, &versioned.row))
        })
    }

    /// Returns the members of a pool.
    pub fn members(
        &self,
        pool: PoolId,
    ) -> impl Iterator<Item = (InstanceId, &InstanceStatus, &InstanceRow)> {
        self.rows().filter(move |(_, _, row)| row.pool == pool)
    }

    /// Returns the counters of a pool; zero if there is no row.
    pub fn pool(&self, pool: PoolId) -> VersionedRow<PoolRow> {
        self.pools.get(&pool).cloned().unwrap_or_default()
    }
}

impl InstanceStatus {
    /// Returns whether the platform lists the instance as in service.
    pub fn is_listed_live(&self) -> bool {
        self.listed_state() == Some(ListedState::Live)
    }

    /// Returns the state in the platform's list, or `None` if the instance is not listed.
    pub fn listed_state(&self) -> Option<ListedState> {
        self.record.as_ref().map(|record| record.state)
    }

    /// Returns whether the target refuses new work and runs nothing that would be lost, according
    /// to a load requested under the current row and so after its drain order was accepted.
    pub fn is_idle(&self) -> bool {
        let (Some(row), Some(load)) = (&self.row, self.current_load()) else { return false };
        load.incarnation == row.row.run && load.leaving && load.busy == 0
    }

    /// Returns whether the target's listed incarnation has reported under the current row that it
    /// accepts work, and is not known to be unhealthy.
    pub fn accepts_work(&self) -> bool {
        let (Some(record), Some(load)) = (&self.record, self.current_load()) else { return false };
        load.incarnation == record.run && !load.leaving && self.healthy != Some(false)
    }

    /// Returns the load if it was requested under the current version of the row.
    pub fn current_load(&self) -> Option<TargetLoad> {
        let is_current = self.row.as_ref().is_some_and(|row| row.version == self.load_epoch);
        self.load.filter(|_| is_current)
    }

    /// Returns the number of running tasks that are not checkpointed, or 0 if the load is unknown.
    pub fn busy(&self) -> u32 {
        self.load.map_or(0, |load| load.busy)
    }
}
