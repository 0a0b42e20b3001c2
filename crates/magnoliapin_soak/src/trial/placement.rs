//! Targets owned by one entry of their zone, against direct sending with refusals.

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

/// How requests fared at one load.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementFigures {
    /// Time over the run time until the output came.
    pub wait: Quantiles,
    /// Outputs for each second, of what the slots can give.
    pub goodput: f64,
    /// Refusals by full targets for each first start.
    pub full_refusals: f64,
    /// Repeated starts for each first start.
    pub repeated_starts: f64,
    /// Broken invariants.
    pub violations: usize,
}

/// Returns the even load of all teams, in parts of what the slots can give.
pub(crate) fn even_load(load: f64, run_time: Duration) -> Vec<TeamDemand> {
    let per_second = load * f64::from(SERVING_SLOTS) / run_time.as_secs_f64();
    let share = per_second / TEAMS.len() as f64;
    (0..TEAMS.len()).map(|team| TeamDemand::new(team, share, run_time)).collect()
}

/// Measures requests at a load, in parts of what the slots can give.
pub fn measure(seed: u64, load: f64, span: Duration, options: PolicyOptions) -> PlacementFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed).with_options(options));
    trial.drive(WARM_UP, |_| even_load(load, RUN_TIME));
    let from = trial.now();
    let before = starts(&trial);
    trial.drive(span, |_| even_load(load, RUN_TIME));
    let to = trial.now();
    let after = starts(&trial);
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

/// Returns the first starts, repeated starts and refusals by full targets of all entries.
pub(crate) fn starts(trial: &TrialWorld) -> (u64, u64, u64) {
    (
        trial.count(|counts| counts.first_starts),
        trial.count(|counts| counts.repeated_starts),
        trial.count(|counts| counts.full_refusals),
    )
}
