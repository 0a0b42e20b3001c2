//! A target as the scheduler leads it.

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

use crate::leader::job::JobKey;
use crate::times::CLOCK_DRIFT;
use crate::times::LEASE_SLACK;
use crate::CallId;
use crate::NodeTimes;

#[cfg(test)]
#[path = "target_tests.rs"]
mod tests;

/// Place of a target in the book.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TargetKey(pub(crate) u64);

/// A target as the scheduler leads it: one life of it.
#[derive(Debug)]
pub(crate) struct Target {
    /// Its registration, as it was last.
    pub(crate) record: TargetRecord,
    /// When this life was learned of.
    pub(crate) learned_at: Moment,
    /// When the registration went missing; none while it is there.
    pub(crate) missing_since: Option<Moment>,
    /// Whether the store may have a row that says what it may run.
    pub(crate) has_row: bool,
    /// Whether it has reported under this scheduler's epoch.
    pub(crate) is_led: bool,
    /// Whether the life that reported last must still be the one that answers. If not, it must
    /// not be told to forget ends, as another life numbers its own from 1.
    pub(crate) is_same_life: bool,
    /// Whether it is about to be moved or maintained and gets no new work.
    pub(crate) is_reserved: bool,
    /// Runs that are on it or may be.
    pub(crate) runs: IndexMap<TaskName, Run>,
    /// What the runs take.
    pub(crate) used: Resources,
    /// Its clock, and when that was read.
    pub(crate) clock: Option<ClockReading>,
    /// Latest end of a lease that was sent to it, on its clock.
    pub(crate) lease_until_ms: u64,
    /// What the hold loop does.
    pub(crate) hold: HoldState,
    /// Holds that failed since the last one that was answered.
    pub(crate) failed_holds: u32,
    /// When the last hold that it has answered was sent.
    pub(crate) held_at: Moment,
    /// Ends up to this number are dealt with, though perhaps not stored.
    pub(crate) seen_end: u64,
    /// Ends up to this number are stored.
    pub(crate) stored_end: u64,
    /// Ends that wait to be stored.
    pub(crate) unstored: VecDeque<UnstoredEnd>,
    /// What is known of its health.
    pub(crate) health: TargetHealth,
}

/// What is known of a target's health.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetHealth {
    /// Runs of one-time tasks that failed in a row.
    pub(crate) failures_in_row: u32,
    /// No new work before this.
    pub(crate) shunned_until: Option<Moment>,
}

/// A reading of a target's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    /// What it showed, in milliseconds.
    pub(crate) clock_ms: u64,
    /// When the reading arrived.
    pub(crate) read_at: Moment,
}

/// What the hold loop of a target does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HoldState {
    /// Waits until the moment, or until all ends are stored.
    Pausing(Moment),
    /// A call is in flight, sent at the moment.
    InFlight(CallId, Moment),
}

/// An end that must be stored before the target may forget it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnstoredEnd {
    pub(crate) number: u64,
    /// The run that has ended.
    pub(crate) run: RunId,
    /// Job and its change that holds the end; none if nothing needs to be stored.
    pub(crate) change: Option<(JobId, u64)>,
}

/// A run that is on a target or may be.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) attempt: u32,
    /// The job, if it is known and open.
    pub(crate) job: Option<JobKey>,
    pub(crate) team: Option<TeamName>,
    pub(crate) demand: Resources,
    pub(crate) is_long: bool,
    /// Whether its job has ended and what is known of it is gone.
    pub(crate) is_unknown: bool,
    pub(crate) stage: RunStage,
    /// When its start was sent first, or when it was found.
    pub(crate) since: Moment,
    /// When the target confirmed it.
    pub(crate) confirmed_at: Option<Moment>,
    pub(crate) percent: u32,
    /// When its progress last changed.
    pub(crate) progressed_at: Moment,
    /// Orders about it that had no answer.
    pub(crate) unanswered: u32,
    /// Run time as its client estimated it, in milliseconds.
    pub(crate) estimate_ms: u64,
}

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunStage {
    /// It is to start once the store knows of it.
    Planned,
    /// Its start was sent and is not confirmed.
    Starting,
    /// It runs.
    Running,
    /// It is to be stopped.
    Stopping,
}

impl Target {
    /// Makes a target that has not reported yet.
    pub(crate) fn new(record: TargetRecord, now: Moment) -> Self {
        Self {
            record,
            learned_at: now,
            missing_since: None,
            has_row: false,
            is_led: false,
            is_same_life: false,
            is_reserved: false,
            runs: IndexMap::new(),
            used: Resources::NONE,
            clock: None,
            lease_until_ms: 0,
            hold: HoldState::Pausing(now),
            failed_holds: 0,
            held_at: now,
            seen_end: 0,
            stored_end: 0,
            unstored: VecDeque::new(),
            health: TargetHealth::default(),
        }
    }

    /// Returns when its life began.
    pub(crate) fn born_at(&self) -> UnixMillis {
        self.record.born_at
    }

    /// Returns what is free.
    pub(crate) fn free(&self) -> Resources {
        self.record.capacity.less(self.used)
    }

    /// Returns whether it may get new work.
    pub(crate) fn is_open(&self, now: Moment, times: &NodeTimes) -> bool {
        let is_registered =
            self.missing_since.is_none_or(|since| now.since(since) < times.registration_grace);
        self.is_led
            && self.is_same_life
            && !self.is_reserved
            && self.failed_holds == 0
            && is_registered
            && self.is_held(now, times)
            && self.record.state == TargetState::Ready
            && self.health.shunned_until.is_none_or(|until| now >= until)
    }

    /// Returns whether it has answered lately. After a pause of this process all targets must
    /// answer anew: other schedulers may lead them now, or other lives run there.
    pub(crate) fn is_held(&self, now: Moment, times: &NodeTimes) -> bool {
        // A hold may have been answered at any moment since it was sent, and the next one may take
        // its whole wait.
        now.since(self.held_at) <= times.hold_wait * 2 + times.answer_slack
    }

    /// Returns whether a label is one of its labels.
    pub(crate) fn has_label(&self, label: &str) -> bool {
        self.record.labels.iter().any(|own| own == label)
    }

    /// Adds a run and what it takes.
    pub(crate) fn add_run(&mut self, task: TaskName, run: Run) {
        self.used += run.demand;
        if let Some(before) = self.runs.insert(task, run) {
            self.used = self.used.less(before.demand);
        }
    }

    /// Removes a run and what it takes.
    pub(crate) fn remove_run(&mut self, task: TaskName) -> Option<Run> {
        let run = self.runs.swap_remove(&task)?;
        self.used = self.used.less(run.demand);
        Some(run)
    }

    /// Estimates the target's clock at a moment.
    pub(crate) fn clock_at(&self, at: Moment) -> Option<u64> {
        let reading = self.clock?;
        let later = u64::try_from(at.since(reading.read_at).as_millis()).unwrap_or(u64::MAX);
        let earlier = u64::try_from(reading.read_at.since(at).as_millis()).unwrap_or(u64::MAX);
        Some(reading.clock_ms.saturating_add(later).saturating_sub(earlier))
    }

    /// Returns whether a clock that an answer told can be that of the life that reported last.
    pub(crate) fn is_own_clock(&self, clock_ms: u64, now: Moment) -> bool {
        /// Longest that an answer or an order may have been on its way.
        const MOST_MS: u64 = 1_000;
        let Some((reading, expected)) = self.clock.zip(self.clock_at(now)) else {
            return true;
        };
        let passed = now.since(reading.read_at).as_secs_f64() * 1000.0;
        let slack = MOST_MS + (passed * CLOCK_DRIFT * 2.0) as u64;
        clock_ms.abs_diff(expected) <= slack
    }

    /// Returns the end of a lease that may be sent now, on the target's clock.
    ///
    /// It is bounded by `confirmed_at`, when the store last confirmed this scheduler: another one
    /// may have taken over since, and counts on all leases being over [`NodeTimes::max_lease`]
    /// after that.
    pub(crate) fn next_lease(
        &mut self,
        now: Moment,
        confirmed_at: Moment,
        times: &NodeTimes,
    ) -> Option<u64> {
        if self.failed_holds > 0 && self.lease_until_ms > 0 {
            // One that does not answer gets no longer lease, so that it is over some time.
            return Some(self.lease_until_ms);
        }
        let end = (now + times.task_lease).min(confirmed_at + times.max_lease);
        let until = self.clock_at(end)?;
        self.lease_until_ms = self.lease_until_ms.max(until);
        Some(self.lease_until_ms)
    }

    /// Returns whether nothing runs on it for certain, and all that ended there is stored. What the scheduler before started may run
    /// there until the target reports, unless `is_clear` says that it started nothing.
    pub(crate) fn is_vacant(&self, is_clear: bool, confirmed_at: Moment) -> bool {
        let is_known = if self.is_led {
            self.failed_holds == 0 || self.is_lease_over(confirmed_at)
        } else {
            is_clear
        };
        // Ends that are not stored would be lost with the target and with this scheduler.
        is_known && self.runs.is_empty() && self.unstored.is_empty()
    }

    /// Returns whether every lease that was sent to it is over for certain.
    pub(crate) fn is_lease_over(&self, now: Moment) -> bool {
        let Some(reading) = self.clock else {
            return false;
        };
        let left_ms = self.lease_until_ms.saturating_sub(reading.clock_ms);
        let left = Duration::from_millis(left_ms).div_f64(1.0 - CLOCK_DRIFT);
        now > reading.read_at + left + LEASE_SLACK
    }
}
