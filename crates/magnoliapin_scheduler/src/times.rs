//! Intervals, timeouts and other time bounds of a node.

use std::time::Duration;

use magnoliapin_site::SiteBounds;

/// Time bounds of a node, derived from those of the site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeTimes {
    /// Time between two renewals of the leader's lease.
    pub renewal_interval: Duration,
    /// Time without a renewal after which another node takes over.
    pub leader_timeout: Duration,
    /// Maximum wait of a watch call, so that a watch that gets no more replies is detected.
    pub watch_wait: Duration,
    /// Time that a reply may take beyond the requested wait.
    pub reply_slack: Duration,
    /// Lease of the tasks on a target; outlasts a takeover, and network partitions that heal by
    /// themselves.
    pub task_lease: Duration,
    /// Maximum lease that a target grants; limits how long an unreachable target keeps running
    /// tasks.
    pub max_lease: Duration,
    /// How long a target may wait for a completion before it replies to a heartbeat.
    pub heartbeat_wait: Duration,
    /// The same while it has tasks that end by themselves. It is shorter, because their
    /// completions are only learned from the next heartbeat if this one is lost.
    pub busy_heartbeat_wait: Duration,
    /// Time that a reply to a heartbeat of such a target may take beyond the requested wait.
    pub busy_reply_slack: Duration,
    /// Time after which an order to a target fails.
    pub order_timeout: Duration,
    /// The same for the first try of a start, which can be repeated without effect.
    pub first_start_timeout: Duration,
    /// Maximum time that a target takes to stop a run.
    pub stop_grace: Duration,
    /// How long a registration may be missing while its target still replies.
    pub registration_grace: Duration,
    /// Minimum time between orders to one instance from different nodes.
    pub order_spacing: Duration,
    /// Duration of maintenance of an instance.
    pub maintenance_time: Duration,
    /// How long the outcome of a job is kept.
    pub outcome_retention: Duration,
    /// Time after which nothing may start in an evacuated zone; `None` on sites that evacuate none.
    pub evacuation_time: Option<Duration>,
}

impl NodeTimes {
    /// Derives the bounds from those of the site.
    pub fn new(bounds: &SiteBounds) -> Self {
        let renewal_interval = bounds.order_spacing / 6;
        let evacuation_time = bounds.evacuation_time.map(|time| time.max(MIN_EVACUATION_TIME));
        // The operator's rows must be known more recently than a bound on evacuations allows starts.
        let watch_wait = evacuation_time.map_or(MAX_WATCH_WAIT, |time| {
            (time.saturating_sub(START_TRANSIT_TIME) / 3).min(MAX_WATCH_WAIT)
        });
        Self {
            renewal_interval,
            leader_timeout: renewal_interval * 3,
            watch_wait,
            reply_slack: Duration::from_millis(700),
            task_lease: (bounds.heartbeat * 4).min(bounds.max_lease),
            max_lease: bounds.max_lease,
            heartbeat_wait: Duration::from_millis(2_000).min(bounds.max_lease / 4),
            busy_heartbeat_wait: Duration::from_millis(400),
            busy_reply_slack: Duration::from_millis(300),
            order_timeout: Duration::from_millis(400),
            first_start_timeout: Duration::from_millis(150),
            stop_grace: bounds.stop_grace,
            registration_grace: Duration::from_millis(2_500),
            order_spacing: bounds.order_spacing,
            maintenance_time: bounds.maintenance_time,
            outcome_retention: bounds.outcome_retention,
            evacuation_time,
        }
    }
}

/// Longest wait of a watch call.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Time after which a start that was sent has begun or has failed: two timeouts of orders, one of them by an
/// agent, and the slack of a reply.
pub(crate) const START_TRANSIT_TIME: Duration = Duration::from_millis(1_500);
/// Shortest bound on evacuations that is kept. With a shorter one no start could be sent in time.
const MIN_EVACUATION_TIME: Duration = Duration::from_millis(2_100);

/// Maximum fraction by which a target's clock may run slower than real time.
pub(crate) const CLOCK_DRIFT: f64 = 0.02;
/// Longest time for which an order without a reply may be on its way.
pub(crate) const MAX_ORDER_DELAY: Duration = Duration::from_secs(12);
/// Longest time for which a service may lack a long-running task that there is room for, as the users'
/// rules state it: 6 s after its last run and 3 s more.
const MAX_TASK_ABSENCE: Duration = Duration::from_secs(9);
/// Part of [`MAX_TASK_ABSENCE`] for a change of leader and the start itself.
const RESTART_RESERVE: Duration = Duration::from_secs(2);
/// Longest time without a report of a target after which its long-running tasks start elsewhere, although
/// starts of them may still be on their way.
pub(crate) const MAX_SERVICE_WAIT: Duration = MAX_TASK_ABSENCE.saturating_sub(RESTART_RESERVE);
/// The same after a change of leader, counted from then. The next leader does not know when the target was
/// last heard; a leader that fails is replaced within about 2 s.
pub(crate) const MAX_INHERITED_SERVICE_WAIT: Duration =
    MAX_SERVICE_WAIT.saturating_sub(RESTART_RESERVE);
/// Margin added to the end of a target's lease, as the target's clock is read over the network.
pub(crate) const LEASE_SLACK: Duration = Duration::from_millis(100);
/// How long after its last confirmation by the store a leader takes decisions that another leader
/// could undo. It is longer than a slow store takes to answer, and short enough that the next
/// leader can wait for it to pass.
pub(crate) const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(1_500);
