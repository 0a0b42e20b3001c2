//! Smoothed demand of each queue.

use indexmap::IndexMap;
use magnoliapin_model::QueueId;

use crate::UnixSeconds;

/// Time over which demand is averaged, in seconds; bursts of a few seconds have little effect.
pub const DEMAND_SPAN_SECONDS: u64 = 1_800;

/// Averages the demand of each queue, so that plans follow the course of the day and not bursts.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    queues: IndexMap<QueueId, QueueDemand>,
}

/// Averaged demand of one queue.
#[derive(Clone, Copy, Debug)]
struct QueueDemand {
    first_at: UnixSeconds,
    last_at: UnixSeconds,
    slots: f64,
}

impl DemandHistory {
    /// Adds an observation: `slots` is the queue's mean demand since the previous one.
    pub fn observe(&mut self, queue: QueueId, slots: f64, now: UnixSeconds) {
        let first = QueueDemand { first_at: now, last_at: now, slots };
        let demand = self.queues.entry(queue).or_insert(first);
        let (age, interval) = (now.since(demand.first_at), now.since(demand.last_at));
        if interval == 0 {
            return;
        }
        let span = age.clamp(interval, DEMAND_SPAN_SECONDS.max(interval));
        let weight = interval as f64 / span as f64;
        demand.slots += weight * (slots - demand.slots);
        demand.last_at = now;
    }

    /// Returns the mean demand of a queue in slots, or `None` while the history is too short to
    /// distinguish bursts from trends.
    pub fn average_slots(&self, queue: QueueId) -> Option<f64> {
        let demand = self.queues.get(&queue)?;
        let age = demand.last_at.since(demand.first_at);
        (age >= DEMAND_SPAN_SECONDS / 2).then_some(demand.slots)
    }
}
