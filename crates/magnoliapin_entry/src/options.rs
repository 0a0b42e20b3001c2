//! Options for starting an entry.

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

/// Options for starting an entry.
#[derive(Clone, Debug)]
pub struct EntryOptions {
    /// Address for callers and operators; port 0 selects any free port.
    pub caller_listen: SocketAddr,
    /// TLS certificate and key for callers; `None` serves plain HTTP.
    pub tls: Option<TlsFiles>,
    /// Address for datagrams of peers; port 0 selects any free port.
    pub peer_listen: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Key shared by all entries of the site, which authenticates datagrams.
    pub peer_key: Vec<u8>,
    /// Seed of the random number generator; `None` seeds it from the operating system.
    pub seed: Option<u64>,
    /// Timeouts and intervals of the state machine.
    pub times: PolicyTimes,
    /// Resource limits and timeouts of the I/O.
    pub limits: EntryLimits,
}

impl EntryOptions {
    /// Creates options with any free port on the loopback address and default limits.
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

    /// Sets the key shared by all entries of the site.
    #[must_use]
    pub fn with_peer_key(mut self, key: &[u8]) -> Self {
        self.peer_key = key.to_vec();
        self
    }

    /// Sets the TLS certificate and key for callers; `None` serves plain HTTP.
    #[must_use]
    pub fn with_tls(mut self, tls: Option<TlsFiles>) -> Self {
        self.tls = tls;
        self
    }

    /// Sets the seed of the random number generator.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Sets the timeouts and intervals of the state machine.
    #[must_use]
    pub fn with_times(mut self, times: PolicyTimes) -> Self {
        self.times = times;
        self
    }

    /// Sets the resource limits and timeouts of the I/O.
    #[must_use]
    pub fn with_limits(mut self, limits: EntryLimits) -> Self {
        self.limits = limits;
        self
    }
}

/// Replacements for the external dependencies of an entry; `None` selects the default.
#[derive(Clone, Default)]
pub struct EntryDependencies {
    /// Client of the platform's service.
    pub platform: Option<Arc<dyn PlatformClient>>,
    /// Client of the targets.
    pub targets: Option<Arc<dyn TargetClient>>,
    /// Transport of datagrams between entries.
    pub peers: Option<Arc<dyn PeerTransport>>,
    /// Clock of the process.
    pub clock: Option<Arc<dyn MonotonicClock>>,
}
