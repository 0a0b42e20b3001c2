//! Run times by queue, used to estimate which work can still finish before its deadline.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::QueueId;

/// Weight of the newest run in the averages.
const NEWEST_WEIGHT: f64 = 0.05;
/// Mean absolute deviations above the mean within which nearly every run finishes.
const DEVIATION_FACTOR: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
struct RunTimeRecord {
    mean_seconds: f64,
    deviation_seconds: f64,
}

/// Observed run times by queue. Run times that clients declare are only hints and not used.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    records: IndexMap<QueueId, RunTimeRecord>,
}

impl RunTimes {
    /// Records the run time of a finished task.
    pub(crate) fn record_run(&mut self, queue: QueueId, span: Duration) {
        let seconds = span.as_secs_f64();
        let first = RunTimeRecord { mean_seconds: seconds, deviation_seconds: 0.0 };
        let record = self.records.entry(queue).or_insert(first);
        let error = seconds - record.mean_seconds;
        record.mean_seconds += error * NEWEST_WEIGHT;
        record.deviation_seconds += (error.abs() - record.deviation_seconds) * NEWEST_WEIGHT;
    }

    /// Records that a task was stopped after `span`. Its run time is at least `span`, so it counts
    /// only if it exceeds the estimate.
    pub(crate) fn record_stopped(&mut self, queue: QueueId, span: Duration) {
        let exceeds_estimate = self.expected(queue).is_none_or(|expected| span > expected);
        if exceeds_estimate {
            self.record_run(queue, span);
        }
    }

    /// Returns a run time that nearly no task of a queue exceeds, if any was recorded.
    pub(crate) fn expected(&self, queue: QueueId) -> Option<Duration> {
        let record = self.records.get(&queue)?;
        let seconds = record.mean_seconds + DEVIATION_FACTOR * record.deviation_seconds;
        Duration::try_from_secs_f64(seconds).ok()
    }
}
