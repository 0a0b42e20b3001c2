//! State of a job, as reported to its client.

use std::fmt;

use magnoliapin_model::plain_data;

plain_data! {
    /// State of a job.
    #[derive(Copy, Eq, Hash)]
    pub enum JobState {
        /// Stored; no task has started yet.
        Queued,
        /// A task has started.
        Running,
        /// Every task has succeeded.
        Completed,
        /// A task has failed on as many attempts as its queue allows.
        Failed,
        /// Its client cancelled it.
        Cancelled,
    }
}

impl JobState {
    /// Returns whether the state is final.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

impl fmt::Display for JobState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        })
    }
}
