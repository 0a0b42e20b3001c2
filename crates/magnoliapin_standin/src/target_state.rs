//! The tasks, leases and fences of a target.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetRun;
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

use crate::ended_tasks::EndedTask;
use crate::ended_tasks::EndedTasks;
use crate::ended_tasks::TaskOwner;
use crate::EffectLedger;
use crate::TargetMode;
use crate::TaskPlan;
use crate::OUTPUT_RETENTION;

/// Slots of a target, unless set otherwise.
pub const DEFAULT_SLOTS: SlotCount = SlotCount(8);

/// Time for which an ended task is listed in answers to a renewal.
pub const ENDED_LISTING: Duration = Duration::from_secs(5);

/// Most bytes of output in one answer about an entry; further ended tasks are left out.
pub const MAX_LISTED_BYTES: u64 = 1024 * 1024;

/// Most ended tasks in one answer about an entry.
pub const MAX_LISTED_TASKS: usize = 10_000;

/// Runs tasks, each at most once in one run of the target.
///
/// Each call first ends the tasks that are due. A task whose lease has lapsed is stopped even if
/// it was to end before: a target that was paused meanwhile has not run it.
#[derive(Clone, Debug)]
pub struct TargetState {
    run: TargetRun,
    image: String,
    slots: SlotCount,
    mode: TargetMode,
    is_draining: bool,
    running: IndexMap<TaskId, RunningTask>,
    ended: EndedTasks,
    fenced_tasks: IndexSet<TaskId>,
    fenced_entries: IndexSet<EntryId>,
    unreported: Vec<TaskId>,
    ledger: EffectLedger,
}

/// What became of a start.
#[derive(Clone, Debug, PartialEq)]
pub enum StartOutcome {
    /// The task has ended or was refused.
    Ended(TaskReply),
    /// The task runs; [`TargetState::poll`] returns it when it has ended.
    Running,
}

#[derive(Clone, Debug)]
struct RunningTask {
    owner: TaskOwner,
    team: TeamId,
    plan: TaskPlan,
    payload: Vec<u8>,
    end: Moment,
    run_limit: Moment,
    lease_end: Moment,
}

struct DueEnd {
    at: Moment,
    task: TaskId,
    state: TaskState,
}

impl TargetState {
    /// Makes an idle target with the default slots.
    pub fn new(run: TargetRun, image: &str) -> Self {
        Self {
            run,
            image: image.to_owned(),
            slots: DEFAULT_SLOTS,
            mode: TargetMode::Ok,
            is_draining: false,
            running: IndexMap::new(),
            ended: EndedTasks::default(),
            fenced_tasks: IndexSet::new(),
            fenced_entries: IndexSet::new(),
            unreported: Vec::new(),
            ledger: EffectLedger::new(),
        }
    }

    /// Sets how many tasks run at once.
    #[must_use]
    pub fn with_slots(mut self, slots: SlotCount) -> Self {
        self.slots = slots;
        self
    }

    /// Carries out any call.
    ///
    /// None says that the task of a start runs; [`TargetState::poll`] returns it when it has ended.
    pub fn carry_out(&mut self, now: Moment, request: TargetRequest) -> Option<TargetReply> {
        let reply = match request {
            TargetRequest::Start(start) => match self.start(now, start) {
                StartOutcome::Ended(reply) => TargetReply::Task(reply),
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

    /// Starts a task unless it has been started before.
    pub fn start(&mut self, now: Moment, start: StartTask) -> StartOutcome {
        self.settle(now);
        let task = start.task;
        if start.run != self.run {
            return self.refuse(task, RefusalReason::OtherRun);
        }
        if self.running.contains_key(&task) {
            return StartOutcome::Running;
        }
        if self.ended.get(task).is_some() {
            return StartOutcome::Ended(self.reply(task));
        }
        let plan = TaskPlan::from_payload(&start.payload);
        if let Some(reason) = self.refusal(&start, &plan) {
            return self.refuse(task, reason);
        }
        self.run_task(now, start, plan);
        if self.mode == TargetMode::FailAll {
            self.end_task(now, task, TaskState::Failed);
            self.unreported.retain(|unreported| *unreported != task);
            return StartOutcome::Ended(self.reply(task));
        }
        StartOutcome::Running
    }

    /// Returns the tasks that have ended since the last poll.
    pub fn poll(&mut self, now: Moment) -> Vec<TaskReply> {
        self.settle(now);
        let unreported = std::mem::take(&mut self.unreported);
        unreported.into_iter().map(|task| self.reply(task)).collect()
    }

    /// Returns when the next task ends or loses its lease.
    pub fn next_end(&self) -> Option<Moment> {
        self.running.values().map(RunningTask::next_change).min()
    }

    /// Returns the state of a task.
    pub fn query(&mut self, now: Moment, task: TaskId) -> TaskReply {
        self.settle(now);
        self.reply(task)
    }

    /// Makes sure that a task not yet started never will be.
    pub fn fence(&mut self, now: Moment, task: TaskId) -> TaskReply {
        self.settle(now);
        self.fenced_tasks.insert(task);
        self.reply(task)
    }

    /// Fences a task and stops it if it runs.
    pub fn stop(&mut self, now: Moment, task: TaskId) -> TaskReply {
        self.settle(now);
        self.fenced_tasks.insert(task);
        if self.running.contains_key(&task) {
            self.end_task(now, task, TaskState::Stopped);
        }
        self.reply(task)
    }

    /// Renews the leases of every task that an entry holds.
    pub fn renew(&mut self, now: Moment, entry: EntryId, grant: &LeaseGrant) -> EntryTasks {
        self.settle(now);
        self.grant_lease(now, entry, grant.lease_ms);
        let since = now.before(ENDED_LISTING);
        self.entry_tasks(since, |owner| owner.holder == entry)
    }

    /// Refuses every later start of an entry and hands its tasks to the heir.
    ///
    /// Tasks that another heir holds by now stay with that one; the answer lists them too.
    pub fn fence_entry(&mut self, now: Moment, entry: EntryId, fence: &EntryFence) -> EntryTasks {
        self.settle(now);
        self.fenced_entries.insert(entry);
        self.grant_lease(now, entry, fence.lease_ms);
        let since = now.before(OUTPUT_RETENTION);
        let tasks = self.entry_tasks(since, |owner| owner.includes(entry));
        for running in self.running.values_mut() {
            running.owner.hand_over(entry, fence.heir);
        }
        self.ended.hand_over(entry, fence.heir);
        tasks
    }

    /// Forgets the tasks that run without letting them end, as a crash does.
    pub fn halt(&mut self, now: Moment) {
        self.settle(now);
        for running in std::mem::take(&mut self.running).into_values() {
            self.ledger.end(now, running.team);
        }
        self.unreported.clear();
    }

    /// Starts a new run, which knows no task and no fence; the ledger stays.
    pub fn restart(&mut self, now: Moment, run: TargetRun, image: &str) {
        debug_assert!(run != self.run, "a restart needs a run of its own");
        self.halt(now);
        self.run = run;
        self.image = image.to_owned();
        self.is_draining = false;
        self.ended = EndedTasks::default();
        self.fenced_tasks.clear();
        self.fenced_entries.clear();
    }

    /// Changes how the target behaves from now on.
    pub fn set_mode(&mut self, mode: TargetMode) {
        self.mode = mode;
    }

    /// Returns how the target behaves.
    pub fn mode(&self) -> TargetMode {
        self.mode
    }

    /// Starts or ends a drain: while it lasts, new tasks are refused and those that run go on.
    pub fn set_draining(&mut self, is_draining: bool) {
        self.is_draining = is_draining;
    }

    /// Returns whether new tasks are refused because the target leaves or drains.
    pub fn is_leaving(&self) -> bool {
        self.is_draining || self.mode == TargetMode::Leaving
    }

    /// Returns the current run.
    pub fn run(&self) -> TargetRun {
        self.run
    }

    /// Returns the image that the current run was started with.
    pub fn image(&self) -> &str {
        &self.image
    }

    /// Returns how many tasks run at once at most.
    pub fn slots(&self) -> SlotCount {
        self.slots
    }

    /// Returns how many slots are free.
    pub fn free_slots(&self) -> SlotCount {
        let taken = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        SlotCount(self.slots.0.saturating_sub(taken))
    }

    /// Returns what the tasks did to the outside world, over all runs.
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
        StartOutcome::Ended(self.empty_reply(task, TaskState::Refused(reason)))
    }

    fn run_task(&mut self, now: Moment, start: StartTask, plan: TaskPlan) {
        self.ledger.start(now, start.task, start.team, plan.marker);
        let running = RunningTask {
            owner: TaskOwner::new(start.entry),
            team: start.team,
            end: now + plan.run_time(),
            run_limit: now + Duration::from_millis(start.max_run_ms),
            lease_end: now + Duration::from_millis(start.lease_ms),
            plan,
            payload: start.payload,
        };
        self.running.insert(start.task, running);
        debug_assert!(self.running.len() <= self.slots.0 as usize, "more tasks run than slots");
    }

    fn settle(&mut self, now: Moment) {
        let mut due: Vec<_> =
            self.running.iter().filter_map(|(task, running)| running.due(*task, now)).collect();
        due.sort_by_key(|due| due.at);
        for due in due {
            self.end_task(due.at, due.task, due.state);
        }
    }

    fn end_task(&mut self, at: Moment, task: TaskId, state: TaskState) {
        let Some(running) = self.running.shift_remove(&task) else {
            return;
        };
        let mut output = Vec::new();
        if state == TaskState::Finished {
            self.ledger.effect(task, running.plan.marker);
            output = running.plan.output(running.payload);
        }
        self.ledger.end(at, running.team);
        let output_bytes = output.len() as u64;
        let ended = EndedTask { owner: running.owner, state, ended_at: at, output, output_bytes };
        self.ended.insert(task, ended);
        self.unreported.push(task);
    }

    fn grant_lease(&mut self, now: Moment, entry: EntryId, lease_ms: u64) {
        let lease_end = now + Duration::from_millis(lease_ms);
        for running in self.running.values_mut() {
            if running.owner.holder == entry {
                running.lease_end = lease_end;
            }
        }
    }

    fn entry_tasks(&self, since: Moment, is_listed: impl Fn(TaskOwner) -> bool) -> EntryTasks {
        let running = self.running.iter().filter(|(_, running)| is_listed(running.owner));
        let mut tasks: Vec<_> = running.map(|(task, _)| self.reply(*task)).collect();
        let ended = self.ended.ended_since(since).filter(|(_, ended)| is_listed(ended.owner));
        let mut listed_bytes = 0;
        for (task, ended) in ended.filter(|(_, ended)| ended.is_whole()).take(MAX_LISTED_TASKS) {
            listed_bytes += ended.output_bytes;
            if listed_bytes > MAX_LISTED_BYTES {
                break;
            }
            tasks.push(self.reply(task));
        }
        EntryTasks {
            run: self.run,
            leaving: self.is_leaving(),
            free_slots: self.free_slots(),
            tasks,
        }
    }

    fn reply(&self, task: TaskId) -> TaskReply {
        if self.running.contains_key(&task) {
            return self.empty_reply(task, TaskState::Running);
        }
        let Some(ended) = self.ended.get(task) else {
            return self.empty_reply(task, TaskState::NeverStarted);
        };
        TaskReply {
            output: ended.output.clone(),
            output_bytes: ended.output_bytes,
            ..self.empty_reply(task, ended.state)
        }
    }

    fn empty_reply(&self, task: TaskId, state: TaskState) -> TaskReply {
        TaskReply {
            task,
            run: self.run,
            state,
            output: Vec::new(),
            output_bytes: 0,
            free_slots: self.free_slots(),
        }
    }
}

impl RunningTask {
    fn next_change(&self) -> Moment {
        self.end.min(self.run_limit).min(self.lease_end)
    }

    fn due(&self, task: TaskId, now: Moment) -> Option<DueEnd> {
        let due = |at, state| Some(DueEnd { at, task, state });
        if self.lease_end <= now {
            return due(self.lease_end, TaskState::Stopped);
        }
        if self.run_limit <= now && self.run_limit < self.end {
            return due(self.run_limit, TaskState::Stopped);
        }
        if self.end > now {
            return None;
        }
        let state = if self.plan.fail { TaskState::Failed } else { TaskState::Finished };
        due(self.end, state)
    }
}
