//! Tests of the forecast, which replay the rise of a queue and the arrival of single jobs.

use magnoliapin_model::Moment;

use super::super::amount::Amount;
use super::ArrivalForecast;

/// Work of one job, in core-milliseconds per second.
fn job() -> Amount {
    Amount { cpu_milli: 20_000.0, memory_mb: 0.0 }
}

/// Feeds jobs at a rate from `from_ms` to `to_ms`.
fn feed(forecast: &mut ArrivalForecast, jobs_per_s: u64, from_ms: u64, to_ms: u64) {
    let mut at = from_ms;
    while at < to_ms {
        forecast.add(job(), Moment::from_millis(at));
        at += 1_000 / jobs_per_s;
    }
    forecast.update(Moment::from_millis(to_ms));
}

fn expected_jobs_per_s(forecast: &ArrivalForecast) -> f64 {
    forecast.expected().cpu_milli / job().cpu_milli
}

/// The average over one second shows 39 of 100 jobs a second by then.
#[test]
fn a_rise_is_expected_to_go_on() {
    let mut forecast = ArrivalForecast::default();
    feed(&mut forecast, 1, 0, 5_000);
    feed(&mut forecast, 100, 5_000, 5_500);
    let rate = expected_jobs_per_s(&forecast);
    assert!((70.0..130.0).contains(&rate), "{rate}");
}

#[test]
fn a_steady_rate_is_met() {
    let mut forecast = ArrivalForecast::default();
    feed(&mut forecast, 100, 0, 8_000);
    let rate = expected_jobs_per_s(&forecast);
    assert!((90.0..115.0).contains(&rate), "{rate}");
}

/// Single large jobs must not attract instances beyond what they occupy.
#[test]
fn single_jobs_do_not_count_as_a_rise() {
    let mut forecast = ArrivalForecast::default();
    feed(&mut forecast, 1, 0, 6_000);
    forecast.add(job(), Moment::from_millis(6_000));
    let rate = expected_jobs_per_s(&forecast);
    assert!(rate < 2.5, "{rate}");
}

#[test]
fn the_forecast_falls_after_a_peak() {
    let mut forecast = ArrivalForecast::default();
    feed(&mut forecast, 100, 0, 5_000);
    feed(&mut forecast, 5, 5_000, 8_000);
    let rate = expected_jobs_per_s(&forecast);
    assert!(rate < 15.0, "{rate}");
}
