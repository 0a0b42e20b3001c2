//! Moves between pools, which follow the slow part of the demand.

use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;

use super::draft::PlanDraft;
use crate::DemandHistory;
use crate::InstanceChange;
use crate::InstanceState;
use crate::StepGoal;

/// Time for which demand is reckoned to stay as it is, in hours.
const HORIZON_HOURS: f64 = 2.0;
/// Time for which a lent instance is reckoned to stay lent, in hours.
const LENT_HOURS: f64 = 12.0;
/// The receiving pool must be this much more loaded than the giving one after the move.
const LOAD_RATIO: f64 = 1.3;
/// Most moves of one plan.
const MOVES_PER_PLAN: usize = 4;

/// What a pool has and what it is asked for.
#[derive(Clone, Copy, Debug)]
struct PoolLoad {
    pool: PoolId,
    /// Instances that it will have once the moves under way are done.
    instances: f64,
    /// Instances' worth of slow demand.
    demand: f64,
    is_spare: bool,
    max_unavailable: f64,
    /// Whether a move from or to the pool may start now.
    is_free: bool,
}

impl PoolLoad {
    /// Returns the cost of waiting in an hour: the work that waits grows with the square of the
    /// demand and falls with the instances that serve it.
    fn wait_cost(&self, change: f64) -> f64 {
        let instances = (self.instances + change).max(0.5);
        self.demand * self.demand / instances
    }

    /// Returns the waves that a roll-out to the pool takes.
    fn waves(&self, change: f64) -> f64 {
        ((self.instances + change) / self.max_unavailable.max(1.0)).ceil()
    }

    fn load(&self, change: f64) -> f64 {
        self.demand / (self.instances + change).max(0.5)
    }
}

/// Adds the steps.
pub(super) fn add_steps(draft: &mut PlanDraft<'_>, demand: &DemandHistory) {
    if draft.is_paused() {
        return;
    }
    clear_removed_pools(draft);
    let Some(mut loads) = pool_loads(draft, demand) else { return };
    for _ in 0..MOVES_PER_PLAN {
        let Some((from, to)) = best_move(draft, &loads) else { return };
        let is_planned = start_move(draft, loads[from].pool, loads[to].pool);
        loads[from].is_free = false;
        if is_planned {
            loads[to].is_free = false;
        }
    }
}

/// Moves the instances of pools that the document no longer has to the spare pool.
fn clear_removed_pools(draft: &mut PlanDraft<'_>) {
    let pools = &draft.document.pools;
    let spare = pools.iter().find(|(_, section)| section.spare).or_else(|| pools.first());
    let Some(to) = spare.map(|(pool, _)| *pool) else { return };
    let removed: Vec<PoolId> = draft
        .snapshot
        .pools
        .iter()
        .filter(|(pool, row)| row.row.members > 0 && !pools.contains_key(*pool))
        .map(|(pool, _)| *pool)
        .collect();
    for from in removed {
        start_move(draft, from, to);
    }
}

/// Returns the load of each pool, or none if some queue's demand is not known yet.
fn pool_loads(draft: &PlanDraft<'_>, demand: &DemandHistory) -> Option<Vec<PoolLoad>> {
    let slots = slots_per_instance(draft)?;
    let mut asked: IndexMap<PoolId, f64> = IndexMap::new();
    for (queue, section) in &draft.document.queues {
        *asked.entry(section.pool).or_insert(0.0) += demand.slow_slots(*queue)? / slots;
    }
    let loads = draft.document.pools.iter().map(|(pool, section)| PoolLoad {
        pool: *pool,
        instances: future_members(draft, *pool),
        demand: asked.get(pool).copied().unwrap_or(0.0),
        is_spare: section.spare,
        max_unavailable: f64::from(section.max_unavailable),
        is_free: !has_moves(draft, *pool) && !has_rollout(draft, *pool),
    });
    Some(loads.collect())
}

fn slots_per_instance(draft: &PlanDraft<'_>) -> Option<f64> {
    let records = draft.snapshot.instances.values().filter_map(|facts| facts.record.as_ref());
    let (count, slots) = records.fold((0_u32, 0_u64), |(count, slots), record| {
        (count + 1, slots + u64::from(record.slots.0))
    });
    (count > 0 && slots > 0).then(|| slots as f64 / f64::from(count))
}

/// Returns the members of a pool that are not lost, with moves under way counted as done.
fn future_members(draft: &PlanDraft<'_>, pool: PoolId) -> f64 {
    let mut members = 0.0;
    for (_, _, row) in draft.snapshot.rows() {
        let is_lost = matches!(row.state, InstanceState::Failed | InstanceState::Quarantined);
        let home = match &row.goal {
            Some(StepGoal::Move { pool }) => *pool,
            _ => row.pool,
        };
        if home == pool && !is_lost {
            members += 1.0;
        }
    }
    members
}

fn has_moves(draft: &PlanDraft<'_>, pool: PoolId) -> bool {
    draft.snapshot.rows().any(|(_, _, row)| match &row.goal {
        Some(StepGoal::Move { pool: goal }) => row.pool == pool || *goal == pool,
        _ => false,
    })
}

fn has_rollout(draft: &PlanDraft<'_>, pool: PoolId) -> bool {
    draft.snapshot.rollouts.get(&pool).is_some_and(|rollout| rollout.row.is_active())
}

/// Returns the move that gains most, as places of the two pools, if one is worth its price.
fn best_move(draft: &PlanDraft<'_>, loads: &[PoolLoad]) -> Option<(usize, usize)> {
    let weights = &draft.document.weights;
    // Where roll-outs weigh more than shares, no move makes the slowest of them slower.
    let is_bound = weights.rollout > weights.share;
    let slowest = loads.iter().map(|load| load.waves(0.0)).fold(0.0, f64::max);
    let mut best = None;
    let mut best_gain = weights.moves;
    for (from, giver) in loads.iter().enumerate() {
        for (to, taker) in loads.iter().enumerate() {
            if from == to || !giver.is_free || !taker.is_free || taker.is_spare {
                continue;
            }
            let is_uneven = taker.load(0.0) > LOAD_RATIO * giver.load(-1.0);
            let is_slower = is_bound && taker.waves(1.0) >= slowest;
            if !is_uneven || is_slower || giver.instances < 1.0 {
                continue;
            }
            let saved = taker.wait_cost(0.0) - taker.wait_cost(1.0);
            let lost = giver.wait_cost(-1.0) - giver.wait_cost(0.0);
            let buffer = if giver.is_spare { weights.buffer * LENT_HOURS } else { 0.0 };
            let gain = HORIZON_HOURS * weights.share * (saved - lost) + buffer;
            if gain > best_gain {
                best_gain = gain;
                best = Some((from, to));
            }
        }
    }
    best
}

/// Starts a move of the least busy instance, from a rack with planned work if there is one.
fn start_move(draft: &mut PlanDraft<'_>, from: PoolId, to: PoolId) -> bool {
    if draft.budget_left(from) == 0 || draft.budget_left(to) == 0 {
        return false;
    }
    let rest = u64::from(draft.document.maintenance.drain_seconds);
    let racks = &draft.snapshot.racks.row;
    let members = draft.snapshot.members(from);
    let mut candidates: Vec<(bool, u32, InstanceId)> = members
        .filter(|(_, facts, row)| {
            let is_rested = draft.now.since(row.changed_at) >= rest;
            row.state == InstanceState::Serving && facts.is_listed_live() && is_rested
        })
        .map(|(instance, facts, row)| (!racks.is_open(row.rack), facts.busy(), instance))
        .collect();
    candidates.sort_unstable();
    candidates.into_iter().any(|(_, _, instance)| {
        let goal = StepGoal::Move { pool: to };
        draft.try_change(instance, InstanceChange::Drain { goal, force: false })
    })
}
