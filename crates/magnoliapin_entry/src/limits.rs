//! Bounds on what one entry holds and how long it waits.

use std::time::Duration;

/// Bounds on the connections to other processes.
#[derive(Clone, Debug)]
pub struct PoolLimits {
    /// Open connections to one address.
    pub connections: usize,
    /// Part of these that only control calls may use.
    pub control_connections: usize,
    /// Connections to one address that are kept while nobody uses them.
    pub idle_connections: usize,
    /// Time after which an unused connection is closed.
    pub idle_time: Duration,
    /// Time after which an attempt to connect has failed.
    pub connect_timeout: Duration,
    /// Longest answer, in bytes.
    pub answer_bytes: usize,
}

impl PoolLimits {
    /// Returns the bounds towards the platform.
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
            idle_time: Duration::from_secs(4),
            connect_timeout: Duration::from_millis(500),
            answer_bytes: 32 * 1024 * 1024,
        }
    }
}

/// Bounds on what one entry holds and how long it waits.
#[derive(Clone, Debug)]
pub struct EntryLimits {
    /// Threads that run the entry's tasks.
    pub threads: usize,
    /// Open connections of callers.
    pub caller_connections: usize,
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Headers of a request.
    pub header_count: usize,
    /// Time for the headers of a request, from their first byte.
    pub header_timeout: Duration,
    /// Bytes of a request's body; each queue's own bound holds besides.
    pub body_bytes: u64,
    /// Bytes of all bodies that are held at once.
    pub all_body_bytes: u64,
    /// Time for the body of a request.
    pub body_timeout: Duration,
    /// Time after which a connection is closed whose caller takes nothing of its answer.
    pub write_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Time after the entry has stopped in which connections still get an answer.
    pub stop_linger: Duration,
    /// Datagrams that may wait for the driver.
    pub waiting_datagrams: usize,
    /// Events kept for the time line.
    pub timeline_events: usize,
    /// Bounds towards the platform.
    pub platform: PoolLimits,
    /// Bounds towards each target.
    pub target: PoolLimits,
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
            stop_linger: Duration::from_millis(500),
            waiting_datagrams: 4_096,
            timeline_events: 8_192,
            platform: PoolLimits::for_platform(),
            target: PoolLimits::default(),
        }
    }
}
