//! Targets that list only a few completions at a time, while the store is down now and then.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::faults::FaultChange;
use crate::faults::StoreMode;
use crate::world::World;

/// Number of outages of the store, in which completions pile up.
const OUTAGES: usize = 3;

impl World {
    /// Lets targets list one to three completions at a time, and the store refuse all calls now and
    /// then, with takeovers during some of the outages.
    pub(crate) fn with_cut_lists(mut self, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        for target in &mut self.targets {
            target.max_listed_completions = random.random_range(1..4);
        }
        for _ in 0..OUTAGES {
            let at = random.random_range(5_000..28_000);
            let until = at + random.random_range(500..6_000);
            self.schedule_fault(at, FaultChange::Store(StoreMode::Rejecting));
            self.schedule_fault(until, FaultChange::Store(StoreMode::Up));
            if random.random_bool(0.5) {
                let node = random.random_range(0..self.nodes.len());
                self.schedule_fault(until, FaultChange::KillNode(node));
                self.schedule_fault(until + 500, FaultChange::StartNode(node));
            }
        }
        self
    }
}
