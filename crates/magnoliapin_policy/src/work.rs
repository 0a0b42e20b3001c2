//! Requests and jobs that this entry is responsible for.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::Attempt;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::PoolId;
use magnoliapin_model::QueueId;
use magnoliapin_model::RowVersion;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_wire::rows::BoundTarget;
use magnoliapin_wire::rows::JobRow;

use crate::line::LinePlace;
use crate::CallId;

/// What a piece of work is.
#[derive(Clone, Debug)]
pub(crate) enum WorkKind {
    /// A caller waits for it and nothing of it is stored.
    Request {
        /// The caller; none after it hung up.
        call: Option<CallId>,
    },
    /// It is stored and finishes once and only once.
    Job(Box<JobHold>),
}

/// A job that this entry holds.
#[derive(Clone, Debug)]
pub(crate) struct JobHold {
    /// Its row as it was last committed.
    pub(crate) row: JobRow,
    /// Version of the row; 0 before it was committed.
    pub(crate) version: RowVersion,
    /// Callers that wait for its acceptance.
    pub(crate) accepting: Vec<CallId>,
    /// Callers that wait for the end of their cancellation.
    pub(crate) cancelling: Vec<CancelWait>,
}

/// A caller that waits for the end of a cancellation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CancelWait {
    pub(crate) call: CallId,
    pub(crate) deadline: Moment,
}

impl JobHold {
    /// Makes a job whose row is not committed yet.
    pub(crate) fn new(row: JobRow, caller: CallId) -> Self {
        Self { row, version: RowVersion(0), accepting: vec![caller], cancelling: Vec::new() }
    }

    /// Makes a job whose row was read.
    pub(crate) fn read(row: JobRow, version: RowVersion) -> Self {
        Self { row, version, accepting: Vec::new(), cancelling: Vec::new() }
    }
}

/// Where a piece of work stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkStage {
    /// Its row is being committed, and no slot is kept for it.
    Storing,
    /// It waits for a while before it is tried again.
    Pausing,
    /// It waits for a slot.
    Waiting,
    /// Its next attempt is being bound to a target.
    Binding(BoundTarget),
    /// An attempt was sent.
    Running(TaskId),
    /// Its end is being committed.
    Ending,
}

/// One request or job.
#[derive(Clone, Debug)]
pub(crate) struct WorkEntry {
    pub(crate) kind: WorkKind,
    pub(crate) team: TeamId,
    pub(crate) queue: QueueId,
    pub(crate) pool: PoolId,
    pub(crate) payload: Vec<u8>,
    pub(crate) idempotent: bool,
    pub(crate) max_run: Duration,
    /// A request is answered by then; a job is served in this order.
    pub(crate) deadline: Moment,
    /// Number of the current or last attempt.
    pub(crate) attempt: Attempt,
    pub(crate) stage: WorkStage,
    /// When the stage began, for stages that wait for the platform and for tasks that run.
    pub(crate) staged_at: Moment,
    /// Targets at which it failed.
    pub(crate) failed_at: IndexSet<InstanceId>,
    /// Targets that can never run it.
    pub(crate) unfit_at: IndexSet<InstanceId>,
    /// Whether a start was sent before.
    pub(crate) was_started: bool,
    /// Whether an earlier attempt may have run in part.
    pub(crate) may_have_run: bool,
}

impl WorkEntry {
    /// Returns the job, if the work is one.
    pub(crate) fn job(&self) -> Option<&JobHold> {
        match &self.kind {
            WorkKind::Job(hold) => Some(hold),
            WorkKind::Request { .. } => None,
        }
    }

    /// Returns the job for changes, if the work is one.
    pub(crate) fn job_mut(&mut self) -> Option<&mut JobHold> {
        match &mut self.kind {
            WorkKind::Job(hold) => Some(hold),
            WorkKind::Request { .. } => None,
        }
    }

    /// Returns whether the work is a request.
    pub(crate) fn is_request(&self) -> bool {
        matches!(self.kind, WorkKind::Request { .. })
    }

    /// Returns the target whose slot is kept free for the work.
    pub(crate) fn reserved(&self) -> Option<BoundTarget> {
        match self.stage {
            WorkStage::Binding(target) => Some(target),
            _ => None,
        }
    }

    /// Returns the work's place in its line.
    pub(crate) fn place(&self, work: WorkId) -> LinePlace {
        LinePlace { deadline: self.deadline, work }
    }
}

/// Every request and job that this entry is responsible for.
#[derive(Debug, Default)]
pub(crate) struct WorkBook {
    pub(crate) entries: IndexMap<WorkId, WorkEntry>,
    callers: IndexMap<CallId, WorkId>,
    queues: IndexMap<QueueId, u32>,
}

impl WorkBook {
    /// Adds work; `caller` waits for its answer.
    pub(crate) fn insert(&mut self, work: WorkId, entry: WorkEntry, caller: Option<CallId>) {
        if let Some(call) = caller {
            self.callers.insert(call, work);
        }
        *self.queues.entry(entry.queue).or_default() += 1;
        self.entries.insert(work, entry);
    }

    /// Removes work that is settled.
    pub(crate) fn remove(&mut self, work: WorkId) -> Option<WorkEntry> {
        let entry = self.entries.swap_remove(&work)?;
        if let WorkKind::Request { call: Some(call) } = entry.kind {
            self.callers.swap_remove(&call);
        }
        if let Some(count) = self.queues.get_mut(&entry.queue) {
            *count = count.saturating_sub(1);
        }
        Some(entry)
    }

    pub(crate) fn get(&self, work: WorkId) -> Option<&WorkEntry> {
        self.entries.get(&work)
    }

    pub(crate) fn get_mut(&mut self, work: WorkId) -> Option<&mut WorkEntry> {
        self.entries.get_mut(&work)
    }

    /// Returns the request of a caller.
    pub(crate) fn request_of(&self, caller: CallId) -> Option<WorkId> {
        self.callers.get(&caller).copied()
    }

    /// Counts the work that a queue has here.
    pub(crate) fn in_queue(&self, queue: QueueId) -> u32 {
        self.queues.get(&queue).copied().unwrap_or(0)
    }

    /// Returns whether any request is not answered yet.
    pub(crate) fn has_requests(&self) -> bool {
        self.entries.values().any(WorkEntry::is_request)
    }
}
