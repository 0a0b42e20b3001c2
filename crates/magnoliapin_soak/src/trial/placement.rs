//! Comparison of targets owned by one entry of their zone with direct sending, where full targets
//! refuse.

use std::time::Duration;

use magnoliapin_policy::PolicyOptions;

use crate::trial::figures::ratio;
use crate::trial::site::SERVING_SLOTS;
use crate::trial::site::TEAMS;
use crate::trial::Quantiles;
use crate::trial::TeamDemand;
use crate::trial::TrialPlan;
use crate::trial::TrialWorld;

const RUN_TIME: Duration = Duration::from_millis(200);
const WARM_UP: Duration = Duration::from_secs(5);

/// Results of requests at one load.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementFigures {
    /// Latency minus run time.
    pub wait: Quantiles,
    /// Outputs as a fraction of the capacity of the slots.
    pub goodput: f64,
    /// Refusals by full targets per first start.
    pub full_refusals: f64,
    /// Repeated starts per first start.
    pub repeated_starts: f64,
    /// Number of broken invariants.
    pub violations: usize,
}

/// Returns a load spread evenly over all teams; `load` is a fraction of the slots' capacity.
pub(crate) fn even_load(load: f64, run_time: Duration) -> Vec<TeamDemand> {
    let per_second = load * f64::from(SERVING_SLOTS) / run_time.as_secs_f64();
    let team_rate = per_second / TEAMS.len() as f64;
    (0..TEAMS.len()).map(|team| TeamDemand::new(team, team_rate, run_time)).collect()
}

/// Measures requests; `load` is a fraction of the slots' capacity.
pub fn measure(seed: u64, load: f64, span: Duration, options: PolicyOptions) -> PlacementFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed).with_options(options));
    trial.drive(WARM_UP, |_| even_load(load, RUN_TIME));
    let from = trial.now();
    let before = start_counts(&trial);
    trial.drive(span, |_| even_load(load, RUN_TIME));
    let to = trial.now();
    let after = start_counts(&trial);
    let first_starts = after.0 - before.0;
    let log = trial.log();
    let waits = log.sent_between(from, to).filter_map(|work| {
        let latency = work.latency()?;
        Some(latency.saturating_sub(work.run_time))
    });
    let capacity = f64::from(SERVING_SLOTS) / RUN_TIME.as_secs_f64() * span.as_secs_f64();
    PlacementFigures {
        wait: Quantiles::new(waits),
        goodput: log.outputs_between(from, to) as f64 / capacity,
        full_refusals: ratio(after.2 - before.2, first_starts),
        repeated_starts: ratio(after.1 - before.1, first_starts),
        violations: trial.violations().len(),
    }
}

/// Returns the first starts, repeated starts and refusals by full targets, summed over all entries.
pub(crate) fn start_counts(trial: &TrialWorld) -> (u64, u64, u64) {
    (
        trial.count(|counts| counts.first_starts),
        trial.count(|counts| counts.repeated_starts),
        trial.count(|counts| counts.full_refusals),
    )
}
