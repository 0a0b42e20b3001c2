//! Decides whether a job may be accepted, by what waits already.
//!
//! Load pattern: a team hands in jobs faster than they run, each inside the limits on requests. They
//! wait in the memory of the leader, their large inputs in the store; both are limited. Any node may
//! be the next leader and loads all of them, so the smallest machine sets the limit. One team must not
//! take all the room: the more room is taken, the less of it any team may have, so that a part always
//! remains for a team with few jobs.

use magnoliapin_model::ByteSize;
use magnoliapin_model::FairLimit;

use crate::job_size::JobSize;

#[cfg(test)]
#[path = "job_admission_tests.rs"]
mod tests;

/// Share of the memory of the smallest machine that waiting jobs may take.
const MEMORY_SHARE: u64 = 4;
/// Limit on the inputs that are kept apart from their jobs: half of what the store holds.
const STORED_INPUTS: ByteSize = ByteSize(200_000_000);

/// Limit on what waiting jobs take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct JobBudget {
    memory: FairLimit,
    /// Limit on the inputs that are kept apart from their jobs.
    input: FairLimit,
}

impl JobBudget {
    /// Creates the limit of a site whose smallest machine has this memory.
    pub(crate) fn new(smallest_memory: ByteSize) -> Self {
        let memory = FairLimit(ByteSize(smallest_memory.0 / MEMORY_SHARE));
        Self { memory, input: FairLimit(STORED_INPUTS) }
    }

    /// Returns whether a job may be accepted whose team has taken `of_team` of the `taken` room. A job
    /// that is alone is always accepted.
    pub(crate) fn admits(&self, job: JobSize, of_team: JobSize, taken: JobSize) -> bool {
        self.memory.admits(job.memory, of_team.memory, taken.memory)
            && self.input.admits(job.input, of_team.input, taken.input)
    }
}
