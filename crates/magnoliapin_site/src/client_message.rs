//! Requests of clients and the replies to them.

use std::time::Duration;

use crate::JobSpec;
use crate::JobState;

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Host name of the request, which selects the queue together with the path.
    pub host: String,
    /// Path of the request, without the query.
    pub path: String,
    /// API key of the request; `None` if it carries none.
    pub key: Option<String>,
    /// How long the client waits for the reply; `None` if it set no limit.
    pub timeout: Option<Duration>,
    /// The requested action.
    pub action: ClientAction,
}

/// The action that a client requests.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAction {
    /// Submits a job; the error describes why the body is not a valid job.
    Submit(Result<Box<JobSpec>, String>),
    /// Reads the state of a job, or the number of waiting jobs of a queue.
    Read,
    /// Cancels a job.
    Cancel,
}

/// The reply to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientReply {
    /// The job is stored.
    Accepted,
    /// State of a job.
    State(JobState),
    /// Number of jobs of a queue none of whose tasks has started.
    WaitingJobs(u64),
    /// The job is cancelled, or had finished already.
    Cancelled,
    /// There is no such job.
    UnknownJob,
    /// No queue matches the host and path.
    UnknownQueue,
    /// The API key is missing or invalid.
    BadKey,
    /// The request is malformed; holds the reason.
    BadRequest(String),
    /// The request is within the limit on bodies, but the job in it cannot be stored; holds the
    /// reason.
    TooLarge(String),
    /// The request was refused and changed nothing.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Delay after which the client should retry.
        retry_after: Duration,
    },
    /// It is unknown whether the change was made; the same request can be sent again.
    OutcomeUnknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The node has no configuration yet.
    NoConfig,
    /// The node may have missed a change of the configuration.
    ConfigUnconfirmed,
    /// The store is unreachable or accepts no writes.
    StoreUnavailable,
    /// Too many requests or jobs are waiting.
    Overloaded,
    /// The job was cancelled before it was stored, and never runs.
    Cancelled,
}
