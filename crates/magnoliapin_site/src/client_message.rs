//! What clients ask and what they are told.

use std::time::Duration;

use crate::JobSpec;
use crate::JobState;

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Host that it addressed.
    pub host: String,
    /// Path that it addressed.
    pub path: String,
    /// Key that it presented.
    pub key: Option<String>,
    /// How long the client waits for the answer; `None` if it set no limit.
    pub timeout: Option<Duration>,
    /// What it asks for.
    pub action: ClientAction,
}

/// What a client asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAction {
    /// Submits a job; an error says why the body describes none.
    Submit(Result<Box<JobSpec>, String>),
    /// Reads a job's state, or how many jobs of a queue wait.
    Read,
    /// Cancels a job.
    Cancel,
}

/// What a client is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientAnswer {
    /// The job is stored.
    Accepted,
    /// State of a job.
    State(JobState),
    /// Number of jobs of a queue none of whose tasks has started.
    Waiting(u64),
    /// The job is cancelled, or was over already.
    Cancelled,
    /// No such job is known.
    UnknownJob,
    /// No queue has this address.
    UnknownQueue,
    /// The key is missing or not valid.
    BadKey,
    /// The request makes no sense; says why.
    BadRequest(String),
    /// Nothing was done.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When the client should try again.
        retry_after: Duration,
    },
    /// Whether the change was made is not known; the same request can be sent again.
    OutcomeUnknown,
}

/// Why nothing was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The node has no configuration yet.
    NoConfig,
    /// The store cannot be reached or takes no writes.
    StoreUnavailable,
    /// Too much is waiting here.
    Overloaded,
}
