//! Errors of commands and their exit codes.

use std::fmt;

/// Reason why a command failed.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// An entry refused the request, or the command failed.
    Refused(String),
    /// The arguments, the settings or the document are invalid.
    Usage(String),
    /// No entry could be reached.
    Unreachable(String),
}

impl CommandError {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) => 1,
            Self::Usage(_) => 2,
            Self::Unreachable(_) => 3,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(message) | Self::Usage(message) | Self::Unreachable(message) => {
                formatter.write_str(message)
            }
        }
    }
}

impl std::error::Error for CommandError {}
