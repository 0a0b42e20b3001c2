//! Steps that move instances between pools to follow the averaged demand.

use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;

use super::draft::PlanDraft;
use crate::DemandHistory;
use crate::InstanceChange;
use crate::InstanceState;
use crate::StepGoal;

/// Time for which the present demand is assumed to last, in hours.
const HORIZON_HOURS: f64 = 2.0;
/// Time for which an instance of a spare pool is assumed to stay lent, in hours.
const SPARE_LOAN_HOURS: f64 = 12.0;
/// A move is considered only if the destination's load before it exceeds the source's load after it
/// by this factor.
const LOAD_RATIO: f64 = 1.3;
/// Maximum number of moves in one plan that follow the demand.
const MOVES_PER_PLAN: usize = 4;

/// Instances of a pool and the demand for them.
#[derive(Clone, Copy, Debug)]
struct PoolLoad {
    pool: PoolId,
    /// Members, without failed or quarantined ones, that it will have once the moves in progress
    /// are done.
    instances: f64,
    /// Averaged demand, in instances.
    demand: f64,
    is_spare: bool,
    max_unavailable: f64,
    /// Whether a move from or to the pool may start now.
    can_move: bool,
}

impl PoolLoad {
    /// Returns the cost of waiting per hour with `change` more instances: waiting work grows with
    /// the square of the demand and falls with the number of instances that serve it.
    fn wait_cost(&self, change: f64) -> f64 {
        let instances = (self.instances + change).max(0.5);
        self.demand * self.demand / instances
    }

    /// Returns the number of waves of a roll-out to the pool with `change` more instances.
    fn waves(&self, change: f64) -> f64 {
        ((self.instances + change) / self.max_unavailable.max(1.0)).ceil()
    }

    /// Returns the demand per instance with `change` more instances.
    fn load(&self, change: f64) -> f64 {
        self.demand / (self.instances + change).max(0.5)
    }
}

/// Adds steps that start moves.
pub(super) fn add_steps(draft: &mut PlanDraft<'_>, demand: &DemandHistory) {
    if draft.is_paused() {
        return;
    }
    clear_removed_pools(draft);
    let Some(mut loads) = pool_loads(draft, demand) else { return };
    for _ in 0..MOVES_PER_PLAN {
        let Some((from, to)) = best_move(draft, &loads) else { return };
        let is_planned = start_move(draft, loads[from].pool, loads[to].pool);
        loads[from].can_move = false;
        if is_planned {
            loads[to].can_move = false;
        }
    }
}

/// Starts moving an instance of each pool that is no longer in the configuration to the spare pool,
/// or to the first pool if none is spare.
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

/// Returns the load of each pool, or `None` if the slots per instance or the demand of some queue
/// are not known yet.
fn pool_loads(draft: &PlanDraft<'_>, demand: &DemandHistory) -> Option<Vec<PoolLoad>> {
    let slots = slots_per_instance(draft)?;
    let mut demand_by_pool: IndexMap<PoolId, f64> = IndexMap::new();
    for (queue, section) in &draft.document.queues {
        *demand_by_pool.entry(section.pool).or_insert(0.0) += demand.average_slots(*queue)? / slots;
    }
    let loads = draft.document.pools.iter().map(|(pool, section)| PoolLoad {
        pool: *pool,
        instances: future_members(draft, *pool),
        demand: demand_by_pool.get(pool).copied().unwrap_or(0.0),
        is_spare: section.spare,
        max_unavailable: f64::from(section.max_unavailable),
        can_move: !has_moves(draft, *pool) && !has_rollout(draft, *pool),
    });
    Some(loads.collect())
}

fn slots_per_instance(draft: &PlanDraft<'_>) -> Option<f64> {
    let records = draft.snapshot.instances.values().filter_map(|status| status.record.as_ref());
    let (count, slots) = records.fold((0_u32, 0_u64), |(count, slots), record| {
        (count + 1, slots + u64::from(record.slots.0))
    });
    (count > 0 && slots > 0).then(|| slots as f64 / f64::from(count))
}

/// Returns the number of members of a pool that have not failed and are not quarantined, with moves
/// in progress counted as done.
fn future_members(draft: &PlanDraft<'_>, pool: PoolId) -> f64 {
    let mut members = 0.0;
    for (_, _, row) in draft.snapshot.rows() {
        let is_out_of_service =
            matches!(row.state, InstanceState::Failed | InstanceState::Quarantined);
        let final_pool = match &row.goal {
            Some(StepGoal::Move { pool }) => *pool,
            _ => row.pool,
        };
        if final_pool == pool && !is_out_of_service {
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

/// Returns the move with the largest gain, as the indices of its source and destination in `loads`.
/// Returns `None` if no gain exceeds the configured price of a move.
fn best_move(draft: &PlanDraft<'_>, loads: &[PoolLoad]) -> Option<(usize, usize)> {
    let weights = &draft.document.weights;
    // If roll-outs weigh more than shares, a move must leave the destination with fewer waves than
    // the pool with the most waves, so that the slowest roll-out does not get slower.
    let limits_rollout_time = weights.rollout > weights.share;
    let slowest = loads.iter().map(|load| load.waves(0.0)).fold(0.0, f64::max);
    let mut best = None;
    let mut best_gain = weights.moves;
    for (from, source) in loads.iter().enumerate() {
        for (to, destination) in loads.iter().enumerate() {
            if from == to || !source.can_move || !destination.can_move || destination.is_spare {
                continue;
            }
            let is_imbalanced = destination.load(0.0) > LOAD_RATIO * source.load(-1.0);
            let has_too_many_waves = limits_rollout_time && destination.waves(1.0) >= slowest;
            if !is_imbalanced || has_too_many_waves || source.instances < 1.0 {
                continue;
            }
            let saved = destination.wait_cost(0.0) - destination.wait_cost(1.0);
            let lost = source.wait_cost(-1.0) - source.wait_cost(0.0);
            let saved_buffer =
                if source.is_spare { weights.buffer * SPARE_LOAN_HOURS } else { 0.0 };
            let gain = HORIZON_HOURS * weights.share * (saved - lost) + saved_buffer;
            if gain > best_gain {
                best_gain = gain;
                best = Some((from, to));
            }
        }
    }
    best
}

/// Starts a move of one instance and returns whether the rules allow it. Prefers racks with planned
/// work, then the least busy instance.
fn start_move(draft: &mut PlanDraft<'_>, from: PoolId, to: PoolId) -> bool {
    if draft.budget_left(from) == 0 || draft.budget_left(to) == 0 {
        return false;
    }
    let cooldown_seconds = u64::from(draft.document.maintenance.drain_seconds);
    let racks = &draft.snapshot.racks.row;
    let members = draft.snapshot.members(from);
    let mut candidates: Vec<(bool, u32, InstanceId)> = members
        .filter(|(_, status, row)| {
            let has_cooled_down = draft.now.since(row.changed_at) >= cooldown_seconds;
            row.state == InstanceState::Serving && status.is_listed_live() && has_cooled_down
        })
        .map(|(instance, status, row)| (!racks.has_planned_work(row.rack), status.busy(), instance))
        .collect();
    candidates.sort_unstable();
    candidates.into_iter().any(|(_, _, instance)| {
        let goal = StepGoal::Move { pool: to };
        draft.try_change(instance, InstanceChange::Drain { goal, force: false })
    })
}
