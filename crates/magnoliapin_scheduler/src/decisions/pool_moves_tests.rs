//! Tests of the moves between pools, and a replay of queues that peak one after the other.

use std::collections::BTreeSet;

use magnoliapin_site::InstanceName;
use magnoliapin_site::PoolName;

use super::plan_pool_moves;
use super::MovePlan;
use super::PoolState;

fn instances(prefix: &str, count: usize) -> Vec<InstanceName> {
    (0..count).map(|number| InstanceName::new(&format!("{prefix}{number}"))).collect()
}

fn pool(name: &str, instances: usize, needed: usize, with_backlog: usize) -> PoolState {
    PoolState {
        name: PoolName::new(name),
        instances,
        needed,
        needed_with_backlog: with_backlog,
        ..PoolState::default()
    }
}

fn standby(idle: usize) -> PoolState {
    PoolState { is_standby: true, idle: instances("s", idle), ..pool("standby", idle, 0, 0) }
}

fn counts(plan: &MovePlan, name: &str) -> usize {
    plan.moves.iter().filter(|moved| moved.pool.as_str() == name).count()
}

#[test]
fn work_in_time_comes_before_backlog() {
    let pools = vec![pool("a", 4, 4, 40), pool("b", 4, 10, 10), standby(6)];
    let plan = plan_pool_moves(pools, 100);
    assert_eq!((counts(&plan, "a"), counts(&plan, "b")), (0, 6));
}

#[test]
fn backlog_gets_what_no_pool_needs() {
    let pools = vec![pool("a", 4, 4, 40), pool("b", 4, 5, 5), standby(6)];
    let plan = plan_pool_moves(pools, 100);
    assert_eq!((counts(&plan, "a"), counts(&plan, "b")), (5, 1));
    assert_eq!(plan.released, []);
}

/// Instances are released only where a pool holds more than it needs for work in time, and only as
/// many as are lacking.
#[test]
fn a_pool_releases_instances_that_it_holds_for_its_backlog() {
    let holder = PoolState { releasable: instances("r", 30), ..pool("a", 40, 25, 90) };
    let pools = vec![holder, pool("b", 4, 12, 12), standby(0)];
    let plan = plan_pool_moves(pools, 100);
    assert_eq!(plan.moves, []);
    assert_eq!(plan.released, instances("r", 8));
    let holder = PoolState { releasable: instances("r", 30), ..pool("a", 40, 40, 90) };
    let plan = plan_pool_moves(vec![holder, pool("b", 4, 12, 12), standby(0)], 100);
    assert_eq!(plan.released, [], "it needs all of them for work in time");
}

#[test]
fn the_number_of_moves_is_limited() {
    let plan = plan_pool_moves(vec![pool("b", 0, 50, 50), standby(50)], 7);
    assert_eq!(plan.moves.len(), 7);
}

#[test]
fn only_a_lasting_surplus_goes_to_standby() {
    let with_surplus = |has_lasting_surplus| PoolState {
        idle: instances("i", 5),
        has_lasting_surplus,
        ..pool("a", 10, 8, 8)
    };
    assert_eq!(plan_pool_moves(vec![with_surplus(false), standby(0)], 9).moves, []);
    let plan = plan_pool_moves(vec![with_surplus(true), standby(0)], 9);
    assert_eq!(counts(&plan, "standby"), 2);
}

/// Two queues that peak one after the other, each with twice the work that all instances can do.
/// Returns the work that was started in time, with or without the distinction of backlog.
fn replay_peaks(knows_backlog: bool) -> usize {
    const INSTANCES: usize = 40;
    /// Steps for which arrived work can still be started in time.
    const IN_TIME_STEPS: usize = 2;
    const PEAK_STEPS: usize = 10;
    let names = ["a", "b"];
    // Pool of each instance, and the step until which it is busy or moving.
    let mut pool_of = vec![2_usize; INSTANCES];
    let mut busy_until = [0_usize; INSTANCES];
    // Arrived units of work by pool, each with its step; one instance does a unit in a step.
    let mut waiting: [Vec<usize>; 2] = [Vec::new(), Vec::new()];
    let mut released: BTreeSet<usize> = BTreeSet::new();
    let mut in_time = 0;
    for step in 0..PEAK_STEPS * 3 {
        for (queue, waiting) in waiting.iter_mut().enumerate() {
            let is_peak = step / PEAK_STEPS == queue;
            waiting.extend(std::iter::repeat_n(step, if is_peak { INSTANCES * 2 } else { 1 }));
        }
        for instance in 0..INSTANCES {
            let pool = pool_of[instance];
            if pool == 2 || busy_until[instance] > step || released.contains(&instance) {
                continue;
            }
            // Newest first, so that as much as possible is in time.
            if let Some(arrived) = waiting[pool].pop() {
                in_time += usize::from(step - arrived < IN_TIME_STEPS);
                busy_until[instance] = step + 1;
            }
        }
        let name = |number: usize| InstanceName::new(&number.to_string());
        let states = (0..3).map(|number| {
            let members: Vec<usize> =
                (0..INSTANCES).filter(|member| pool_of[*member] == number).collect();
            let is_idle = |member: &usize| busy_until[*member] <= step;
            let waiting = waiting.get(number).map_or(&[][..], Vec::as_slice);
            let in_time = waiting.iter().filter(|at| step - **at < IN_TIME_STEPS).count();
            let all = waiting.len();
            let idle = members.iter().filter(|member| is_idle(member)).map(|member| name(*member));
            let busy = members.iter().filter(|member| !is_idle(member)).map(|member| name(*member));
            PoolState {
                name: PoolName::new(names.get(number).copied().unwrap_or("standby")),
                is_standby: number == 2,
                instances: members.len(),
                needed: if knows_backlog { in_time } else { all },
                needed_with_backlog: all,
                idle: idle.collect(),
                releasable: busy.collect(),
                has_lasting_surplus: false,
            }
        });
        let plan = plan_pool_moves(states.collect(), INSTANCES);
        let number = |name: &InstanceName| name.as_str().parse::<usize>().expect("a number");
        for moved in &plan.moves {
            let to = names.iter().position(|known| *known == moved.pool.as_str()).unwrap_or(2);
            pool_of[number(&moved.instance)] = to;
            busy_until[number(&moved.instance)] = step + 2;
        }
        released = plan.released.iter().map(number).collect();
    }
    in_time
}

#[test]
fn a_backlog_does_not_hold_the_instances_of_the_next_peak() {
    let (with, without) = (replay_peaks(true), replay_peaks(false));
    assert!(with * 2 > without * 3, "{with} units in time, {without} without the distinction");
}
