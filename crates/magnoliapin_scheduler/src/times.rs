//! Time bounds of a node's decisions.

use std::time::Duration;

use magnoliapin_site::SiteBounds;

/// Time bounds, worked out from those of the site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeTimes {
    /// Time between two renewals of the scheduler's lease.
    pub beat: Duration,
    /// Silence of the scheduler after which another node takes over.
    pub silence: Duration,
    /// Longest wait of a watch, so that one that has gone silent is noticed.
    pub watch_wait: Duration,
    /// Time that an answer may take beyond the wait that was asked for.
    pub answer_slack: Duration,
    /// Lease of tasks on a target: outlasts a takeover, and the partitions that heal by
    /// themselves.
    pub task_lease: Duration,
    /// Longest lease that a target grants; bounds what an unreachable target may still run.
    pub max_lease: Duration,
    /// How long a target may wait for an end before it answers a hold.
    pub hold_wait: Duration,
    /// Time after which an order to a target has failed.
    pub order_timeout: Duration,
    /// Longest time that a target takes to stop a run.
    pub stop_grace: Duration,
    /// How long a registration may be missing while its target answers.
    pub registration_grace: Duration,
    /// Least time between orders to one instance from different nodes.
    pub order_spacing: Duration,
    /// Time that maintenance takes.
    pub maintenance_time: Duration,
    /// How long the outcome of a job is kept.
    pub outcome_retention: Duration,
}

impl NodeTimes {
    /// Works the bounds out.
    pub fn new(bounds: &SiteBounds) -> Self {
        let beat = bounds.order_spacing / 6;
        Self {
            beat,
            silence: beat * 3,
            watch_wait: Duration::from_millis(1_000),
            answer_slack: Duration::from_millis(700),
            task_lease: (bounds.heartbeat * 4).min(bounds.max_lease),
            max_lease: bounds.max_lease,
            hold_wait: Duration::from_millis(2_000).min(bounds.max_lease / 4),
            order_timeout: Duration::from_millis(400),
            stop_grace: bounds.stop_grace,
            registration_grace: Duration::from_millis(2_500),
            order_spacing: bounds.order_spacing,
            maintenance_time: bounds.maintenance_time,
            outcome_retention: bounds.outcome_retention,
        }
    }
}

/// How much slower than real time a target's clock may run.
pub(crate) const CLOCK_DRIFT: f64 = 0.02;
/// Time added to the end of a lease on a target whose clock is read from afar.
pub(crate) const LEASE_SLACK: Duration = Duration::from_millis(100);
/// How long after the store has confirmed it a scheduler takes decisions that another one might
/// undo: longer than a slow store takes to answer, and short enough for the next scheduler to wait
/// for.
pub(crate) const TRUST_TIME: Duration = Duration::from_millis(1_500);
