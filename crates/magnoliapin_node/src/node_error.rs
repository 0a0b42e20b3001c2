//! Errors that prevent a node from running.

use std::fmt;
use std::net::SocketAddr;

/// An error that prevents a node from running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeError {
    /// The settings file cannot be read; holds its path.
    SettingsUnreadable(String),
    /// The settings are invalid; holds one message per error, which names the field.
    SettingsInvalid(Vec<String>),
    /// A socket cannot be opened.
    Listen(SocketAddr),
    /// The signal handlers cannot be installed.
    Signals,
}

impl fmt::Display for NodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SettingsUnreadable(path) => write!(formatter, "cannot read the settings {path}"),
            Self::SettingsInvalid(errors) => {
                write!(formatter, "the settings are not valid: {}", errors.join("; "))
            }
            Self::Listen(address) => write!(formatter, "cannot listen on {address}"),
            Self::Signals => formatter.write_str("cannot receive signals"),
        }
    }
}

impl std::error::Error for NodeError {}
