//! Demand by turns: a slow day for each queue, and bursts of seconds on top of it.

use magnoliapin_model::ConfigDocument;
use magnoliapin_model::PoolId;
use magnoliapin_model::QueueId;
use rand::Rng;
use rand_pcg::Pcg64;

/// A queue in its moment asks this many times its mean.
const BURST_FACTOR: f64 = 5.0;
/// A queue between its moments asks this part of its mean.
const QUIET_FACTOR: f64 = 0.05;
/// Mean length of a moment, in seconds.
const BURST_SECONDS: f64 = 20.0;
/// Mean part of its pool that a queue asks for over the day.
const MEAN_LOAD: f64 = 0.6;
/// How far the slow demand swings around its mean.
const DAY_SWING: f64 = 0.5;
const DAY_SECONDS: f64 = 86_400.0;

/// One queue's demand.
#[derive(Clone, Debug)]
pub(crate) struct QueueModel {
    /// The queue.
    pub(crate) queue: QueueId,
    /// Its pool.
    pub(crate) pool: PoolId,
    /// Part of its work that belongs to each team.
    pub(crate) team_parts: Vec<f64>,
    mean_instances: f64,
    phase: f64,
    is_burst: bool,
    until_seconds: f64,
}

impl QueueModel {
    /// Makes the queues of a document, with phases and parts of teams by chance.
    pub(crate) fn all(document: &ConfigDocument, random: &mut Pcg64) -> Vec<Self> {
        let queues = document.queues.iter().map(|(queue, section)| {
            let peers = document.queues.values().filter(|other| other.pool == section.pool);
            let size = f64::from(document.pools[&section.pool].instances) / peers.count() as f64;
            let is_open_to = |team| section.teams.is_empty() || section.teams.contains(team);
            let part = |team| if is_open_to(team) { random.random_range(0.1..1.0) } else { 0.0 };
            let mut parts: Vec<f64> = document.teams.keys().map(part).collect();
            let sum: f64 = parts.iter().sum();
            parts.iter_mut().for_each(|part| *part /= sum);
            Self {
                queue: *queue,
                pool: section.pool,
                team_parts: parts,
                mean_instances: MEAN_LOAD * size,
                phase: random.random_range(0.0..std::f64::consts::TAU),
                is_burst: false,
                until_seconds: random.random_range(0.0..100.0),
            }
        });
        queues.collect()
    }

    /// Returns the instances' worth of work that the queue is asked for now.
    pub(crate) fn asked(&mut self, seconds: f64, random: &mut Pcg64) -> f64 {
        while seconds >= self.until_seconds {
            self.is_burst = !self.is_burst;
            self.until_seconds += self.turn_seconds(random);
        }
        let turn = if self.is_burst { BURST_FACTOR } else { QUIET_FACTOR };
        turn * self.slow(seconds)
    }

    fn slow(&self, seconds: f64) -> f64 {
        let angle = std::f64::consts::TAU * seconds / DAY_SECONDS + self.phase;
        self.mean_instances * (1.0 + DAY_SWING * angle.sin())
    }

    fn turn_seconds(&self, random: &mut Pcg64) -> f64 {
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
