//! Decides which instances change their pool.
//!
//! Load pattern: queues peak one after the other, each with more work than its pool holds. The pool
//! of a past peak still has a backlog that can no longer be in time, and its instances are never
//! idle, while the next pool has too few instances for work that could still be in time. So work
//! that can be in time comes first: backlog only gets instances that no pool needs for such work,
//! and a pool that holds instances for its backlog stops giving some of them new work until they are
//! idle and can leave.

use magnoliapin_site::InstanceName;
use magnoliapin_site::PoolName;

#[cfg(test)]
#[path = "pool_moves_tests.rs"]
mod tests;

/// A pool as seen by the planner of moves.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolState {
    pub(crate) name: PoolName,
    /// Whether the pool holds instances that are out of use and cost nothing.
    pub(crate) is_standby: bool,
    /// Number of instances that it has or that are moving to it.
    pub(crate) instances: usize,
    /// Number of instances that it needs for work that can be in time.
    pub(crate) needed: usize,
    /// Number of instances that it needs for all its work.
    pub(crate) needed_with_backlog: usize,
    /// Instances without runs; the last one is moved first.
    pub(crate) idle: Vec<InstanceName>,
    /// Instances with runs that can be kept from new work, those that are idle soonest first.
    pub(crate) releasable: Vec<InstanceName>,
    /// Whether instances beyond its need have been in surplus long enough to leave the pool.
    pub(crate) has_lasting_surplus: bool,
}

/// A change of the pool of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PoolMove {
    pub(crate) instance: InstanceName,
    pub(crate) pool: PoolName,
}

/// Moves to order now, and instances that get no new work so that they can be moved soon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct MovePlan {
    pub(crate) moves: Vec<PoolMove>,
    pub(crate) released: Vec<InstanceName>,
}

/// Plans at most `max_moves` moves between pools.
pub(crate) fn plan_pool_moves(mut pools: Vec<PoolState>, max_moves: usize) -> MovePlan {
    let mut plan = MovePlan::default();
    let Some(standby) = pools.iter().position(|pool| pool.is_standby) else { return plan };
    let budget = max_moves;
    fill_pools(&mut pools, standby, budget, |pool| pool.needed, &mut plan);
    let missing: usize = pools.iter().map(|pool| pool.missing(pool.needed)).sum();
    release_instances(&pools, missing, &mut plan);
    if missing == 0 {
        fill_pools(&mut pools, standby, budget, |pool| pool.needed_with_backlog, &mut plan);
    }
    return_surplus(&pools, standby, budget, &mut plan);
    plan
}

impl PoolState {
    fn missing(&self, needed: usize) -> usize {
        if self.is_standby {
            0
        } else {
            needed.saturating_sub(self.instances)
        }
    }

    fn surplus(&self, needed: usize) -> usize {
        self.instances.saturating_sub(needed)
    }
}

/// Moves idle instances to the pools that lack them; the pool that lacks the largest share of its
/// need comes first.
fn fill_pools(
    pools: &mut [PoolState],
    standby: usize,
    budget: usize,
    needed: impl Fn(&PoolState) -> usize,
    plan: &mut MovePlan,
) {
    while plan.moves.len() < budget {
        let shortage =
            |pool: &PoolState| pool.missing(needed(pool)) as f64 / needed(pool).max(1) as f64;
        let neediest = (0..pools.len())
            .filter(|number| pools[*number].missing(needed(&pools[*number])) > 0)
            .max_by(|left, right| shortage(&pools[*left]).total_cmp(&shortage(&pools[*right])));
        let Some(to) = neediest else { return };
        let has_idle = |pool: &PoolState| !pool.idle.is_empty();
        let from = if has_idle(&pools[standby]) {
            Some(standby)
        } else {
            let donors = (0..pools.len()).filter(|number| *number != to && *number != standby);
            donors
                .filter(|number| has_idle(&pools[*number]))
                .filter(|number| pools[*number].surplus(needed(&pools[*number])) > 0)
                .max_by_key(|number| pools[*number].surplus(needed(&pools[*number])))
        };
        let Some(from) = from else { return };
        let Some(instance) = pools[from].idle.pop() else { return };
        pools[from].instances -= 1;
        pools[to].instances += 1;
        plan.moves.push(PoolMove { instance, pool: pools[to].name.clone() });
    }
}

/// Releases instances that pools hold only for their backlog, as many as other pools lack.
fn release_instances(pools: &[PoolState], missing: usize, plan: &mut MovePlan) {
    let mut left = missing;
    for pool in pools.iter().filter(|pool| !pool.is_standby) {
        // Idle instances would have been moved already.
        let count = pool.surplus(pool.needed).min(left).min(pool.releasable.len());
        plan.released.extend(pool.releasable[..count].iter().cloned());
        left -= count;
    }
}

/// Moves idle instances that no work of their pool needs to standby.
fn return_surplus(pools: &[PoolState], standby: usize, budget: usize, plan: &mut MovePlan) {
    for pool in pools.iter().filter(|pool| !pool.is_standby && pool.has_lasting_surplus) {
        for instance in pool.idle.iter().take(pool.surplus(pool.needed_with_backlog)) {
            if plan.moves.len() >= budget {
                return;
            }
            let to = pools[standby].name.clone();
            plan.moves.push(PoolMove { instance: instance.clone(), pool: to });
        }
    }
}
