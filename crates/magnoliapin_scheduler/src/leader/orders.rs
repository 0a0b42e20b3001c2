//! Starts and stops runs, and settles orders that had no answer.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::RunId;
use magnoliapin_site::StartRefusal;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;
use magnoliapin_site::TaskName;

use crate::leader::holds::may_be_done;
use crate::leader::registrations::TargetLoss;
use crate::leader::target::RunStage;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::leader::TargetCall;
use crate::outbox::Outbox;

/// Pause before an order is sent again.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);
/// Starts without an answer after which the run is stopped instead: it may have begun, and only a
/// stop makes sure that it never will.
const START_TRIES: u32 = 3;
/// How long a target gets no work after it said that it is unhealthy or has no room.
const REFUSAL_PAUSE: Duration = Duration::from_millis(300);

impl Leader {
    /// Sends a start that the dispatcher has decided on.
    pub(super) fn send_start(&mut self, key: TargetKey, run: RunId, out: &mut Outbox) {
        let times = self.identity.times;
        let confirmed_at = self.confirmed_at;
        let fence = self.generation;
        let job = self.job_keys.get(&run.task.job).and_then(|job| self.jobs.get(job));
        let Some(job) = job else { return };
        let payload = job.spec.payload.clone();
        let checkpoint = job.task(run.task).and_then(|task| task.checkpoint.clone());
        let Some(target) = self.targets.get_mut(&key) else { return };
        let Some(lease_until_ms) = target.next_lease(out.now, confirmed_at, &times) else {
            // Its clock is not known before its first report.
            return self.repeat_later(key, run.task, out.now + REPEAT_PAUSE);
        };
        let request =
            TargetRequest::Start { run, payload, lease_until_ms, fence, checkpoint, ticket: None };
        self.call_target(key, TargetCall::Start(key, run), request, times.order_timeout, out);
    }

    /// Takes the answer to a start.
    pub(super) fn take_start(
        &mut self,
        key: TargetKey,
        id: RunId,
        reply: &TargetReply,
        out: &mut Outbox,
    ) {
        let Some(run) = self.run_mut(key, id) else { return };
        match reply {
            TargetReply::Done { clock_ms } => {
                run.confirmed_at = Some(out.now);
                if run.stage == RunStage::Starting {
                    run.stage = RunStage::Running;
                }
                self.check_clock(key, *clock_ms, out);
            }
            TargetReply::Refused { clock_ms, reason } => {
                self.take_refusal(key, id, *reason, out);
                if let Some(clock_ms) = clock_ms {
                    self.check_clock(key, *clock_ms, out);
                }
            }
            TargetReply::OtherLife => self.remove_target(key, TargetLoss::OtherLife, out),
            TargetReply::Failed(failure) if may_be_done(*failure) => {
                run.unanswered += 1;
                log::warn!(
                    "event=start_unanswered task={} attempt={} times={}",
                    id.task,
                    id.attempt,
                    run.unanswered
                );
                if run.unanswered >= START_TRIES {
                    run.stage = RunStage::Stopping;
                    run.unanswered = 0;
                }
                self.due_orders.push((key, id.task));
            }
            TargetReply::Failed(_) | TargetReply::Report(_) => {
                self.repeat_later(key, id.task, out.now + REPEAT_PAUSE);
            }
        }
    }

    fn take_refusal(&mut self, key: TargetKey, id: RunId, reason: StartRefusal, out: &mut Outbox) {
        log::info!(
            "event=start_refused task={} attempt={} target={} why={reason:?}",
            id.task,
            id.attempt,
            self.target_name(key)
        );
        let Some(target) = self.targets.get_mut(&key) else { return };
        let Some(run) = target.runs.get_mut(&id.task) else { return };
        match reason {
            StartRefusal::Fenced => return self.depose("a target obeys a newer scheduler"),
            StartRefusal::Outdated => {
                // It has run there and ended, or was stopped before it began: the next report
                // lists its end, or leaves it out.
                run.confirmed_at = Some(out.now);
                return;
            }
            StartRefusal::NoRoom | StartRefusal::Unhealthy => {
                target.health.shunned_until = Some(out.now + REFUSAL_PAUSE);
            }
            StartRefusal::LeaseOver | StartRefusal::NoTicket | StartRefusal::Malformed => {}
        }
        if run.unanswered > 0 {
            // A call before this one may have begun it, or may still do so.
            run.stage = RunStage::Stopping;
            return self.repeat_later(key, id.task, out.now);
        }
        self.drop_run(key, id.task, out);
    }

    /// Takes the answer to a stop.
    pub(super) fn take_stop(
        &mut self,
        key: TargetKey,
        id: RunId,
        reply: &TargetReply,
        out: &mut Outbox,
    ) {
        let Some(run) = self.run_mut(key, id) else { return };
        match reply {
            // The next report lists it as ended, or it never ran and is missing there.
            TargetReply::Done { .. } => run.confirmed_at = Some(out.now),
            TargetReply::Refused { reason: StartRefusal::Fenced, .. } => {
                self.depose("a target obeys a newer scheduler");
            }
            TargetReply::OtherLife => self.remove_target(key, TargetLoss::OtherLife, out),
            TargetReply::Refused { .. } | TargetReply::Failed(_) | TargetReply::Report(_) => {
                self.repeat_later(key, id.task, out.now + REPEAT_PAUSE);
            }
        }
    }

    /// Sends the orders that are due.
    pub(super) fn poll_orders(&mut self, out: &mut Outbox) {
        let now = out.now;
        let later: Vec<_> = self.later_orders.extract_if(.., |(at, ..)| *at <= now).collect();
        self.due_orders.extend(later.into_iter().map(|(_, key, task)| (key, task)));
        for (key, task) in std::mem::take(&mut self.due_orders) {
            let run = self.targets.get(&key).and_then(|target| target.runs.get(&task));
            let Some(run) = run else { continue };
            let id = RunId { task, attempt: run.attempt };
            match run.stage {
                RunStage::Starting => self.send_start(key, id, out),
                RunStage::Stopping => {
                    let request = TargetRequest::Stop { run: id, fence: self.generation };
                    let timeout = self.identity.times.order_timeout;
                    self.call_target(key, TargetCall::Stop(key, id), request, timeout, out);
                }
                RunStage::Planned | RunStage::Running => {}
            }
        }
    }

    fn repeat_later(&mut self, key: TargetKey, task: TaskName, at: Moment) {
        self.later_orders.push((at, key, task));
    }
}
