//! The tasks, leases and fences of a target.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use magnoliapin_wire::EntryFence;
use magnoliapin_wire::EntryTasks;
use magnoliapin_wire::LeaseGrant;
use magnoliapin_wire::RefusalReason;
use magnoliapin_wire::StartTask;
use magnoliapin_wire::TargetReply;
use magnoliapin_wire::TargetRequest;
use magnoliapin_wire::TaskReply;
use magnoliapin_wire::TaskState;

use crate::completed_tasks::CompletedTask;
use crate::completed_tasks::CompletedTasks;
use crate::completed_tasks::TaskOwner;
use crate::EffectLedger;
use crate::TargetMode;
use crate::TaskPlan;
use crate::OUTPUT_RETENTION;

/// Default number of slots of a target.
pub const DEFAULT_SLOTS: SlotCount = SlotCount(8);

/// Time for which a completed task is listed in replies to a lease renewal.
pub const COMPLETED_LISTING_PERIOD: Duration = Duration::from_secs(5);

/// Maximum size of the outputs in one reply about an entry, in bytes.
///
/// Completed tasks beyond it are left out.
pub const MAX_LISTED_BYTES: u64 = 1024 * 1024;

/// Maximum number of completed tasks in one reply about an entry.
pub const MAX_LISTED_TASKS: usize = 10_000;

/// Runs tasks, each at most once per incarnation of the target.
///
/// Each call first completes the tasks that are due. A task whose lease has expired is stopped even
/// if it was due before the expiry: a target that was paused meanwhile has not run it.
#[derive(Clone, Debug)]
pub struct TargetState {
    incarnation: TargetIncarnation,
    image: String,
    slots: SlotCount,
    mode: TargetMode,
    is_draining: bool,
    has_crashed: bool,
    running: IndexMap<TaskId, RunningTask>,
    completed: CompletedTasks,
    fenced_tasks: IndexSet<TaskId>,
    fenced_entries: IndexSet<EntryId>,
    unreported: Vec<TaskId>,
    ledger: EffectLedger,
}

/// Outcome of a start.
#[derive(Clone, Debug, PartialEq)]
pub enum StartOutcome {
    /// The task has already completed or was refused.
    Replied(TaskReply),
    /// The task is running; [`TargetState::poll`] returns its reply when it has completed.
    Running,
}

#[derive(Clone, Debug)]
struct RunningTask {
    owner: TaskOwner,
    team: TeamId,
    plan: TaskPlan,
    payload: Vec<u8>,
    completes_at: Moment,
    run_deadline: Moment,
    lease_expires_at: Moment,
}

struct DueCompletion {
    at: Moment,
    task: TaskId,
    state: TaskState,
}

impl TargetState {
    /// Creates an idle target with [`DEFAULT_SLOTS`].
    pub fn new(incarnation: TargetIncarnation, image: &str) -> Self {
        Self {
            incarnation,
            image: image.to_owned(),
            slots: DEFAULT_SLOTS,
            mode: TargetMode::Ok,
            is_draining: false,
            has_crashed: false,
            running: IndexMap::new(),
            completed: CompletedTasks::default(),
            fenced_tasks: IndexSet::new(),
            fenced_entries: IndexSet::new(),
            unreported: Vec::new(),
            ledger: EffectLedger::new(),
        }
    }

    /// Sets the maximum number of concurrent tasks.
    #[must_use]
    pub fn with_slots(mut self, slots: SlotCount) -> Self {
        self.slots = slots;
        self
    }

    /// Executes any call.
    ///
    /// Returns `None` if a start leaves its task running; [`TargetState::poll`] returns the reply
    /// when it has completed.
    pub fn execute(&mut self, now: Moment, request: TargetRequest) -> Option<TargetReply> {
        let reply = match request {
            TargetRequest::Start(start) => match self.start(now, start) {
                StartOutcome::Replied(reply) => TargetReply::Task(reply),
                StartOutcome::Running => return None,
            },
            TargetRequest::Query(task) => TargetReply::Task(self.query(now, task)),
            TargetRequest::Fence(task) => TargetReply::Task(self.fence(now, task)),
            TargetRequest::Stop(task) => TargetReply::Task(self.stop(now, task)),
            TargetRequest::Renew(entry, grant) => {
                TargetReply::Entry(self.renew(now, entry, &grant))
            }
            TargetRequest::FenceEntry(entry, fence) => {
                TargetReply::Entry(self.fence_entry(now, entry, &fence))
            }
        };
        Some(reply)
    }

    /// Starts a task unless this incarnation has started it before.
    pub fn start(&mut self, now: Moment, start: StartTask) -> StartOutcome {
        self.complete_due_tasks(now);
        let task = start.task;
        if start.run != self.incarnation {
            return self.refuse(task, RefusalReason::OtherRun);
        }
        if self.running.contains_key(&task) {
            return StartOutcome::Running;
        }
        if self.completed.get(task).is_some() {
            return StartOutcome::Replied(self.reply(task));
        }
        let plan = TaskPlan::from_payload(&start.payload);
        if let Some(reason) = self.refusal(&start, &plan) {
            return self.refuse(task, reason);
        }
        self.has_crashed |= plan.crash;
        self.run_task(now, start, plan);
        if self.has_crashed {
            return StartOutcome::Running;
        }
        if self.mode == TargetMode::FailAll {
            self.complete_task(now, task, TaskState::Failed);
            self.unreported.retain(|unreported| *unreported != task);
            return StartOutcome::Replied(self.reply(task));
        }
        StartOutcome::Running
    }

    /// Returns the replies for the tasks that have completed since the last poll.
    pub fn poll(&mut self, now: Moment) -> Vec<TaskReply> {
        self.complete_due_tasks(now);
        let unreported = std::mem::take(&mut self.unreported);
        unreported.into_iter().map(|task| self.reply(task)).collect()
    }

    /// Returns when the next task completes, reaches its run limit or loses its lease.
    pub fn next_event_at(&self) -> Option<Moment> {
        self.running.values().map(RunningTask::next_event_at).min()
    }

    /// Returns the state of a task.
    pub fn query(&mut self, now: Moment, task: TaskId) -> TaskReply {
        self.complete_due_tasks(now);
        self.reply(task)
    }

    /// Prevents this incarnation from starting a task that it has not started yet.
    pub fn fence(&mut self, now: Moment, task: TaskId) -> TaskReply {
        self.complete_due_tasks(now);
        self.fenced_tasks.insert(task);
        self.reply(task)
    }

    /// Fences a task and stops it if it runs.
    pub fn stop(&mut self, now: Moment, task: TaskId) -> TaskReply {
        self.complete_due_tasks(now);
        self.fenced_tasks.insert(task);
        if self.running.contains_key(&task) {
            self.complete_task(now, task, TaskState::Stopped);
        }
        self.reply(task)
    }

    /// Renews the leases of every running task that an entry holds, and lists its tasks.
    pub fn renew(&mut self, now: Moment, entry: EntryId, grant: &LeaseGrant) -> EntryTasks {
        self.complete_due_tasks(now);
        self.grant_lease(now, entry, grant.lease_ms);
        let since = now.before(COMPLETED_LISTING_PERIOD);
        self.entry_tasks(since, |owner| owner.holder == entry)
    }

    /// Refuses further tasks of an entry and transfers its tasks to the heir.
    ///
    /// Tasks already transferred to another heir stay with it; the reply lists them too.
    pub fn fence_entry(&mut self, now: Moment, entry: EntryId, fence: &EntryFence) -> EntryTasks {
        self.complete_due_tasks(now);
        self.fenced_entries.insert(entry);
        self.grant_lease(now, entry, fence.lease_ms);
        let since = now.before(OUTPUT_RETENTION);
        let tasks = self.entry_tasks(since, |owner| owner.includes(entry));
        for running in self.running.values_mut() {
            running.owner.transfer(entry, fence.heir);
        }
        self.completed.transfer(entry, fence.heir);
        tasks
    }

    /// Discards the running tasks without completing them, as in a crash.
    pub fn discard_running(&mut self, now: Moment) {
        self.complete_due_tasks(now);
        for running in std::mem::take(&mut self.running).into_values() {
            self.ledger.record_completion(now, running.team);
        }
        self.unreported.clear();
    }

    /// Starts a new incarnation without tasks and fences; the ledger is kept.
    pub fn restart(&mut self, now: Moment, incarnation: TargetIncarnation, image: &str) {
        debug_assert!(incarnation != self.incarnation, "a restart requires a new incarnation");
        self.discard_running(now);
        self.incarnation = incarnation;
        self.image = image.to_owned();
        self.is_draining = false;
        self.has_crashed = false;
        self.completed = CompletedTasks::default();
        self.fenced_tasks.clear();
        self.fenced_entries.clear();
    }

    /// Sets the fault mode.
    pub fn set_mode(&mut self, mode: TargetMode) {
        self.mode = mode;
    }

    /// Returns the fault mode.
    pub fn mode(&self) -> TargetMode {
        self.mode
    }

    /// Starts or stops a drain, during which new tasks are refused and running ones continue.
    pub fn set_draining(&mut self, is_draining: bool) {
        self.is_draining = is_draining;
    }

    /// Returns whether new tasks are refused because the target is leaving or draining.
    pub fn is_leaving(&self) -> bool {
        self.is_draining || self.mode == TargetMode::Leaving
    }

    /// Returns whether a task has crashed this incarnation, which its owner then has to restart.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed
    }

    /// Returns the running tasks.
    pub fn running_tasks(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.running.keys().copied()
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> TargetIncarnation {
        self.incarnation
    }

    /// Returns the image of the current incarnation.
    pub fn image(&self) -> &str {
        &self.image
    }

    /// Returns the maximum number of concurrent tasks.
    pub fn slots(&self) -> SlotCount {
        self.slots
    }

    /// Returns the number of free slots.
    pub fn free_slots(&self) -> SlotCount {
        let used = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        SlotCount(self.slots.0.saturating_sub(used))
    }

    /// Returns the external effects of the tasks, over all incarnations.
    pub fn ledger(&self) -> &EffectLedger {
        &self.ledger
    }

    fn refusal(&self, start: &StartTask, plan: &TaskPlan) -> Option<RefusalReason> {
        let is_fenced =
            self.fenced_tasks.contains(&start.task) || self.fenced_entries.contains(&start.entry);
        if is_fenced {
            return Some(RefusalReason::Fenced);
        }
        if self.is_leaving() {
            return Some(RefusalReason::Leaving);
        }
        if plan.unfit {
            return Some(RefusalReason::Unfit);
        }
        (self.free_slots().0 == 0).then_some(RefusalReason::Full)
    }

    fn refuse(&self, task: TaskId, reason: RefusalReason) -> StartOutcome {
        StartOutcome::Replied(self.empty_reply(task, TaskState::Refused(reason)))
    }

    fn run_task(&mut self, now: Moment, start: StartTask, plan: TaskPlan) {
        self.ledger.record_start(now, start.task, start.team, plan.marker);
        let running = RunningTask {
            owner: TaskOwner::new(start.entry),
            team: start.team,
            completes_at: now + plan.run_time(),
            run_deadline: now + Duration::from_millis(start.max_run_ms),
            lease_expires_at: now + Duration::from_millis(start.lease_ms),
            plan,
            payload: start.payload,
        };
        self.running.insert(start.task, running);
        debug_assert!(self.running.len() <= self.slots.0 as usize, "more running tasks than slots");
    }

    fn complete_due_tasks(&mut self, now: Moment) {
        let mut due: Vec<_> =
            self.running.iter().filter_map(|(task, running)| running.due(*task, now)).collect();
        due.sort_by_key(|due| due.at);
        for due in due {
            self.complete_task(due.at, due.task, due.state);
        }
    }

    fn complete_task(&mut self, at: Moment, task: TaskId, state: TaskState) {
        let Some(running) = self.running.shift_remove(&task) else {
            return;
        };
        let mut output = Vec::new();
        if state == TaskState::Finished {
            self.ledger.record_effect(task, running.plan.marker);
            output = running.plan.output(running.payload);
        }
        self.ledger.record_completion(at, running.team);
        let output_bytes = output.len() as u64;
        let completed =
            CompletedTask { owner: running.owner, state, completed_at: at, output, output_bytes };
        self.completed.insert(task, completed);
        self.unreported.push(task);
    }

    fn grant_lease(&mut self, now: Moment, entry: EntryId, lease_ms: u64) {
        let lease_expires_at = now + Duration::from_millis(lease_ms);
        for running in self.running.values_mut() {
            if running.owner.holder == entry {
                running.lease_expires_at = lease_expires_at;
            }
        }
    }

    fn entry_tasks(&self, since: Moment, is_listed: impl Fn(TaskOwner) -> bool) -> EntryTasks {
        let running = self.running.iter().filter(|(_, running)| is_listed(running.owner));
        let mut tasks: Vec<_> = running.map(|(task, _)| self.reply(*task)).collect();
        let completed = self
            .completed
            .completed_since(since)
            .filter(|(_, completed)| is_listed(completed.owner));
        let mut listed_bytes = 0;
        for (task, completed) in
            completed.filter(|(_, completed)| completed.has_full_output()).take(MAX_LISTED_TASKS)
        {
            listed_bytes += completed.output_bytes;
            if listed_bytes > MAX_LISTED_BYTES {
                break;
            }
            tasks.push(self.reply(task));
        }
        EntryTasks {
            run: self.incarnation,
            leaving: self.is_leaving(),
            free_slots: self.free_slots(),
            tasks,
        }
    }

    fn reply(&self, task: TaskId) -> TaskReply {
        if self.running.contains_key(&task) {
            return self.empty_reply(task, TaskState::Running);
        }
        let Some(completed) = self.completed.get(task) else {
            return self.empty_reply(task, TaskState::NeverStarted);
        };
        TaskReply {
            output: completed.output.clone(),
            output_bytes: completed.output_bytes,
            ..self.empty_reply(task, completed.state)
        }
    }

    fn empty_reply(&self, task: TaskId, state: TaskState) -> TaskReply {
        TaskReply {
            task,
            run: self.incarnation,
            state,
            output: Vec::new(),
            output_bytes: 0,
            free_slots: self.free_slots(),
        }
    }
}

impl RunningTask {
    fn next_event_at(&self) -> Moment {
        self.completes_at.min(self.run_deadline).min(self.lease_expires_at)
    }

    fn due(&self, task: TaskId, now: Moment) -> Option<DueCompletion> {
        let due = |at, state| Some(DueCompletion { at, task, state });
        if self.lease_expires_at <= now {
            return due(self.lease_expires_at, TaskState::Stopped);
        }
        if self.run_deadline <= now && self.run_deadline < self.completes_at {
            return due(self.run_deadline, TaskState::Stopped);
        }
        if self.completes_at > now {
            return None;
        }
        let state = if self.plan.fail { TaskState::Failed } else { TaskState::Finished };
        due(self.completes_at, state)
    }
}
