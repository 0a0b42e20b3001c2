//! Order in which waiting jobs get their tasks started.
//!
//! Load pattern: more work waits in a pool than it can start. Jobs are ranked by the priority of
//! their queue. Within one priority, long-running jobs come first, then jobs that can still be in
//! time, then late ones. Within one class, jobs beyond the share of their team come last; then the
//! value per remaining work decides, then the age.

use std::cmp::Ordering;
use std::time::Duration;

use magnoliapin_model::Moment;

#[cfg(test)]
#[path = "job_order_tests.rs"]
mod tests;

/// Multiple of its allowed time up to which a late job still has value.
pub(crate) const LATE_FACTOR: u32 = 3;
/// Least remaining work that is told apart, in core-seconds.
const MIN_WORK: f64 = 0.001;

/// What a job can still be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RankClass {
    /// Its tasks run until the job is cancelled.
    LongRunning,
    /// It can still finish in time.
    InTime,
    /// It will finish late, but still has value.
    Late,
    /// It will finish so late that it has no value.
    Worthless,
}

/// Remaining time and deadline of one occurrence of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deadline {
    pub(crate) due_at: Moment,
    /// Time within which it is on time.
    pub(crate) allowed: Duration,
    /// Length of the remaining critical path.
    pub(crate) remaining: Duration,
}

impl Deadline {
    /// Returns the class of an occurrence that goes on at once.
    pub(crate) fn class(&self, now: Moment) -> RankClass {
        let finish_at = now + self.remaining;
        if finish_at <= self.due_at + self.allowed {
            RankClass::InTime
        } else if finish_at <= self.due_at + self.allowed.saturating_mul(LATE_FACTOR) {
            RankClass::Late
        } else {
            RankClass::Worthless
        }
    }
}

/// What is known about a waiting job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobOutlook {
    /// Priority of the queue; lower numbers go first.
    pub(crate) priority: u32,
    pub(crate) class: RankClass,
    /// Whether its pool is contended and it arrived beyond the share of its team.
    pub(crate) is_over_share: bool,
    /// Value relative to the average job of its queue.
    pub(crate) value: f64,
    /// Remaining work, in core-seconds.
    pub(crate) remaining_work: f64,
    pub(crate) accepted_at: Moment,
}

impl JobOutlook {
    /// Creates the outlook of a job whose tasks run until it is cancelled.
    pub(crate) fn long_running(priority: u32, accepted_at: Moment) -> Self {
        let class = RankClass::LongRunning;
        Self { priority, class, is_over_share: false, value: 0.0, remaining_work: 0.0, accepted_at }
    }

    /// Adds an occurrence of the job: the one that can still be most decides the class.
    pub(crate) fn add_occurrence(&mut self, deadline: &Deadline, work: f64, now: Moment) {
        self.class = self.class.min(deadline.class(now));
        self.remaining_work += work;
    }

    /// Returns the rank of the job.
    pub(crate) fn rank(&self) -> JobRank {
        JobRank {
            priority: self.priority,
            class: self.class,
            is_over_share: self.is_over_share,
            urgency: self.value / self.remaining_work.max(MIN_WORK),
            accepted_at: self.accepted_at,
        }
    }
}

/// Place of a job in the order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct JobRank {
    priority: u32,
    class: RankClass,
    is_over_share: bool,
    /// Value for each core-second of remaining work; the highest goes first.
    urgency: f64,
    accepted_at: Moment,
}

impl JobRank {
    /// Compares two ranks; the lesser one goes first.
    pub(crate) fn compare(&self, other: &Self) -> Ordering {
        self.priority
            .cmp(&other.priority)
            .then(self.class.cmp(&other.class))
            .then(self.is_over_share.cmp(&other.is_over_share))
            .then(other.urgency.total_cmp(&self.urgency))
            .then(self.accepted_at.cmp(&other.accepted_at))
    }
}
