//! What the demo counts as broken.

use std::time::Duration;

use magnoliapin_model::ErrorKind;
use magnoliapin_model::WorkId;
use magnoliapin_model::WorkOutcome;
use magnoliapin_standin::WorkCounts;
use magnoliapin_wire::JobState;

use crate::demo::deployment::QueueProfile;
use crate::demo::deployment::QUEUES;
use crate::demo::note::CallerTold;
use crate::demo::note::JobNote;
use crate::demo::note::WorkNote;
use crate::demo::report::DemoReport;

fn queue(idempotent: bool) -> &'static QueueProfile {
    QUEUES.iter().find(|queue| queue.idempotent == idempotent).unwrap()
}

/// Judges one piece of work of which a caller was told this and the effect happened so often.
fn judge(idempotent: bool, told: CallerTold, effects: u32) -> DemoReport {
    let note = WorkNote { marker: 1, queue: queue(idempotent), team: None, told };
    let counts = WorkCounts { starts: effects, effects };
    DemoReport::new(&[note], |_| counts, 1, 1)
}

fn answered(is_own: bool) -> CallerTold {
    CallerTold::Answered { latency: Duration::from_millis(40), is_own }
}

fn refused(outcome: WorkOutcome) -> CallerTold {
    CallerTold::Refused { kind: ErrorKind::Overloaded, outcome }
}

fn ended(states: &[JobState]) -> CallerTold {
    let mut job = JobNote::new(WorkId(1));
    states.iter().for_each(|state| job.read(*state));
    CallerTold::Accepted(job)
}

#[test]
fn an_answer_with_one_effect_is_well() {
    let report = judge(false, answered(true), 1);
    assert!(!report.is_broken());
    assert_eq!((report.answered, report.p50_ms, report.p99_ms), (1, 40, 40));
}

#[test]
fn a_second_effect_breaks_only_work_that_may_not_run_twice() {
    assert_eq!(judge(false, answered(true), 2).doubled, 1);
    assert!(judge(false, answered(true), 2).is_broken());
    let rerun = judge(true, answered(true), 2);
    assert_eq!((rerun.doubled, rerun.reruns, rerun.is_broken()), (0, 1, false));
}

#[test]
fn the_answer_of_another_request_is_broken() {
    let report = judge(true, answered(false), 1);
    assert_eq!((report.wrong_answers, report.is_broken()), (1, true));
}

#[test]
fn a_refusal_that_says_not_run_must_be_true() {
    assert!(!judge(false, refused(WorkOutcome::NotRun), 0).is_broken());
    assert!(!judge(false, refused(WorkOutcome::Unknown), 1).is_broken());
    let report = judge(false, refused(WorkOutcome::NotRun), 1);
    assert_eq!((report.not_run_but_ran, report.is_broken()), (1, true));
    assert!(judge(false, CallerTold::NotSent, 1).is_broken());
}

#[test]
fn an_accepted_job_without_an_end_or_an_effect_is_lost() {
    assert_eq!(judge(false, ended(&[]), 1).lost, 1);
    assert_eq!(judge(false, ended(&[JobState::Accepted]), 0).lost, 1);
    assert_eq!(judge(false, ended(&[JobState::Finished]), 0).lost, 1);
    assert!(!judge(false, ended(&[JobState::Finished]), 1).is_broken());
    assert!(!judge(false, ended(&[JobState::Unknown]), 0).is_broken());
}

#[test]
fn a_job_that_ends_twice_is_doubled() {
    let told = ended(&[JobState::Accepted, JobState::Finished, JobState::Finished]);
    assert_eq!(judge(true, told, 1).doubled, 0);
    assert_eq!(judge(true, ended(&[JobState::Failed, JobState::Finished]), 1).doubled, 1);
}
