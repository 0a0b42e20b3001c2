//! The slow part of each queue's demand.

use indexmap::IndexMap;
use magnoliapin_model::QueueId;

use crate::UnixSeconds;

/// Time over which demand is averaged, in seconds; a burst of seconds hardly shows.
pub const DEMAND_SPAN_SECONDS: u64 = 1_800;

/// Averages what each queue asks for, so that plans follow the day and not the bursts.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    queues: IndexMap<QueueId, QueueDemand>,
}

/// Averaged demand of one queue.
#[derive(Clone, Copy, Debug)]
struct QueueDemand {
    first: UnixSeconds,
    last: UnixSeconds,
    slots: f64,
}

impl DemandHistory {
    /// Adds an observation: the queue has asked for `slots` on the mean since the last one.
    pub fn observe(&mut self, queue: QueueId, slots: f64, now: UnixSeconds) {
        let first = QueueDemand { first: now, last: now, slots };
        let demand = self.queues.entry(queue).or_insert(first);
        let (seen, step) = (now.since(demand.first), now.since(demand.last));
        if step == 0 {
            return;
        }
        let span = seen.clamp(step, DEMAND_SPAN_SECONDS.max(step));
        let weight = step as f64 / span as f64;
        demand.slots += weight * (slots - demand.slots);
        demand.last = now;
    }

    /// Returns the slots that a queue asks for on the mean, or none until the history is long
    /// enough to tell bursts from trends.
    pub fn slow_slots(&self, queue: QueueId) -> Option<f64> {
        let demand = self.queues.get(&queue)?;
        let seen = demand.last.since(demand.first);
        (seen >= DEMAND_SPAN_SECONDS / 2).then_some(demand.slots)
    }
}
