//! Errors of starting an entry.

use std::fmt;
use std::net::SocketAddr;

/// Reason why an entry failed to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EntryError {
    /// Listening on the address for callers failed.
    CallerListen(SocketAddr),
    /// Binding the address for datagrams of peers failed.
    PeerListen(SocketAddr),
    /// The TLS certificate or key for callers is unusable.
    Certificate,
    /// Starting a thread failed.
    Thread,
}

impl fmt::Display for EntryError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CallerListen(address) => write!(formatter, "cannot listen on {address}"),
            Self::PeerListen(address) => write!(formatter, "cannot bind {address} for datagrams"),
            Self::Certificate => formatter.write_str("cannot use the certificate and its key"),
            Self::Thread => formatter.write_str("cannot start a thread"),
        }
    }
}

impl std::error::Error for EntryError {}
