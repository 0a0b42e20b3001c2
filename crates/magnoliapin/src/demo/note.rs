//! What the callers of the demo note of their own work.

use std::time::Duration;

use magnoliapin_model::ErrorKind;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_model::WorkOutcome;
use magnoliapin_wire::JobState;

use crate::demo::deployment::QueueProfile;

/// What became of one piece of work, in the eyes of its caller.
#[derive(Clone, Debug)]
pub(crate) struct WorkNote {
    /// Marker in its payload.
    pub(crate) marker: u64,
    /// Its queue.
    pub(crate) queue: &'static QueueProfile,
    /// Team whose key came with it; none if no key came.
    pub(crate) team: Option<TeamId>,
    /// What the caller was told.
    pub(crate) told: CallerTold,
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallerTold {
    /// The request was answered.
    Answered {
        /// Time from the call to the whole answer.
        latency: Duration,
        /// Whether the answer is that of this request, whole.
        is_own: bool,
    },
    /// The work was refused or failed.
    Refused {
        /// Kind of the error.
        kind: ErrorKind,
        /// Whether the work ran.
        outcome: WorkOutcome,
    },
    /// The call has no answer; the work may have run.
    NoAnswer,
    /// No entry took a connection.
    NotSent,
    /// The job was accepted.
    Accepted(JobNote),
}

/// What a caller knows of an accepted job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct JobNote {
    /// The job.
    pub(crate) job: WorkId,
    /// The end that was read first; none if it had none in time.
    pub(crate) end: Option<JobState>,
    /// Whether a later read told another end.
    pub(crate) ended_twice: bool,
}

impl JobNote {
    /// Makes the note of a job that was just accepted.
    pub(crate) fn new(job: WorkId) -> Self {
        Self { job, end: None, ended_twice: false }
    }

    /// Notes a state that was read.
    pub(crate) fn read(&mut self, state: JobState) {
        match self.end {
            None if state != JobState::Accepted => self.end = Some(state),
            Some(end) if end != state => self.ended_twice = true,
            _ => {}
        }
    }
}
