//! Tests of starting and stopping runs.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::RunId;
use magnoliapin_site::TargetRequest;

use crate::leader::crashes::tests::job_row;
use crate::leader::crashes::tests::running;
use crate::leader::crashes::tests::task;
use crate::leader::crashes::tests::JOB;
use crate::leader::previous_runs::tests::target_record;
use crate::leader::previous_runs::tests::FakeSite;
use crate::leader::target::ClockReading;
use crate::leader::target::Run;
use crate::leader::target::RunStage;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::NodeAction;

const KEY: TargetKey = TargetKey(77);
const RUN: RunId = RunId { task: task(JOB, 0), attempt: 1 };

/// Returns a leader with one run, in `stage`, on a target.
fn lead_with_run(stage: RunStage) -> (Leader, Outbox) {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    leader.add_job(JOB, job_row(false), None, false, &mut out);
    let mut target = Target::new(target_record("i-7", 1), out.now);
    target.clock = Some(ClockReading { clock_ms: 1, read_at: out.now });
    target.is_same_incarnation = true;
    let run = Run { stage, is_sent: false, confirmed_at: None, ..running(1, out.now) };
    target.add_run(RUN.task, run);
    leader.targets.insert(KEY, target);
    (leader, out)
}

/// Returns the number of starts that have been sent.
fn sent_starts(out: &mut Outbox) -> usize {
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    let is_start = |action: &&NodeAction| {
        matches!(action, NodeAction::Target { request: TargetRequest::Start { .. }, .. })
    };
    actions.iter().filter(is_start).count()
}

/// Asserts that `send` sends the start of a run, but not after a pause of the process until the store
/// has confirmed the leader again.
fn assert_held_after_pause(stage: RunStage, send: impl Fn(&mut Leader, &mut Outbox)) {
    let (mut leader, mut out) = lead_with_run(stage);
    out.now = out.now + Duration::from_secs(3);
    send(&mut leader, &mut out);
    assert_eq!(sent_starts(&mut out), 0, "{stage:?} after a pause");
    let run = &leader.targets[&KEY].runs[&RUN.task];
    assert!(run.stage == RunStage::Planned && !run.is_sent && leader.unrecorded.contains(&KEY));
    let now = out.now;
    leader.record_confirmation(now);
    leader.start_planned(KEY, RUN, &mut out);
    assert_eq!(sent_starts(&mut out), 1, "{stage:?} once the leader is confirmed");
}

/// Guards against a start that a replaced leader sends when it wakes from a pause, to the next
/// incarnation of the target, after its successor has run the task elsewhere.
#[test]
fn starts_wait_until_the_leader_is_confirmed_after_a_pause() {
    assert_held_after_pause(RunStage::Planned, |leader, out| leader.start_planned(KEY, RUN, out));
}

/// Guards against the same with a start that is repeated as its reply was lost.
#[test]
fn repeated_starts_wait_until_the_leader_is_confirmed_after_a_pause() {
    assert_held_after_pause(RunStage::Starting, |leader, out| {
        leader.due_orders.push((KEY, RUN.task));
        leader.poll_orders(out);
    });
}

/// A store that takes a second to answer confirms the leader often enough for starts.
#[test]
fn starts_are_sent_while_the_store_is_slow() {
    let (mut leader, mut out) = lead_with_run(RunStage::Planned);
    let sent_at: Moment = out.now;
    out.now = out.now + Duration::from_millis(1_000);
    leader.record_confirmation(sent_at);
    leader.start_planned(KEY, RUN, &mut out);
    assert_eq!(sent_starts(&mut out), 1);
}
