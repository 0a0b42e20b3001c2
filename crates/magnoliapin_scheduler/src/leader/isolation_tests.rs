//! Tests of where tasks start that run apart from others.

use std::time::Duration;

use magnoliapin_model::UnixMillis;
use magnoliapin_site::PoolName;
use magnoliapin_site::RunReport;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;

use crate::leader::crashes::tests::job_row;
use crate::leader::crashes::tests::task;
use crate::leader::crashes::tests::JOB;
use crate::leader::job::TaskState;
use crate::leader::previous_runs::tests::target_record;
use crate::leader::previous_runs::tests::FakeSite;
use crate::leader::target::HeartbeatState;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::rows::TaskCrash;
use crate::NodeAction;

/// Returns a report without runs.
fn report(out: &Outbox) -> TargetReply {
    TargetReply::Report(RunReport {
        clock_ms: out.now.0 / 1_000,
        started_at: UnixMillis(1),
        running: Vec::new(),
        completions: Vec::new(),
        has_more_completions: false,
    })
}

/// Delivers a report without runs as the answer to the heartbeat in flight.
fn answer(leader: &mut Leader, key: TargetKey, out: &mut Outbox) {
    let HeartbeatState::InFlight(_, sent_at) = leader.targets[&key].heartbeat else {
        panic!("no heartbeat is in flight");
    };
    leader.handle_heartbeat_reply(key, sent_at, &report(out), out);
}

/// Returns the waits that the heartbeats sent since the last call ask for.
fn heartbeat_waits(out: &mut Outbox) -> Vec<Duration> {
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    let waits = actions.iter().filter_map(|action| match action {
        NodeAction::Target { request: TargetRequest::Heartbeat { wait, .. }, .. } => Some(*wait),
        _ => None,
    });
    waits.collect()
}

/// Guards against a start of a suspect that is sent to a target which has been cut off since its last answer: it is
/// lost, and the task is charged with the crash behind the cut (reborn-behind-cut, seed 1).
#[test]
fn suspects_start_only_on_targets_that_have_just_answered() {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    let pool = PoolName::new("pool");
    leader.add_job(JOB, job_row(false), None, false, &mut out);
    let job = leader.job_keys[&JOB];
    let name = task(JOB, 0);
    let suspect = leader.jobs.get_mut(&job).and_then(|job| job.open_task_mut(name));
    let crash =
        TaskCrash { attempt: 1, incarnation: UnixMillis(7), is_shared: false, is_explained: false };
    suspect.expect("the task is open").crashes.push(crash);
    leader.crashed_tasks.insert(name);
    leader.apply_record(target_record("i-7", 1), &mut out);
    let key = leader.target_keys[&TargetName::new("i-7")];
    leader.send_heartbeat(key, &mut out);
    answer(&mut leader, key, &mut out);
    heartbeat_waits(&mut out);
    let state = |leader: &Leader| leader.jobs[&job].task(name).map(|task| task.state);
    out.now = out.now + Duration::from_secs(2);
    for _ in 0..2 {
        let mut candidates = leader.candidate_targets(&pool, out.now);
        assert_eq!(candidates.len(), 1);
        leader.place_isolated(&pool, &mut candidates, &mut out);
        assert_eq!(state(&leader), Some(TaskState::Waiting));
    }
    assert_eq!(heartbeat_waits(&mut out), [Duration::ZERO], "the target is asked once");
    answer(&mut leader, key, &mut out);
    heartbeat_waits(&mut out);
    let mut candidates = leader.candidate_targets(&pool, out.now);
    leader.place_isolated(&pool, &mut candidates, &mut out);
    assert_eq!(state(&leader), Some(TaskState::Placed(key)));
}

/// Guards against a second series of heartbeats to a target, begun by the answer to one that has been replaced by the
/// question whether it is up.
#[test]
fn answers_to_replaced_heartbeats_begin_no_series_of_their_own() {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    leader.apply_record(target_record("i-7", 1), &mut out);
    let key = leader.target_keys[&TargetName::new("i-7")];
    leader.send_heartbeat(key, &mut out);
    answer(&mut leader, key, &mut out);
    let HeartbeatState::InFlight(_, replaced_at) = leader.targets[&key].heartbeat else {
        panic!("no heartbeat is in flight");
    };
    out.now = out.now + Duration::from_secs(1);
    assert!(!leader.is_certainly_up(key, &mut out));
    answer(&mut leader, key, &mut out);
    heartbeat_waits(&mut out);
    out.now = out.now + Duration::from_millis(500);
    leader.handle_heartbeat_reply(key, replaced_at, &report(&out), &mut out);
    assert!(heartbeat_waits(&mut out).is_empty());
}
