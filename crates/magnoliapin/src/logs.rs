//! Logs: a line is one event, as key=value or as JSON.

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

/// Least level of a line in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LogLevel(LevelFilter);

impl LogLevel {
    /// The allowed values, in words.
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

/// Form of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LogFormat {
    /// `time=... level=... module=... ` and the event.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl LogFormat {
    /// The allowed values, in words.
    pub(crate) const ALLOWED: &'static str = "text or json";
}

impl FromStr for LogFormat {
    type Err = UnknownFormat;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(UnknownFormat),
        }
    }
}

/// The text names no form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnknownFormat;

impl fmt::Display for UnknownFormat {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "a log format is {}", LogFormat::ALLOWED)
    }
}

/// Sends the log of this process to `output`.
///
/// # Errors
///
/// Returns an error if the process has a log already.
pub(crate) fn start_log(
    level: LogLevel,
    format: LogFormat,
    output: Box<dyn Write + Send>,
) -> Result<(), SetLoggerError> {
    let event_log: Box<dyn Log> = Box::new(EventLog::new(format, output));
    fern::Dispatch::new().level(level.0).chain(event_log).apply()
}
