//! Everything that a plan is made from.

use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::RowVersion;
use magnoliapin_model::TargetRun;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;

use crate::ControlRow;
use crate::InstanceRow;
use crate::PoolRow;
use crate::RackRow;
use crate::RolloutRow;
use crate::VersionedRow;

/// Rows, list and targets as one entry knows them.
#[derive(Clone, Debug, Default)]
pub struct FleetSnapshot {
    /// Instances by identifier.
    pub instances: IndexMap<InstanceId, InstanceFacts>,
    /// Counters of the pools.
    pub pools: IndexMap<PoolId, VersionedRow<PoolRow>>,
    /// Roll-outs of the pools.
    pub rollouts: IndexMap<PoolId, VersionedRow<RolloutRow>>,
    /// Racks with planned work.
    pub racks: VersionedRow<RackRow>,
    /// Switches set by operators.
    pub control: VersionedRow<ControlRow>,
}

/// What is known of one instance.
#[derive(Clone, Debug, Default)]
pub struct InstanceFacts {
    /// Its row; none if the table has none.
    pub row: Option<VersionedRow<InstanceRow>>,
    /// Its place in the platform's list.
    pub record: Option<InstanceRecord>,
    /// What its target last said.
    pub load: Option<TargetLoad>,
    /// Version of the row that the target was asked under; the orders that follow from that row
    /// had been taken by then.
    pub load_epoch: RowVersion,
    /// Whether it answers; none if nothing was heard.
    pub healthy: Option<bool>,
    /// Whether it was last proposed for quarantine (true) or release (false), if ever.
    pub suspect: Option<bool>,
}

/// What a target says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Its current run.
    pub run: TargetRun,
    /// Whether it refuses new work.
    pub leaving: bool,
    /// Tasks that run and are not checkpointed.
    pub busy: u32,
}

impl FleetSnapshot {
    /// Returns the row of an instance, if there is one.
    pub fn row(&self, instance: InstanceId) -> Option<&InstanceRow> {
        Some(&self.instances.get(&instance)?.row.as_ref()?.row)
    }

    /// Returns every instance that has a row.
    pub fn rows(&self) -> impl Iterator<Item = (InstanceId, &InstanceFacts, &InstanceRow)> {
        self.instances.iter().filter_map(|(instance, facts)| {
            facts.row.as_ref().map(|versioned| (*instance, facts, &versioned.row))
        })
    }

    /// Returns the members of a pool.
    pub fn members(
        &self,
        pool: PoolId,
    ) -> impl Iterator<Item = (InstanceId, &InstanceFacts, &InstanceRow)> {
        self.rows().filter(move |(_, _, row)| row.pool == pool)
    }

    /// Returns the counters of a pool; zero if there is no row.
    pub fn pool(&self, pool: PoolId) -> VersionedRow<PoolRow> {
        self.pools.get(&pool).cloned().unwrap_or_default()
    }
}

impl InstanceFacts {
    /// Returns whether the list has the instance in service.
    pub fn is_listed_live(&self) -> bool {
        self.listed_state() == Some(ListedState::Live)
    }

    /// Returns the state in the list.
    pub fn listed_state(&self) -> Option<ListedState> {
        self.record.as_ref().map(|record| record.state)
    }

    /// Returns whether the target refuses new work and runs nothing that would be lost, as it
    /// said after it took the order to drain that follows from the present row.
    pub fn is_idle(&self) -> bool {
        let (Some(row), Some(load)) = (&self.row, self.present_load()) else { return false };
        load.run == row.row.run && load.leaving && load.busy == 0
    }

    /// Returns whether the target said in its current run that it takes work.
    pub fn takes_work(&self) -> bool {
        let (Some(record), Some(load)) = (&self.record, self.present_load()) else { return false };
        load.run == record.run && !load.leaving && self.healthy != Some(false)
    }

    /// Returns what the target said since the row has its present version.
    pub fn present_load(&self) -> Option<TargetLoad> {
        let is_present = self.row.as_ref().is_some_and(|row| row.version == self.load_epoch);
        self.load.filter(|_| is_present)
    }

    /// Returns the tasks that run; unknown counts as none.
    pub fn busy(&self) -> u32 {
        self.load.map_or(0, |load| load.busy)
    }
}
