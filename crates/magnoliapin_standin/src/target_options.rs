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

/// Default connection limit of a target.
pub const DEFAULT_CONNECTIONS: usize = 64;

/// Settings of a target stand-in.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Instance that hosts the target.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Rack of the instance.
    pub rack: RackId,
    /// Pool that the instance was created for.
    pub pool: Option<PoolId>,
    /// Address of the platform to register at.
    pub platform: SocketAddr,
    /// Maximum number of concurrent tasks.
    pub slots: SlotCount,
    /// Maximum number of open connections; stalled ones do not count.
    pub connections: usize,
    /// Image reported to the platform.
    pub image: String,
    /// Seed of the incarnation identifiers; each start needs a different one. `None` takes the seed
    /// from the operating system.
    pub seed: Option<u64>,
    /// Clock that times tasks and leases.
    pub clock: StandinClock,
}

impl TargetOptions {
    /// Creates settings with the default limits and a free port of the loopback address.
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

    /// Sets the maximum number of concurrent tasks.
    #[must_use]
    pub fn with_slots(mut self, slots: SlotCount) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the connection limit.
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

    /// Sets the seed of the incarnation identifiers.
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
