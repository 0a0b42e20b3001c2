//! Properties of the hybrid logical clock.

use magnoliapin_wire::HybridStamp;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use super::HybridClock;
use super::MAX_CLOCK_OFFSET;

#[test]
fn stamps_strictly_increase_and_exceed_received_stamps() {
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
fn stamp_beyond_the_maximum_offset_is_ignored() {
    let mut clock = HybridClock::default();
    let wall_us = 1_000;
    let too_far_us = wall_us + MAX_CLOCK_OFFSET.as_micros() as u64 + 1;
    assert!(!clock.receive(wall_us, HybridStamp { wall_us: too_far_us, count: 0 }));
    assert!(clock.next(wall_us).wall_us < too_far_us);
    assert!(clock.receive(wall_us, HybridStamp { wall_us: too_far_us - 1, count: 0 }));
    assert_eq!(clock.next(wall_us), HybridStamp { wall_us: too_far_us - 1, count: 1 });
}
