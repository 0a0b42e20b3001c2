//! Statistics of the jobs of a queue.

use std::time::Duration;

use magnoliapin_site::JobSpec;
use magnoliapin_site::StepSpec;

/// Weight of a new observation in the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Expected run time of a task whose client gave no estimate.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(1);
/// Bounds of an observed ratio of run time to estimate, which limit the influence of outliers.
const RATIO_BOUNDS: (f64, f64) = (0.2, 5.0);

/// Moving averages of the jobs of a queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueStatistics {
    /// Moving average of the ratio of run times to their estimates.
    run_time_ratio: f64,
    /// Moving average of the work of a job, in core-seconds by its estimates; 0 before the first
    /// job.
    mean_work: f64,
}

impl Default for QueueStatistics {
    fn default() -> Self {
        Self { run_time_ratio: 1.0, mean_work: 0.0 }
    }
}

impl QueueStatistics {
    /// Records the run time of a run that has succeeded.
    pub(crate) fn record_run(&mut self, estimate_ms: u64, run_time: Duration) {
        if estimate_ms == 0 {
            return;
        }
        let ratio = run_time.as_secs_f64() * 1000.0 / estimate_ms as f64;
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        self.run_time_ratio += SMOOTHING_FACTOR * (ratio - self.run_time_ratio);
    }

    /// Records the work of an accepted job.
    pub(crate) fn record_job(&mut self, spec: &JobSpec) {
        let work = self.work_of(spec.steps.iter());
        if self.mean_work == 0.0 {
            self.mean_work = work;
        } else {
            self.mean_work += SMOOTHING_FACTOR * (work - self.mean_work);
        }
    }

    /// Returns the expected run time of a task of a step.
    pub(crate) fn run_time(&self, step: &StepSpec) -> Duration {
        if step.estimate_ms == 0 {
            return DEFAULT_RUN_TIME;
        }
        Duration::from_millis(step.estimate_ms).mul_f64(self.run_time_ratio)
    }

    /// Returns the expected work of steps, in core-seconds.
    pub(crate) fn work_of<'s>(&self, steps: impl Iterator<Item = &'s StepSpec>) -> f64 {
        let work = |step: &StepSpec| {
            let cores = f64::from(step.demand.cpu_milli) / 1000.0;
            f64::from(step.tasks) * cores * self.run_time(step).as_secs_f64()
        };
        steps.map(work).sum()
    }

    /// Returns the value of a job with this work, in core-seconds, relative to the average job of
    /// its queue.
    pub(crate) fn relative_value(&self, work: f64) -> f64 {
        /// Part of the value that does not depend on the work of the job.
        const FIXED_SHARE: f64 = 0.3;
        const MAX_RELATIVE_VALUE: f64 = 4.0;
        let relative = if self.mean_work > 0.0 { work / self.mean_work } else { 1.0 };
        (FIXED_SHARE + (1.0 - FIXED_SHARE) * relative).min(MAX_RELATIVE_VALUE)
    }
}
