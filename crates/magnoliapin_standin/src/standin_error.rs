//! Errors of the stand-ins.

use std::fmt;

/// Failure of a stand-in or of its HTTP client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandinError {
    /// The address cannot be listened on.
    Listen,
    /// The connection to the server cannot be established.
    Connect,
    /// The connection failed before the response was complete.
    NoResponse,
    /// There was no response within the timeout.
    Timeout,
    /// The request cannot be encoded.
    Codec,
}

impl fmt::Display for StandinError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Listen => "cannot listen on the address",
            Self::Connect => "cannot connect",
            Self::NoResponse => "the connection failed before the response was complete",
            Self::Timeout => "no response within the timeout",
            Self::Codec => "cannot encode the request",
        })
    }
}

impl std::error::Error for StandinError {}
