//! Nearness of the teams to their weighted max-min shares while every slot is taken.

use std::time::Duration;

use magnoliapin_policy::PolicyOptions;
use rand::Rng;

use crate::trial::site::limit;
use crate::trial::site::SERVING_SLOTS;
use crate::trial::site::TEAMS;
use crate::trial::TeamDemand;
use crate::trial::TrialPlan;
use crate::trial::TrialWorld;
use crate::world::ZONES;

const RUN_TIME: Duration = Duration::from_millis(400);
const SAMPLES: u32 = 10;
/// A team asks five times its mean for this part of its time, and a twentieth in between.
const BURST_FRACTION: f64 = 0.192;
const BURST_FACTOR: f64 = 5.0;
const CALM_FACTOR: f64 = 0.05;
/// Mean demand of each team, in slots.
const MEAN_SLOTS: [f64; TEAMS.len()] = [110.0, 110.0, 110.0, 55.0, 55.0, 55.0];
/// A team whose due is at least this many slots starves if it gets less than a tenth of it.
const LEAST_DUE: f64 = 4.0;

/// How near the teams came to their shares.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShareFigures {
    /// Seconds in which more was asked for than there are slots.
    pub full_seconds: u32,
    /// Mean over those seconds of the sum over teams of the distance to the due, by the slots.
    pub distance: f64,
    /// Mean part of its due that the worst-off team lacked.
    pub worst_shortfall: f64,
    /// Longest run of seconds in which a team got less than a tenth of its due.
    pub longest_starved: u32,
    /// Slots taken, of all slots, in the full seconds.
    pub use_of_slots: f64,
    /// Broken invariants.
    pub violations: usize,
}

#[derive(Clone, Copy, Debug)]
struct TeamTurn {
    period: f64,
    phase: f64,
}

impl TeamTurn {
    fn demand(self, second: u32, mean: f64) -> f64 {
        let place = (f64::from(second) + self.phase) % self.period;
        let is_burst = place < self.period * BURST_FRACTION;
        mean * if is_burst { BURST_FACTOR } else { CALM_FACTOR }
    }
}

/// Which entries a team calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerSpread {
    /// All of them.
    Even,
    /// Those of one zone, the same for every other third team.
    OneZone,
}

/// Measures the shares with the given ways to decide.
pub fn measure(
    seed: u64,
    seconds: u32,
    spread: CallerSpread,
    options: PolicyOptions,
) -> ShareFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed).with_options(options));
    let turns = [(); TEAMS.len()].map(|()| TeamTurn {
        period: trial.world.random.random_range(17.0..24.0),
        phase: trial.world.random.random_range(0.0..24.0),
    });
    let mut tally = ShareTally::default();
    for second in 0..seconds {
        let mut demand = [0.0; TEAMS.len()];
        for (team, turn) in turns.iter().enumerate() {
            demand[team] = turn.demand(second, MEAN_SLOTS[team]);
            let per_second = demand[team] / RUN_TIME.as_secs_f64();
            let load = TeamDemand::new(team, per_second, RUN_TIME);
            let load = match spread {
                CallerSpread::Even => load,
                CallerSpread::OneZone => load.with_zone(team % ZONES),
            };
            trial.offer(&load, Duration::from_secs(1));
        }
        let got = sample_second(&mut trial);
        tally.add(&demand, &got);
    }
    tally.figures(trial.violations().len())
}

fn sample_second(trial: &mut TrialWorld) -> [f64; TEAMS.len()] {
    let mut got = [0.0; TEAMS.len()];
    for _ in 0..SAMPLES {
        trial.run_for(Duration::from_secs(1) / SAMPLES);
        for (team, running) in trial.running().into_iter().enumerate() {
            got[team] += f64::from(running) / f64::from(SAMPLES);
        }
    }
    got
}

#[derive(Debug, Default)]
struct ShareTally {
    full_seconds: u32,
    distance: f64,
    taken: f64,
    due: [f64; TEAMS.len()],
    lacked: [f64; TEAMS.len()],
    starved: [u32; TEAMS.len()],
    longest_starved: u32,
}

impl ShareTally {
    fn add(&mut self, demand: &[f64; TEAMS.len()], got: &[f64; TEAMS.len()]) {
        let mut wanted = *demand;
        for (team, wanted) in wanted.iter_mut().enumerate() {
            *wanted = wanted.min(f64::from(limit(team).0));
        }
        if wanted.iter().sum::<f64>() < f64::from(SERVING_SLOTS) {
            return;
        }
        let due = max_min(&wanted);
        self.full_seconds += 1;
        self.taken += got.iter().sum::<f64>();
        for team in 0..TEAMS.len() {
            self.distance += (got[team] - due[team]).abs();
            self.due[team] += due[team];
            self.lacked[team] += (due[team] - got[team]).max(0.0);
            let starves = due[team] >= LEAST_DUE && got[team] < due[team] / 10.0;
            self.starved[team] = if starves { self.starved[team] + 1 } else { 0 };
            self.longest_starved = self.longest_starved.max(self.starved[team]);
        }
    }

    fn figures(&self, violations: usize) -> ShareFigures {
        let slots = f64::from(SERVING_SLOTS) * f64::from(self.full_seconds.max(1));
        let shortfalls = (0..TEAMS.len()).map(|team| self.lacked[team] / self.due[team].max(1.0));
        ShareFigures {
            full_seconds: self.full_seconds,
            distance: self.distance / slots,
            worst_shortfall: shortfalls.fold(0.0, f64::max),
            longest_starved: self.longest_starved,
            use_of_slots: self.taken / slots,
            violations,
        }
    }
}

/// Returns the weighted max-min shares of the serving slots.
fn max_min(wanted: &[f64; TEAMS.len()]) -> [f64; TEAMS.len()] {
    let mut due = [0.0; TEAMS.len()];
    let mut free = f64::from(SERVING_SLOTS);
    let mut open = (0..TEAMS.len()).collect::<Vec<_>>();
    while !open.is_empty() {
        let weights = open.iter().map(|team| f64::from(TEAMS[*team].0)).sum::<f64>();
        let share = |team: usize| free * f64::from(TEAMS[team].0) / weights;
        let met = open.iter().copied().filter(|team| wanted[*team] <= share(*team));
        let met = met.collect::<Vec<_>>();
        if met.is_empty() {
            for team in &open {
                due[*team] = share(*team);
            }
            return due;
        }
        for team in met {
            due[team] = wanted[team];
            free -= wanted[team];
            open.retain(|other| *other != team);
        }
    }
    due
}
