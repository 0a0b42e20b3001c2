//! Logs: a line is one event, as key=value or as JSON.

use std::fmt;
use std::io;
use std::str::FromStr;
use std::time::SystemTime;

use log::LevelFilter;
use log::Record;
use log::SetLoggerError;
use serde_json::json;

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

/// Sends the log of this process to the standard error.
///
/// # Errors
///
/// Returns an error if the process has a log already.
pub(crate) fn start_log(level: LogLevel, format: LogFormat) -> Result<(), SetLoggerError> {
    fern::Dispatch::new()
        .level(level.0)
        .format(move |out, message, record| match format {
            LogFormat::Text => out.finish(format_args!("{}", text_line(message, record))),
            LogFormat::Json => out.finish(format_args!("{}", json_line(message, record))),
        })
        .chain(io::stderr())
        .apply()
}

fn text_line(message: &fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let level = record.level().as_str().to_ascii_lowercase();
    let module = record.target();
    format!("time={time} level={level} module={module} {message}")
}

fn json_line(message: &fmt::Arguments<'_>, record: &Record<'_>) -> serde_json::Value {
    json!({
        "time": humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
        "level": record.level().as_str().to_ascii_lowercase(),
        "module": record.target(),
        "message": message.to_string(),
    })
}
