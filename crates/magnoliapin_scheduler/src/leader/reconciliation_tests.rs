//! Tests of reconciling reported runs.

use std::time::Duration;

use magnoliapin_model::RowVersion;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::RunCompletion;
use magnoliapin_site::RunId;
use magnoliapin_site::RunOutcome;
use magnoliapin_site::RunReport;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetReply;

use crate::leader::crashes::tests::job_row;
use crate::leader::crashes::tests::running;
use crate::leader::crashes::tests::task;
use crate::leader::crashes::tests::JOB;
use crate::leader::job::TaskState;
use crate::leader::previous_runs::tests::target_record;
use crate::leader::previous_runs::tests::FakeSite;
use crate::leader::previous_runs::PreviousIncarnation;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;

const KEY: TargetKey = TargetKey(77);
const RUN: RunId = RunId { task: task(JOB, 0), attempt: 1 };
/// Start of the target's incarnation.
const STARTED_AT: UnixMillis = UnixMillis(1);

/// Returns a leader of a job with one task, and a target that has not reported.
fn lead_with_target() -> (Leader, Outbox) {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    leader.add_job(JOB, job_row(false), None, true, &mut out);
    let target = Target::new(target_record("i-7", STARTED_AT.0), out.now);
    leader.targets.insert(KEY, target);
    (leader, out)
}

/// Lets the previous leader have recorded the run on the target.
fn add_previous_run(leader: &mut Leader) {
    let incarnation = PreviousIncarnation {
        started_at: STARTED_AT,
        instance: None,
        runs: vec![RUN],
        orphans: Vec::new(),
        silent_for: Duration::ZERO,
    };
    leader.add_previous_incarnation(TargetName::new("i-7"), incarnation);
    leader.previous_runs_resolved = false;
}

/// Delivers a report that names no run in progress.
fn report(leader: &mut Leader, out: &mut Outbox, ended: &[RunId], has_more_completions: bool) {
    let completions = ended.iter().zip(1..).map(|(run, number)| RunCompletion {
        number,
        run: *run,
        outcome: RunOutcome::Done,
        checkpoint: None,
    });
    let report = RunReport {
        clock_ms: out.now.0 / 1_000,
        started_at: STARTED_AT,
        running: Vec::new(),
        completions: completions.collect(),
        has_more_completions,
    };
    let sent_at = out.now + Duration::from_millis(1);
    out.now = out.now + Duration::from_millis(50);
    leader.handle_heartbeat_reply(KEY, sent_at, &TargetReply::Report(report), out);
}

/// Returns the state of the task.
fn task_state(leader: &Leader) -> TaskState {
    let job = leader.job_keys.get(&JOB).and_then(|key| leader.jobs.get(key));
    job.and_then(|job| job.task(RUN.task)).expect("the task is open").state
}

/// Returns whether the completion of the run ends the job.
fn completion_ends_job(leader: &mut Leader, out: &mut Outbox) -> bool {
    report(leader, out, &[RUN], false);
    leader.jobs[&leader.job_keys[&JOB]].final_state.is_some()
}

/// Guards against runs that are started again after they were done, because the target has more
/// completions than it lists at a time.
#[test]
fn runs_that_a_cut_list_may_hide_are_not_lost() {
    let (mut leader, mut out) = lead_with_target();
    let job_key = leader.job_keys[&JOB];
    let step = leader.jobs.get_mut(&job_key).and_then(|job| job.step_mut(RUN.task));
    step.expect("a step").set_state(0, TaskState::Placed(KEY));
    let job = leader.jobs.get_mut(&job_key).and_then(|job| job.task_mut(RUN.task));
    job.expect("a task").attempt = RUN.attempt;
    let target = leader.targets.get_mut(&KEY).expect("the target");
    target.add_run(RUN.task, running(RUN.attempt, out.now));
    out.now = out.now + Duration::from_secs(1);
    for _ in 0..3 {
        report(&mut leader, &mut out, &[], true);
        assert_eq!(task_state(&leader), TaskState::Placed(KEY));
    }
    report(&mut leader, &mut out, &[], false);
    assert_eq!(task_state(&leader), TaskState::Waiting, "a complete report omits the run");
}

/// Guards against the same where a new leader gets the cut list with the first report of a target.
#[test]
fn inherited_runs_that_a_cut_list_may_hide_are_not_started_again() {
    let (mut leader, mut out) = lead_with_target();
    add_previous_run(&mut leader);
    report(&mut leader, &mut out, &[], true);
    assert_eq!(task_state(&leader), TaskState::Placed(KEY));
    assert!(completion_ends_job(&mut leader, &mut out));
}

/// Guards against the same where the report is that of a later incarnation, which a start of the previous
/// leader has reached.
#[test]
fn inherited_runs_that_a_later_incarnation_may_hide_are_not_started_again() {
    let (mut leader, mut out) = lead_with_target();
    add_previous_run(&mut leader);
    let previous = leader.previous_incarnations.get_mut(&TargetName::new("i-7"));
    previous.expect("the incarnation").started_at = UnixMillis(STARTED_AT.0 - 1);
    report(&mut leader, &mut out, &[], true);
    assert_eq!(task_state(&leader), TaskState::Placed(KEY));
    assert!(completion_ends_job(&mut leader, &mut out));
}

/// A run that was recorded and never began is started once all completions are listed.
#[test]
fn inherited_runs_that_a_complete_list_omits_are_started_again() {
    let (mut leader, mut out) = lead_with_target();
    add_previous_run(&mut leader);
    report(&mut leader, &mut out, &[], true);
    report(&mut leader, &mut out, &[], false);
    assert_eq!(task_state(&leader), TaskState::Waiting);
}

/// Guards against the same with runs of the previous leader that no row names.
#[test]
fn unrecorded_runs_that_a_cut_list_may_hide_are_waited_for() {
    let (mut leader, mut out) = lead_with_target();
    leader.previous_runs_resolved = false;
    leader.records.set_last_batch(RowVersion(1), None);
    report(&mut leader, &mut out, &[], true);
    leader.check_previous_runs(&out);
    assert!(leader.may_have_unrecorded_runs());
    report(&mut leader, &mut out, &[], false);
    leader.check_previous_runs(&out);
    assert!(!leader.may_have_unrecorded_runs());
}
