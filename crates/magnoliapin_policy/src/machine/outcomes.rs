//! What follows from the end of an attempt.

use magnoliapin_model::ErrorKind;
use magnoliapin_model::InstanceId;
use magnoliapin_model::TaskId;
use magnoliapin_model::WorkId;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::JobState;
use magnoliapin_wire::PeerMessage;
use magnoliapin_wire::RefusalReason;
use magnoliapin_wire::TargetReply;

use crate::reads::ReadTag;
use crate::tasks::TaskEnd;
use crate::tasks::TaskVerdict;
use crate::work::WorkKind;
use crate::work::WorkStage;
use crate::CallId;
use crate::EntryMachine;
use crate::TimelineEvent;
use crate::TimelineName;

/// Targets that must say of some work that they can never run it.
const UNFIT_TARGETS: usize = 2;
/// Reason of a job that was stopped in mid-run.
pub(crate) const STOPPED_REASON: &str = "it was stopped while it ran";
const LOST_REASON: &str = "its target was lost while it may have run";

impl EntryMachine {
    pub(crate) fn take_task(&mut self, call: CallId, reply: TargetReply) {
        let Some((_, instance)) = self.tasks.task_of(call) else {
            self.out.counts.late_answers += 1;
            return;
        };
        match &reply {
            TargetReply::Task(reply) => {
                self.targets.note_free(instance, reply.free_slots, self.out.now);
            }
            TargetReply::Failed(_) => self.targets.note_call_failure(instance, &mut self.out),
            TargetReply::Entry(_) => {}
        }
        if let Some(end) = self.tasks.take_reply(call, reply, &mut self.out, &self.times) {
            self.settle_task(end);
        }
    }

    /// Settles the attempts whose targets are gone or were restarted.
    pub(crate) fn settle_lost_tasks(&mut self) {
        let targets = &self.targets;
        let lost = self.tasks.take_lost(|instance, run| targets.is_over(instance, run));
        for end in lost {
            self.settle_task(end);
        }
    }

    fn settle_task(&mut self, end: TaskEnd) {
        let instance = end.entry.target.instance;
        if end.entry.counted {
            self.release(end.entry.team, instance);
        }
        self.note_refusal(&end.verdict, instance);
        if !end.entry.wanted {
            return;
        }
        let work = end.task.work;
        let Some(entry) = self.work.get(work) else { return };
        if entry.stage != WorkStage::Running(end.task) {
            self.out.counts.late_answers += 1;
            return;
        }
        self.note_run_time(work, &end.verdict);
        self.note_health(work, instance, &end.verdict);
        if entry_is_request(&self.work.get(work).map(|entry| &entry.kind)) {
            self.settle_request(work, instance, end.verdict);
        } else {
            self.settle_job(end.task, instance, end.verdict);
        }
    }

    fn note_refusal(&mut self, verdict: &TaskVerdict, instance: InstanceId) {
        match verdict {
            TaskVerdict::NotStarted(Some(RefusalReason::Full)) => {
                self.out.counts.full_refusals += 1;
                self.targets.note_full(instance, &mut self.out);
            }
            TaskVerdict::NotStarted(Some(RefusalReason::Leaving)) => self.note_leaving(instance),
            TaskVerdict::NotStarted(Some(RefusalReason::Fenced)) => {
                self.targets.note_call_failure(instance, &mut self.out);
                self.check_self();
            }
            TaskVerdict::NotStarted(Some(RefusalReason::OtherRun)) => {
                self.targets.note_call_failure(instance, &mut self.out);
            }
            TaskVerdict::NotStarted(_)
            | TaskVerdict::Finished(_)
            | TaskVerdict::Failed
            | TaskVerdict::Stopped
            | TaskVerdict::Lost => {}
        }
    }

    fn note_leaving(&mut self, instance: InstanceId) {
        if !self.targets.note_leaving(instance) {
            return;
        }
        let event = TimelineEvent::new(TimelineName::TargetLeaving).with_instance(instance);
        self.out.record(event);
        for (id, record) in &self.peers.records {
            self.out.send(record.address, Some(*id), PeerMessage::TargetLeaving(instance));
        }
    }

    fn note_run_time(&mut self, work: WorkId, verdict: &TaskVerdict) {
        let Some(entry) = self.work.get(work) else { return };
        let span = self.out.now.since(entry.staged_at);
        match verdict {
            TaskVerdict::Finished(_) => self.run_times.note_run(entry.queue, span),
            TaskVerdict::Stopped => self.run_times.note_stopped(entry.queue, span),
            TaskVerdict::NotStarted(_) | TaskVerdict::Failed | TaskVerdict::Lost => {}
        }
    }

    /// Tells targets that fail everything apart from work that fails everywhere.
    fn note_health(&mut self, work: WorkId, instance: InstanceId, verdict: &TaskVerdict) {
        let Some(entry) = self.work.get_mut(work) else { return };
        let max_unavailable =
            self.config.document.pools.get(&entry.pool).map_or(0, |pool| pool.max_unavailable);
        let now = self.out.now;
        let mut set_apart = Vec::new();
        match verdict {
            TaskVerdict::Finished(_) => {
                self.targets.note_success(instance);
                for failed in std::mem::take(&mut entry.failed_at) {
                    if failed != instance
                        && self.targets.note_failure(failed, true, max_unavailable, now)
                    {
                        set_apart.push(failed);
                    }
                }
            }
            TaskVerdict::Failed => {
                let is_first = entry.failed_at.is_empty();
                entry.failed_at.insert(instance);
                if is_first && self.targets.note_failure(instance, false, max_unavailable, now) {
                    set_apart.push(instance);
                }
            }
            TaskVerdict::NotStarted(Some(RefusalReason::Unfit)) => {
                entry.unfit_at.insert(instance);
            }
            TaskVerdict::NotStarted(_) | TaskVerdict::Stopped | TaskVerdict::Lost => {}
        }
        for instance in set_apart {
            self.out.counts.quarantines += 1;
            let event = TimelineEvent::new(TimelineName::TargetQuarantined);
            self.out.record(event.with_instance(instance));
        }
    }

    /// Takes targets back whose quarantine is over.
    pub(crate) fn release_targets(&mut self) {
        for instance in self.targets.release(self.out.now) {
            let event = TimelineEvent::new(TimelineName::TargetRestored);
            self.out.record(event.with_instance(instance));
        }
    }

    fn settle_request(&mut self, work: WorkId, instance: InstanceId, verdict: TaskVerdict) {
        match verdict {
            TaskVerdict::Finished(output) => self.answer_request(work, output),
            TaskVerdict::Failed => {
                let message = format!("the work failed on instance {instance}");
                self.refuse_work(work, ErrorKind::WorkFailed, &message);
            }
            TaskVerdict::NotStarted(_) if self.is_unrunnable(work) => {
                self.refuse_unrunnable(work);
            }
            TaskVerdict::NotStarted(_) if self.has_expired(work) => self.refuse_late(work),
            TaskVerdict::NotStarted(reason) => self.try_again(work, reason),
            TaskVerdict::Stopped | TaskVerdict::Lost => {
                let idempotent = self.work.get(work).is_some_and(|entry| entry.idempotent);
                if idempotent && !self.has_expired(work) {
                    self.note_partial_run(work);
                    self.pause_work(work);
                } else {
                    let message = "the target was lost or stopped the work in mid-run";
                    self.refuse_work(work, ErrorKind::OutcomeUnknown, message);
                }
            }
        }
    }

    fn refuse_unrunnable(&mut self, work: WorkId) {
        if self.work.get(work).is_some_and(|entry| entry.may_have_run) {
            let message = "an earlier attempt was lost and no worker can run the work now";
            self.refuse_work(work, ErrorKind::OutcomeUnknown, message);
        } else {
            self.refuse_work(work, ErrorKind::Unrunnable, "no worker can ever run the work");
        }
    }

    fn note_partial_run(&mut self, work: WorkId) {
        if let Some(entry) = self.work.get_mut(work) {
            entry.may_have_run = true;
        }
    }

    /// Tries work again that was not started. A full target paces itself, other causes need a
    /// pause.
    fn try_again(&mut self, work: WorkId, reason: Option<RefusalReason>) {
        match reason {
            Some(RefusalReason::Full | RefusalReason::Unfit) => self.wait_for_slot(work),
            _ => self.pause_work(work),
        }
    }

    fn settle_job(&mut self, task: TaskId, instance: InstanceId, verdict: TaskVerdict) {
        let work = task.work;
        let Some(entry) = self.work.get_mut(work) else { return };
        let idempotent = entry.idempotent;
        let Some(hold) = entry.job_mut() else { return };
        let cancelled = hold.row.cancel_requested;
        match verdict {
            TaskVerdict::Finished(output) => {
                hold.row.output = Some(output);
                self.end_job(work, JobState::Finished, None);
            }
            TaskVerdict::Failed => {
                hold.row.failures += 1;
                if !cancelled && idempotent && hold.row.failures < hold.row.max_attempts {
                    self.pause_work(work);
                } else {
                    let reason = format!("it failed on instance {instance}");
                    self.end_job(work, JobState::Failed, Some(reason));
                }
            }
            TaskVerdict::NotStarted(_) if self.is_unrunnable(work) => {
                let reason = "no worker can ever run it".to_owned();
                self.end_job(work, JobState::Unrunnable, Some(reason));
            }
            TaskVerdict::NotStarted(_) if cancelled => {
                self.end_job(work, JobState::Cancelled, None);
            }
            TaskVerdict::Stopped if cancelled => self.end_job(work, JobState::Cancelled, None),
            TaskVerdict::NotStarted(reason) => self.try_again(work, reason),
            TaskVerdict::Stopped | TaskVerdict::Lost if idempotent => {
                self.note_partial_run(work);
                self.pause_work(work);
            }
            TaskVerdict::Stopped => {
                self.end_job(work, JobState::Unknown, Some(STOPPED_REASON.to_owned()));
            }
            TaskVerdict::Lost => {
                self.end_job(work, JobState::Unknown, Some(LOST_REASON.to_owned()));
            }
        }
    }

    fn is_unrunnable(&self, work: WorkId) -> bool {
        let Some(entry) = self.work.get(work) else { return false };
        let unfit = entry.unfit_at.len();
        let (members, unavailable) = self.targets.pool_counts(entry.pool, self.out.now);
        let available = members.saturating_sub(unavailable).max(1);
        unfit > 0 && unfit >= UNFIT_TARGETS.min(available as usize)
    }

    fn has_expired(&self, work: WorkId) -> bool {
        self.work.get(work).is_none_or(|entry| entry.deadline <= self.out.now)
    }

    fn answer_request(&mut self, work: WorkId, output: Vec<u8>) {
        let Some(entry) = self.work.remove(work) else { return };
        if let WorkKind::Request { call: Some(call) } = entry.kind {
            self.out.counts.requests_answered += 1;
            self.out.answer(call, CallerAnswer::Output { output });
        }
    }

    /// Ends a request with a refusal.
    pub(crate) fn refuse_work(&mut self, work: WorkId, kind: ErrorKind, message: &str) {
        let Some(entry) = self.work.remove(work) else { return };
        if kind == ErrorKind::OutcomeUnknown {
            self.out.counts.unknown_outcomes += 1;
        }
        if let WorkKind::Request { call: Some(call) } = entry.kind {
            self.out.refuse(call, kind, message);
        }
    }

    /// Finds out whether others took this entry for lost, which would explain a fence.
    fn check_self(&mut self) {
        let key = RowKey::Entry(self.identity.entry).to_string();
        let give_up_at = self.out.now + self.times.entry_lease;
        self.reads.push(ReadTag::CheckSelf, vec![key], give_up_at);
    }
}

fn entry_is_request(kind: &Option<&WorkKind>) -> bool {
    matches!(kind, Some(WorkKind::Request { .. }))
}
