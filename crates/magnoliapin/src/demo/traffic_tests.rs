//! The load of the demo.

use std::time::Duration;

use crate::demo::deployment::QUEUES;
use crate::demo::traffic::draw_arrivals;

#[test]
fn a_seed_draws_the_same_load_each_time() {
    let texts = |seed| draw_arrivals(4, seed).into_iter().map(|arrival| arrival.payload);
    assert!(texts(7).eq(texts(7)));
    assert!(!texts(7).eq(texts(8)));
}

#[test]
fn arrivals_come_in_order_with_a_marker_each() {
    let arrivals = draw_arrivals(4, 1);
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    for (marker, arrival) in (1..).zip(&arrivals) {
        assert_eq!(arrival.marker, marker);
        assert!(arrival.payload.contains(&format!("\"marker\":{marker},")));
    }
}

#[test]
fn every_queue_has_its_moments_and_is_nearly_idle_in_between() {
    let seconds = 20;
    let arrivals = draw_arrivals(seconds, 1);
    let turn = Duration::from_secs(seconds) / 10;
    for queue in QUEUES {
        let mut turns = [0_u32; 10];
        let own = arrivals.iter().filter(|arrival| arrival.queue.full_name() == queue.full_name());
        for arrival in own {
            turns[(arrival.at.as_millis() / turn.as_millis()) as usize] += 1;
        }
        let all: u32 = turns.iter().sum();
        turns.sort_unstable();
        let (quiet, moments) = turns.split_at(8);
        let mean = f64::from(all) / 10.0;
        assert!(moments.iter().all(|count| f64::from(*count) > 3.0 * mean), "{turns:?}");
        assert!(quiet.iter().all(|count| f64::from(*count) < 0.3 * mean), "{turns:?}");
    }
}
