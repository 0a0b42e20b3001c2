//! Forecasts the work that arrives at a pool while its instances are being moved.
//!
//! Load pattern: the demand of a queue rises from a twentieth to five times its mean within a second
//! or two, and an instance needs over 1.5 s to join the pool. A slow average lags behind the rise, a
//! fast one follows single jobs. So a fast average counts as far as enough jobs support it, and a
//! rise that it shows over the slow one is taken to go on.

use std::time::Duration;

use magnoliapin_model::Moment;

use super::amount::Amount;

#[cfg(test)]
#[path = "arrival_forecast_tests.rs"]
mod tests;

/// Time constant of the slow average: long enough for several jobs, and shorter than the time in
/// which a surge must be served.
const SLOW_TIME: Duration = Duration::from_millis(1_000);
/// Time constant of the fast average.
const FAST_TIME: Duration = Duration::from_millis(400);
/// Part of the rise of the fast average over the slow one that is expected to follow.
const RISE_FACTOR: f64 = 1.0;

/// Averages of the resources that arriving work will occupy.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ArrivalForecast {
    slow: Amount,
    fast: Amount,
    /// Number of jobs in the fast average.
    fast_jobs: f64,
    updated_at: Moment,
}

impl ArrivalForecast {
    /// Adds an arriving job; `work` is the product of its resources and run times in seconds.
    pub(crate) fn add(&mut self, work: Amount, now: Moment) {
        self.update(now);
        self.slow = self.slow.plus(work.times(1.0 / SLOW_TIME.as_secs_f64()));
        self.fast = self.fast.plus(work.times(1.0 / FAST_TIME.as_secs_f64()));
        self.fast_jobs += 1.0;
    }

    /// Lets the averages decay until a moment.
    pub(crate) fn update(&mut self, now: Moment) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let slow = (-elapsed / SLOW_TIME.as_secs_f64()).exp();
        let fast = (-elapsed / FAST_TIME.as_secs_f64()).exp();
        self.slow = self.slow.times(slow);
        self.fast = self.fast.times(fast);
        self.fast_jobs *= fast;
        self.updated_at = now;
    }

    /// Returns the resources that arriving work will occupy.
    pub(crate) fn expected(&self) -> Amount {
        // The standard error of a count of independent arrivals is its square root.
        let support = (1.0 - 1.0 / self.fast_jobs.max(1.0).sqrt()).max(0.0);
        let fast = self.fast.times(support);
        let rising = fast.plus(fast.excess_over(self.slow).times(RISE_FACTOR));
        rising.component_max(self.slow)
    }
}
