//! A plan under construction.

use indexmap::IndexMap;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;

use crate::budget::max_unavailable;
use crate::FleetSnapshot;
use crate::FleetStep;
use crate::InstanceChange;
use crate::StepWrites;
use crate::UnixSeconds;

/// The steps so far and the fleet as it will be after them.
#[derive(Debug)]
pub(super) struct PlanDraft<'a> {
    /// The fleet after the steps so far.
    pub(super) snapshot: FleetSnapshot,
    /// The configuration in force.
    pub(super) document: &'a ConfigDocument,
    /// Wall-clock time.
    pub(super) now: UnixSeconds,
    steps: Vec<FleetStep>,
}

impl<'a> PlanDraft<'a> {
    /// Creates a plan without steps.
    pub(super) fn new(
        snapshot: &FleetSnapshot,
        document: &'a ConfigDocument,
        now: UnixSeconds,
    ) -> Self {
        let mut snapshot = snapshot.clone();
        snapshot.instances.sort_unstable_keys();
        Self { snapshot, document, now, steps: Vec::new() }
    }

    /// Adds a step if the rules allow it, and returns whether they do.
    pub(super) fn try_step(&mut self, step: FleetStep) -> bool {
        let writes = StepWrites::new(&self.snapshot, self.document, &step, self.now);
        let Ok(writes) = writes else { return false };
        writes.apply_to(&mut self.snapshot, &[]);
        self.steps.push(step);
        true
    }

    /// Adds a change of one instance if the rules allow it, and returns whether they do.
    pub(super) fn try_change(&mut self, instance: InstanceId, change: InstanceChange) -> bool {
        self.try_step(FleetStep::new(instance, change))
    }

    /// Returns every instance, sorted by identifier.
    pub(super) fn instances(&self) -> Vec<InstanceId> {
        self.snapshot.instances.keys().copied().collect()
    }

    /// Returns the members of every pool, sorted within each pool.
    pub(super) fn members_by_pool(&self) -> IndexMap<PoolId, Vec<InstanceId>> {
        let mut pools: IndexMap<PoolId, Vec<InstanceId>> = IndexMap::new();
        for (instance, _, row) in self.snapshot.rows() {
            pools.entry(row.pool).or_default().push(instance);
        }
        pools
    }

    /// Returns how many more instances of a pool may become unavailable.
    pub(super) fn budget_left(&self, pool: PoolId) -> u32 {
        let unavailable = self.snapshot.pool(pool).row.unavailable.total();
        self.max_unavailable(pool).saturating_sub(unavailable)
    }

    /// Returns whether more instances of a pool are unavailable than its budget allows.
    pub(super) fn is_over_budget(&self, pool: PoolId) -> bool {
        self.snapshot.pool(pool).row.unavailable.total() > self.max_unavailable(pool)
    }

    /// Returns whether planned work is paused.
    pub(super) fn is_paused(&self) -> bool {
        self.document.maintenance.paused || self.snapshot.control.row.paused
    }

    /// Returns the steps of the plan.
    pub(super) fn into_steps(self) -> Vec<FleetStep> {
        self.steps
    }

    fn max_unavailable(&self, pool: PoolId) -> u32 {
        max_unavailable(self.document, pool)
    }
}
