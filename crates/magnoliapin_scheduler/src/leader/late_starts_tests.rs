//! Tests of starts without a reply that outlast the leader which sent them.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::CallFailure;
use magnoliapin_site::RunId;
use magnoliapin_site::RunReport;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetReply;

use crate::leader::crashes::tests::job_row;
use crate::leader::crashes::tests::running;
use crate::leader::crashes::tests::task;
use crate::leader::crashes::tests::JOB;
use crate::leader::job::TaskState;
use crate::leader::previous_runs::tests::target_record;
use crate::leader::previous_runs::tests::FakeSite;
use crate::leader::registrations::TargetLoss;
use crate::leader::target::HeartbeatState;
use crate::leader::target::Run;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::AssignmentBatchRow;
use crate::rows::LateStartRow;
use crate::times::MAX_INHERITED_SERVICE_WAIT;
use crate::NodeAction;

const KEY: TargetKey = TargetKey(77);
const RUN: RunId = RunId { task: task(JOB, 0), attempt: 1 };

/// Returns a leader that has started the only task of a job on a target.
fn leader_with_run(long_running: bool) -> (Leader, Outbox) {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    leader.add_job(JOB, job_row(long_running), None, false, &mut out);
    let mut target = Target::new(target_record("i-7", 5), out.now);
    let is_long_running = long_running;
    let start_sent_at = Some(out.now);
    let open_starts = 1;
    let run = Run { is_long_running, open_starts, start_sent_at, ..running(1, out.now) };
    target.add_run(RUN.task, run);
    leader.targets.insert(KEY, target);
    leader.target_keys.insert(TargetName::new("i-7"), KEY);
    let job = leader.job_keys[&JOB];
    let task = leader.jobs.get_mut(&job).and_then(|job| job.task_mut(RUN.task));
    let task = task.expect("the task is open");
    (task.state, task.attempt) = (TaskState::Placed(KEY), RUN.attempt);
    (leader, out)
}

/// Returns the starts that the leader lists in the row of its next batch; `None` if it sends none.
fn recorded_starts(leader: &mut Leader, out: &mut Outbox) -> Option<Vec<LateStartRow>> {
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    actions.clear();
    leader.record_assignments(out);
    out.take_actions(&mut actions);
    let rows = actions.into_iter().filter_map(|action| match action {
        NodeAction::Store { request: StoreRequest::Commit(transaction), .. } => {
            let batch = transaction.writes.into_iter().find(|(row, _)| row.key == rows::BATCH_KEY);
            batch.map(|(_, value)| value)
        }
        _ => None,
    });
    let row = rows.last()?;
    rows::decode_extended::<AssignmentBatchRow, _>(&row).map(|(_, starts)| starts)
}

/// Returns the moment from which a next leader starts the task again, counted from its takeover.
fn inherited_wait(starts: Vec<LateStartRow>, long_running: bool) -> Option<(Leader, Duration)> {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    leader.add_job(JOB, job_row(long_running), None, true, &mut out);
    leader.inherited_late_starts = starts;
    leader.inherit_late_starts(out.now);
    let lost_at = task_of(&leader)?;
    let wait = lost_at.since(leader.acquired_at);
    Some((leader, wait))
}

fn task_of(leader: &Leader) -> Option<Moment> {
    let job = &leader.jobs[&leader.job_keys[&JOB]];
    job.task(RUN.task).and_then(|task| task.lost_at)
}

/// Guards against two runs of a task (review/15): its target is gone, a start of it has no reply, and the
/// leader that waits for that start ends.
#[test]
fn the_next_leader_waits_for_starts_of_lost_runs() {
    let (mut leader, mut out) = leader_with_run(false);
    out.now = out.now + Duration::from_secs(2);
    leader.remove_target(KEY, TargetLoss::Unhosted, &mut out);
    let starts = recorded_starts(&mut leader, &mut out).expect("a batch is due");
    let (next, wait) = inherited_wait(starts, false).expect("the task waits");
    assert_eq!(wait, Duration::from_secs(10));
    // It lists the start for the leader after it.
    assert!(next.late_starts.must_record(next.acquired_at + Duration::from_secs(2)));
}

/// Guards against the same where the leader ends before it knows that the target is gone.
#[test]
fn the_next_leader_waits_for_starts_without_a_reply() {
    for (long_running, expected) in
        [(false, Duration::from_millis(11_500)), (true, MAX_INHERITED_SERVICE_WAIT)]
    {
        let (mut leader, mut out) = leader_with_run(long_running);
        let failed = TargetReply::Failed(CallFailure::Unknown);
        leader.handle_start_reply(KEY, RUN, &failed, &mut out);
        out.now = out.now + Duration::from_millis(500);
        let starts = recorded_starts(&mut leader, &mut out).expect("a batch is due");
        let (mut next, wait) = inherited_wait(starts, long_running).expect("the task waits");
        assert_eq!(wait, expected);
        // A target that has reported under the next leader's fence refuses the start.
        let now = next.acquired_at + Duration::from_secs(1);
        next.end_wait_for_late_starts(&TargetName::new("i-7"), now);
        assert_eq!(task_of(&next), Some(now));
    }
}

/// Guards against a wait that the report of the next incarnation ends, although the target restarts once more
/// before the start arrives.
#[test]
fn reports_of_restarted_targets_end_no_wait() {
    let (mut leader, mut out) = leader_with_run(false);
    leader.remove_target(KEY, TargetLoss::Unhosted, &mut out);
    let lost_at = task_of(&leader).expect("the task waits");
    assert!(lost_at > out.now + Duration::from_secs(11));
    leader.apply_record(target_record("i-7", 6), &mut out);
    let key = leader.target_keys[&TargetName::new("i-7")];
    let report = RunReport { started_at: UnixMillis(6), ..RunReport::default() };
    let sent_at = out.now;
    leader.targets[&key].heartbeat = HeartbeatState::InFlight(out.next_call(), sent_at);
    leader.handle_heartbeat_reply(key, sent_at, &TargetReply::Report(report), &mut out);
    assert!(leader.targets[&key].has_reported);
    assert_eq!(task_of(&leader), Some(lost_at));
}

/// Starts that have a reply, or whose time is over, are not listed.
#[test]
fn starts_that_cannot_be_late_are_not_recorded() {
    let (mut leader, mut out) = leader_with_run(false);
    leader.handle_start_reply(KEY, RUN, &TargetReply::Done { clock_ms: 1 }, &mut out);
    assert!(!leader.late_starts.must_record(out.now));
    leader.late_starts.add_unanswered(RUN.task, TargetName::new("i-7"), out.now, out.now);
    out.now = out.now + Duration::from_millis(500);
    let starts = recorded_starts(&mut leader, &mut out).expect("a batch is due");
    assert_eq!(starts, []);
}
