//! Overload: a demand of ten times the capacity of the slots.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_policy::PolicyOptions;

use crate::trial::figures::ratio;
use crate::trial::log::SentWork;
use crate::trial::placement::even_load;
use crate::trial::placement::start_counts;
use crate::trial::Quantiles;
use crate::trial::TrialPlan;
use crate::trial::TrialWorld;

const RUN_TIME: Duration = Duration::from_millis(400);
const NORMAL_LOAD: f64 = 0.8;
const SECOND: Duration = Duration::from_secs(1);
/// Seconds measured after the overload.
const AFTER_SECONDS: u32 = 15;
const DEADLINE: Duration = Duration::from_secs(2);
/// A second has recovered if its 99th percentile is at most this multiple of the normal one.
const NORMAL_FACTOR: f64 = 1.5;

/// Results of an overload.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverloadFigures {
    /// Outputs per second at a demand equal to the capacity of the slots.
    pub goodput_at_1: f64,
    /// Outputs per second at ten times that demand.
    pub goodput_at_10: f64,
    /// Time until a call was refused, at ten times the capacity.
    pub refused_after: Quantiles,
    /// Fraction of the refusals that came within 100 ms.
    pub early: f64,
    /// Most calls open at the end of a second of overload.
    pub most_open: usize,
    /// Repeated starts per first start, at ten times the capacity.
    pub repeated_starts: f64,
    /// Waits before the overload, at a load of 0.8.
    pub wait_before: Quantiles,
    /// Time after the overload until the 99th percentile of each second stays normal.
    pub recovered_after: Duration,
    /// Number of broken invariants.
    pub violations: usize,
}

/// Measures an overload of the given length.
pub fn measure(seed: u64, span: Duration, options: PolicyOptions) -> OverloadFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed).with_options(options));
    let normal = |_| even_load(NORMAL_LOAD, RUN_TIME);
    trial.drive(SECOND * 5, normal);
    let normal_from = trial.now();
    trial.drive(SECOND * 15, normal);
    let wait_before = waits(&trial, normal_from, trial.now());
    let normal_seconds = (0..15).map(|second| second_p99(&trial, normal_from + SECOND * second));
    let normal_p99 = normal_seconds.max().unwrap_or_default();
    trial.drive(SECOND * 5, |_| even_load(1.0, RUN_TIME));
    let full_load_from = trial.now();
    trial.drive(SECOND * 20, |_| even_load(1.0, RUN_TIME));
    let goodput_at_1 = goodput(&trial, full_load_from);
    let overload_from = trial.now();
    let before = start_counts(&trial);
    let mut most_open = 0;
    while trial.now() < overload_from + span {
        trial.drive(SECOND, |_| even_load(10.0, RUN_TIME));
        most_open = most_open.max(trial.world.callers.pending.len());
    }
    let goodput_at_10 = goodput(&trial, overload_from);
    let after = start_counts(&trial);
    let end = trial.now();
    trial.drive(SECOND * AFTER_SECONDS, normal);
    trial.run_for(SECOND * 4);
    let refusals = trial.log().sent_between(overload_from, end).filter_map(SentWork::refused_after);
    let refused = refusals.map(|(span, _)| span).collect::<Vec<_>>();
    let early = refused.iter().filter(|span| **span < SECOND / 10).count();
    OverloadFigures {
        goodput_at_1,
        goodput_at_10,
        early: ratio(early as u64, refused.len() as u64),
        refused_after: Quantiles::new(refused),
        most_open,
        repeated_starts: ratio(after.1 - before.1, after.0 - before.0),
        wait_before,
        recovered_after: recovery(&trial, end, normal_p99),
        violations: trial.violations().len(),
    }
}

fn goodput(trial: &TrialWorld, from: Moment) -> f64 {
    let to = trial.now();
    trial.log().outputs_between(from, to) as f64 / to.since(from).as_secs_f64()
}

/// Returns the 99th percentile of the waits of work sent in the second that starts at `from`.
fn second_p99(trial: &TrialWorld, from: Moment) -> Duration {
    waits(trial, from, from + SECOND).p99
}

/// Returns the waits: latency minus run time; a refusal counts as [`DEADLINE`].
fn waits(trial: &TrialWorld, from: Moment, to: Moment) -> Quantiles {
    let wait = |work: &SentWork| {
        let refused = work.refused_after().map(|_| DEADLINE);
        work.latency().map(|span| span.saturating_sub(work.run_time)).or(refused)
    };
    Quantiles::new(trial.log().sent_between(from, to).filter_map(wait))
}

/// Returns the time after the overload from which no second is worse than normal.
fn recovery(trial: &TrialWorld, end: Moment, normal: Duration) -> Duration {
    let mut recovered = Duration::ZERO;
    for second in 0..AFTER_SECONDS {
        let from = end + SECOND * second;
        if second_p99(trial, from) > normal.mul_f64(NORMAL_FACTOR) {
            recovered = SECOND * (second + 1);
        }
    }
    recovered
}
