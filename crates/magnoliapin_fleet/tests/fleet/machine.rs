//! The machines of several entries against a tiny table, step by step.

use magnoliapin_fleet::InstanceState;
use magnoliapin_fleet::OperatorAnswer;
use magnoliapin_fleet::OperatorRequest;
use magnoliapin_fleet::StepRefusal;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;

use crate::runs;
use crate::world::TinyWorld;

/// Steps in which a fleet comes to rest after one operator's step.
const REST_STEPS: u64 = 1_200;
/// Instances of the pool `east`; each is tried as the canary once at the most.
const MOST_CANARY_TRIES: u64 = 8;

fn quiet_world(seed: u64) -> TinyWorld {
    let mut world = TinyWorld::new(seed, 3, runs::document(), runs::instances());
    world.run(300);
    assert_eq!(world.table.fleet.rows().count(), 24, "every instance has its row");
    world
}

fn ask_move(world: &mut TinyWorld, dry_run: bool) {
    let instance = InstanceId::new("i-00").unwrap();
    let pool = PoolId::new("west").unwrap();
    world.ask(1, OperatorRequest::Move { instance, pool, force: true, dry_run });
}

/// Counters, pools and budgets are checked by the table at each commit.
#[test]
fn move_ends_in_one_pool_whenever_all_entries_are_killed() {
    let mut states = Vec::new();
    for steps in (0..400).step_by(20) {
        let mut world = quiet_world(7);
        ask_move(&mut world, false);
        world.run(steps);
        let row = world.table.fleet.row(InstanceId::new("i-00").unwrap()).unwrap();
        states.push(row.state);
        let was_taken = row.goal.is_some() || row.pool == PoolId::new("west").unwrap();
        for entry in 0..3 {
            world.kill(entry);
        }
        world.run(REST_STEPS);
        let row = world.table.fleet.row(InstanceId::new("i-00").unwrap()).unwrap();
        let pool = if was_taken { "west" } else { row.pool.as_str() };
        assert_eq!((row.state, row.pool.as_str()), (InstanceState::Serving, pool), "{steps}");
    }
    for state in [InstanceState::Draining, InstanceState::Moving, InstanceState::Joining] {
        assert!(states.contains(&state), "no kill in {state}: {states:?}");
    }
}

#[test]
fn dry_run_tells_the_pools_and_writes_nothing() {
    let mut world = quiet_world(8);
    let commits = world.table.commits;
    ask_move(&mut world, true);
    world.run(15);
    let Some(OperatorAnswer::Forecast { pools, .. }) = world.answers.last() else {
        panic!("{:?}", world.answers)
    };
    let after: Vec<u32> = pools.iter().map(|pool| pool.members_after).collect();
    assert_eq!(after, [7, 9]);
    let leases = world.table.commits - commits;
    assert!(leases <= 1, "only the lease is renewed, not {leases} commits");
}

#[test]
fn drains_of_two_operators_at_once_stay_inside_the_budget() {
    let mut world = quiet_world(9);
    for (entry, name) in [(0, "i-00"), (1, "i-03"), (2, "i-06"), (0, "i-09")] {
        let instance = InstanceId::new(name).unwrap();
        world.ask(entry, OperatorRequest::Drain { instance, force: false });
    }
    world.run(80);
    let done = world.answers.iter().filter(|answer| **answer == OperatorAnswer::Done).count();
    let is_budget = |answer: &&OperatorAnswer| {
        matches!(answer, OperatorAnswer::Refused(StepRefusal::Budget { .. }))
    };
    let refused = world.answers.iter().filter(is_budget).count();
    assert_eq!((done, refused), (2, 2), "{:?}", world.answers);
}

#[test]
fn operators_are_answered_while_the_platform_is_down() {
    let mut world = quiet_world(10);
    world.cut(60_000);
    let instance = InstanceId::new("i-00").unwrap();
    world.ask(2, OperatorRequest::Drain { instance, force: false });
    world.run(100);
    assert_eq!(world.answers, [OperatorAnswer::Refused(StepRefusal::PlatformDown)]);
}

/// Returns how many instances of `east` run an image.
fn east_with(world: &TinyWorld, image: &str) -> usize {
    let east = world.table.fleet.members(PoolId::new("east").unwrap());
    east.filter(|(_, _, row)| row.image == image).count()
}

fn ask_and_run(world: &mut TinyWorld, request: OperatorRequest, steps: u64) {
    world.ask(2, request);
    world.run(50);
    assert_eq!(world.answers.last(), Some(&OperatorAnswer::Done), "{:?}", world.answers);
    world.run(steps);
}

/// Waits for the canary, which never is more than one. A drain whose work outlives its bound is
/// given up, so several instances may be tried, each for at most the bound of 20 seconds.
fn wait_for_canary(world: &mut TinyWorld) {
    for _ in 0..MOST_CANARY_TRIES * 20 {
        world.run(10);
        match east_with(world, "two") {
            0 => {}
            1 => return,
            more => panic!("{more} instances run the new image before the canary was watched"),
        }
    }
    panic!("no canary after {MOST_CANARY_TRIES} tries");
}

#[test]
fn rollout_is_paused_resumed_and_rolled_back_by_an_operator() {
    let mut world = quiet_world(11);
    let pool = PoolId::new("east").unwrap();
    let mut document = world.document.clone();
    document.pools[&pool].image = "two".to_owned();
    world.apply(document);
    world.run(600);
    assert_eq!(east_with(&world, "two"), 1, "one canary, which is still watched");
    ask_and_run(&mut world, OperatorRequest::PauseRollout { pool }, 3_000);
    assert_eq!(east_with(&world, "two"), 1, "paused");
    ask_and_run(&mut world, OperatorRequest::ResumeRollout { pool }, 6_000);
    assert_eq!(east_with(&world, "two"), 8, "rolled out");
    ask_and_run(&mut world, OperatorRequest::RollBack { pool }, 6_000);
    assert_eq!(east_with(&world, "one"), 8, "rolled back");
    world.run(1_000);
    assert_eq!(east_with(&world, "one"), 8, "does not start again by itself");
    ask_and_run(&mut world, OperatorRequest::StartRollout { pool }, 0);
    wait_for_canary(&mut world);
}

#[test]
fn instances_of_a_pool_that_was_removed_move_to_the_spare_pool() {
    let mut world = quiet_world(13);
    let mut document = world.document.clone();
    document.pools.shift_remove(&PoolId::new("west").unwrap());
    world.apply(document);
    world.run(6_000);
    let extra = world.table.fleet.pool(PoolId::new("extra").unwrap()).row;
    assert_eq!(extra.members, 16, "{extra:?}");
}

#[test]
fn paused_maintenance_starts_nothing_and_resumes() {
    let mut world = quiet_world(12);
    ask_and_run(&mut world, OperatorRequest::PauseMaintenance { paused: true }, 20_000);
    let reboots = |world: &TinyWorld| {
        let rows = world.table.fleet.rows();
        rows.filter(|(_, _, row)| row.run.0 > 1).count()
    };
    assert_eq!(reboots(&world), 0, "due since 15 minutes");
    ask_and_run(&mut world, OperatorRequest::PauseMaintenance { paused: false }, 10_000);
    assert_eq!(reboots(&world), 24);
    assert_eq!(world.overdue(), Vec::new());
}
