//! Tests of the generated load.

use std::time::Duration;

use crate::demo::deployment::QUEUES;
use crate::demo::traffic::draw_arrivals;

#[test]
fn equal_seeds_generate_equal_loads() {
    let texts = |seed| draw_arrivals(4, seed).into_iter().map(|arrival| arrival.payload);
    assert!(texts(7).eq(texts(7)));
    assert!(!texts(7).eq(texts(8)));
}

#[test]
fn arrivals_are_sorted_and_numbered_by_marker() {
    let arrivals = draw_arrivals(4, 1);
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    for (marker, arrival) in (1..).zip(&arrivals) {
        assert_eq!(arrival.marker, marker);
        assert!(arrival.payload.contains(&format!("\"marker\":{marker},")));
    }
}

#[test]
fn every_queue_peaks_twice_and_is_nearly_idle_in_between() {
    let seconds = 20;
    let arrivals = draw_arrivals(seconds, 1);
    let phase = Duration::from_secs(seconds) / 10;
    for queue in QUEUES {
        let mut phases = [0_u32; 10];
        let queue_arrivals =
            arrivals.iter().filter(|arrival| arrival.queue.full_name() == queue.full_name());
        for arrival in queue_arrivals {
            phases[(arrival.at.as_millis() / phase.as_millis()) as usize] += 1;
        }
        let total: u32 = phases.iter().sum();
        phases.sort_unstable();
        let (quiet, peaks) = phases.split_at(8);
        let mean = f64::from(total) / 10.0;
        assert!(peaks.iter().all(|count| f64::from(*count) > 3.0 * mean), "{phases:?}");
        assert!(quiet.iter().all(|count| f64::from(*count) < 0.3 * mean), "{phases:?}");
    }
}
