//! Tests of jobs with many occurrences.

use std::time::Duration;

use magnoliapin_model::UnixMillis;
use magnoliapin_site::JobSchedule;
use magnoliapin_site::TaskName;

use crate::job_size::JobSize;
use crate::job_size::MAX_OPEN_TASKS;
use crate::leader::crashes::tests::job_row_with;
use crate::leader::crashes::tests::JOB;
use crate::leader::job::TaskState;
use crate::leader::previous_runs::tests::FakeSite;

const TASKS: u32 = 4_000;

/// Guards against occurrences that are all due and open at the same time, and against those that wait
/// for ever.
#[test]
fn occurrences_beyond_the_limit_open_as_others_are_done() {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    let mut row = job_row_with(TASKS, false);
    row.spec.schedule =
        Some(JobSchedule { first_at: UnixMillis(1), period_ms: 0, occurrences: 10_000 });
    let size = JobSize::new(&row.spec, None);
    assert!(size.memory.0 < 2 * MAX_OPEN_TASKS * 200, "{size:?}");
    leader.add_job(JOB, row, None, false, &mut out);
    let key = leader.job_keys[&JOB];
    let open = |leader: &crate::leader::Leader| -> Vec<u32> {
        leader.jobs[&key].occurrences.iter().map(|open| open.number).collect()
    };
    assert_eq!(open(&leader), [0, 1]);
    for index in 0..TASKS {
        let name = TaskName { job: JOB, occurrence: 0, step: 0, index };
        let step = leader.jobs.get_mut(&key).and_then(|job| job.step_mut(name));
        step.expect("the step is open").set_state(index, TaskState::Done);
    }
    let job = leader.jobs.get_mut(&key).expect("the job is open");
    job.occurrences.retain(|occurrence| !occurrence.is_done());
    job.done_occurrences += 1;
    leader.poll_occurrences(&mut out);
    assert_eq!(open(&leader), [1, 2]);
}
