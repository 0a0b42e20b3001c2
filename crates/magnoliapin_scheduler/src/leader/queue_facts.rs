//! What a scheduler learns of the jobs of a queue.

use std::time::Duration;

use magnoliapin_site::JobSpec;
use magnoliapin_site::StepSpec;

/// Weight of a new observation against what was learned before.
const LEARNING_RATE: f64 = 0.05;
/// Run time of a task whose client gave no estimate.
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(1);
/// Bounds on how far estimates are taken to be off, so that a few odd runs do not mislead.
const RATIO_BOUNDS: (f64, f64) = (0.2, 5.0);

/// What is known of the jobs of a queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueFacts {
    /// Smoothed ratio of run times to their estimates.
    ratio: f64,
    /// Smoothed work of a job, in core-seconds by its estimates; 0 before the first.
    work: f64,
}

impl Default for QueueFacts {
    fn default() -> Self {
        Self { ratio: 1.0, work: 0.0 }
    }
}

impl QueueFacts {
    /// Learns from a run that did its work.
    pub(crate) fn note_run(&mut self, estimate_ms: u64, run_time: Duration) {
        if estimate_ms == 0 {
            return;
        }
        let ratio = run_time.as_secs_f64() * 1000.0 / estimate_ms as f64;
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        self.ratio += LEARNING_RATE * (ratio - self.ratio);
    }

    /// Learns from a job that was accepted.
    pub(crate) fn note_job(&mut self, spec: &JobSpec) {
        let work = self.work_of(spec.steps.iter());
        if self.work == 0.0 {
            self.work = work;
        } else {
            self.work += LEARNING_RATE * (work - self.work);
        }
    }

    /// Returns the expected run time of a task.
    pub(crate) fn run_time(&self, step: &StepSpec) -> Duration {
        if step.estimate_ms == 0 {
            return DEFAULT_RUN_TIME;
        }
        Duration::from_millis(step.estimate_ms).mul_f64(self.ratio)
    }

    /// Returns the work of steps, in core-seconds.
    pub(crate) fn work_of<'s>(&self, steps: impl Iterator<Item = &'s StepSpec>) -> f64 {
        let work = |step: &StepSpec| {
            let cores = f64::from(step.demand.cpu_milli) / 1000.0;
            f64::from(step.tasks) * cores * self.run_time(step).as_secs_f64()
        };
        steps.map(work).sum()
    }

    /// Returns what a job of this work is worth, against the mean job of its queue.
    pub(crate) fn worth(&self, work: f64) -> f64 {
        const FIXED_SHARE: f64 = 0.3;
        const MOST: f64 = 4.0;
        let relative = if self.work > 0.0 { work / self.work } else { 1.0 };
        (FIXED_SHARE + (1.0 - FIXED_SHARE) * relative).min(MOST)
    }
}
