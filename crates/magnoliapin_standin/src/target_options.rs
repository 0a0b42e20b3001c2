//! Settings of a target stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::RackId;
use magnoliapin_model::SlotCount;
use magnoliapin_model::ZoneId;

use crate::StandinClock;
use crate::DEFAULT_SLOTS;

/// Connections that a target takes, unless set otherwise.
pub const DEFAULT_CONNECTIONS: usize = 64;

/// Settings of a target stand-in.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Instance that hosts the target.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: RackId,
    /// Pool that it was made for.
    pub pool: Option<PoolId>,
    /// Address of the platform that it registers at.
    pub platform: SocketAddr,
    /// How many tasks run at once.
    pub slots: SlotCount,
    /// How many connections it takes.
    pub connections: usize,
    /// Image that it runs.
    pub image: String,
    /// Decides on the identifiers of its runs; two starts must not have the same seed. None draws
    /// them from the system's randomness.
    pub seed: Option<u64>,
    /// Clock of the target.
    pub clock: StandinClock,
}

impl TargetOptions {
    /// Makes settings with the usual sizes and any free port of the loopback address.
    pub fn new(instance: InstanceId, zone: ZoneId, rack: RackId, platform: SocketAddr) -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            instance,
            zone,
            rack,
            pool: None,
            platform,
            slots: DEFAULT_SLOTS,
            connections: DEFAULT_CONNECTIONS,
            image: String::new(),
            seed: None,
            clock: StandinClock::new(),
        }
    }

    /// Sets the address to listen on.
    #[must_use]
    pub fn with_listen(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Sets the pool.
    #[must_use]
    pub fn with_pool(mut self, pool: PoolId) -> Self {
        self.pool = Some(pool);
        self
    }

    /// Sets how many tasks run at once.
    #[must_use]
    pub fn with_slots(mut self, slots: SlotCount) -> Self {
        self.slots = slots;
        self
    }

    /// Sets how many connections are taken.
    #[must_use]
    pub fn with_connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the image.
    #[must_use]
    pub fn with_image(mut self, image: &str) -> Self {
        self.image = image.to_owned();
        self
    }

    /// Sets the seed of the runs' identifiers.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Sets the clock.
    #[must_use]
    pub fn with_clock(mut self, clock: StandinClock) -> Self {
        self.clock = clock;
        self
    }
}
