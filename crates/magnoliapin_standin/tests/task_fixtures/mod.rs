//! Task fixtures shared by several tests.

use magnoliapin_model::Attempt;
use magnoliapin_model::EntryId;
use magnoliapin_model::QueueId;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_wire::StartTask;

/// Returns the task of the first attempt at a piece of work.
pub(crate) fn task_id(work: u128) -> TaskId {
    TaskId::new(WorkId(work), Attempt(1))
}

/// Returns a request to start a task with a lease of 10 s.
pub(crate) fn start_request(
    work: u128,
    incarnation: TargetIncarnation,
    payload: &str,
) -> StartTask {
    StartTask {
        task: task_id(work),
        entry: EntryId(5),
        run: incarnation,
        team: TeamId::new("walks").expect("a name"),
        queue: QueueId::new("booking").expect("a name"),
        lease_ms: 10_000,
        max_run_ms: 60_000,
        payload: payload.as_bytes().to_vec(),
    }
}
