//! What an entry is started with.

use std::net::SocketAddr;
use std::sync::Arc;

use magnoliapin_model::ZoneId;
use magnoliapin_policy::PolicyTimes;

use crate::EntryLimits;
use crate::MonotonicClock;
use crate::PeerTransport;
use crate::PlatformClient;
use crate::TargetClient;
use crate::TlsFiles;

/// What an entry is started with.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Address for callers and operators; port 0 takes any free port.
    pub caller_listen: SocketAddr,
    /// Certificate and key for callers; none serves plain text.
    pub tls: Option<TlsFiles>,
    /// Address for peers' datagrams; port 0 takes any free port.
    pub peer_listen: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Key that all entries of the site share.
    pub peer_key: Vec<u8>,
    /// Seed of the random numbers; none draws one.
    pub seed: Option<u64>,
    /// Time bounds of the decisions.
    pub times: PolicyTimes,
    /// Bounds on what the entry holds and how long it waits.
    pub limits: EntryLimits,
}

impl EntryOptions {
    /// Makes options with any free port on the loopback address and default bounds.
    pub fn new(zone: ZoneId, platform: SocketAddr) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            caller_listen: any_port,
            tls: None,
            peer_listen: any_port,
            platform,
            zone,
            peer_key: Vec::new(),
            seed: None,
            times: PolicyTimes::default(),
            limits: EntryLimits::default(),
        }
    }

    /// Sets the key that all entries of the site share.
    #[must_use]
    pub fn with_peer_key(mut self, key: &[u8]) -> Self {
        self.peer_key = key.to_vec();
        self
    }

    /// Sets the certificate and the key for callers; none serves plain text.
    #[must_use]
    pub fn with_tls(mut self, tls: Option<TlsFiles>) -> Self {
        self.tls = tls;
        self
    }

    /// Sets the seed of the random numbers.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Sets the time bounds of the decisions.
    #[must_use]
    pub fn with_times(mut self, times: PolicyTimes) -> Self {
        self.times = times;
        self
    }

    /// Sets the bounds on what the entry holds and how long it waits.
    #[must_use]
    pub fn with_limits(mut self, limits: EntryLimits) -> Self {
        self.limits = limits;
        self
    }
}

/// Replacements for the borders of an entry; none takes the real one.
#[derive(Clone, Default)]
pub struct EntryBorders {
    /// The platform's service.
    pub platform: Option<Arc<dyn PlatformClient>>,
    /// The targets.
    pub targets: Option<Arc<dyn TargetClient>>,
    /// Datagrams between entries.
    pub peers: Option<Arc<dyn PeerTransport>>,
    /// The clock.
    pub clock: Option<Arc<dyn MonotonicClock>>,
}
