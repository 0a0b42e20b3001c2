//! Distance of the teams from their weighted max-min fair shares while every slot is busy.

use std::time::Duration;

use magnoliapin_policy::PolicyOptions;
use rand::Rng;

use crate::trial::site::team_limit;
use crate::trial::site::SERVING_SLOTS;
use crate::trial::site::TEAMS;
use crate::trial::TeamDemand;
use crate::trial::TrialPlan;
use crate::trial::TrialWorld;
use crate::world::ZONES;

const RUN_TIME: Duration = Duration::from_millis(400);
const SAMPLES: u32 = 10;
/// Fraction of its time in which a team bursts: its demand is five times its mean in a burst and a
/// twentieth of it otherwise.
const BURST_FRACTION: f64 = 0.192;
const BURST_FACTOR: f64 = 5.0;
const CALM_FACTOR: f64 = 0.05;
/// Mean demand of each team, in slots.
const MEAN_SLOTS: [f64; TEAMS.len()] = [110.0, 110.0, 110.0, 55.0, 55.0, 55.0];
/// A team with a fair share of at least this many slots starves below a tenth of its fair share.
const MIN_FAIR_SHARE: f64 = 4.0;

/// Distance of the teams from their fair shares.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShareFigures {
    /// Seconds in which the demand, capped by the teams' limits, was at least the number of slots.
    pub full_seconds: u32,
    /// Distance from the fair share summed over the teams, as a fraction of the slots; mean over
    /// the full seconds.
    pub distance: f64,
    /// Largest fraction of its fair share that a team lacked over the full seconds.
    pub worst_shortfall: f64,
    /// Longest run of full seconds in which a team starved.
    pub longest_starved: u32,
    /// Fraction of the slots that was busy in the full seconds.
    pub slot_utilization: f64,
    /// Number of broken invariants.
    pub violations: usize,
}

#[derive(Clone, Copy, Debug)]
struct BurstCycle {
    period: f64,
    phase: f64,
}

impl BurstCycle {
    fn demand(self, second: u32, mean: f64) -> f64 {
        let position = (f64::from(second) + self.phase) % self.period;
        let is_burst = position < self.period * BURST_FRACTION;
        mean * if is_burst { BURST_FACTOR } else { CALM_FACTOR }
    }
}

/// Entries that a team calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerSpread {
    /// All entries.
    Even,
    /// The entries of one zone; every third team has the same zone.
    OneZone,
}

/// Measures the shares under the given policy options.
pub fn measure(
    seed: u64,
    seconds: u32,
    spread: CallerSpread,
    options: PolicyOptions,
) -> ShareFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed).with_options(options));
    let cycles = [(); TEAMS.len()].map(|()| BurstCycle {
        period: trial.world.random.random_range(17.0..24.0),
        phase: trial.world.random.random_range(0.0..24.0),
    });
    let mut tally = ShareTally::default();
    for second in 0..seconds {
        let mut demand = [0.0; TEAMS.len()];
        for (team, cycle) in cycles.iter().enumerate() {
            demand[team] = cycle.demand(second, MEAN_SLOTS[team]);
            let per_second = demand[team] / RUN_TIME.as_secs_f64();
            let load = TeamDemand::new(team, per_second, RUN_TIME);
            let load = match spread {
                CallerSpread::Even => load,
                CallerSpread::OneZone => load.with_zone(team % ZONES),
            };
            trial.offer(&load, Duration::from_secs(1));
        }
        let usage = sample_second(&mut trial);
        tally.add(&demand, &usage);
    }
    tally.figures(trial.violations().len())
}

fn sample_second(trial: &mut TrialWorld) -> [f64; TEAMS.len()] {
    let mut usage = [0.0; TEAMS.len()];
    for _ in 0..SAMPLES {
        trial.run_for(Duration::from_secs(1) / SAMPLES);
        for (team, running) in trial.running().into_iter().enumerate() {
            usage[team] += f64::from(running) / f64::from(SAMPLES);
        }
    }
    usage
}

#[derive(Debug, Default)]
struct ShareTally {
    full_seconds: u32,
    distance: f64,
    busy_slots: f64,
    fair_share: [f64; TEAMS.len()],
    shortfall: [f64; TEAMS.len()],
    starved: [u32; TEAMS.len()],
    longest_starved: u32,
}

impl ShareTally {
    fn add(&mut self, demand: &[f64; TEAMS.len()], usage: &[f64; TEAMS.len()]) {
        let mut capped_demand = *demand;
        for (team, capped_demand) in capped_demand.iter_mut().enumerate() {
            *capped_demand = capped_demand.min(f64::from(team_limit(team).0));
        }
        if capped_demand.iter().sum::<f64>() < f64::from(SERVING_SLOTS) {
            return;
        }
        let fair_share = max_min(&capped_demand);
        self.full_seconds += 1;
        self.busy_slots += usage.iter().sum::<f64>();
        for team in 0..TEAMS.len() {
            self.distance += (usage[team] - fair_share[team]).abs();
            self.fair_share[team] += fair_share[team];
            self.shortfall[team] += (fair_share[team] - usage[team]).max(0.0);
            let starves =
                fair_share[team] >= MIN_FAIR_SHARE && usage[team] < fair_share[team] / 10.0;
            self.starved[team] = if starves { self.starved[team] + 1 } else { 0 };
            self.longest_starved = self.longest_starved.max(self.starved[team]);
        }
    }

    fn figures(&self, violations: usize) -> ShareFigures {
        let slots = f64::from(SERVING_SLOTS) * f64::from(self.full_seconds.max(1));
        let shortfalls =
            (0..TEAMS.len()).map(|team| self.shortfall[team] / self.fair_share[team].max(1.0));
        ShareFigures {
            full_seconds: self.full_seconds,
            distance: self.distance / slots,
            worst_shortfall: shortfalls.fold(0.0, f64::max),
            longest_starved: self.longest_starved,
            slot_utilization: self.busy_slots / slots,
            violations,
        }
    }
}

/// Returns the weighted max-min fair shares of the serving slots.
fn max_min(capped_demand: &[f64; TEAMS.len()]) -> [f64; TEAMS.len()] {
    let mut fair_share = [0.0; TEAMS.len()];
    let mut remaining = f64::from(SERVING_SLOTS);
    let mut unsatisfied = (0..TEAMS.len()).collect::<Vec<_>>();
    while !unsatisfied.is_empty() {
        let weights = unsatisfied.iter().map(|team| f64::from(TEAMS[*team].0)).sum::<f64>();
        let share = |team: usize| remaining * f64::from(TEAMS[team].0) / weights;
        let satisfied =
            unsatisfied.iter().copied().filter(|team| capped_demand[*team] <= share(*team));
        let satisfied = satisfied.collect::<Vec<_>>();
        if satisfied.is_empty() {
            for team in &unsatisfied {
                fair_share[*team] = share(*team);
            }
            return fair_share;
        }
        for team in satisfied {
            fair_share[team] = capped_demand[team];
            remaining -= capped_demand[team];
            unsatisfied.retain(|other| *other != team);
        }
    }
    fair_share
}
