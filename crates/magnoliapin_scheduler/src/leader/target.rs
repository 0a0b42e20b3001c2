//! Target state kept by the leader: runs, lease, heartbeat and health.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::JobId;
use magnoliapin_site::Resources;
use magnoliapin_site::RunId;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::TargetState;
use magnoliapin_site::TaskName;
use magnoliapin_site::TeamName;

use crate::leader::challenges::PlaceChallenge;
use crate::leader::crash_evidence::CrashedRun;
use crate::leader::job::JobKey;
use crate::leader::zone_evacuation::ZoneEvacuation;
use crate::times::CLOCK_DRIFT;
use crate::times::LEASE_SLACK;
use crate::CallId;
use crate::NodeTimes;

#[cfg(test)]
#[path = "target_tests.rs"]
mod tests;

/// Key of a target in the leader's map; unique within one leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TargetKey(pub(crate) u64);

/// One incarnation of a target, as the leader sees it.
#[derive(Debug)]
pub(crate) struct Target {
    /// Its latest registration.
    pub(crate) record: TargetRecord,
    /// When the leader discovered this incarnation.
    pub(crate) discovered_at: Moment,
    /// When a registration with another address than before was read; `None` if there is only one.
    pub(crate) address_read_at: Option<Moment>,
    /// When the registration went missing; `None` while the target is registered.
    pub(crate) missing_since: Option<Moment>,
    /// Whether the store may have an assignment row for it.
    pub(crate) has_row: bool,
    /// Fence of the calls to it, higher than those of calls that had an effect on earlier incarnations.
    pub(crate) fence: u64,
    /// When a call was last sent that may extend its lease, or that of another incarnation.
    pub(crate) lease_sent_at: Option<Moment>,
    /// Whether it has reported to this leader, under its fence.
    pub(crate) has_reported: bool,
    /// Whether the incarnation that reported last is still the one that replies. If not, no
    /// completions may be acknowledged, as each incarnation numbers its completions from 1.
    pub(crate) is_same_incarnation: bool,
    /// Until when it is slow after its start.
    pub(crate) cold_until: Moment,
    /// When runs were placed on it while it was cold.
    pub(crate) cold_starts: VecDeque<Moment>,
    /// Whether its instance is to be moved or maintained, so that it gets no new work.
    pub(crate) is_reserved: bool,
    /// Runs that are or may be on it.
    pub(crate) runs: IndexMap<TaskName, Run>,
    /// Runs that were dropped because its lease had expired, while it is silent since.
    pub(crate) lapsed_runs: Vec<CrashedRun>,
    /// Resources that the runs take.
    pub(crate) used: Resources,
    /// Last reading of its clock.
    pub(crate) clock: Option<ClockReading>,
    /// Latest lease expiry that was sent to it, in milliseconds on its clock.
    pub(crate) lease_until_ms: u64,
    /// End of the longest lease that a call from before its first report can have given it, on the same
    /// clock.
    pub(crate) inherited_lease_until_ms: u64,
    /// State of the heartbeat loop.
    pub(crate) heartbeat: HeartbeatState,
    /// Whether the heartbeat that is due or in flight must be answered at once.
    pub(crate) must_answer_now: bool,
    /// Heartbeats that failed since the last one that was answered.
    pub(crate) failed_heartbeats: u32,
    /// The last of these in a row that its address refused, so that nobody listens there.
    pub(crate) refused_heartbeats: u32,
    /// When the last heartbeat that it answered was sent.
    pub(crate) last_contact_at: Moment,
    /// Whether its registration has not been read yet, so that the one of the incarnation before stands in.
    pub(crate) is_record_assumed: bool,
    /// Whether a report has shown its start, and not only a registration.
    pub(crate) is_start_confirmed: bool,
    /// End of the lease of the incarnation before, should it live although a later one is registered.
    pub(crate) earlier_lease_end: Option<Moment>,
    /// A claim to its place that is not decided yet.
    pub(crate) challenge: Option<PlaceChallenge>,
    /// Completions up to this number are handled, though perhaps not stored.
    pub(crate) handled_completion: u64,
    /// Completions up to this number are stored and may be acknowledged.
    pub(crate) acked_completion: u64,
    /// Whether it may have more completions than its last report listed.
    pub(crate) has_more_completions: bool,
    /// Whether a report to this leader has listed all completions.
    pub(crate) has_listed_all: bool,
    /// Completions that wait to be stored.
    pub(crate) unstored: VecDeque<UnstoredCompletion>,
    /// Failures, and a pause after a refused start.
    pub(crate) health: TargetHealth,
}

/// Health of a target, judged by its runs and refusals.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetHealth {
    /// Consecutive failed runs of tasks that are not long-running.
    pub(crate) consecutive_failures: u32,
    /// The target gets no new work before this moment.
    pub(crate) starts_paused_until: Option<Moment>,
}

/// A reading of a target's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    /// Time that the clock showed, in milliseconds.
    pub(crate) clock_ms: u64,
    /// When the reading arrived.
    pub(crate) read_at: Moment,
}

/// State of a target's heartbeat loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatState {
    /// Waits until the moment, or until all completions are stored.
    Pausing(Moment),
    /// A call is in flight, sent at the moment.
    InFlight(CallId, Moment),
}

/// A completion that must be stored before it is acknowledged to the target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnstoredCompletion {
    pub(crate) number: u64,
    /// The completed run.
    pub(crate) run: RunId,
    /// The job and the number of its change that includes the completion; `None` if nothing needs
    /// to be stored.
    pub(crate) change: Option<(JobId, u64)>,
}

/// A run that is or may be on a target.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) attempt: u32,
    /// The job; `None` if the run was found in a report and no open job needs it.
    pub(crate) job: Option<JobKey>,
    pub(crate) team: Option<TeamName>,
    pub(crate) demand: Resources,
    pub(crate) is_long_running: bool,
    /// Whether nothing else may be started beside it.
    pub(crate) is_isolated: bool,
    /// Whether the run was reported by a target and its job is unknown to the leader.
    pub(crate) has_unknown_job: bool,
    pub(crate) stage: RunStage,
    /// Whether its start was sent, so that the target may have begun it: a target that crashes at once
    /// does not reply.
    pub(crate) is_sent: bool,
    /// When the run was placed on the target, or first seen in a report.
    pub(crate) placed_at: Moment,
    /// Whether it was first seen in a report, so that it began at an earlier moment that is not known.
    pub(crate) is_found: bool,
    /// When the target confirmed an order about it, or reported it.
    pub(crate) confirmed_at: Option<Moment>,
    pub(crate) percent: u32,
    /// Starts of it that may have been executed without confirmation.
    pub(crate) unconfirmed_starts: u32,
    /// Starts of it that have no reply, so that they may still arrive.
    pub(crate) open_starts: u32,
    /// When the last start of it was sent.
    pub(crate) start_sent_at: Option<Moment>,
    /// Whether the connection broke on which a start of it was sent, and not only the answer is missing.
    pub(crate) has_broken_off: bool,
    /// Whether a report of the target's current incarnation has listed it.
    pub(crate) is_listed: bool,
    /// Whether it was sent to an earlier incarnation, so that the first report of the current one shows
    /// whether it has begun there.
    pub(crate) awaits_report: bool,
    /// Run time that the client estimated, in milliseconds; 0 if there is no estimate.
    pub(crate) estimate_ms: u64,
}

/// Stage of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunStage {
    /// Its start is sent once the run is recorded in the store.
    Planned,
    /// Its start was sent and is not confirmed.
    Starting,
    /// It runs.
    Running,
    /// A stop was or will be sent.
    Stopping,
}

impl Target {
    /// Creates a target that has not reported yet.
    pub(crate) fn new(record: TargetRecord, now: Moment) -> Self {
        Self {
            cold_until: now + record.cold_left,
            cold_starts: VecDeque::new(),
            record,
            discovered_at: now,
            address_read_at: None,
            fence: 0,
            lease_sent_at: None,
            missing_since: None,
            has_row: false,
            has_reported: false,
            is_same_incarnation: false,
            is_reserved: false,
            runs: IndexMap::new(),
            lapsed_runs: Vec::new(),
            used: Resources::NONE,
            clock: None,
            lease_until_ms: 0,
            inherited_lease_until_ms: 0,
            heartbeat: HeartbeatState::Pausing(now),
            must_answer_now: false,
            failed_heartbeats: 0,
            refused_heartbeats: 0,
            last_contact_at: now,
            is_record_assumed: false,
            is_start_confirmed: false,
            earlier_lease_end: None,
            challenge: None,
            handled_completion: 0,
            acked_completion: 0,
            has_more_completions: false,
            has_listed_all: false,
            unstored: VecDeque::new(),
            health: TargetHealth::default(),
        }
    }

    /// Sets the fence of the calls to it.
    #[must_use]
    pub(crate) fn with_fence(self, fence: u64) -> Self {
        Self { fence, ..self }
    }

    /// Returns the start of this incarnation.
    pub(crate) fn started_at(&self) -> UnixMillis {
        self.record.started_at
    }

    /// Returns the free resources.
    pub(crate) fn free(&self) -> Resources {
        self.record.capacity.saturating_sub(self.used)
    }

    /// Returns whether the target may be given new work, unless its zone is among those evacuated.
    pub(crate) fn accepts_work(
        &self,
        now: Moment,
        times: &NodeTimes,
        evacuation: &ZoneEvacuation,
    ) -> bool {
        let is_registered =
            self.missing_since.is_none_or(|since| now.since(since) < times.registration_grace);
        self.has_reported
            && self.is_same_incarnation
            && !self.is_reserved
            && !evacuation.includes(&self.record.zone)
            && self.failed_heartbeats == 0
            && is_registered
            && self.is_responsive(now, times)
            && self.record.state == TargetState::Ready
            && self.health.starts_paused_until.is_none_or(|until| now >= until)
    }

    /// Returns whether the target has answered a heartbeat recently. After a pause of this process
    /// all targets must answer again: another leader may have taken over, or the targets may have
    /// restarted.
    pub(crate) fn is_responsive(&self, now: Moment, times: &NodeTimes) -> bool {
        // The reply may have come any time after the heartbeat was sent, and the next heartbeat
        // may take its full wait.
        now.since(self.last_contact_at) <= times.heartbeat_wait * 2 + times.reply_slack
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.record.labels.iter().any(|own| own == label)
    }

    /// Adds a run and counts its resources; replaces a run of the same task.
    pub(crate) fn add_run(&mut self, task: TaskName, run: Run) {
        self.used += run.demand;
        if let Some(replaced) = self.runs.insert(task, run) {
            self.used = self.used.saturating_sub(replaced.demand);
        }
    }

    /// Removes a run and frees its resources.
    pub(crate) fn remove_run(&mut self, task: TaskName) -> Option<Run> {
        let run = self.runs.swap_remove(&task)?;
        self.used = self.used.saturating_sub(run.demand);
        Some(run)
    }

    /// Returns when its last report arrived. It was up then, which may be long after the heartbeat was sent.
    pub(crate) fn last_heard_at(&self) -> Moment {
        self.clock.map_or(self.last_contact_at, |reading| reading.read_at)
    }

    /// Returns the estimated reading of the target's clock at a moment, in milliseconds.
    pub(crate) fn clock_at(&self, at: Moment) -> Option<u64> {
        let reading = self.clock?;
        let later = u64::try_from(at.since(reading.read_at).as_millis()).unwrap_or(u64::MAX);
        let earlier = u64::try_from(reading.read_at.since(at).as_millis()).unwrap_or(u64::MAX);
        Some(reading.clock_ms.saturating_add(later).saturating_sub(earlier))
    }

    /// Returns whether a clock reading in a reply is consistent with the incarnation that reported
    /// last.
    pub(crate) fn is_clock_plausible(&self, clock_ms: u64, now: Moment) -> bool {
        /// Longest time in transit of a reply or an order, in milliseconds.
        const MAX_TRANSIT_MS: u64 = 1_000;
        let Some((reading, expected)) = self.clock.zip(self.clock_at(now)) else {
            return true;
        };
        let passed = now.since(reading.read_at).as_secs_f64() * 1000.0;
        let slack = MAX_TRANSIT_MS + (passed * CLOCK_DRIFT * 2.0) as u64;
        clock_ms.abs_diff(expected) <= slack
    }

    /// Returns the lease expiry that may be sent now, in milliseconds on the target's clock.
    ///
    /// It is bounded by `confirmed_at`, when the store last confirmed this leader: another leader
    /// may have taken over since and relies on all leases being expired [`NodeTimes::max_lease`]
    /// after that.
    pub(crate) fn next_lease(
        &mut self,
        now: Moment,
        confirmed_at: Moment,
        times: &NodeTimes,
    ) -> Option<u64> {
        if self.failed_heartbeats > 0 && self.lease_until_ms > 0 {
            // The lease of an unresponsive target is not extended, so that it expires.
            return Some(self.lease_until_ms);
        }
        let end = (now + times.task_lease).min(confirmed_at + times.max_lease);
        let until = self.clock_at(end)?;
        self.lease_until_ms = self.lease_until_ms.max(until);
        Some(self.lease_until_ms)
    }

    /// Returns whether the target certainly runs nothing and all its completions are stored.
    ///
    /// Until the target reports, it may run what the previous leader started, unless
    /// `has_no_previous_runs` states that it started nothing there.
    pub(crate) fn is_vacant(&self, has_no_previous_runs: bool, confirmed_at: Moment) -> bool {
        let is_certain = if self.has_reported {
            self.failed_heartbeats == 0 || self.is_lease_expired(confirmed_at)
        } else {
            has_no_previous_runs
        };
        // Completions that are not stored are known only to the target and this leader.
        is_certain && self.runs.is_empty() && self.unstored.is_empty()
    }

    /// Returns whether every lease that was sent to the target has certainly expired.
    pub(crate) fn is_lease_expired(&self, now: Moment) -> bool {
        self.lease_end().is_some_and(|end| now > end)
    }

    /// Returns when every lease that was sent to the target has certainly expired; `None` before its first
    /// report.
    pub(crate) fn lease_end(&self) -> Option<Moment> {
        let reading = self.clock?;
        let until_ms = self.lease_until_ms.max(self.inherited_lease_until_ms);
        let left_ms = until_ms.saturating_sub(reading.clock_ms);
        let left = Duration::from_millis(left_ms).div_f64(1.0 - CLOCK_DRIFT);
        Some(reading.read_at + left + LEASE_SLACK)
    }
}
