//! Why an entry could not start.

use std::fmt;
use std::net::SocketAddr;

/// Why an entry could not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EntryError {
    /// The address for callers could not be listened on.
    CallerListen(SocketAddr),
    /// The address for peers' datagrams could not be bound.
    PeerListen(SocketAddr),
    /// The certificate or the key for callers cannot be used.
    Certificate,
    /// A thread could not be started.
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
