//! Errors of the stand-ins.

use std::fmt;

/// Why a stand-in could not do its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandinError {
    /// The address cannot be listened on.
    Listen,
    /// There is no connection to the other side.
    Connect,
    /// The call was sent and has no answer.
    NoAnswer,
    /// The call was not answered in time.
    Timeout,
    /// The call or its answer cannot be encoded or decoded.
    Codec,
}

impl fmt::Display for StandinError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Listen => "cannot listen on the address",
            Self::Connect => "cannot connect",
            Self::NoAnswer => "the connection ended without an answer",
            Self::Timeout => "no answer in time",
            Self::Codec => "malformed message",
        })
    }
}

impl std::error::Error for StandinError {}
