//! Tests of which observations the report counts as violations.

use std::time::Duration;

use magnoliapin_model::ErrorKind;
use magnoliapin_model::WorkId;
use magnoliapin_model::WorkOutcome;
use magnoliapin_standin::WorkCounts;
use magnoliapin_wire::JobState;

use crate::demo::deployment::QueueProfile;
use crate::demo::deployment::QUEUES;
use crate::demo::record::CallOutcome;
use crate::demo::record::JobRecord;
use crate::demo::record::WorkRecord;
use crate::demo::report::DemoReport;

fn queue(idempotent: bool) -> &'static QueueProfile {
    QUEUES.iter().find(|queue| queue.idempotent == idempotent).unwrap()
}

/// Builds the report of one piece of work with this outcome and this number of effects.
fn build_report(idempotent: bool, call_outcome: CallOutcome, effects: u32) -> DemoReport {
    let record = WorkRecord { marker: 1, queue: queue(idempotent), team: None, call_outcome };
    let counts = WorkCounts { starts: effects, effects };
    DemoReport::new(&[record], |_| counts, 1, 1)
}

fn answered(matches_payload: bool) -> CallOutcome {
    CallOutcome::Answered { latency: Duration::from_millis(40), matches_payload }
}

fn refused(outcome: WorkOutcome) -> CallOutcome {
    CallOutcome::Refused { kind: ErrorKind::Overloaded, outcome }
}

fn accepted(states: &[JobState]) -> CallOutcome {
    let mut job = JobRecord::new(WorkId(1));
    states.iter().for_each(|state| job.record_state(*state));
    CallOutcome::Accepted(job)
}

#[test]
fn an_answer_with_one_effect_is_no_violation() {
    let report = build_report(false, answered(true), 1);
    assert!(!report.has_violations());
    assert_eq!((report.answered, report.p50_ms, report.p99_ms), (1, 40, 40));
}

#[test]
fn a_second_effect_is_a_violation_only_for_non_idempotent_work() {
    assert_eq!(build_report(false, answered(true), 2).doubled, 1);
    assert!(build_report(false, answered(true), 2).has_violations());
    let rerun = build_report(true, answered(true), 2);
    assert_eq!((rerun.doubled, rerun.reruns, rerun.has_violations()), (0, 1, false));
}

#[test]
fn the_answer_of_another_request_is_a_violation() {
    let report = build_report(true, answered(false), 1);
    assert_eq!((report.wrong_answers, report.has_violations()), (1, true));
}

#[test]
fn an_effect_of_work_reported_as_not_run_is_a_violation() {
    assert!(!build_report(false, refused(WorkOutcome::NotRun), 0).has_violations());
    assert!(!build_report(false, refused(WorkOutcome::Unknown), 1).has_violations());
    let report = build_report(false, refused(WorkOutcome::NotRun), 1);
    assert_eq!((report.not_run_but_ran, report.has_violations()), (1, true));
    assert!(build_report(false, CallOutcome::NotSent, 1).has_violations());
}

#[test]
fn accepted_jobs_without_a_final_state_or_an_effect_are_lost() {
    assert_eq!(build_report(false, accepted(&[]), 1).lost, 1);
    assert_eq!(build_report(false, accepted(&[JobState::Accepted]), 0).lost, 1);
    assert_eq!(build_report(false, accepted(&[JobState::Finished]), 0).lost, 1);
    assert!(!build_report(false, accepted(&[JobState::Finished]), 1).has_violations());
    assert!(!build_report(false, accepted(&[JobState::Unknown]), 0).has_violations());
}

#[test]
fn a_job_whose_final_state_changes_counts_as_doubled() {
    let call_outcome = accepted(&[JobState::Accepted, JobState::Finished, JobState::Finished]);
    assert_eq!(build_report(true, call_outcome, 1).doubled, 0);
    assert_eq!(build_report(true, accepted(&[JobState::Failed, JobState::Finished]), 1).doubled, 1);
}
