//! What an entry knows of itself from the start, and the time bounds of its decisions.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::EntryId;
use magnoliapin_model::ZoneId;

/// What an entry knows of itself from the start.
#[derive(Clone, Debug)]
pub struct EntryIdentity {
    /// Identifier of this run.
    pub entry: EntryId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for callers and operators.
    pub caller_address: SocketAddr,
    /// Address for peers' datagrams.
    pub peer_address: SocketAddr,
}

/// Time bounds of an entry's decisions.
#[derive(Clone, Copy, Debug)]
pub struct PolicyTimes {
    /// Time between two probes of a peer.
    pub probe_interval: Duration,
    /// A peer not heard of for this long is not counted on.
    pub peer_silence: Duration,
    /// Time between two reads of the configuration's head.
    pub head_interval: Duration,
    /// The configuration is fresh for this long after it was known to be current.
    pub freshness: Duration,
    /// Length of an entry's lease at the platform.
    pub entry_lease: Duration,
    /// Length of a task's lease at a target.
    pub task_lease: Duration,
    /// Time between two renewals of tasks' leases.
    pub renew_interval: Duration,
    /// Time between two reads of the instance list.
    pub list_interval: Duration,
    /// Time after which a call of the platform has failed.
    pub platform_timeout: Duration,
    /// Least time between two transactions of one kind.
    pub commit_interval: Duration,
    /// Ended jobs are kept for this long.
    pub job_retention: Duration,
    /// Time after which a silent connection to a target is asked about on a new one.
    pub silence: Duration,
}

impl Default for PolicyTimes {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(250),
            peer_silence: Duration::from_millis(1_500),
            head_interval: Duration::from_millis(500),
            freshness: Duration::from_millis(4_000),
            entry_lease: Duration::from_millis(5_000),
            task_lease: Duration::from_millis(15_000),
            renew_interval: Duration::from_millis(2_000),
            list_interval: Duration::from_millis(1_000),
            platform_timeout: Duration::from_millis(2_000),
            commit_interval: Duration::from_millis(20),
            job_retention: Duration::from_secs(24 * 60 * 60),
            silence: Duration::from_millis(1_000),
        }
    }
}
