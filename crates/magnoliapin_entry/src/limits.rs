//! Resource limits and timeouts of one entry.

use std::time::Duration;

use magnoliapin_http::ClientLimits;

/// Limits of a connection pool towards other processes.
#[derive(Clone, Debug)]
pub struct PoolLimits {
    /// Maximum number of open connections to one address.
    pub connections: usize,
    /// Number of these connections that are reserved for control calls.
    pub control_connections: usize,
    /// Maximum number of idle connections kept open to one address.
    pub idle_connections: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Time after which a connection attempt fails.
    pub connect_timeout: Duration,
    /// Maximum size of a response, in bytes.
    pub max_response_bytes: usize,
}

impl PoolLimits {
    /// Returns the default limits towards the platform.
    pub fn for_platform() -> Self {
        Self { connections: 8, control_connections: 0, idle_connections: 8, ..Self::default() }
    }
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            connections: 16,
            control_connections: 4,
            idle_connections: 4,
            idle_timeout: Duration::from_secs(4),
            connect_timeout: Duration::from_millis(500),
            max_response_bytes: 32 * 1024 * 1024,
        }
    }
}

/// Resource limits and timeouts of one entry.
#[derive(Clone, Debug)]
pub struct EntryLimits {
    /// Number of threads that run the entry's tasks.
    pub threads: usize,
    /// Maximum number of open connections of callers.
    pub caller_connections: usize,
    /// Maximum size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Maximum number of headers of a request.
    pub header_count: usize,
    /// Time limit for receiving the headers of a request, from their first byte.
    pub header_timeout: Duration,
    /// Maximum size of a request's body, in bytes; each queue's own limit applies as well.
    pub body_bytes: u64,
    /// Maximum total size of all request bodies held in memory, in bytes.
    pub all_body_bytes: u64,
    /// Time limit for receiving the body of a request.
    pub body_timeout: Duration,
    /// Time after which a connection is closed if its caller reads nothing of the answer.
    pub write_timeout: Duration,
    /// Time after which a caller's connection without a request is closed.
    pub idle_timeout: Duration,
    /// Time after a planned stop during which new connections are still accepted and answered.
    pub stop_grace_period: Duration,
    /// Number of queued driver events at which received datagrams are dropped.
    pub max_queued_events: usize,
    /// Number of events kept for the timeline.
    pub timeline_events: usize,
    /// Limits of connections to the platform.
    pub platform: PoolLimits,
    /// Limits of connections to targets.
    pub target: PoolLimits,
}

impl EntryLimits {
    /// Returns the limits of callers' connections, of which at most this number may be open.
    pub(crate) fn client_limits(&self, connections: usize) -> ClientLimits {
        ClientLimits {
            connections,
            header_bytes: self.header_bytes,
            header_count: self.header_count,
            header_timeout: self.header_timeout,
            body_bytes: self.body_bytes,
            all_body_bytes: self.all_body_bytes,
            body_timeout: self.body_timeout,
            write_timeout: self.write_timeout,
            idle_timeout: self.idle_timeout,
        }
    }
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            threads: 2,
            caller_connections: 2_048,
            header_bytes: 16 * 1024,
            header_count: 64,
            header_timeout: Duration::from_secs(5),
            body_bytes: 1024 * 1024,
            all_body_bytes: 256 * 1024 * 1024,
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            stop_grace_period: Duration::from_millis(500),
            max_queued_events: 4_096,
            timeline_events: 8_192,
            platform: PoolLimits::for_platform(),
            target: PoolLimits::default(),
        }
    }
}
