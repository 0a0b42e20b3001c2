//! Attempts that were sent to targets and whose outcome is not confirmed yet.
//!
//! The target that an attempt is bound to is the authority on its outcome: it runs a task at most
//! once, and never after the task was fenced. An unknown outcome is therefore resolved by a check
//! call (query, fence or stop) to that target on a new connection, never by a timeout.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::TargetIncarnation;
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

/// Timeout of a check call.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks of a running task without a start call in flight, because that call
/// failed or another entry sent it.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// One attempt on a target.
#[derive(Clone, Debug)]
pub(crate) struct TaskEntry {
    /// Team whose quota the attempt uses.
    pub(crate) team: TeamId,
    /// Target that the attempt is bound to.
    pub(crate) target: BoundTarget,
    /// Whether the attempt counts against this entry's quota slice. Adopted tasks count against the
    /// lost entry's slice until that is reclaimed.
    pub(crate) counts_against_slice: bool,
    /// Whether a request or job still waits for the outcome.
    pub(crate) is_awaited: bool,
    start_call: Option<CallId>,
    check_call: Option<CallId>,
    /// Whether the check in flight prevents a later start of a task that has not started.
    check_prevents_start: bool,
    next_check_at: Moment,
    failed_checks: u32,
    needs_fence: bool,
    stop_requested: bool,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TaskOutcome {
    /// It was not started and never will be; contains the target's reason if it refused.
    NotStarted(Option<RefusalReason>),
    /// It finished with this output.
    Finished(Vec<u8>),
    /// It ran and failed.
    Failed,
    /// It was stopped while it ran.
    Stopped,
    /// Its target was removed or restarted before the outcome was known.
    Lost,
}

/// An attempt with its outcome.
#[derive(Clone, Debug)]
pub(crate) struct CompletedTask {
    pub(crate) task: TaskId,
    pub(crate) entry: TaskEntry,
    pub(crate) outcome: TaskOutcome,
}

/// All attempts whose outcome is not confirmed yet.
#[derive(Debug, Default)]
pub(crate) struct TaskRegistry {
    pub(crate) entries: IndexMap<TaskId, TaskEntry>,
    calls: IndexMap<CallId, TaskId>,
}

impl TaskRegistry {
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
            counts_against_slice: true,
            is_awaited: true,
            start_call: Some(call),
            check_call: None,
            check_prevents_start: false,
            next_check_at: out.now + times.reply_timeout,
            failed_checks: 0,
            needs_fence: false,
            stop_requested: false,
        };
        self.entries.insert(task, entry);
        self.calls.insert(call, task);
        out.push(EntryAction::Target {
            call,
            instance: target.instance,
            address: target.address,
            request: TargetRequest::Start(request),
            timeout: run_time + times.reply_timeout,
            new_connection: false,
            send_before: out.now + times.reply_timeout,
        });
    }

    /// Adds an attempt that another entry may have sent.
    pub(crate) fn adopt(&mut self, task: TaskId, team: TeamId, target: BoundTarget, now: Moment) {
        let entry = TaskEntry {
            team,
            target,
            counts_against_slice: false,
            is_awaited: true,
            start_call: None,
            check_call: None,
            check_prevents_start: false,
            next_check_at: now,
            failed_checks: 0,
            needs_fence: true,
            stop_requested: false,
        };
        self.entries.insert(task, entry);
    }

    /// Requests that an attempt is stopped, or never started if it has not started yet.
    pub(crate) fn request_stop(&mut self, task: TaskId, now: Moment) {
        let Some(entry) = self.entries.get_mut(&task) else { return };
        if !std::mem::replace(&mut entry.stop_requested, true) {
            entry.next_check_at = now;
        }
    }

    /// Detaches an attempt from its work. Its slot is still released when the outcome is known.
    pub(crate) fn detach(&mut self, task: TaskId) {
        if let Some(entry) = self.entries.get_mut(&task) {
            entry.is_awaited = false;
        }
    }

    /// Returns the targets of all attempts.
    pub(crate) fn targets(&self) -> Vec<BoundTarget> {
        let targets = self.entries.values().map(|entry| entry.target);
        targets.collect::<IndexSet<_>>().into_iter().collect()
    }

    /// Sends the check calls that are due.
    pub(crate) fn pump(&mut self, out: &mut Outbox) {
        for (task, entry) in &mut self.entries {
            if entry.check_call.is_some() || entry.next_check_at > out.now {
                continue;
            }
            let call = out.next_call();
            entry.check_call = Some(call);
            entry.check_prevents_start = entry.stop_requested || entry.needs_fence;
            self.calls.insert(call, *task);
            let request = match (entry.stop_requested, entry.needs_fence) {
                (true, _) => TargetRequest::Stop(*task),
                (false, true) => TargetRequest::Fence(*task),
                (false, false) => TargetRequest::Query(*task),
            };
            out.push(EntryAction::Target {
                call,
                instance: entry.target.instance,
                address: entry.target.address,
                request,
                timeout: CHECK_TIMEOUT,
                new_connection: true,
                send_before: out.now + CHECK_TIMEOUT,
            });
        }
    }

    /// Handles the task states in a target's reply to a lease renewal.
    ///
    /// A task that is listed as running needs no check of its own until the renewals stop. A task
    /// with another state is checked soon if the reply to its start does not arrive.
    pub(crate) fn handle_renewal(&mut self, tasks: &EntryTasks, now: Moment, times: &PolicyTimes) {
        for reply in &tasks.tasks {
            let Some(entry) = self.entries.get_mut(&reply.task) else { continue };
            let awaits_start_reply =
                entry.start_call.is_some() && !entry.stop_requested && !entry.needs_fence;
            if !awaits_start_reply || tasks.run != entry.target.run {
                continue;
            }
            if reply.state == TaskState::Running {
                let renewal_overdue_at = now + times.renew_interval + times.reply_timeout;
                entry.next_check_at = entry.next_check_at.max(renewal_overdue_at);
            } else {
                entry.next_check_at = entry.next_check_at.min(now + times.reply_timeout);
            }
        }
    }

    /// Removes and returns the attempts whose target incarnations have ended according to
    /// `has_ended`.
    pub(crate) fn take_lost(
        &mut self,
        has_ended: impl Fn(InstanceId, TargetIncarnation) -> bool,
    ) -> Vec<CompletedTask> {
        let is_lost = |entry: &TaskEntry| has_ended(entry.target.instance, entry.target.run);
        let lost = self.entries.extract_if(.., |_, entry| is_lost(entry));
        let completed = |(task, entry)| CompletedTask { task, entry, outcome: TaskOutcome::Lost };
        lost.map(completed).collect()
    }

    /// Returns the task of a call, and the instance that was called.
    pub(crate) fn task_of(&self, call: CallId) -> Option<(TaskId, InstanceId)> {
        let task = self.calls.get(&call)?;
        self.entries.get(task).map(|entry| (*task, entry.target.instance))
    }

    /// Handles a target's reply or a failed call. Returns `None` if the attempt is still unresolved
    /// or was settled before.
    pub(crate) fn handle_reply(
        &mut self,
        call: CallId,
        reply: TargetReply,
        out: &mut Outbox,
        times: &PolicyTimes,
    ) -> Option<CompletedTask> {
        let task = self.calls.swap_remove(&call)?;
        let Some(entry) = self.entries.get_mut(&task) else {
            out.counts.late_answers += 1;
            return None;
        };
        let is_start = entry.start_call == Some(call);
        if is_start {
            entry.start_call = None;
        } else {
            entry.check_call = None;
        }
        let outcome = match reply {
            TargetReply::Task(reply) => entry.handle_task_reply(reply, is_start, out, times),
            TargetReply::Failed(CallFailure::NotSent) if is_start => {
                Some(TaskOutcome::NotStarted(None))
            }
            TargetReply::Failed(_) | TargetReply::Entry(_) => {
                if is_start {
                    let event = TimelineEvent::new(TimelineName::OutcomeAsked);
                    let event = event.with_work(task.work).with_instance(entry.target.instance);
                    out.record(event);
                }
                entry.record_call_failure(is_start, out);
                None
            }
        }?;
        let entry = self.entries.swap_remove(&task)?;
        Some(CompletedTask { task, entry, outcome })
    }
}

impl TaskEntry {
    /// Handles a reply about this attempt. Returns the outcome once it is confirmed.
    fn handle_task_reply(
        &mut self,
        reply: TaskReply,
        is_start: bool,
        out: &mut Outbox,
        times: &PolicyTimes,
    ) -> Option<TaskOutcome> {
        self.failed_checks = 0;
        if reply.run != self.target.run
            && reply.state != TaskState::Refused(RefusalReason::OtherRun)
        {
            return Some(TaskOutcome::Lost);
        }
        match reply.state {
            TaskState::Finished => Some(TaskOutcome::Finished(reply.output)),
            TaskState::Failed => Some(TaskOutcome::Failed),
            TaskState::Stopped => Some(TaskOutcome::Stopped),
            TaskState::Refused(reason) if is_start => Some(TaskOutcome::NotStarted(Some(reason))),
            TaskState::NeverStarted if self.check_prevents_start => {
                Some(TaskOutcome::NotStarted(None))
            }
            TaskState::NeverStarted => {
                self.needs_fence = true;
                self.next_check_at = out.now;
                None
            }
            TaskState::Running | TaskState::Refused(_) => {
                let pause =
                    if self.start_call.is_some() { times.reply_timeout } else { CHECK_INTERVAL };
                self.next_check_at = out.now + out.jitter(pause);
                None
            }
        }
    }

    fn record_call_failure(&mut self, is_start: bool, out: &mut Outbox) {
        out.counts.failed_target_calls += 1;
        if is_start {
            self.needs_fence = true;
            self.next_check_at = out.now;
        } else {
            self.failed_checks += 1;
            self.next_check_at = out.now + backoff(self.failed_checks, out);
        }
    }
}
