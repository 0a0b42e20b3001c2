//! Targets that start again under their names and are cut off soon after, while orders are late.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::faults::FaultChange;
use crate::site;
use crate::world::Event;
use crate::world::World;

/// Number of restarts, in series and overlapping.
const RESTARTS: usize = 8;
/// Probability that an order is late while restarts go on.
const LATE_ORDER_CHANCE: f64 = 0.15;

impl World {
    /// Lets targets crash and start again within about a second, some of them twice, and be cut off for
    /// seconds soon after. Some runs take long, orders are late, and leaders fail meanwhile.
    pub(crate) fn with_restarts(mut self, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        self.has_long_runs = true;
        self.schedule_fault(4_000, FaultChange::DelayOrders(LATE_ORDER_CHANCE));
        self.schedule_fault(30_000, FaultChange::DelayOrders(0.0));
        for _ in 0..RESTARTS {
            let target = random.random_range(0..site::POOLS * site::TARGETS_PER_POOL);
            let mut at = random.random_range(5_000..26_000);
            for _ in 0..random.random_range(1..3) {
                self.schedule_fault(at, FaultChange::CrashTarget(target));
                at += random.random_range(100..1_500);
                self.schedule_fault(at, FaultChange::RestartTarget(target));
                at += random.random_range(0..3_000);
            }
            if random.random_bool(0.3) {
                let delay = Duration::from_millis(at - random.random_range(0..1_500));
                self.schedule_after(delay, Event::FailLeader(random.random_range(200..4_000)));
            }
            if random.random_bool(0.8) {
                self.schedule_fault(at, FaultChange::CutTarget(target, true));
                at += random.random_range(5_000..12_000);
                self.schedule_fault(at, FaultChange::CutTarget(target, false));
            }
        }
        self
    }
}
