//! Starts and stops runs, and retries orders without a reply.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::RunId;
use magnoliapin_site::StartRefusal;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;
use magnoliapin_site::TaskName;

use crate::leader::heartbeats::may_be_applied;
use crate::leader::target::RunStage;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::leader::TargetCall;
use crate::outbox::Outbox;
use crate::times::MAX_ORDER_DELAY;

#[cfg(test)]
#[path = "orders_tests.rs"]
mod tests;

const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time within which a start fails whose connection breaks, as its target ends. It is shorter than the timeout of a start,
/// less what the clock of an agent may be off.
const MAX_BREAK_TIME: Duration = Duration::from_millis(75);
/// Starts without a reply after which the run is stopped instead: the target may have started it,
/// and only a stop guarantees that it does not start later.
const MAX_UNCONFIRMED_STARTS: u32 = 3;
/// How long a target gets no new work after it refused a start as unhealthy or full.
const REFUSAL_PAUSE: Duration = Duration::from_millis(300);

impl Leader {
    /// Sends the start of a run to its target, unless another leader may have taken over since the
    /// store last confirmed this one: the target's next incarnation knows no fence, so that only the
    /// time protects it from the start. Nothing is sent to an evacuated zone, or while it is not known
    /// which zones are evacuated.
    pub(super) fn send_start(&mut self, key: TargetKey, run: RunId, out: &mut Outbox) {
        if self.is_evacuated(key) {
            return self.withdraw_start(key, run.task, out);
        }
        if !self.is_confirmed(out.now) {
            log::warn!(
                "event=start_held task={} attempt={} target={} confirmed_ms_ago={}",
                run.task,
                run.attempt,
                self.target_name(key),
                out.now.since(self.confirmed_at).as_millis()
            );
            return self.plan_again(key, run);
        }
        if self.holds_starts(out.now) {
            return self.retry_order_at(key, run.task, out.now + RETRY_DELAY);
        }
        let times = self.identity.times;
        let confirmed_at = self.confirmed_at;
        let job = self.job_keys.get(&run.task.job).and_then(|job| self.jobs.get(job));
        let Some(job) = job else {
            // The job has finished since the run was planned.
            return self.stop_run(key, run.task);
        };
        let payload = job.spec.payload.clone();
        let input = job.input.map(|input| (job.id, input));
        let checkpoint = job.task(run.task).and_then(|task| task.checkpoint.clone());
        let Some(target) = self.targets.get_mut(&key) else { return };
        // A start that another incarnation may get could run there for longer than this leader knows.
        let awaits_report = target.runs.get(&run.task).is_some_and(|run| run.awaits_report);
        if !target.is_same_incarnation || awaits_report {
            return self.retry_order_at(key, run.task, out.now + RETRY_DELAY);
        }
        let fence = target.fence;
        let is_silent = self.silent_targets.contains(&target.record.name);
        let lease = if is_silent { None } else { target.next_lease(out.now, confirmed_at, &times) };
        let Some(lease_until_ms) = lease else {
            // The target's clock is unknown before its first report, and its lease is not extended
            // as long as the batch row lists it as silent.
            return self.retry_order_at(key, run.task, out.now + RETRY_DELAY);
        };
        let request =
            TargetRequest::Start { run, payload, lease_until_ms, fence, checkpoint, ticket: None };
        let Some(state) = target.runs.get(&run.task) else { return };
        let is_first = state.unconfirmed_starts == 0;
        // An input must be read before it is sent.
        let is_short = is_first && input.is_none();
        let timeout = if is_short { times.first_start_timeout } else { times.order_timeout };
        let kind = TargetCall::Start(key, run);
        self.call_target_with_input(key, kind, request, input, timeout, out);
    }

    /// Handles the reply to a start.
    pub(super) fn handle_start_reply(
        &mut self,
        key: TargetKey,
        id: RunId,
        reply: &TargetReply,
        out: &mut Outbox,
    ) {
        let Some(run) = self.run_mut(key, id) else { return };
        run.record_start_reply(reply);
        match reply {
            TargetReply::Done { clock_ms } => {
                run.confirmed_at = Some(out.now);
                if run.stage == RunStage::Starting {
                    run.stage = RunStage::Running;
                }
                self.check_clock(key, *clock_ms, out);
            }
            TargetReply::Refused { clock_ms, reason } => {
                self.handle_start_refusal(key, id, *reason, out);
                if let Some(clock_ms) = clock_ms {
                    self.check_clock(key, *clock_ms, out);
                }
            }
            TargetReply::OtherIncarnation => {
                if !self.handle_other_name(key, out) {
                    self.retry_order_at(key, id.task, out.now + RETRY_DELAY);
                }
            }
            TargetReply::Failed(failure) if may_be_applied(*failure) => {
                run.unconfirmed_starts += 1;
                let sent_for = run.start_sent_at.map(|at| out.now.since(at));
                run.has_broken_off |= sent_for.is_some_and(|time| time < MAX_BREAK_TIME);
                log::warn!(
                    "event=start_unanswered task={} attempt={} times={}",
                    id.task,
                    id.attempt,
                    run.unconfirmed_starts
                );
                let late_until = run.start_sent_at.map(|at| at + MAX_ORDER_DELAY);
                if run.unconfirmed_starts >= MAX_UNCONFIRMED_STARTS {
                    run.stage = RunStage::Stopping;
                    run.unconfirmed_starts = 0;
                }
                if let Some(until) = late_until {
                    let target = self.target_name(key);
                    self.late_starts.add_unanswered(id.task, target, until, out.now);
                }
                self.due_orders.push((key, id.task));
            }
            TargetReply::Failed(_) | TargetReply::Report(_) => {
                self.retry_order_at(key, id.task, out.now + RETRY_DELAY);
            }
        }
    }

    fn handle_start_refusal(
        &mut self,
        key: TargetKey,
        id: RunId,
        reason: StartRefusal,
        out: &mut Outbox,
    ) {
        log::info!(
            "event=start_refused task={} attempt={} target={} why={reason:?}",
            id.task,
            id.attempt,
            self.target_name(key)
        );
        let Some(target) = self.targets.get_mut(&key) else { return };
        let Some(run) = target.runs.get_mut(&id.task) else { return };
        match reason {
            StartRefusal::Fenced => return self.depose("a target obeys a newer leader"),
            StartRefusal::Outdated => {
                // The run has finished there, or was stopped before it started. The next report
                // lists its completion or omits the run.
                run.confirmed_at = Some(out.now);
                return;
            }
            StartRefusal::NoRoom | StartRefusal::Unhealthy => {
                target.health.starts_paused_until = Some(out.now + REFUSAL_PAUSE);
            }
            StartRefusal::LeaseOver | StartRefusal::NoTicket | StartRefusal::Malformed => {}
        }
        if run.unconfirmed_starts > 0 {
            // An earlier start without a reply may have started the run, or may still arrive.
            run.stage = RunStage::Stopping;
            return self.retry_order_at(key, id.task, out.now);
        }
        self.drop_run(key, id.task, out);
    }

    /// Handles the reply to a stop.
    pub(super) fn handle_stop_reply(
        &mut self,
        key: TargetKey,
        id: RunId,
        reply: &TargetReply,
        out: &mut Outbox,
    ) {
        let Some(run) = self.run_mut(key, id) else { return };
        match reply {
            // The next report lists the completion, or omits a run that never started.
            TargetReply::Done { .. } => run.confirmed_at = Some(out.now),
            TargetReply::Refused { reason: StartRefusal::Fenced, .. } => {
                self.depose("a target obeys a newer leader");
            }
            TargetReply::OtherIncarnation => {
                if !self.handle_other_name(key, out) {
                    self.retry_order_at(key, id.task, out.now + RETRY_DELAY);
                }
            }
            TargetReply::Refused { .. } | TargetReply::Failed(_) | TargetReply::Report(_) => {
                self.retry_order_at(key, id.task, out.now + RETRY_DELAY);
            }
        }
    }

    /// Sends the orders that are due.
    pub(super) fn poll_orders(&mut self, out: &mut Outbox) {
        let now = out.now;
        let due: Vec<_> = self.delayed_orders.extract_if(.., |(at, ..)| *at <= now).collect();
        self.due_orders.extend(due.into_iter().map(|(_, key, task)| (key, task)));
        for (key, task) in std::mem::take(&mut self.due_orders) {
            let run = self.targets.get(&key).and_then(|target| target.runs.get(&task));
            let Some(run) = run else { continue };
            let id = RunId { task, attempt: run.attempt };
            let fence = self.targets.get(&key).map_or(self.generation, |target| target.fence);
            match run.stage {
                RunStage::Starting => self.send_start(key, id, out),
                RunStage::Stopping => {
                    let request = TargetRequest::Stop { run: id, fence };
                    let timeout = self.identity.times.order_timeout;
                    self.call_target(key, TargetCall::Stop(key, id), request, timeout, out);
                }
                RunStage::Planned | RunStage::Running => {}
            }
        }
    }

    fn retry_order_at(&mut self, key: TargetKey, task: TaskName, at: Moment) {
        self.delayed_orders.push((at, key, task));
    }
}
