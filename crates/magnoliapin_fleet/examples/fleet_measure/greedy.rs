//! Greedy baseline planner: moves instances at once to pools that lack capacity, and surplus
//! instances back to the spare pool.

use indexmap::IndexMap;
use magnoliapin_fleet::FleetSnapshot;
use magnoliapin_fleet::FleetStep;
use magnoliapin_fleet::InstanceChange;
use magnoliapin_fleet::InstanceState;
use magnoliapin_fleet::StepGoal;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;

/// Returns at most one move per pool towards its current demand; `demand` is the waiting and
/// arriving work of each pool, in instances.
pub(crate) fn moves(
    snapshot: &FleetSnapshot,
    document: &ConfigDocument,
    demand: &IndexMap<PoolId, f64>,
) -> Vec<FleetStep> {
    let spare = document.pools.iter().find(|(_, section)| section.spare).map(|(pool, _)| *pool);
    let Some(spare) = spare else { return Vec::new() };
    let mut steps = Vec::new();
    for (pool, pool_demand) in demand {
        let members = f64::from(snapshot.pool(*pool).row.members);
        let floor = f64::from(document.pools[pool].instances);
        let wanted_members = pool_demand.ceil().max(floor);
        if wanted_members > members {
            steps.extend(first_serving(snapshot, spare).map(|instance| move_step(instance, *pool)));
        }
        if wanted_members < members {
            steps.extend(first_serving(snapshot, *pool).map(|instance| move_step(instance, spare)));
        }
    }
    steps
}

fn first_serving(snapshot: &FleetSnapshot, pool: PoolId) -> Option<InstanceId> {
    let mut members = snapshot.members(pool);
    let found = members.find(|(_, _, row)| row.state == InstanceState::Serving);
    found.map(|(instance, _, _)| instance)
}

fn move_step(instance: InstanceId, pool: PoolId) -> FleetStep {
    let goal = StepGoal::Move { pool };
    FleetStep::new(instance, InstanceChange::Drain { goal, force: false })
}
