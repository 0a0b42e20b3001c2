//! Limits of the connections of one registry.

use std::time::Duration;

/// Size of each of the kernel's buffers of a connection, which the kernel doubles. The default of
/// several MiB would count towards the memory of the machine.
pub const SOCKET_BUFFER_BYTES: usize = 32 * 1024;
/// Smallest read buffer that `hyper` supports.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;
/// Memory that a connection takes in the process at most, apart from bodies and a long head.
const CONNECTION_BYTES: usize = 32 * 1024;
/// Fewest connections that a machine allows, however small it is.
const MIN_CONNECTIONS: usize = 16;
/// Share of the memory that bodies may take.
const BODY_SHARE: usize = 8;
/// Share of the memory that one body may take when it is alone, whatever the configuration says.
const LARGEST_BODY_SHARE: usize = 4;
/// Memory of the smallest machine for which one body is limited.
const MIN_MEMORY_BYTES: usize = 32 * 1024 * 1024;
/// Share of the memory that connections may take.
const CONNECTION_SHARE: usize = 4;
/// Descriptors that are not available to connections, as the machine counts files among them.
const RESERVED_DESCRIPTORS: usize = 200;

/// Limits of the connections of one registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of the head of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum number of headers of a request.
    pub header_count: usize,
    /// Time limit for the head of a request, from its first byte.
    pub header_timeout: Duration,
    /// Maximum size of a body, in bytes.
    pub body_bytes: u64,
    /// Maximum total size of all bodies in memory, in bytes.
    pub all_body_bytes: u64,
    /// Time limit for a body.
    pub body_timeout: Duration,
    /// Time after which a connection is closed if its client reads nothing of the response.
    pub write_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl ClientLimits {
    /// Returns these limits with the totals of a machine: half of the descriptors and a quarter of
    /// the memory for connections, an eighth of the memory for bodies.
    #[must_use]
    pub fn with_machine(mut self, memory_bytes: usize, max_descriptors: usize) -> Self {
        let descriptors = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
        // A buffer grows to twice its size while it is copied.
        let connection_bytes = CONNECTION_BYTES.max(self.read_buffer_bytes() * 2);
        let by_memory = memory_bytes / CONNECTION_SHARE / connection_bytes;
        self.connections = descriptors.min(by_memory).max(MIN_CONNECTIONS);
        self.all_body_bytes = (memory_bytes / BODY_SHARE) as u64;
        let largest_body = memory_bytes.max(MIN_MEMORY_BYTES) / LARGEST_BODY_SHARE;
        self.body_bytes = self.body_bytes.min(largest_body as u64);
        self
    }

    /// Returns the size of the read buffer of a connection.
    pub fn read_buffer_bytes(&self) -> usize {
        self.header_bytes.max(MIN_READ_BUFFER_BYTES)
    }
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connections: 2_048,
            header_bytes: 16 * 1024,
            header_count: 64,
            header_timeout: Duration::from_secs(5),
            body_bytes: 1024 * 1024,
            all_body_bytes: 256 * 1024 * 1024,
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}
