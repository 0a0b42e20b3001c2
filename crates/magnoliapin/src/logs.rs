//! Log of the process: one event per line, as key=value pairs or as JSON.

mod event_log;
#[cfg(test)]
mod event_log_tests;

pub(crate) use event_log::EventLog;

use std::fmt;
use std::io::Write;
use std::str::FromStr;

use log::LevelFilter;
use log::Log;
use log::SetLoggerError;

/// Minimum severity of the events that are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogLevel(LevelFilter);

impl LogLevel {
    /// Description of the allowed values for error messages.
    pub(crate) const ALLOWED: &'static str = "off, error, warn, info, debug or trace";
}

impl Default for LogLevel {
    fn default() -> Self {
        Self(LevelFilter::Info)
    }
}

impl FromStr for LogLevel {
    type Err = log::ParseLevelError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LogFormat {
    /// `time=... level=... module=...` followed by the event.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl LogFormat {
    /// Description of the allowed values for error messages.
    pub(crate) const ALLOWED: &'static str = "text or json";
}

impl FromStr for LogFormat {
    type Err = UnknownLogFormat;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(UnknownLogFormat),
        }
    }
}

/// The text is not the name of a log format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnknownLogFormat;

impl fmt::Display for UnknownLogFormat {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a log format is {}", LogFormat::ALLOWED)
    }
}

/// Installs the logger of this process, which writes to `output`.
///
/// # Errors
///
/// Returns an error if the process already has a logger.
pub(crate) fn start_log(
    level: LogLevel,
    format: LogFormat,
    output: Box<dyn Write + Send>,
) -> Result<(), SetLoggerError> {
    let event_log: Box<dyn Log> = Box::new(EventLog::new(format, output));
    fern::Dispatch::new().level(level.0).chain(event_log).apply()
}
