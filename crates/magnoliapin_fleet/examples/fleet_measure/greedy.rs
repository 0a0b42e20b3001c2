//! A greedy planner: it moves at once to wherever work waits, and back to the spare pool.

use indexmap::IndexMap;
use magnoliapin_fleet::FleetSnapshot;
use magnoliapin_fleet::FleetStep;
use magnoliapin_fleet::InstanceChange;
use magnoliapin_fleet::InstanceState;
use magnoliapin_fleet::StepGoal;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;

/// Returns moves that bring each pool to what it is asked for in this moment; `asked` has the
/// instances' worth of work that waits or arrives.
pub(crate) fn moves(
    snapshot: &FleetSnapshot,
    document: &ConfigDocument,
    asked: &IndexMap<PoolId, f64>,
) -> Vec<FleetStep> {
    let spare = document.pools.iter().find(|(_, section)| section.spare).map(|(pool, _)| *pool);
    let Some(spare) = spare else { return Vec::new() };
    let mut steps = Vec::new();
    for (pool, asked) in asked {
        let members = f64::from(snapshot.pool(*pool).row.members);
        let floor = f64::from(document.pools[pool].instances);
        let wanted = asked.ceil().max(floor);
        if wanted > members {
            steps.extend(first_serving(snapshot, spare).map(|instance| drain(instance, *pool)));
        }
        if wanted < members {
            steps.extend(first_serving(snapshot, *pool).map(|instance| drain(instance, spare)));
        }
    }
    steps
}

fn first_serving(snapshot: &FleetSnapshot, pool: PoolId) -> Option<InstanceId> {
    let mut members = snapshot.members(pool);
    let found = members.find(|(_, _, row)| row.state == InstanceState::Serving);
    found.map(|(instance, _, _)| instance)
}

fn drain(instance: InstanceId, pool: PoolId) -> FleetStep {
    let goal = StepGoal::Move { pool };
    FleetStep::new(instance, InstanceChange::Drain { goal, force: false })
}
