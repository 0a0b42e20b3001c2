//! Handling of the outcome of attempts.

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
use crate::tasks::CompletedTask;
use crate::tasks::TaskOutcome;
use crate::work::WorkKind;
use crate::work::WorkStage;
use crate::CallId;
use crate::EntryMachine;
use crate::TimelineEvent;
use crate::TimelineName;

/// Number of targets that must report work as unfit before it counts as unrunnable; fewer suffice
/// if fewer are available.
const MIN_UNFIT_TARGETS: usize = 2;
/// Reason stored with a job that was stopped while it ran.
pub(crate) const STOPPED_REASON: &str = "it was stopped while it ran";
const LOST_REASON: &str = "its target was lost while it may have run";

impl EntryMachine {
    pub(crate) fn handle_task_reply(&mut self, call: CallId, reply: TargetReply) {
        let Some((_, instance)) = self.tasks.task_of(call) else {
            self.out.counts.late_answers += 1;
            return;
        };
        match &reply {
            TargetReply::Task(reply) => {
                self.targets.record_free_slots(instance, reply.free_slots, self.out.now);
            }
            TargetReply::Failed(_) => self.targets.record_call_failure(instance, &mut self.out),
            TargetReply::Entry(_) => {}
        }
        if let Some(completed) = self.tasks.handle_reply(call, reply, &mut self.out, &self.times) {
            self.handle_completed_task(completed);
        }
    }

    /// Handles the attempts whose targets have been removed or restarted.
    pub(crate) fn handle_lost_tasks(&mut self) {
        let targets = &self.targets;
        let lost = self.tasks.take_lost(|instance, run| targets.has_ended(instance, run));
        for completed in lost {
            self.handle_completed_task(completed);
        }
    }

    fn handle_completed_task(&mut self, completed: CompletedTask) {
        let instance = completed.entry.target.instance;
        if completed.entry.counts_against_slice {
            self.release_slot(completed.entry.team, instance);
        }
        self.record_refusal(&completed.outcome, instance);
        if !completed.entry.is_awaited {
            return;
        }
        let work = completed.task.work;
        let Some(entry) = self.work.get(work) else { return };
        if entry.stage != WorkStage::Running(completed.task) {
            self.out.counts.late_answers += 1;
            return;
        }
        self.record_crash(&completed);
        self.record_run_time(work, &completed.outcome);
        self.record_target_health(work, instance, &completed.outcome);
        if entry_is_request(&self.work.get(work).map(|entry| &entry.kind)) {
            self.handle_request_outcome(work, instance, completed.outcome);
        } else {
            self.handle_job_outcome(completed.task, instance, completed.outcome);
        }
    }

    fn record_refusal(&mut self, outcome: &TaskOutcome, instance: InstanceId) {
        match outcome {
            TaskOutcome::NotStarted(Some(RefusalReason::Full)) => {
                self.out.counts.full_refusals += 1;
                self.targets.record_full_refusal(instance, &mut self.out);
            }
            TaskOutcome::NotStarted(Some(RefusalReason::Leaving)) => {
                self.mark_target_leaving(instance);
            }
            TaskOutcome::NotStarted(Some(RefusalReason::Fenced)) => {
                self.targets.record_call_failure(instance, &mut self.out);
                self.check_own_row_after_fence();
            }
            TaskOutcome::NotStarted(Some(RefusalReason::OtherRun)) => {
                self.targets.record_call_failure(instance, &mut self.out);
            }
            TaskOutcome::NotStarted(_)
            | TaskOutcome::Finished(_)
            | TaskOutcome::Failed
            | TaskOutcome::Stopped
            | TaskOutcome::Lost => {}
        }
    }

    fn mark_target_leaving(&mut self, instance: InstanceId) {
        if !self.targets.mark_leaving(instance) {
            return;
        }
        let event = TimelineEvent::new(TimelineName::TargetLeaving).with_instance(instance);
        self.out.record(event);
        for (id, record) in &self.peers.records {
            self.out.send(record.address, Some(*id), PeerMessage::TargetLeaving(instance));
        }
    }

    fn record_run_time(&mut self, work: WorkId, outcome: &TaskOutcome) {
        let Some(entry) = self.work.get(work) else { return };
        let span = self.out.now.since(entry.stage_time);
        match outcome {
            TaskOutcome::Finished(_) => self.run_times.record_run(entry.queue, span),
            TaskOutcome::Stopped => self.run_times.record_stopped(entry.queue, span),
            TaskOutcome::NotStarted(_) | TaskOutcome::Failed | TaskOutcome::Lost => {}
        }
    }

    /// Distinguishes targets that fail every task from work that fails on every target.
    ///
    /// A failure counts as confirmed once the same work has finished on another target.
    fn record_target_health(&mut self, work: WorkId, instance: InstanceId, outcome: &TaskOutcome) {
        let Some(entry) = self.work.get_mut(work) else { return };
        let max_unavailable =
            self.config.document.pools.get(&entry.pool).map_or(0, |pool| pool.max_unavailable);
        let now = self.out.now;
        let mut quarantined = Vec::new();
        match outcome {
            TaskOutcome::Finished(_) => {
                self.targets.record_success(instance);
                for failed in std::mem::take(&mut entry.failed_on) {
                    if failed != instance
                        && self.targets.record_failure(failed, true, max_unavailable, now)
                    {
                        quarantined.push(failed);
                    }
                }
            }
            TaskOutcome::Failed => {
                let is_first = entry.failed_on.is_empty();
                entry.failed_on.insert(instance);
                if is_first && self.targets.record_failure(instance, false, max_unavailable, now) {
                    quarantined.push(instance);
                }
            }
            TaskOutcome::NotStarted(Some(RefusalReason::Unfit)) => {
                entry.unfit_on.insert(instance);
            }
            TaskOutcome::NotStarted(_) | TaskOutcome::Stopped | TaskOutcome::Lost => {}
        }
        for instance in quarantined {
            self.out.counts.quarantines += 1;
            let event = TimelineEvent::new(TimelineName::TargetQuarantined);
            self.out.record(event.with_instance(instance));
        }
    }

    /// Restores targets whose quarantine has expired.
    pub(crate) fn release_quarantined_targets(&mut self) {
        for instance in self.targets.release_expired_quarantines(self.out.now) {
            let event = TimelineEvent::new(TimelineName::TargetRestored);
            self.out.record(event.with_instance(instance));
        }
    }

    fn handle_request_outcome(&mut self, work: WorkId, instance: InstanceId, outcome: TaskOutcome) {
        match outcome {
            TaskOutcome::Finished(output) => self.answer_request(work, output),
            TaskOutcome::Failed => {
                let message = format!("the work failed on instance {instance}");
                self.refuse_work(work, ErrorKind::WorkFailed, &message);
            }
            TaskOutcome::NotStarted(_) if self.is_unrunnable(work) => {
                self.refuse_unrunnable(work);
            }
            TaskOutcome::NotStarted(_) if self.has_expired(work) => self.refuse_expired(work),
            TaskOutcome::NotStarted(reason) => self.retry_not_started(work, reason),
            TaskOutcome::Lost if self.is_crashing_targets(work) => {
                let message = self.crash_reason(work);
                self.refuse_work(work, ErrorKind::OutcomeUnknown, &message);
            }
            TaskOutcome::Stopped | TaskOutcome::Lost => {
                let idempotent = self.work.get(work).is_some_and(|entry| entry.idempotent);
                if idempotent && !self.has_expired(work) {
                    self.retry_interrupted(work);
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

    /// Retries work that was not started.
    ///
    /// A full target has a backoff of its own, and an unfit one is avoided if another has a free
    /// slot. Other causes need a backoff.
    fn retry_not_started(&mut self, work: WorkId, reason: Option<RefusalReason>) {
        match reason {
            Some(RefusalReason::Full | RefusalReason::Unfit) => self.enqueue_work(work),
            _ => self.retry_after_backoff(work),
        }
    }

    fn handle_job_outcome(&mut self, task: TaskId, instance: InstanceId, outcome: TaskOutcome) {
        let work = task.work;
        let Some(entry) = self.work.get_mut(work) else { return };
        let idempotent = entry.idempotent;
        let Some(job) = entry.job_mut() else { return };
        let cancelled = job.row.cancel_requested;
        match outcome {
            TaskOutcome::Finished(output) => {
                job.row.output = Some(output);
                self.finish_job(work, JobState::Finished, None);
            }
            TaskOutcome::Failed => {
                job.row.failures += 1;
                if !cancelled && idempotent && job.row.failures < job.row.max_attempts {
                    self.retry_after_backoff(work);
                } else {
                    let reason = format!("it failed on instance {instance}");
                    self.finish_job(work, JobState::Failed, Some(reason));
                }
            }
            TaskOutcome::NotStarted(_) if self.is_unrunnable(work) => {
                let reason = "no worker can ever run it".to_owned();
                self.finish_job(work, JobState::Unrunnable, Some(reason));
            }
            TaskOutcome::NotStarted(_) if cancelled => {
                self.finish_job(work, JobState::Cancelled, None);
            }
            TaskOutcome::Stopped if cancelled => self.finish_job(work, JobState::Cancelled, None),
            TaskOutcome::NotStarted(reason) => self.retry_not_started(work, reason),
            TaskOutcome::Lost if idempotent && self.is_crashing_targets(work) => {
                let reason = self.crash_reason(work);
                self.finish_job(work, JobState::Failed, Some(reason));
            }
            TaskOutcome::Stopped | TaskOutcome::Lost if idempotent => {
                self.retry_interrupted(work);
            }
            TaskOutcome::Stopped => {
                self.finish_job(work, JobState::Unknown, Some(STOPPED_REASON.to_owned()));
            }
            TaskOutcome::Lost => {
                self.finish_job(work, JobState::Unknown, Some(LOST_REASON.to_owned()));
            }
        }
    }

    fn is_unrunnable(&self, work: WorkId) -> bool {
        let Some(entry) = self.work.get(work) else { return false };
        let unfit = entry.unfit_on.len();
        let (members, unavailable) = self.targets.pool_counts(entry.pool, self.out.now);
        let available = members.saturating_sub(unavailable).max(1);
        unfit > 0 && unfit >= MIN_UNFIT_TARGETS.min(available as usize)
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

    /// Removes a request and refuses its caller.
    pub(crate) fn refuse_work(&mut self, work: WorkId, kind: ErrorKind, message: &str) {
        let Some(entry) = self.work.remove(work) else { return };
        if kind == ErrorKind::OutcomeUnknown {
            self.out.counts.unknown_outcomes += 1;
        }
        if let WorkKind::Request { call: Some(call) } = entry.kind {
            self.out.refuse(call, kind, message);
        }
    }

    /// Checks whether another entry has taken this one over, which would explain a fence.
    fn check_own_row_after_fence(&mut self) {
        let key = RowKey::Entry(self.identity.entry).to_string();
        let give_up_at = self.out.now + self.times.entry_lease;
        self.reads.push(ReadTag::CheckSelf, vec![key], give_up_at);
    }
}

fn entry_is_request(kind: &Option<&WorkKind>) -> bool {
    matches!(kind, Some(WorkKind::Request { .. }))
}
