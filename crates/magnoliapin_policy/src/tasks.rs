//! Attempts that were sent to targets, until it is proved how each one ended.
//!
//! The target that an attempt is bound to is the judge of it: it runs a task at most once, and
//! never after it was fenced. So an outcome that is not known is settled by asking that target,
//! on a new connection, and never by a clock.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::TargetRun;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use magnoliapin_wire::rows::BoundTarget;
use magnoliapin_wire::CallFailure;
use magnoliapin_wire::EntryTasks;
use magnoliapin_wire::RefusalReason;
use magnoliapin_wire::StartTask;
use magnoliapin_wire::TargetReply;
use magnoliapin_wire::TargetRequest;
use magnoliapin_wire::TaskReply;
use magnoliapin_wire::TaskState;

use crate::commit::backoff;
use crate::outbox::Outbox;
use crate::CallId;
use crate::EntryAction;
use crate::PolicyTimes;
use crate::TimelineEvent;
use crate::TimelineName;

/// Time after which a question to a target has failed.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two questions about a task that runs although its connection is gone.
const ASK_PAUSE: Duration = Duration::from_millis(200);

/// One attempt at a target.
#[derive(Clone, Debug)]
pub(crate) struct TaskEntry {
    /// Team that it counts for.
    pub(crate) team: TeamId,
    /// Target that it is bound to.
    pub(crate) target: BoundTarget,
    /// Whether it counts against the part that this entry holds. Tasks taken over count against
    /// the lost entry's part until that is taken over too.
    pub(crate) counted: bool,
    /// Whether some work still waits for its outcome.
    pub(crate) wanted: bool,
    start_call: Option<CallId>,
    ask_call: Option<CallId>,
    /// Whether the question in flight makes sure that a task not yet started never will be.
    ask_fences: bool,
    next_ask: Moment,
    failed_asks: u32,
    fence: bool,
    stop: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TaskVerdict {
    /// It was not started and never will be.
    NotStarted(Option<RefusalReason>),
    /// It ran to its end.
    Finished(Vec<u8>),
    /// It ran and failed.
    Failed,
    /// It was stopped in mid-run.
    Stopped,
    /// Its target is gone or has forgotten it.
    Lost,
}

/// A verdict with its attempt.
#[derive(Clone, Debug)]
pub(crate) struct TaskEnd {
    pub(crate) task: TaskId,
    pub(crate) entry: TaskEntry,
    pub(crate) verdict: TaskVerdict,
}

/// Every attempt whose end is not proved yet.
#[derive(Debug, Default)]
pub(crate) struct TaskBook {
    pub(crate) entries: IndexMap<TaskId, TaskEntry>,
    calls: IndexMap<CallId, TaskId>,
}

impl TaskBook {
    /// Sends an attempt to its target.
    pub(crate) fn start(
        &mut self,
        request: StartTask,
        target: BoundTarget,
        out: &mut Outbox,
        times: &PolicyTimes,
    ) {
        let task = request.task;
        let call = out.next_call();
        let run_time = Duration::from_millis(request.max_run_ms);
        let entry = TaskEntry {
            team: request.team,
            target,
            counted: true,
            wanted: true,
            start_call: Some(call),
            ask_call: None,
            ask_fences: false,
            next_ask: out.now + times.silence,
            failed_asks: 0,
            fence: false,
            stop: false,
        };
        self.entries.insert(task, entry);
        self.calls.insert(call, task);
        out.push(EntryAction::Target {
            call,
            instance: target.instance,
            address: target.address,
            request: TargetRequest::Start(request),
            timeout: run_time + times.silence,
            new_connection: false,
            send_before: out.now + times.silence,
        });
    }

    /// Takes an attempt over that another entry may have sent.
    pub(crate) fn adopt(&mut self, task: TaskId, team: TeamId, target: BoundTarget, now: Moment) {
        let entry = TaskEntry {
            team,
            target,
            counted: false,
            wanted: true,
            start_call: None,
            ask_call: None,
            ask_fences: false,
            next_ask: now,
            failed_asks: 0,
            fence: true,
            stop: false,
        };
        self.entries.insert(task, entry);
    }

    /// Wants an attempt stopped; if it has not started, it never will.
    pub(crate) fn stop_once(&mut self, task: TaskId, now: Moment) {
        let Some(entry) = self.entries.get_mut(&task) else { return };
        if !std::mem::replace(&mut entry.stop, true) {
            entry.next_ask = now;
        }
    }

    /// Leaves an attempt to itself: its end still counts, but no work waits for it.
    pub(crate) fn abandon(&mut self, task: TaskId) {
        if let Some(entry) = self.entries.get_mut(&task) {
            entry.wanted = false;
        }
    }

    /// Returns the targets at which attempts are held.
    pub(crate) fn targets(&self) -> Vec<BoundTarget> {
        let targets = self.entries.values().map(|entry| entry.target);
        targets.collect::<IndexSet<_>>().into_iter().collect()
    }

    /// Asks targets about attempts that have been silent for too long.
    pub(crate) fn pump(&mut self, out: &mut Outbox) {
        for (task, entry) in &mut self.entries {
            if entry.ask_call.is_some() || entry.next_ask > out.now {
                continue;
            }
            let call = out.next_call();
            entry.ask_call = Some(call);
            entry.ask_fences = entry.stop || entry.fence;
            self.calls.insert(call, *task);
            let request = match (entry.stop, entry.fence) {
                (true, _) => TargetRequest::Stop(*task),
                (false, true) => TargetRequest::Fence(*task),
                (false, false) => TargetRequest::Query(*task),
            };
            out.push(EntryAction::Target {
                call,
                instance: entry.target.instance,
                address: entry.target.address,
                request,
                timeout: ASK_TIMEOUT,
                new_connection: true,
                send_before: out.now + ASK_TIMEOUT,
            });
        }
    }

    /// Takes what a target says of an entry's tasks when it renews their leases.
    ///
    /// It is a sign of life of each task that runs, so that only those are asked about one by one
    /// whose renewals stop.
    pub(crate) fn note_renewal(&mut self, tasks: &EntryTasks, now: Moment, times: &PolicyTimes) {
        for reply in &tasks.tasks {
            let Some(entry) = self.entries.get_mut(&reply.task) else { continue };
            let is_quiet = entry.start_call.is_some() && !entry.stop && !entry.fence;
            if !is_quiet || tasks.run != entry.target.run {
                continue;
            }
            if reply.state == TaskState::Running {
                let renewed = now + times.renew_interval + times.silence;
                entry.next_ask = entry.next_ask.max(renewed);
            } else {
                entry.next_ask = entry.next_ask.min(now + times.silence);
            }
        }
    }

    /// Returns the attempts whose targets are over according to `is_over`, and forgets them.
    pub(crate) fn take_lost(
        &mut self,
        is_over: impl Fn(InstanceId, TargetRun) -> bool,
    ) -> Vec<TaskEnd> {
        let over = |entry: &TaskEntry| is_over(entry.target.instance, entry.target.run);
        let lost = self.entries.extract_if(.., |_, entry| over(entry));
        let end = |(task, entry)| TaskEnd { task, entry, verdict: TaskVerdict::Lost };
        lost.map(end).collect()
    }

    /// Returns the task that a call is about.
    pub(crate) fn task_of(&self, call: CallId) -> Option<(TaskId, InstanceId)> {
        let task = self.calls.get(&call)?;
        self.entries.get(task).map(|entry| (*task, entry.target.instance))
    }

    /// Takes a target's answer. Returns none if the attempt goes on or was settled before.
    pub(crate) fn take_reply(
        &mut self,
        call: CallId,
        reply: TargetReply,
        out: &mut Outbox,
        times: &PolicyTimes,
    ) -> Option<TaskEnd> {
        let task = self.calls.swap_remove(&call)?;
        let Some(entry) = self.entries.get_mut(&task) else {
            out.counts.late_answers += 1;
            return None;
        };
        let is_start = entry.start_call == Some(call);
        if is_start {
            entry.start_call = None;
        } else {
            entry.ask_call = None;
        }
        let verdict = match reply {
            TargetReply::Task(reply) => entry.judge(reply, is_start, out, times),
            TargetReply::Failed(CallFailure::NotSent) if is_start => {
                Some(TaskVerdict::NotStarted(None))
            }
            TargetReply::Failed(_) | TargetReply::Entry(_) => {
                if is_start {
                    let event = TimelineEvent::new(TimelineName::OutcomeAsked);
                    let event = event.with_work(task.work).with_instance(entry.target.instance);
                    out.record(event);
                }
                entry.note_failure(is_start, out);
                None
            }
        }?;
        let entry = self.entries.swap_remove(&task)?;
        Some(TaskEnd { task, entry, verdict })
    }
}

impl TaskEntry {
    fn judge(
        &mut self,
        reply: TaskReply,
        is_start: bool,
        out: &mut Outbox,
        times: &PolicyTimes,
    ) -> Option<TaskVerdict> {
        self.failed_asks = 0;
        if reply.run != self.target.run
            && reply.state != TaskState::Refused(RefusalReason::OtherRun)
        {
            return Some(TaskVerdict::Lost);
        }
        match reply.state {
            TaskState::Finished => Some(TaskVerdict::Finished(reply.output)),
            TaskState::Failed => Some(TaskVerdict::Failed),
            TaskState::Stopped => Some(TaskVerdict::Stopped),
            TaskState::Refused(reason) if is_start => Some(TaskVerdict::NotStarted(Some(reason))),
            TaskState::NeverStarted if self.ask_fences => Some(TaskVerdict::NotStarted(None)),
            TaskState::NeverStarted => {
                self.fence = true;
                self.next_ask = out.now;
                None
            }
            TaskState::Running | TaskState::Refused(_) => {
                let pause = if self.start_call.is_some() { times.silence } else { ASK_PAUSE };
                self.next_ask = out.now + out.jitter(pause);
                None
            }
        }
    }

    fn note_failure(&mut self, is_start: bool, out: &mut Outbox) {
        out.counts.failed_target_calls += 1;
        if is_start {
            self.fence = true;
            self.next_ask = out.now;
        } else {
            self.failed_asks += 1;
            self.next_ask = out.now + backoff(self.failed_asks, out);
        }
    }
}
