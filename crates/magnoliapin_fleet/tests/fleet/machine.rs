//! State machines of several entries against one simulated table, step by step.

use magnoliapin_fleet::InstanceState;
use magnoliapin_fleet::OperatorAnswer;
use magnoliapin_fleet::OperatorRequest;
use magnoliapin_fleet::StepRefusal;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;

use crate::runs;
use crate::world::FleetWorld;

/// Simulation steps within which the fleet settles after one operator request.
const SETTLE_STEPS: u64 = 1_200;
/// Instances of the pool `east`; each is tried as the canary at most once.
const MAX_CANARY_ATTEMPTS: u64 = 8;

/// Returns a simulation without faults in which every instance has its row.
fn settled_world(seed: u64) -> FleetWorld {
    let mut world = FleetWorld::new(seed, 3, runs::document(), runs::instances());
    world.run(300);
    assert_eq!(world.table.fleet.rows().count(), 24, "every instance has its row");
    world
}

fn request_move(world: &mut FleetWorld, dry_run: bool) {
    let instance = InstanceId::new("i-00").unwrap();
    let pool = PoolId::new("west").unwrap();
    world.send_operator_request(1, OperatorRequest::Move { instance, pool, force: true, dry_run });
}

/// Guards against moves that stay half done when every entry loses its state in the middle. The
/// simulated table checks counters, pools and budgets at each commit.
#[test]
fn committed_move_completes_after_all_entries_are_killed() {
    let mut states = Vec::new();
    for steps in (0..400).step_by(20) {
        let mut world = settled_world(7);
        request_move(&mut world, false);
        world.run(steps);
        let row = world.table.fleet.row(InstanceId::new("i-00").unwrap()).unwrap();
        states.push(row.state);
        let is_committed = row.goal.is_some() || row.pool == PoolId::new("west").unwrap();
        for entry in 0..3 {
            world.kill(entry);
        }
        world.run(SETTLE_STEPS);
        let row = world.table.fleet.row(InstanceId::new("i-00").unwrap()).unwrap();
        let pool = if is_committed { "west" } else { row.pool.as_str() };
        assert_eq!((row.state, row.pool.as_str()), (InstanceState::Serving, pool), "{steps}");
    }
    for state in [InstanceState::Draining, InstanceState::Moving, InstanceState::Joining] {
        assert!(states.contains(&state), "no kill in {state}: {states:?}");
    }
}

#[test]
fn dry_run_forecasts_the_pools_and_writes_nothing() {
    let mut world = settled_world(8);
    let commits = world.table.commits;
    request_move(&mut world, true);
    world.run(15);
    let Some(OperatorAnswer::Forecast { pools, .. }) = world.answers.last() else {
        panic!("{:?}", world.answers)
    };
    let after: Vec<u32> = pools.iter().map(|pool| pool.members_after).collect();
    assert_eq!(after, [7, 9]);
    let lease_commits = world.table.commits - commits;
    assert!(lease_commits <= 1, "{lease_commits} commits, expected at most one lease renewal");
}

#[test]
fn concurrent_operator_drains_stay_within_the_budget() {
    let mut world = settled_world(9);
    for (entry, name) in [(0, "i-00"), (1, "i-03"), (2, "i-06"), (0, "i-09")] {
        let instance = InstanceId::new(name).unwrap();
        world.send_operator_request(entry, OperatorRequest::Drain { instance, force: false });
    }
    world.run(80);
    let done = world.answers.iter().filter(|answer| **answer == OperatorAnswer::Done).count();
    let is_budget_refusal = |answer: &&OperatorAnswer| {
        matches!(answer, OperatorAnswer::Refused(StepRefusal::Budget { .. }))
    };
    let refused = world.answers.iter().filter(is_budget_refusal).count();
    assert_eq!((done, refused), (2, 2), "{:?}", world.answers);
}

#[test]
fn operator_requests_are_refused_while_the_platform_is_down() {
    let mut world = settled_world(10);
    world.start_outage(60_000);
    let instance = InstanceId::new("i-00").unwrap();
    world.send_operator_request(2, OperatorRequest::Drain { instance, force: false });
    world.run(100);
    assert_eq!(world.answers, [OperatorAnswer::Refused(StepRefusal::PlatformDown)]);
}

/// Returns how many instances of `east` run an image.
fn east_instances_with(world: &FleetWorld, image: &str) -> usize {
    let east = world.table.fleet.members(PoolId::new("east").unwrap());
    east.filter(|(_, _, row)| row.image == image).count()
}

fn request_and_run(world: &mut FleetWorld, request: OperatorRequest, steps: u64) {
    world.send_operator_request(2, request);
    world.run(50);
    assert_eq!(world.answers.last(), Some(&OperatorAnswer::Done), "{:?}", world.answers);
    world.run(steps);
}

/// Waits until one canary runs the new image and asserts that there are never more. A drain whose
/// tasks exceed the limit of 20 seconds is given up, so several instances may be drained in turn.
fn wait_for_canary(world: &mut FleetWorld) {
    for _ in 0..MAX_CANARY_ATTEMPTS * 20 {
        world.run(10);
        match east_instances_with(world, "two") {
            0 => {}
            1 => return,
            more => panic!("{more} instances run the new image before the canary is proven"),
        }
    }
    panic!("no canary after {MAX_CANARY_ATTEMPTS} attempts");
}

#[test]
fn rollout_is_paused_resumed_and_rolled_back_by_an_operator() {
    let mut world = settled_world(11);
    let pool = PoolId::new("east").unwrap();
    let mut document = world.document.clone();
    document.pools[&pool].image = "two".to_owned();
    world.set_document(document);
    world.run(600);
    assert_eq!(east_instances_with(&world, "two"), 1, "one canary, which is not proven yet");
    request_and_run(&mut world, OperatorRequest::PauseRollout { pool }, 3_000);
    assert_eq!(east_instances_with(&world, "two"), 1, "paused");
    request_and_run(&mut world, OperatorRequest::ResumeRollout { pool }, 6_000);
    assert_eq!(east_instances_with(&world, "two"), 8, "rolled out");
    request_and_run(&mut world, OperatorRequest::RollBack { pool }, 6_000);
    assert_eq!(east_instances_with(&world, "one"), 8, "rolled back");
    world.run(1_000);
    assert_eq!(east_instances_with(&world, "one"), 8, "does not start again by itself");
    request_and_run(&mut world, OperatorRequest::StartRollout { pool }, 0);
    wait_for_canary(&mut world);
}

#[test]
fn instances_of_a_removed_pool_move_to_the_spare_pool() {
    let mut world = settled_world(13);
    let mut document = world.document.clone();
    document.pools.shift_remove(&PoolId::new("west").unwrap());
    world.set_document(document);
    world.run(6_000);
    let extra = world.table.fleet.pool(PoolId::new("extra").unwrap()).row;
    assert_eq!(extra.members, 16, "{extra:?}");
}

#[test]
fn paused_maintenance_starts_no_reboots_and_resumes() {
    let mut world = settled_world(12);
    request_and_run(&mut world, OperatorRequest::PauseMaintenance { paused: true }, 20_000);
    let rebooted_count = |world: &FleetWorld| {
        let rows = world.table.fleet.rows();
        rows.filter(|(_, _, row)| row.run.0 > 1).count()
    };
    assert_eq!(rebooted_count(&world), 0, "maintenance is due after 15 minutes");
    request_and_run(&mut world, OperatorRequest::PauseMaintenance { paused: false }, 10_000);
    assert_eq!(rebooted_count(&world), 24);
    assert_eq!(world.overdue(), Vec::new());
}
