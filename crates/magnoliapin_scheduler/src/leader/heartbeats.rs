//! Heartbeats to the targets, which extend their leases and return running and completed runs.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::CallFailure;
use magnoliapin_site::RunReport;
use magnoliapin_site::StartRefusal;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;
use magnoliapin_site::TaskName;

use crate::leader::registrations::TargetLoss;
use crate::leader::target::ClockReading;
use crate::leader::target::HeartbeatState;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::target::UnstoredCompletion;
use crate::leader::Leader;
use crate::leader::TargetCall;
use crate::outbox::Outbox;

/// Pause after a failed heartbeat.
const FAILED_HEARTBEAT_PAUSE: Duration = Duration::from_millis(200);
/// Wait of a heartbeat that may not extend the lease yet because the batch row lists the target as
/// silent.
const SILENT_TARGET_WAIT: Duration = Duration::from_millis(50);
/// Time after a report within which no other incarnation can reply that has run anything: longer than the
/// pauses between heartbeats, and too short for a target to restart and to complete a run.
const REPORT_VALIDITY: Duration = Duration::from_millis(600);
/// Longest pause while completions wait to be stored; the lease must be extended meanwhile.
const UNSTORED_COMPLETION_PAUSE: Duration = Duration::from_millis(500);

impl Leader {
    /// Sends the heartbeats that are due.
    pub(super) fn send_due_heartbeats(&mut self, out: &mut Outbox) {
        if self.is_waiting_for_agents(out.now) {
            return;
        }
        let due: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, target)| match target.heartbeat {
                HeartbeatState::Pausing(until) => {
                    out.now >= until || target.is_ready_for_heartbeat()
                }
                HeartbeatState::InFlight(..) => false,
            })
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            self.send_heartbeat(key, out);
        }
    }

    pub(super) fn send_heartbeat(&mut self, key: TargetKey, out: &mut Outbox) {
        let times = self.identity.times;
        let confirmed_at = self.confirmed_at;
        let Some(target) = self.targets.get_mut(&key) else { return };
        let fence = target.fence;
        // A target replies at once as long as it lists unacknowledged completions.
        let may_wait = target.has_reported
            && target.is_same_incarnation
            && target.unstored.is_empty()
            && target.failed_heartbeats == 0
            && target.challenge.is_none()
            && !target.must_answer_now;
        let is_busy = target.runs.values().any(|run| !run.is_long_running);
        let (longest_wait, slack) = match is_busy {
            true => (times.busy_heartbeat_wait, times.busy_reply_slack),
            false => (times.heartbeat_wait, times.reply_slack),
        };
        let is_silent = self.silent_targets.contains(&target.record.name);
        let longest_wait = if is_silent { SILENT_TARGET_WAIT } else { longest_wait };
        let wait = if may_wait { longest_wait } else { Duration::ZERO };
        // After a pause of this process, another incarnation may reply.
        let is_same_incarnation = target.is_same_incarnation && target.has_recent_report(out.now);
        let may_extend = target.failed_heartbeats == 0 && is_same_incarnation && !is_silent;
        let lease_until_ms =
            if may_extend { target.next_lease(out.now, confirmed_at, &times) } else { None };
        let acked_completion = if is_same_incarnation { target.acked_completion } else { 0 };
        let request = TargetRequest::Heartbeat { fence, acked_completion, lease_until_ms, wait };
        let timeout = wait + slack;
        let call =
            self.call_target(key, TargetCall::Heartbeat(key, out.now), request, timeout, out);
        if let Some((target, call)) = self.targets.get_mut(&key).zip(call) {
            target.heartbeat = HeartbeatState::InFlight(call, out.now);
        }
    }

    /// Returns whether a target has just answered. Otherwise asks it to, instead of the heartbeat that waits there.
    pub(super) fn is_certainly_up(&mut self, key: TargetKey, out: &mut Outbox) -> bool {
        let Some(target) = self.targets.get_mut(&key) else { return false };
        if target.has_just_answered(out.now) {
            return true;
        }
        if !std::mem::replace(&mut target.must_answer_now, true) {
            target.heartbeat = HeartbeatState::Pausing(out.now);
            self.send_heartbeat(key, out);
        }
        false
    }

    /// Handles the reply to a heartbeat.
    pub(super) fn handle_heartbeat_reply(
        &mut self,
        key: TargetKey,
        sent_at: Moment,
        reply: &TargetReply,
        out: &mut Outbox,
    ) {
        let Some(target) = self.targets.get(&key) else { return };
        match reply {
            TargetReply::Report(report) => {
                if target.address_read_at.is_some_and(|at| sent_at <= at) {
                    // It came from the address of an earlier registration.
                    self.agents.forget_report(key);
                    return self.handle_failed_heartbeat(key, sent_at, "earlier address", out);
                }
                let is_other = report.started_at.0 != 0 && report.started_at != target.started_at();
                let is_earlier = is_other && report.started_at < target.started_at();
                if is_earlier && target.refutes_start(sent_at) {
                    self.correct_start(key, report.started_at);
                    self.handle_report(key, sent_at, report, out);
                } else if is_earlier {
                    // A delayed reply of an incarnation that has ended, or one to a call from before its
                    // registration was read; an agent must not leave out of the next report what it contained.
                    self.agents.forget_report(key);
                    self.handle_failed_heartbeat(key, sent_at, "outdated report", out);
                } else if is_other {
                    self.handle_other_incarnation(key, sent_at, report, out);
                } else {
                    self.handle_report(key, sent_at, report, out);
                }
            }
            TargetReply::Refused { reason: StartRefusal::Fenced, .. } => {
                self.depose("a target obeys a newer leader");
            }
            TargetReply::OtherIncarnation => {
                let is_outdated =
                    self.targets.get(&key).is_some_and(|target| target.has_changed_since(sent_at));
                if is_outdated || !self.handle_other_name(key, out) {
                    self.handle_failed_heartbeat(key, sent_at, "another target", out);
                }
            }
            TargetReply::Refused { .. } | TargetReply::Done { .. } | TargetReply::Failed(_) => {
                if matches!(reply, TargetReply::Failed(_)) {
                    self.record_unanswered(key, sent_at, reply, out);
                }
                self.handle_failed_heartbeat(key, sent_at, &format!("{reply:?}"), out);
            }
        }
    }

    /// Handles a heartbeat without a usable reply.
    fn handle_failed_heartbeat(
        &mut self,
        key: TargetKey,
        sent_at: Moment,
        reply: &str,
        out: &mut Outbox,
    ) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        // A heartbeat that was abandoned has been replaced by a later one.
        if !matches!(target.heartbeat, HeartbeatState::InFlight(_, at) if at == sent_at) {
            return;
        }
        target.failed_heartbeats += 1;
        target.must_answer_now = false;
        target.is_same_incarnation = false;
        // A single lost reply is made up for at once, and it is soon known whether anybody listens there.
        let is_first = target.failed_heartbeats == 1;
        let is_urgent = is_first || (target.challenge.is_some() && target.refused_heartbeats > 0);
        let pause = if is_urgent { Duration::ZERO } else { FAILED_HEARTBEAT_PAUSE };
        target.heartbeat = HeartbeatState::Pausing(out.now + pause);
        if is_first {
            // The instance list may show that its instance is out of service.
            self.fleet.list_soon(out.now);
            self.late_starts.record_soon(out.now);
            let Some(target) = self.targets.get(&key) else { return };
            let name = &target.record.name;
            let unused = &mut self.unused_registrations;
            if target.is_start_confirmed || unused.may_announce(name, out.now) {
                log::warn!(
                    "event=target_silent target={name} reply={reply} runs={}",
                    target.runs.len()
                );
            }
        }
    }

    /// Handles a report of an incarnation that has not registered yet; the previous one has ended. The
    /// report counts only if no call with an effect was sent to the previous one under the same fence.
    fn handle_other_incarnation(
        &mut self,
        key: TargetKey,
        sent_at: Moment,
        report: &RunReport,
        out: &mut Outbox,
    ) {
        let Some(target) = self.targets.get(&key) else { return };
        let fence = target.fence;
        self.forget_answers_of_next(key, report);
        self.replace_by_reported(key, report.started_at, out);
        if !self.is_outdated(key, fence) {
            // An agent does not repeat the completions of a report that it has passed on.
            self.handle_report(key, sent_at, report, out);
        }
    }

    fn handle_report(
        &mut self,
        key: TargetKey,
        sent_at: Moment,
        report: &RunReport,
        out: &mut Outbox,
    ) {
        let now = out.now;
        let inherited_lease = self.inherited_lease(key, report.started_at, now);
        let Some(target) = self.targets.get_mut(&key) else { return };
        let was_unresponsive = target.failed_heartbeats > 0;
        // The incarnation lives, so they have ended with their lease.
        target.lapsed_runs.clear();
        let refuted = target.record_answer(sent_at);
        target.failed_heartbeats = 0;
        target.must_answer_now = false;
        target.refused_heartbeats = 0;
        target.last_contact_at = target.last_contact_at.max(sent_at);
        target.clock = Some(ClockReading { clock_ms: report.clock_ms, read_at: now });
        let is_first = !target.has_reported;
        if is_first {
            target.begin_contact(report.clock_ms, inherited_lease);
        }
        if is_first || was_unresponsive {
            log::info!(
                "event=target_led target={} first={is_first} running={} ended={}",
                target.record.name,
                report.running.len(),
                report.completions.len()
            );
        }
        target.has_reported = true;
        target.is_start_confirmed = true;
        target.is_same_incarnation = true;
        target.record_listing(report);
        let pool = target.record.pool.clone();
        let name = target.record.name.clone();
        let mut unlisted_runs = Vec::new();
        let previous = self.previous_incarnations.get(&name);
        let previous_start = previous.map(|incarnation| incarnation.started_at);
        if previous_start.is_some_and(|started_at| started_at <= report.started_at) {
            target.has_row = true;
            if previous_start.is_some_and(|started_at| started_at < report.started_at) {
                self.record_previous_crash(&name, out);
            }
            unlisted_runs = self.unlisted_previous_runs(&name, report);
            self.resolve_previous_incarnation(&name);
        }
        if let Some(claim) = refuted {
            self.log_refuted(&name, &claim, now);
        }
        if is_first {
            self.confirm_registration(key, out);
        }
        for completion in &report.completions {
            let handled = self.targets.get(&key).map_or(0, |target| target.handled_completion);
            if completion.number > handled {
                let change = self.handle_completion(key, completion, out);
                if let Some(target) = self.targets.get_mut(&key) {
                    target.handled_completion = completion.number;
                    let unstored = UnstoredCompletion {
                        number: completion.number,
                        run: completion.run,
                        change,
                    };
                    target.unstored.push_back(unstored);
                }
            }
        }
        if is_first && previous_start == Some(report.started_at) {
            self.end_wait_for_late_starts(&name, now);
        }
        self.reconcile(key, sent_at, report, out);
        self.adopt_unlisted_runs(key, &unlisted_runs, out);
        self.acknowledge_completions(key, now);
        self.mark_for_dispatch(&pool);
        let Some(target) = self.targets.get_mut(&key) else { return };
        // A heartbeat that has been replaced by a later one begins no loop of its own.
        if matches!(target.heartbeat, HeartbeatState::InFlight(_, at) if at != sent_at) {
            return;
        }
        let pause =
            if target.unstored.is_empty() { Duration::ZERO } else { UNSTORED_COMPLETION_PAUSE };
        target.heartbeat = HeartbeatState::Pausing(now + pause);
        if target.is_ready_for_heartbeat() {
            self.send_heartbeat(key, out);
        }
    }

    /// Checks the target's clock in a reply. A clock that has jumped belongs to another
    /// incarnation, which must report before anything else is started there.
    pub(super) fn check_clock(&mut self, key: TargetKey, clock_ms: u64, out: &Outbox) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        if target.is_same_incarnation && !target.is_clock_plausible(clock_ms, out.now) {
            log::warn!(
                "event=target_clock_jumped target={} clock_ms={clock_ms}",
                target.record.name
            );
            target.is_same_incarnation = false;
            target.heartbeat = HeartbeatState::Pausing(out.now);
        }
    }

    /// Acknowledges the stored completions to a target, with the next heartbeat.
    ///
    /// The previous leader may still take a run that completed here for lost, and start its task
    /// again on a target that this leader has not contacted yet. So nothing is acknowledged until
    /// all runs of the previous leader are resolved, or its starts can no longer arrive.
    pub(super) fn acknowledge_completions(&mut self, key: TargetKey, now: Moment) {
        if !self.previous_runs_resolved && self.may_get_previous_starts(now) {
            return;
        }
        let Some(target) = self.targets.get_mut(&key) else { return };
        while let Some(completion) = target.unstored.front() {
            let is_stored = completion.change.is_none_or(|(job, change)| {
                let job = self.job_keys.get(&job).and_then(|key| self.jobs.get(key));
                // A job that has been removed was stored with its outcome, completions included.
                job.is_none_or(|job| job.stored_changes >= change)
            });
            if !is_stored {
                break;
            }
            target.acked_completion = completion.number;
            target.unstored.pop_front();
        }
    }

    /// Drops the runs of unresponsive targets whose leases have expired, and removes those of them
    /// that are no longer registered.
    pub(super) fn check_targets(&mut self, out: &mut Outbox) {
        let silent = self.targets.iter().filter(|(_, target)| target.failed_heartbeats > 0);
        let silent: Vec<TargetKey> = silent.map(|(key, _)| *key).collect();
        for key in silent {
            let Some(target) = self.targets.get(&key) else { continue };
            // Another leader may have extended the lease since the store last confirmed this one.
            let ended = target.ended_runs(self.confirmed_at, self.identity.times.max_lease);
            let Some(ended) = ended else { continue };
            let is_deregistered = target
                .missing_since
                .is_some_and(|at| out.now.since(at) > self.identity.times.registration_grace);
            if is_deregistered && ended.len() == target.runs.len() {
                let has_reported = target.has_reported;
                let loss =
                    if has_reported { TargetLoss::LeaseOver } else { TargetLoss::NeverHeard };
                self.remove_target(key, loss, out);
            } else if !ended.is_empty() {
                self.drop_runs(key, &ended, out);
            }
        }
    }

    /// Requeues the tasks that ran on a target whose lease has expired.
    fn drop_runs(&mut self, key: TargetKey, tasks: &[TaskName], out: &mut Outbox) {
        let Some(target) = self.targets.get(&key) else { return };
        let kept = target.runs.len() - tasks.len();
        let name = &target.record.name;
        log::warn!("event=lease_over target={name} runs={} kept={kept}", tasks.len());
        self.record_lapse(key, tasks, out);
        for task in tasks {
            self.drop_run(key, *task, out);
        }
    }
}

impl Target {
    /// Returns whether the incarnation that reported last is the only one that can have run anything.
    fn has_recent_report(&self, now: Moment) -> bool {
        self.clock.is_some_and(|reading| now.since(reading.read_at) <= REPORT_VALIDITY)
    }

    /// Returns whether the next heartbeat can be sent without a pause.
    fn is_ready_for_heartbeat(&self) -> bool {
        self.has_reported && self.failed_heartbeats == 0 && self.unstored.is_empty()
    }
}

/// Returns whether a failed call may have been executed.
pub(super) fn may_be_applied(failure: CallFailure) -> bool {
    failure == CallFailure::Unknown
}
