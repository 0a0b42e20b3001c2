//! Calls of targets, which run tasks under a lease and obey one scheduler at a time.

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
        /// Epoch of the scheduler; a target obeys none that is lower than one it has seen.
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
        /// Epoch of the scheduler.
        fence: u64,
    },
    /// Lists runs, extends the lease, and lets the target forget ends that are stored.
    Hold {
        /// Epoch of the scheduler.
        fence: u64,
        /// Number of the last end that is stored.
        stored_end: u64,
        /// End of the lease on the target's clock, in milliseconds.
        lease_until_ms: Option<u64>,
        /// How long the target may wait for an end before it answers.
        wait: Duration,
    },
    /// Sets the share of its speed at which a run works.
    Pace {
        /// The run.
        run: RunId,
        /// The share, in percent.
        percent: u8,
        /// Epoch of the scheduler.
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
    /// Answer to a hold.
    Report(RunReport),
    /// Another life of the target answered; the one that was meant is gone.
    OtherLife,
    /// There is no answer.
    Failed(CallFailure),
}

/// Why a target refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// It obeys a scheduler with a higher epoch.
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
    /// When its life began.
    pub born_at: UnixMillis,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// Runs that have ended and are not forgotten yet, by number.
    pub ended: Vec<EndedRun>,
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

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end, from 1 in each life of the target.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub end: RunEnd,
    /// Progress that was saved last.
    pub checkpoint: Option<String>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
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
