//! Demand of queues: a daily wave, multiplied by alternating bursts and quiet periods.

use magnoliapin_model::ConfigDocument;
use magnoliapin_model::PoolId;
use magnoliapin_model::QueueId;
use rand::Rng;
use rand_pcg::Pcg64;

/// Demand during a burst, as a multiple of the daily wave.
const BURST_FACTOR: f64 = 5.0;
/// Demand between bursts, as a fraction of the daily wave.
const QUIET_FACTOR: f64 = 0.05;
/// Mean length of a burst, in seconds.
const BURST_SECONDS: f64 = 20.0;
/// Mean demand of a pool's queues together, as a fraction of the pool.
const MEAN_LOAD: f64 = 0.6;
/// Amplitude of the daily wave, as a fraction of the mean.
const DAY_SWING: f64 = 0.5;
const DAY_SECONDS: f64 = 86_400.0;

/// Demand model of one queue.
#[derive(Clone, Debug)]
pub(crate) struct QueueModel {
    /// The queue.
    pub(crate) queue: QueueId,
    /// The pool that serves it.
    pub(crate) pool: PoolId,
    /// Fraction of its demand that belongs to each team.
    pub(crate) team_fractions: Vec<f64>,
    mean_instances: f64,
    /// Phase of the daily wave, in radians.
    phase: f64,
    is_burst: bool,
    /// End of the current burst or quiet period, in seconds from the start of the day.
    period_end_seconds: f64,
}

impl QueueModel {
    /// Creates the queues of a document, with random phases and random fractions of teams.
    pub(crate) fn for_document(document: &ConfigDocument, random: &mut Pcg64) -> Vec<Self> {
        let queues = document.queues.iter().map(|(queue, section)| {
            let pool_queues = document.queues.values().filter(|queue| queue.pool == section.pool);
            let size =
                f64::from(document.pools[&section.pool].instances) / pool_queues.count() as f64;
            let is_open_to = |team| section.teams.is_empty() || section.teams.contains(team);
            let draw_weight =
                |team| if is_open_to(team) { random.random_range(0.1..1.0) } else { 0.0 };
            let mut fractions: Vec<f64> = document.teams.keys().map(draw_weight).collect();
            let sum: f64 = fractions.iter().sum();
            fractions.iter_mut().for_each(|fraction| *fraction /= sum);
            Self {
                queue: *queue,
                pool: section.pool,
                team_fractions: fractions,
                mean_instances: MEAN_LOAD * size,
                phase: random.random_range(0.0..std::f64::consts::TAU),
                is_burst: false,
                period_end_seconds: random.random_range(0.0..100.0),
            }
        });
        queues.collect()
    }

    /// Returns the demand at a time of the day, in instances; times must not decrease between
    /// calls.
    pub(crate) fn demand_at(&mut self, seconds: f64, random: &mut Pcg64) -> f64 {
        while seconds >= self.period_end_seconds {
            self.is_burst = !self.is_burst;
            self.period_end_seconds += self.draw_period_seconds(random);
        }
        let factor = if self.is_burst { BURST_FACTOR } else { QUIET_FACTOR };
        factor * self.daily_demand(seconds)
    }

    fn daily_demand(&self, seconds: f64) -> f64 {
        let angle = std::f64::consts::TAU * seconds / DAY_SECONDS + self.phase;
        self.mean_instances * (1.0 + DAY_SWING * angle.sin())
    }

    /// Draws the length of the burst or quiet period that starts now. The mean length of a quiet
    /// period keeps the mean factor at 1.
    fn draw_period_seconds(&self, random: &mut Pcg64) -> f64 {
        let quiet = BURST_SECONDS * (BURST_FACTOR - 1.0) / (1.0 - QUIET_FACTOR);
        let mean = if self.is_burst { BURST_SECONDS } else { quiet };
        exponential(mean, random)
    }
}

/// Draws from an exponential distribution.
pub(crate) fn exponential(mean: f64, random: &mut Pcg64) -> f64 {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    -mean * uniform.ln()
}
