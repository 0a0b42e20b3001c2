//! Messages to and from targets, which run tasks under a lease and accept one leader at a time.

use std::time::Duration;

use magnoliapin_model::UnixMillis;
use serde::Deserialize;
use serde::Serialize;

use crate::CallFailure;
use crate::TaskName;

/// Identifies a run, which is one attempt to execute a task.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunId {
    /// The task.
    pub task: TaskName,
    /// Number of the attempt; increases with each start of the task.
    pub attempt: u32,
}

/// A request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetRequest {
    /// Starts a run; has no effect if it is in progress already.
    Start {
        /// The run.
        run: RunId,
        /// Input of the task.
        payload: String,
        /// End of the lease of all runs on the target, on the target's clock, in milliseconds.
        lease_until_ms: u64,
        /// Fence of the leader; a target rejects a fence lower than one that it has seen.
        fence: u64,
        /// Checkpoint to resume from.
        checkpoint: Option<String>,
        /// Ticket of the placement service, if the queue requires one.
        ticket: Option<String>,
    },
    /// Stops a run, or prevents its start if it has not started.
    Stop {
        /// The run.
        run: RunId,
        /// Fence of the leader.
        fence: u64,
    },
    /// Lists runs, extends the lease, and acknowledges completions that are stored.
    Heartbeat {
        /// Fence of the leader.
        fence: u64,
        /// Number of the last completion that is stored.
        acked_completion: u64,
        /// New end of the lease on the target's clock, in milliseconds.
        lease_until_ms: Option<u64>,
        /// How long the target may wait for a completion before it replies.
        wait: Duration,
    },
    /// Sets the speed of a run relative to its full speed.
    Pace {
        /// The run.
        run: RunId,
        /// The speed, in percent of the full speed.
        percent: u8,
        /// Fence of the leader.
        fence: u64,
    },
}

impl TargetRequest {
    /// Returns the fence that it is sent under.
    pub fn fence(&self) -> u64 {
        match self {
            Self::Start { fence, .. }
            | Self::Stop { fence, .. }
            | Self::Heartbeat { fence, .. }
            | Self::Pace { fence, .. } => *fence,
        }
    }
}

/// A reply of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetReply {
    /// The request was carried out.
    Done {
        /// The target's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The request was refused.
    Refused {
        /// The target's clock, in milliseconds; `None` if the reply does not contain it.
        clock_ms: Option<u64>,
        /// Reason of the refusal.
        reason: StartRefusal,
    },
    /// Reply to a heartbeat.
    Report(RunReport),
    /// Another incarnation of the target replied; the addressed one no longer runs.
    OtherIncarnation,
    /// The call failed.
    Failed(CallFailure),
}

/// Why a target refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// The target has accepted a higher fence.
    Fenced,
    /// This run or a later one of the task has finished or was stopped.
    Outdated,
    /// The lease in the start request has expired.
    LeaseOver,
    /// The target has no free capacity.
    NoRoom,
    /// The ticket of the placement service is missing or no longer valid.
    NoTicket,
    /// The target is unhealthy and did not carry out the request.
    Unhealthy,
    /// The target rejected the request as malformed.
    Malformed,
}

/// The state of all runs of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunReport {
    /// The target's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of its incarnation.
    pub started_at: UnixMillis,
    /// Runs in progress.
    pub running: Vec<RunningTask>,
    /// Completions that are not acknowledged yet, by number; the first ones if there are many.
    pub completions: Vec<RunCompletion>,
    /// Whether there may be more completions than these. If so, a run that the report does not name
    /// may have ended.
    pub has_more_completions: bool,
}

/// A run in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The run.
    pub run: RunId,
    /// Its latest checkpoint.
    pub checkpoint: Option<String>,
    /// Progress in percent; for a long-running task, 100 while it is available.
    pub percent: u32,
    /// Latency of a task that serves users, in milliseconds; CPU usage of any other task.
    pub gauge: Option<u64>,
}

/// Completion of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCompletion {
    /// Number of the completion, from 1 in each incarnation of the target.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// Its outcome.
    pub outcome: RunOutcome,
    /// Its latest checkpoint.
    pub checkpoint: Option<String>,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The run succeeded.
    Done,
    /// The run failed, because of the task or of the target.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The lease of the target expired.
    LeaseOver,
    /// The run of another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start in time.
    GangIncomplete,
}
