//! Targets that are slow for a while after their start, which get little work.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexSet;
use magnoliapin_model::Moment;
use magnoliapin_site::PoolName;

use crate::leader::target::Target;
use crate::leader::Leader;

#[cfg(test)]
#[path = "cold_targets_tests.rs"]
mod tests;

/// Lowest rate of starts that is kept, per second: one start in longer intervals would make a target
/// useless for as long as it is cold.
const MIN_RATE: f64 = 0.01;

/// Returns how many more starts a cold target accepts now, given its earlier ones and its rate of starts
/// per second; a rate of 0 sets no limit.
fn starts_left(rate: f64, starts: &VecDeque<Moment>, now: Moment) -> u32 {
    if rate <= 0.0 {
        return u32::MAX;
    }
    let rate = rate.max(MIN_RATE);
    // A rate below one start a second is kept over the interval of one start.
    let interval_s = rate.recip().max(1.0);
    let interval = Duration::from_secs_f64(interval_s);
    let recent = starts.iter().filter(|at| now.since(**at) < interval).count() as u32;
    ((rate * interval_s).round().max(1.0) as u32).saturating_sub(recent)
}

impl Target {
    /// Records that a run is placed on it.
    pub(super) fn record_placement(&mut self, now: Moment) {
        if now < self.cold_until {
            self.cold_starts.push_back(now);
        } else {
            self.cold_starts.clear();
        }
    }
}

impl Leader {
    /// Returns whether cold targets of a pool are treated differently from others.
    fn distinguishes_cold_targets(&self, pool: &PoolName) -> bool {
        let rule = self.config.pools.get(pool);
        self.identity.times.evacuation_time.is_some()
            || rule.is_some_and(|rule| !rule.cold_time.is_zero())
    }

    /// Returns how many more starts a cold target accepts now; `None` if it is at full speed.
    pub(super) fn cold_starts_left(&self, target: &Target, now: Moment) -> Option<u32> {
        let pool = &target.record.pool;
        if now >= target.cold_until || !self.distinguishes_cold_targets(pool) {
            return None;
        }
        let rate = self.config.pools.get(pool).map_or(0.0, |rule| rule.cold_starts_per_s);
        Some(starts_left(rate, &target.cold_starts, now))
    }

    /// Returns how long a target of a pool that has just started is cold.
    pub(super) fn cold_time(&self, pool: &PoolName) -> Duration {
        self.config.pools.get(pool).map_or(Duration::ZERO, |rule| rule.cold_time)
    }

    /// Marks the pools for dispatch whose cold targets accept starts again as time passes.
    pub(super) fn mark_cold_pools(&mut self, now: Moment) {
        let is_limited = |pool: &PoolName| {
            self.config.pools.get(pool).is_some_and(|rule| rule.cold_starts_per_s > 0.0)
        };
        let cold = self.targets.values().filter(|target| {
            !target.cold_starts.is_empty()
                && is_limited(&target.record.pool)
                && self.cold_starts_left(target, now).is_some()
        });
        let pools: IndexSet<PoolName> = cold.map(|target| target.record.pool.clone()).collect();
        for pool in pools {
            self.mark_for_dispatch(&pool);
        }
    }
}
