//! Tests of the rates of cold targets.

use std::collections::VecDeque;
use std::time::Duration;

use magnoliapin_model::Moment;

use super::starts_left;

/// Places runs as fast as a rate permits for `seconds`. Returns their number.
fn count_starts(rate: f64, seconds: u64) -> usize {
    let mut starts = VecDeque::new();
    let mut now = Moment::START;
    while now < Moment::START + Duration::from_secs(seconds) {
        for _ in 0..starts_left(rate, &starts, now).min(1_000) {
            starts.push_back(now);
        }
        now = now + Duration::from_millis(10);
    }
    starts.len()
}

/// Guards against a cold target that gets more starts than it accepts, or none at all.
#[test]
fn cold_targets_get_starts_at_their_rate() {
    assert_eq!(count_starts(4.0, 10), 40);
    assert_eq!(count_starts(2.4, 10), 20);
    assert_eq!(count_starts(0.5, 10), 5);
    assert_eq!(count_starts(f64::MIN_POSITIVE, 10), 1);
}

#[test]
fn without_a_rate_there_is_no_limit() {
    let starts: VecDeque<Moment> = vec![Moment::START; 100].into();
    assert_eq!(starts_left(0.0, &starts, Moment::START), u32::MAX);
    assert!(starts_left(f64::MAX, &starts, Moment::START) > 1_000_000);
}
