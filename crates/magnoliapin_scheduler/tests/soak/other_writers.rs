//! Entries of other writers among the registrations of the targets.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::UnixMillis;
use magnoliapin_site::PoolName;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::TargetState;
use magnoliapin_site::ZoneName;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::site;
use crate::world::Event;
use crate::world::World;

/// Number of entries in one simulation.
const ENTRIES: usize = 24;

/// What an entry claims.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EntryClaim {
    /// A later target on the instance of a target; nobody listens at its address.
    Successor,
    /// A later start of a target at an address at which nobody listens.
    LaterStart,
    /// A start of a target hours ahead.
    StartAhead,
    /// The start of a target before all others.
    EarliestStart,
    /// Another pool of a target.
    OtherPool,
    /// The address of another target.
    OtherAddress,
    /// Another target, which answers, on the instance of a target.
    OtherInstance,
}

const CLAIMS: [EntryClaim; 7] = [
    EntryClaim::Successor,
    EntryClaim::LaterStart,
    EntryClaim::StartAhead,
    EntryClaim::EarliestStart,
    EntryClaim::OtherPool,
    EntryClaim::OtherAddress,
    EntryClaim::OtherInstance,
];

impl World {
    /// Lets other writers make entries that name targets in use or their instances, some just before a leader
    /// fails.
    pub(crate) fn with_other_writers(mut self, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let targets = site::POOLS * site::TARGETS_PER_POOL;
        for number in 0..ENTRIES {
            let at = Duration::from_millis(random.random_range(4_000..28_000));
            let target = random.random_range(0..targets);
            let other = (target + random.random_range(1..targets)) % targets;
            let claim = CLAIMS[number % CLAIMS.len()];
            self.schedule_after(at, Event::OtherEntry(claim, target, other));
            if random.random_bool(0.25) {
                let delay = at + Duration::from_millis(random.random_range(0..800));
                self.schedule_after(delay, Event::FailLeader(random.random_range(200..2_000)));
            }
        }
        self
    }

    /// Makes an entry. Targets write their own ones again when they renew them.
    pub(crate) fn make_other_entry(&mut self, claim: EntryClaim, target: usize, other: usize) {
        let now = self.wall_clock();
        let victim = self.targets[target].record.clone();
        let neighbour = self.targets[other].record.clone();
        let nobody = SocketAddr::from(([10, 9, 9, 9], 9));
        let record = match claim {
            EntryClaim::Successor => TargetRecord {
                name: TargetName::new(&format!("exporter-{target}-{other}")),
                // Every second one is of a known pool.
                pool: if other.is_multiple_of(2) { PoolName::new("exporter") } else { victim.pool },
                started_at: now,
                address: nobody,
                zone: ZoneName::new("nowhere"),
                state: TargetState::Ready,
                ..victim
            },
            EntryClaim::LaterStart => TargetRecord { started_at: now, address: nobody, ..victim },
            EntryClaim::StartAhead => {
                TargetRecord { started_at: UnixMillis(now.0 + 7_200_000), ..victim }
            }
            EntryClaim::EarliestStart => TargetRecord { started_at: UnixMillis(1), ..victim },
            EntryClaim::OtherPool => TargetRecord { pool: PoolName::new("exporter"), ..victim },
            EntryClaim::OtherAddress => TargetRecord { address: neighbour.address, ..victim },
            EntryClaim::OtherInstance => TargetRecord { instance: victim.instance, ..neighbour },
        };
        log::info!(
            "event=other_entry claim={claim:?} target={} start={}",
            record.name,
            record.started_at
        );
        self.store.register(record);
        self.reply_to_watches();
    }
}
