//! Calls of targets, which run tasks under a lease and obey one leader at a time.

use std::time::Duration;

use magnoliapin_model::UnixMillis;
use serde::Deserialize;
use serde::Serialize;

use crate::CallFailure;
use crate::TaskName;

/// One run of a task.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RunId {
    /// The task.
    pub task: TaskName,
    /// Number of the run; rises with each start of the task.
    pub attempt: u32,
}

/// A call of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetRequest {
    /// Starts a task; harmless if it runs already.
    Start {
        /// The run.
        run: RunId,
        /// Input of the task.
        payload: String,
        /// End of the lease of all that runs there, on the target's clock, in milliseconds.
        lease_until_ms: u64,
        /// Epoch of the leader; a target obeys none that is lower than one it has seen.
        fence: u64,
        /// Progress to resume from.
        checkpoint: Option<String>,
        /// Permission of the placement service, where the queue has one.
        ticket: Option<String>,
    },
    /// Stops a run, or makes sure that it never begins.
    Stop {
        /// The run.
        run: RunId,
        /// Epoch of the leader.
        fence: u64,
    },
    /// Lists runs, extends the lease, and acknowledges completions that are stored.
    Heartbeat {
        /// Epoch of the leader.
        fence: u64,
        /// Number of the last completion that is stored.
        acked_completion: u64,
        /// End of the lease on the target's clock, in milliseconds.
        lease_until_ms: Option<u64>,
        /// How long the target may wait for a completion before it replies.
        wait: Duration,
    },
    /// Sets the share of its speed at which a run works.
    Pace {
        /// The run.
        run: RunId,
        /// The share, in percent.
        percent: u8,
        /// Epoch of the leader.
        fence: u64,
    },
}

/// A target's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetReply {
    /// The order was carried out.
    Done {
        /// The target's clock, in milliseconds.
        clock_ms: u64,
    },
    /// The order was refused.
    Refused {
        /// The target's clock, if it told.
        clock_ms: Option<u64>,
        /// Why.
        reason: StartRefusal,
    },
    /// Reply to a heartbeat.
    Report(RunReport),
    /// Another incarnation of the target replied; the addressed one is over.
    OtherIncarnation,
    /// There is no answer.
    Failed(CallFailure),
}

/// Why a target refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// It obeys a leader with a higher epoch.
    Fenced,
    /// It has ended or stopped this run or a later one.
    Outdated,
    /// The lease that came with the start is over.
    LeaseOver,
    /// It has no room.
    NoRoom,
    /// The placement service's permission is missing or no longer valid.
    NoTicket,
    /// It is unhealthy and has done nothing.
    Unhealthy,
    /// It does not understand the order.
    Malformed,
}

/// All that a target knows of its runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunReport {
    /// The target's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of its incarnation.
    pub started_at: UnixMillis,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// Completions that are not acknowledged yet, by number.
    pub completions: Vec<RunCompletion>,
}

/// A run in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunningTask {
    /// The run.
    pub run: RunId,
    /// Progress that was saved last.
    pub checkpoint: Option<String>,
    /// Progress in percent; for a long-running task, whether it is at work.
    pub percent: u32,
    /// Latency of a task that serves, in milliseconds, else the processor it uses.
    pub gauge: Option<u64>,
}

/// Completion of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCompletion {
    /// Number of the completion, from 1 in each incarnation of the target.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// Its outcome.
    pub outcome: RunOutcome,
    /// Progress that was saved last.
    pub checkpoint: Option<String>,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It did all its work.
    Done,
    /// It failed, through its own fault or the target's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease was over.
    LeaseOver,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not come in time.
    GangIncomplete,
}
