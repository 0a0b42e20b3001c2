//! Records that the demo's clients keep of the work they sent.

use std::time::Duration;

use magnoliapin_model::ErrorKind;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_model::WorkOutcome;
use magnoliapin_wire::JobState;

use crate::demo::deployment::QueueProfile;

/// Outcome of one piece of work as its client observed it.
#[derive(Clone, Debug)]
pub(crate) struct WorkRecord {
    /// Unique marker in the payload.
    pub(crate) marker: u64,
    /// Its queue.
    pub(crate) queue: &'static QueueProfile,
    /// Team whose key was sent; `None` for calls without a key.
    pub(crate) team: Option<TeamId>,
    /// Outcome of the call.
    pub(crate) call_outcome: CallOutcome,
}

/// Outcome of a call as its client observed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallOutcome {
    /// The request was answered.
    Answered {
        /// Time from the call to the complete reply.
        latency: Duration,
        /// Whether the reply's body equals the request's payload.
        matches_payload: bool,
    },
    /// The reply is an error, or cannot be parsed.
    Refused {
        /// Kind of the error.
        kind: ErrorKind,
        /// Whether the work ran.
        outcome: WorkOutcome,
    },
    /// The outcome is unknown, as no complete reply arrived; the work may have run.
    NoAnswer,
    /// The call was not sent to any entry.
    NotSent,
    /// The job was accepted.
    Accepted(JobRecord),
}

/// State of an accepted job as its client observed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct JobRecord {
    /// Identifier of the job.
    pub(crate) job: WorkId,
    /// First final state that was read; `None` if there was none before the deadline.
    pub(crate) final_state: Option<JobState>,
    /// Whether a later read returned another state.
    pub(crate) final_state_changed: bool,
}

impl JobRecord {
    /// Creates the record of a newly accepted job.
    pub(crate) fn new(job: WorkId) -> Self {
        Self { job, final_state: None, final_state_changed: false }
    }

    /// Records a state that was read.
    pub(crate) fn record_state(&mut self, state: JobState) {
        match self.final_state {
            None if state != JobState::Accepted => self.final_state = Some(state),
            Some(final_state) if final_state != state => self.final_state_changed = true,
            _ => {}
        }
    }
}
