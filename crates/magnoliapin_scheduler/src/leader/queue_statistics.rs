//! Statistics of the jobs of a queue.

use std::time::Duration;

use magnoliapin_site::JobSpec;
use magnoliapin_site::StepSpec;

#[cfg(test)]
#[path = "queue_statistics_tests.rs"]
mod tests;

/// Weight of a new job in the moving average of the work of a job.
const JOB_WEIGHT: f64 = 0.05;
/// Least weight of a new run in the averages of run times, which many runs enter.
const MIN_RUN_WEIGHT: f64 = 0.005;
/// Expected run time of a task whose client gave no estimate.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(1);
/// Upper bound of an expected run time, in seconds. Clients may send any estimate, and the sum of
/// several must not overflow.
const MAX_RUN_SECONDS: f64 = 86_400.0;
/// Number of observations whose weight the initial assumption, that estimates are exact, has.
const PRIOR_RUNS: f64 = 20.0;
/// Variance of the logarithm of the estimates in the initial assumption.
const PRIOR_VARIANCE: f64 = 0.25;

/// Moving averages of the jobs of a queue.
///
/// Load pattern: clients' estimates are off by factors, in both directions. A run that was
/// estimated as long is then, on average, shorter than estimated, and one that was estimated as
/// short is longer. So the expected run time is a power of the estimate, whose exponent is the
/// regression of the logarithms, and it is scaled so that the expected times of all runs add up to
/// the observed ones: the size of a pool follows that sum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueStatistics {
    /// Number of observed runs.
    runs: f64,
    /// Averages of the logarithms of estimate and run time, and of their products.
    log_estimate: f64,
    log_run_time: f64,
    log_estimate_square: f64,
    log_product: f64,
    /// Averages of run times, and of the expected run times before they are scaled, in seconds.
    run_time: f64,
    unscaled_run_time: f64,
    /// Moving average of the work of a job, in core-seconds by its estimates; 0 before the first
    /// job.
    mean_work: f64,
}

impl Default for QueueStatistics {
    fn default() -> Self {
        Self {
            runs: 0.0,
            log_estimate: 0.0,
            log_run_time: 0.0,
            log_estimate_square: PRIOR_VARIANCE,
            log_product: PRIOR_VARIANCE,
            run_time: 1.0,
            unscaled_run_time: 1.0,
            mean_work: 0.0,
        }
    }
}

impl QueueStatistics {
    /// Records the run time of a run that has succeeded.
    pub(crate) fn record_run(&mut self, estimate_ms: u64, run_time: Duration) {
        /// Shortest run time that is told apart, in seconds.
        const MIN_SECONDS: f64 = 0.01;
        if estimate_ms == 0 {
            return;
        }
        let estimate = estimate_ms as f64 / 1000.0;
        let seconds = run_time.as_secs_f64().max(MIN_SECONDS);
        let (log_estimate, log_run_time) = (estimate.ln(), seconds.ln());
        if self.runs == 0.0 {
            // Centres the initial assumption on the first run.
            self.log_estimate = log_estimate;
            self.log_run_time = log_estimate;
            self.log_estimate_square = log_estimate * log_estimate + PRIOR_VARIANCE;
            self.log_product = self.log_estimate_square;
            self.run_time = estimate;
            self.unscaled_run_time = estimate;
        }
        self.runs += 1.0;
        let weight = (1.0 / (self.runs + PRIOR_RUNS)).max(MIN_RUN_WEIGHT);
        let unscaled = self.unscaled(estimate);
        let average = |average: &mut f64, value: f64| *average += weight * (value - *average);
        average(&mut self.log_estimate, log_estimate);
        average(&mut self.log_run_time, log_run_time);
        average(&mut self.log_estimate_square, log_estimate * log_estimate);
        average(&mut self.log_product, log_estimate * log_run_time);
        average(&mut self.run_time, seconds);
        average(&mut self.unscaled_run_time, unscaled);
    }

    /// Returns the exponent of the estimate in the expected run time: 1 if estimates are exact, 0 if
    /// they say nothing.
    fn exponent(&self) -> f64 {
        let variance = self.log_estimate_square - self.log_estimate * self.log_estimate;
        let covariance = self.log_product - self.log_estimate * self.log_run_time;
        if variance <= f64::EPSILON {
            return 1.0;
        }
        (covariance / variance).clamp(0.0, 1.0)
    }

    fn unscaled(&self, estimate: f64) -> f64 {
        (self.log_run_time + self.exponent() * (estimate.ln() - self.log_estimate)).exp()
    }

    /// Records the work of an accepted job.
    pub(crate) fn record_job(&mut self, spec: &JobSpec) {
        let work = self.work_of(spec.steps.iter());
        if self.mean_work == 0.0 {
            self.mean_work = work;
        } else {
            self.mean_work += JOB_WEIGHT * (work - self.mean_work);
        }
    }

    /// Returns the expected run time of a task of a step.
    pub(crate) fn run_time(&self, step: &StepSpec) -> Duration {
        if step.estimate_ms == 0 {
            return DEFAULT_RUN_TIME;
        }
        let estimate = step.estimate_ms as f64 / 1000.0;
        if self.runs == 0.0 {
            return Duration::from_secs_f64(estimate.min(MAX_RUN_SECONDS));
        }
        let scale = self.run_time / self.unscaled_run_time;
        Duration::from_secs_f64((self.unscaled(estimate) * scale).min(MAX_RUN_SECONDS))
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
