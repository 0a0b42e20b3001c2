//! Properties of the hybrid logical clock.

use magnoliapin_wire::HybridStamp;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use super::HybridClock;
use super::MAX_AHEAD;

#[test]
fn stamps_rise_and_follow_what_was_received() {
    let config = Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..Config::default()
    };
    let steps =
        proptest::collection::vec((0_u64..1_000, any::<bool>(), 0_u64..1_000, 0_u32..3), 1..30);
    TestRunner::new(config)
        .run(&steps, |steps| {
            let mut clock = HybridClock::default();
            let mut highest = None;
            for (wall_us, receives, stamp_us, count) in steps {
                if receives {
                    let stamp = HybridStamp { wall_us: stamp_us, count };
                    assert!(clock.receive(wall_us, stamp));
                    highest = highest.max(Some(stamp));
                }
                let next = Some(clock.next(wall_us));
                assert!(next > highest, "{next:?} after {highest:?}");
                highest = next;
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_stamp_far_ahead_is_not_followed() {
    let mut clock = HybridClock::default();
    let wall_us = 1_000;
    let far = wall_us + MAX_AHEAD.as_micros() as u64 + 1;
    assert!(!clock.receive(wall_us, HybridStamp { wall_us: far, count: 0 }));
    assert!(clock.next(wall_us).wall_us < far);
    assert!(clock.receive(wall_us, HybridStamp { wall_us: far - 1, count: 0 }));
    assert_eq!(clock.next(wall_us), HybridStamp { wall_us: far - 1, count: 1 });
}
