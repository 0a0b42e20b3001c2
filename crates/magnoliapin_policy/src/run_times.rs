//! How long the work of each queue runs, to tell what can still end before its deadline.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::QueueId;

/// Weight of the newest run in the averages.
const NEWEST_WEIGHT: f64 = 0.05;
/// Mean deviations over the mean within which nearly every run ends.
const DEVIATIONS: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
struct RunRecord {
    mean_seconds: f64,
    deviation_seconds: f64,
}

/// Observed run times by queue. What callers declare is only a hint and is not used.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    records: IndexMap<QueueId, RunRecord>,
}

impl RunTimes {
    /// Notes how long a task took from its start to its end.
    pub(crate) fn note_run(&mut self, queue: QueueId, span: Duration) {
        let seconds = span.as_secs_f64();
        let first = RunRecord { mean_seconds: seconds, deviation_seconds: 0.0 };
        let record = self.records.entry(queue).or_insert(first);
        let error = seconds - record.mean_seconds;
        record.mean_seconds += error * NEWEST_WEIGHT;
        record.deviation_seconds += (error.abs() - record.deviation_seconds) * NEWEST_WEIGHT;
    }

    /// Notes that a task was stopped before its end, after `span`.
    pub(crate) fn note_stopped(&mut self, queue: QueueId, span: Duration) {
        let is_longer = self.expected(queue).is_none_or(|expected| span > expected);
        if is_longer {
            self.note_run(queue, span);
        }
    }

    /// Returns a time within which nearly every task of a queue ends, if any was seen.
    pub(crate) fn expected(&self, queue: QueueId) -> Option<Duration> {
        let record = self.records.get(&queue)?;
        let seconds = record.mean_seconds + DEVIATIONS * record.deviation_seconds;
        Duration::try_from_secs_f64(seconds).ok()
    }
}
