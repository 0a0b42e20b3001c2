//! Identity and timing parameters of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::EntryId;
use magnoliapin_model::ZoneId;

/// Identity of an entry, fixed when it starts.
#[derive(Clone, Debug)]
pub struct EntryIdentity {
    /// Identifier of this incarnation of the entry.
    pub entry: EntryId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address at which clients and operators connect.
    pub caller_address: SocketAddr,
    /// Address that receives datagrams of other entries.
    pub peer_address: SocketAddr,
}

/// Intervals, timeouts and lease lengths of an entry.
#[derive(Clone, Copy, Debug)]
pub struct PolicyTimes {
    /// Interval between heartbeats to a peer.
    pub heartbeat_interval: Duration,
    /// Time without a datagram after which a peer counts as unresponsive.
    pub peer_timeout: Duration,
    /// Interval between reads of the configuration head.
    pub head_interval: Duration,
    /// Time for which the configuration counts as fresh after it was known to be current.
    pub freshness: Duration,
    /// Length of an entry's lease in the platform's store.
    pub entry_lease: Duration,
    /// Length of a task's lease at a target.
    pub task_lease: Duration,
    /// Interval between renewals of task leases.
    pub renew_interval: Duration,
    /// Minimum interval between reads of the instance list; it grows with the list's length.
    pub list_interval: Duration,
    /// Timeout of a platform call.
    pub platform_timeout: Duration,
    /// Minimum interval between transactions of one commit queue.
    pub commit_interval: Duration,
    /// Retention of finished jobs.
    pub job_retention: Duration,
    /// Time without a reply from a target after which a task is checked on a new connection.
    pub reply_timeout: Duration,
}

impl Default for PolicyTimes {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(250),
            peer_timeout: Duration::from_millis(1_500),
            head_interval: Duration::from_millis(500),
            freshness: Duration::from_millis(4_000),
            entry_lease: Duration::from_millis(5_000),
            task_lease: Duration::from_millis(15_000),
            renew_interval: Duration::from_millis(2_000),
            list_interval: Duration::from_millis(1_000),
            platform_timeout: Duration::from_millis(2_000),
            commit_interval: Duration::from_millis(20),
            job_retention: Duration::from_secs(24 * 60 * 60),
            reply_timeout: Duration::from_millis(1_000),
        }
    }
}
