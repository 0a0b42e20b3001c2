//! Tests of the statistics of a queue.

use std::time::Duration;

use magnoliapin_site::StepSpec;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::QueueStatistics;

/// Runs with their estimates, in milliseconds: run times spread by `spread`, and estimates that
/// are off by `error`, both as standard deviations of the logarithm.
fn runs(count: usize, spread: f64, error: f64) -> Vec<(u64, Duration)> {
    let mut random = Pcg64Mcg::seed_from_u64(11);
    let mut normal = || (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    let runs = (0..count).map(|_| {
        let seconds = 1.3 * (spread * normal()).exp();
        let estimate_ms = seconds * (error * normal()).exp() * 1000.0;
        (estimate_ms as u64, Duration::from_secs_f64(seconds))
    });
    runs.collect()
}

fn step(estimate_ms: u64) -> StepSpec {
    StepSpec { tasks: 1, estimate_ms, ..StepSpec::default() }
}

/// Returns the ratio of all expected to all observed run times, and the mean error of one.
fn evaluate(runs: &[(u64, Duration)]) -> (f64, f64) {
    let mut statistics = QueueStatistics::default();
    let (mut expected, mut observed, mut error) = (0.0, 0.0, 0.0);
    for (number, (estimate_ms, run_time)) in runs.iter().enumerate() {
        if number >= 200 {
            let prediction = statistics.run_time(&step(*estimate_ms)).as_secs_f64();
            expected += prediction;
            observed += run_time.as_secs_f64();
            error += (prediction.ln() - run_time.as_secs_f64().ln()).abs();
        }
        statistics.record_run(*estimate_ms, *run_time);
    }
    (expected / observed, error / (runs.len() - 200) as f64)
}

/// Averaging the ratio of run time to estimate expects twice the work here, so pools got twice the
/// instances that they needed.
#[test]
fn expected_work_adds_up_although_estimates_are_far_off() {
    for (spread, error) in [(0.5, 0.9), (0.5, 0.2), (0.2, 0.5)] {
        let (ratio, _) = evaluate(&runs(3_000, spread, error));
        assert!((0.9..1.1).contains(&ratio), "spread {spread}, error {error}: {ratio}");
    }
}

#[test]
fn far_off_estimates_count_less() {
    let runs = runs(3_000, 0.5, 0.9);
    let (_, error) = evaluate(&runs);
    let estimate_errors = runs.iter().map(|(estimate_ms, run_time)| {
        ((*estimate_ms as f64 / 1000.0).ln() - run_time.as_secs_f64().ln()).abs()
    });
    let estimate_error = estimate_errors.sum::<f64>() / runs.len() as f64;
    assert!(error < 0.6 * estimate_error, "{error} of {estimate_error}");
}

#[test]
fn exact_estimates_are_believed() {
    let (ratio, error) = evaluate(&runs(1_000, 0.5, 0.0));
    assert!((0.95..1.05).contains(&ratio) && error < 0.06, "{ratio} {error}");
}

#[test]
fn a_queue_without_runs_expects_the_estimate() {
    let statistics = QueueStatistics::default();
    assert_eq!(statistics.run_time(&step(700)), Duration::from_millis(700));
    assert_eq!(statistics.run_time(&step(0)), Duration::from_secs(1));
}

/// Wrong inputs of clients must not produce durations that cannot be represented.
#[test]
fn extreme_estimates_are_bounded() {
    let mut statistics = QueueStatistics::default();
    for _ in 0..50 {
        statistics.record_run(1, Duration::from_secs(100_000));
        statistics.record_run(u64::MAX, Duration::ZERO);
    }
    assert!(statistics.run_time(&step(u64::MAX)) <= Duration::from_secs(86_400));
}
