//! What calls that were sent before an incarnation of a target began may do to it.
//!
//! All incarnations of a target have one name, and their clocks and the numbers of their completions
//! start anew. So until an incarnation has reported under its own fence, every call that was sent to the
//! name before may reach it, also seconds late, and do there all that it says: start or stop a run,
//! extend the lease, by the longest lease at most, and acknowledge completions. Until such a report, or
//! until the longest lease has passed since the last of these calls can have arrived, the leader takes
//! no run for ended whose start may have reached a later incarnation than the one that listed it.
//!
//! This holds for calls of this leader, of its agents, and of leaders before. After the report, none of
//! them has an effect: the target refuses them by their fence, and the leader ignores their replies.
//!
//! What no leader can prevent is that such a call is the first one to reach an incarnation. Whatever it
//! starts shows in the first report.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_site::CallFailure;
use magnoliapin_site::RunReport;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;
use magnoliapin_site::TaskName;

use crate::fence::raised_fence;
use crate::leader::target::HeartbeatState;
use crate::leader::target::Run;
use crate::leader::target::RunStage;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::times::CLOCK_DRIFT;
use crate::times::LEASE_SLACK;
use crate::times::MAX_ORDER_DELAY;
use crate::times::MAX_SERVICE_WAIT;

#[cfg(test)]
#[path = "incarnations_tests.rs"]
mod tests;

/// Time for which the fence of a removed target is kept, should another incarnation get its name. It is
/// several times as long as a call may be on its way.
const FORMER_FENCE_RETENTION: Duration = Duration::from_secs(60);
/// Failed heartbeats in a row after which a target is recorded as silent. Single ones are lost now and then.
const SILENT_AFTER_FAILURES: u32 = 3;
/// Pause of the heartbeats to a target for which this leader has no fence left; the lease is released
/// long before.
const FENCELESS_PAUSE: Duration = Duration::from_secs(60);

/// Fences for further incarnations of targets that have been removed, with the time of the removal.
#[derive(Debug, Default)]
pub(super) struct FormerFences(IndexMap<TargetName, (u64, Moment)>);

impl FormerFences {
    /// Removes and returns the fence for the next incarnation of a target; `None` if the target was not
    /// known lately.
    fn take(&mut self, name: &TargetName) -> Option<u64> {
        self.0.swap_remove(name).map(|(fence, _)| fence)
    }

    fn insert(&mut self, name: TargetName, fence: u64, now: Moment) {
        self.0.retain(|_, (_, removed_at)| now.since(*removed_at) < FORMER_FENCE_RETENTION);
        self.0.insert(name, (fence, now));
    }
}

impl Leader {
    /// Returns a newly registered target. Its fence is higher than those of earlier incarnations.
    pub(super) fn new_target(&mut self, record: TargetRecord, now: Moment) -> Target {
        let fence = self.former_fences.take(&record.name).unwrap_or(self.generation);
        Target::new(record, now).with_fence(fence)
    }

    /// Keeps the fence for the next incarnation of a removed target.
    pub(super) fn keep_fence(&mut self, target: &Target, out: &mut Outbox) {
        let fence = self.next_fence(target, out);
        self.former_fences.insert(target.record.name.clone(), fence, out.now);
    }

    /// Returns the fence for the next incarnation of a target. Calls to an incarnation that has not
    /// reported start nothing, extend no lease and acknowledge nothing, so their fence can serve again.
    ///
    /// A leader without further fences releases its lease.
    fn next_fence(&mut self, target: &Target, out: &mut Outbox) -> u64 {
        if !target.has_reported {
            return target.fence;
        }
        raised_fence(self.generation, target.fence).unwrap_or_else(|| {
            log::warn!("event=fences_used_up target={}", target.record.name);
            self.release(out);
            target.fence
        })
    }

    /// Returns whether a call to a target was sent before its current incarnation was known, so that
    /// another one may have replied.
    pub(super) fn is_outdated(&self, key: TargetKey, fence: u64) -> bool {
        self.targets.get(&key).is_some_and(|target| target.fence != fence)
    }

    /// Handles the reply to an outdated call, which shows at most that there is another incarnation.
    pub(super) fn handle_outdated_reply(
        &mut self,
        key: TargetKey,
        reply: &TargetReply,
        out: &mut Outbox,
    ) {
        let Some(target) = self.targets.get(&key) else { return };
        let TargetReply::Report(report) = reply else { return };
        // An agent must not leave out of the next report what this one contained.
        self.agents.forget_report(key);
        if report.started_at > target.started_at() {
            self.replace_by_reported(key, report.started_at, out);
        }
    }

    /// Replaces an incarnation of a target by a new one that its registration or a report shows. Its runs have
    /// ended, but for those whose start reaches the new one; its first report shows which do.
    pub(super) fn replace_incarnation(
        &mut self,
        key: TargetKey,
        record: TargetRecord,
        out: &mut Outbox,
    ) {
        if let Some(before) = self.exchange_incarnation(key, record, out) {
            self.record_crash(&before, out);
            self.keep_earlier_runs(key, before);
        }
    }

    /// The same for a registration that nothing has confirmed. The runs may go on until the lease of the
    /// incarnation before is over, and it has crashed only if the new one answers.
    pub(super) fn replace_by_unconfirmed(
        &mut self,
        key: TargetKey,
        record: TargetRecord,
        out: &mut Outbox,
    ) {
        let Some(before) = self.exchange_incarnation(key, record, out) else { return };
        self.remember_possible_crash(&before, out.now);
        let longest_lease = out.now + self.longest_lease();
        if let Some(target) = self.targets.get_mut(&key) {
            target.earlier_lease_end = Some(before.lease_end().unwrap_or(longest_lease));
        }
        self.keep_earlier_runs(key, before);
    }

    /// Replaces the state of a target by that of a new incarnation without runs. Returns the one before.
    fn exchange_incarnation(
        &mut self,
        key: TargetKey,
        record: TargetRecord,
        out: &mut Outbox,
    ) -> Option<Target> {
        let target = self.targets.get_mut(&key)?;
        let before = std::mem::replace(target, Target::new(record, out.now));
        let fence = self.next_fence(&before, out);
        let target = self.targets.get_mut(&key)?;
        target.fence = fence;
        target.has_row = before.has_row;
        target.lease_sent_at = before.lease_sent_at;
        target.earlier_lease_end = before.earlier_lease_end.filter(|_| !before.has_reported);
        if before.has_reported && fence == before.fence {
            target.heartbeat = HeartbeatState::Pausing(out.now + FENCELESS_PAUSE);
        }
        let record = &target.record;
        log::info!(
            "event=target_reborn target={} before={} now={} runs={} fence={fence}",
            record.name,
            before.started_at(),
            record.started_at,
            before.runs.len()
        );
        let record = record.clone();
        self.move_indexed(key, &before.record, &record);
        self.agents.forget_report(key);
        Some(before)
    }

    /// Takes the answers to the starts of runs that only the next incarnation has listed for answers of that one.
    pub(super) fn forget_answers_of_next(&mut self, key: TargetKey, report: &RunReport) {
        let running = report.running.iter().map(|reported| reported.run);
        let ended = report.completions.iter().map(|completion| completion.run);
        for id in running.chain(ended) {
            if let Some(run) = self.run_mut(key, id).filter(|run| !run.is_listed) {
                run.confirmed_at = None;
                run.has_broken_off = false;
            }
        }
    }

    /// Keeps the runs of the incarnation before until the first report of the new one.
    fn keep_earlier_runs(&mut self, key: TargetKey, before: Target) {
        for (task, mut run) in before.runs {
            run.expect_report(before.last_contact_at);
            if run.stage == RunStage::Stopping || self.is_unwanted_here(task) {
                run.stage = RunStage::Stopping;
                self.due_orders.push((key, task));
            }
            if let Some(target) = self.targets.get_mut(&key) {
                target.add_run(task, run);
            }
            self.unrecorded.insert(key);
        }
    }
}

impl Leader {
    /// Returns until when a start of a run may begin it on the next incarnation of its target; `None` if
    /// none may.
    pub(super) fn late_until(&self, target: &Target, run: &Run) -> Option<Moment> {
        let in_transit = self.identity.times.order_timeout + LEASE_SLACK;
        run.may_arrive_until(target.last_contact_at, target.last_heard_at(), in_transit)
    }
}

impl Target {
    /// Records that a request is sent to it.
    pub(super) fn record_sent(&mut self, request: &TargetRequest, now: Moment) {
        match request {
            TargetRequest::Start { run, .. } => {
                self.lease_sent_at = Some(now);
                if let Some(run) = self.runs.get_mut(&run.task) {
                    run.is_sent = true;
                    run.open_starts += 1;
                    run.start_sent_at = Some(now);
                }
            }
            TargetRequest::Heartbeat { lease_until_ms: Some(_), .. } => {
                self.lease_sent_at = Some(now);
            }
            TargetRequest::Heartbeat { .. }
            | TargetRequest::Stop { .. }
            | TargetRequest::Pace { .. } => {}
        }
    }

    /// Records the first report under its fence, with a reading of its clock. It refuses the starts that
    /// were sent before, which its next incarnation may still carry out, and one of these calls may have
    /// extended the lease, which then lasts for `inherited_lease` at most.
    pub(super) fn begin_contact(&mut self, clock_ms: u64, inherited_lease: Duration) {
        let inherited_lease_ms = u64::try_from(inherited_lease.as_millis()).unwrap_or(u64::MAX);
        self.inherited_lease_until_ms = clock_ms.saturating_add(inherited_lease_ms);
    }

    /// Returns the runs that have ended with their lease while the target is silent; `None` if the lease
    /// is not over. `now` is a moment until which no other leader can have extended it.
    pub(super) fn ended_runs(&self, now: Moment, max_lease: Duration) -> Option<Vec<TaskName>> {
        if !self.has_reported && self.earlier_lease_end.is_some_and(|end| now <= end) {
            return None;
        }
        // Before its first report it runs only what was started on it by calls from before.
        if self.has_reported && !self.is_lease_expired(now) {
            return None;
        }
        let longest_lease = max_lease.div_f64(1.0 - CLOCK_DRIFT) + LEASE_SLACK;
        let is_over = |at| now > at + MAX_ORDER_DELAY + longest_lease;
        let is_elsewhere_over = self.lease_sent_at.is_none_or(is_over);
        let ended = self
            .runs
            .iter()
            .filter(|(_, run)| is_elsewhere_over || run.is_confined(self.last_contact_at));
        Some(ended.map(|(task, _)| *task).collect())
    }
}

impl Target {
    /// Returns the end of its lease while it is silent and has runs, if no other incarnation can have them.
    pub(super) fn silent_lease_end(&self) -> Option<Moment> {
        let is_silent = self.failed_heartbeats >= SILENT_AFTER_FAILURES;
        let is_confined = || self.runs.values().all(|run| run.is_confined(self.last_contact_at));
        (is_silent && is_confined()).then(|| self.used_lease_end()).flatten()
    }

    /// Returns the end of its lease if it has reported and has runs.
    pub(super) fn used_lease_end(&self) -> Option<Moment> {
        (self.has_reported && !self.runs.is_empty()).then(|| self.lease_end()).flatten()
    }

    /// Returns its runs of which a start without a reply may still arrive, each with the time until then.
    pub(super) fn open_starts(&self) -> impl Iterator<Item = (TaskName, Moment)> + '_ {
        let is_open = |run: &Run| run.open_starts > 0 && !run.is_confined(self.last_contact_at);
        let open = self.runs.iter().filter(move |(_, run)| is_open(run));
        open.filter_map(|(task, run)| Some((*task, run.start_sent_at? + MAX_ORDER_DELAY)))
    }
}

impl Run {
    /// Records that a start of it has a reply, or was certainly not carried out.
    pub(super) fn record_start_reply(&mut self, reply: &TargetReply) {
        if *reply != TargetReply::Failed(CallFailure::Unknown) {
            self.open_starts = self.open_starts.saturating_sub(1);
        }
    }

    /// Returns whether no other incarnation of its target than the one that was in contact until
    /// `last_contact_at` can execute it: no start of it may still arrive, and it was not sent to that
    /// incarnation, or has been listed by it. A reply to a start alone does not tell which incarnation has
    /// sent it.
    fn is_confined(&self, last_contact_at: Moment) -> bool {
        let has_arrived = |at: Moment| last_contact_at >= at + MAX_ORDER_DELAY;
        let is_started_once = self.open_starts == 0 || self.start_sent_at.is_none_or(has_arrived);
        is_started_once && (!self.is_sent || self.is_listed)
    }

    /// Returns the end of the time in which a start of it may begin it on the next incarnation of its target,
    /// although the last one has ended; `None` if none may.
    ///
    /// The service of a long-running task lacks it meanwhile. So it waits only for starts without a reply,
    /// and not beyond [`MAX_SERVICE_WAIT`] after `heard_at`, when a report of the target last arrived; if
    /// all have a reply, it waits only for calls that were in progress.
    fn may_arrive_until(
        &self,
        last_contact_at: Moment,
        heard_at: Moment,
        in_transit: Duration,
    ) -> Option<Moment> {
        let sent_at = self.start_sent_at.filter(|_| !self.is_confined(last_contact_at))?;
        let arrives_by = sent_at + MAX_ORDER_DELAY;
        Some(match self.is_long_running {
            false => arrives_by,
            true if self.open_starts == 0 => sent_at + in_transit,
            true => arrives_by.min(heard_at + MAX_SERVICE_WAIT),
        })
    }

    /// Returns whether the run may start on the current incarnation of its target, whose first report omits
    /// it: it may not have begun on any earlier one. It then counts as not sent.
    pub(super) fn may_start_again(&mut self) -> bool {
        let may_start = self.awaits_report && self.is_sent && self.stage == RunStage::Starting;
        if may_start {
            self.is_sent = false;
            self.awaits_report = false;
            self.unconfirmed_starts = 0;
        }
        may_start
    }

    /// Lets the first report of the target's next incarnation decide about the run.
    fn expect_report(&mut self, last_contact_at: Moment) {
        if self.stage == RunStage::Planned && !self.is_sent {
            return;
        }
        // A run that has ended with its incarnation is not on the next one.
        self.is_sent = !self.is_confined(last_contact_at);
        self.is_listed = false;
        self.has_broken_off = false;
        self.awaits_report = true;
        self.confirmed_at = None;
        if self.stage != RunStage::Stopping {
            self.stage = RunStage::Starting;
        }
    }
}
