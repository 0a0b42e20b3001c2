//! Requests and jobs that this entry handles.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::Attempt;
use magnoliapin_model::ByteSize;
use magnoliapin_model::FairLimit;
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

use crate::wait_queues::QueuePosition;
use crate::CallId;

/// Kind of a piece of work.
#[derive(Clone, Debug)]
pub(crate) enum WorkKind {
    /// A synchronous request: a client waits for its answer, and it is not stored.
    Request {
        /// Call of the client; `None` after it disconnected.
        call: Option<CallId>,
    },
    /// A job: it is stored and finishes exactly once.
    Job(Box<JobOwnership>),
}

/// A job that this entry holds: its row, and the calls that wait for it.
#[derive(Clone, Debug)]
pub(crate) struct JobOwnership {
    /// Row of the job, including changes that are not committed yet.
    pub(crate) row: JobRow,
    /// Version of the row last committed or read; 0 before the first commit.
    pub(crate) version: RowVersion,
    /// Calls that wait for the acceptance of the job.
    pub(crate) accepting: Vec<CallId>,
    /// Calls that wait for the outcome of a cancellation.
    pub(crate) cancelling: Vec<CancelWait>,
}

/// A call that waits for the outcome of a cancellation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CancelWait {
    pub(crate) call: CallId,
    pub(crate) deadline: Moment,
}

impl JobOwnership {
    /// Creates a job whose row is not committed yet.
    pub(crate) fn new(row: JobRow, caller: CallId) -> Self {
        Self { row, version: RowVersion(0), accepting: vec![caller], cancelling: Vec::new() }
    }

    /// Creates a job from a row that was read.
    pub(crate) fn from_row(row: JobRow, version: RowVersion) -> Self {
        Self { row, version, accepting: Vec::new(), cancelling: Vec::new() }
    }
}

/// Stage of a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkStage {
    /// Its row is being committed, without a reserved slot.
    Storing,
    /// It waits for the backoff before the next attempt.
    Backoff,
    /// It waits for a slot.
    Waiting,
    /// The binding of its next attempt to a target, with a reserved slot, is being committed.
    Binding(BoundTarget),
    /// An attempt was sent to its target.
    Running(TaskId),
    /// Its final state is being committed.
    Finishing,
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
    /// Deadline of a request. For a job it only determines the dispatch order.
    pub(crate) deadline: Moment,
    /// Number of the current or latest attempt; 0 before the first.
    pub(crate) attempt: Attempt,
    pub(crate) stage: WorkStage,
    /// End of the backoff in stage `Backoff`, start of the commit in stages `Storing` and
    /// `Binding`, start of the attempt in stage `Running`; unused in the others.
    pub(crate) stage_time: Moment,
    /// Instances on whose targets it failed.
    pub(crate) failed_on: IndexSet<InstanceId>,
    /// Instances whose targets reported that they can never run it.
    pub(crate) unfit_on: IndexSet<InstanceId>,
    /// Targets that crashed under its attempts.
    pub(crate) crashed: Vec<BoundTarget>,
    /// Whether a start request was sent before.
    pub(crate) was_started: bool,
    /// Whether an earlier attempt may have run partially.
    pub(crate) may_have_run: bool,
}

impl WorkEntry {
    /// Returns the job, if the work is one.
    pub(crate) fn job(&self) -> Option<&JobOwnership> {
        match &self.kind {
            WorkKind::Job(ownership) => Some(ownership),
            WorkKind::Request { .. } => None,
        }
    }

    /// Returns the job mutably, if the work is one.
    pub(crate) fn job_mut(&mut self) -> Option<&mut JobOwnership> {
        match &mut self.kind {
            WorkKind::Job(ownership) => Some(ownership),
            WorkKind::Request { .. } => None,
        }
    }

    /// Returns the memory that the input takes; the row of a job has a copy of it.
    pub(crate) fn held_input(&self) -> ByteSize {
        let copies = if self.is_request() { 1 } else { 2 };
        ByteSize(self.payload.len() as u64 * copies)
    }

    /// Returns whether the work is a request.
    pub(crate) fn is_request(&self) -> bool {
        matches!(self.kind, WorkKind::Request { .. })
    }

    /// Returns the target on which a slot is reserved for the work.
    pub(crate) fn reserved_target(&self) -> Option<BoundTarget> {
        match self.stage {
            WorkStage::Binding(target) => Some(target),
            _ => None,
        }
    }

    /// Returns the work's position in its wait queue.
    pub(crate) fn queue_position(&self, work: WorkId) -> QueuePosition {
        QueuePosition { deadline: self.deadline, work }
    }
}

/// All requests and jobs that this entry handles.
#[derive(Debug, Default)]
pub(crate) struct WorkRegistry {
    pub(crate) entries: IndexMap<WorkId, WorkEntry>,
    requests_by_call: IndexMap<CallId, WorkId>,
    counts_by_queue: IndexMap<QueueId, u32>,
    /// Memory of the inputs of each team's work.
    held_inputs: IndexMap<TeamId, ByteSize>,
}

impl WorkRegistry {
    /// Adds work, and the call that waits for its answer.
    pub(crate) fn insert(&mut self, work: WorkId, entry: WorkEntry, caller: Option<CallId>) {
        if let Some(call) = caller {
            self.requests_by_call.insert(call, work);
        }
        *self.counts_by_queue.entry(entry.queue).or_default() += 1;
        self.held_inputs.entry(entry.team).or_default().0 += entry.held_input().0;
        self.entries.insert(work, entry);
    }

    /// Removes settled work.
    pub(crate) fn remove(&mut self, work: WorkId) -> Option<WorkEntry> {
        let entry = self.entries.swap_remove(&work)?;
        if let WorkKind::Request { call: Some(call) } = entry.kind {
            self.requests_by_call.swap_remove(&call);
        }
        if let Some(count) = self.counts_by_queue.get_mut(&entry.queue) {
            *count = count.saturating_sub(1);
        }
        if let Some(held) = self.held_inputs.get_mut(&entry.team) {
            held.0 = held.0.saturating_sub(entry.held_input().0);
        }
        Some(entry)
    }

    pub(crate) fn get(&self, work: WorkId) -> Option<&WorkEntry> {
        self.entries.get(&work)
    }

    pub(crate) fn get_mut(&mut self, work: WorkId) -> Option<&mut WorkEntry> {
        self.entries.get_mut(&work)
    }

    /// Returns the request of a client's call.
    pub(crate) fn request_of(&self, caller: CallId) -> Option<WorkId> {
        self.requests_by_call.get(&caller).copied()
    }

    /// Returns the number of a queue's requests and jobs at this entry.
    pub(crate) fn count_in_queue(&self, queue: QueueId) -> u32 {
        self.counts_by_queue.get(&queue).copied().unwrap_or(0)
    }

    /// Returns whether there is room for the input of more work of a team.
    pub(crate) fn has_room(&self, limit: FairLimit, team: TeamId, input: ByteSize) -> bool {
        let taken = ByteSize(self.held_inputs.values().map(|held| held.0).sum());
        let of_team = self.held_inputs.get(&team).copied().unwrap_or_default();
        limit.admits(input, of_team, taken)
    }

    /// Returns whether any request is unanswered.
    pub(crate) fn has_requests(&self) -> bool {
        self.entries.values().any(WorkEntry::is_request)
    }
}
