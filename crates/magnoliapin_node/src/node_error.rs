//! Why a node cannot run.

use std::fmt;
use std::net::SocketAddr;

/// Why a node cannot run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeError {
    /// The settings file cannot be read; holds its path.
    SettingsUnreadable(String),
    /// The settings have faults; each names its field.
    SettingsInvalid(Vec<String>),
    /// A socket cannot be opened.
    Listen(SocketAddr),
    /// Signals cannot be received.
    Signals,
}

impl fmt::Display for NodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SettingsUnreadable(path) => write!(formatter, "cannot read the settings {path}"),
            Self::SettingsInvalid(faults) => {
                write!(formatter, "the settings are not valid: {}", faults.join("; "))
            }
            Self::Listen(address) => write!(formatter, "cannot listen on {address}"),
            Self::Signals => formatter.write_str("cannot receive signals"),
        }
    }
}

impl std::error::Error for NodeError {}
