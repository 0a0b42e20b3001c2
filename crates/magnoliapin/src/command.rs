//! Commands that call an entry, with their shared context, output and errors.

pub(crate) mod config;
pub(crate) mod fleet;
pub(crate) mod key;
pub(crate) mod status;
#[cfg(test)]
mod status_tests;
pub(crate) mod timeline;
pub(crate) mod view;
pub(crate) mod work;

use std::env;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use magnoliapin_model::ErrorKind;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::RefusalView;
use serde::Serialize;
use smol::Timer;

use crate::client::CallError;
use crate::client::EntryCall;
use crate::client::EntryClient;
use crate::client::EntryReply;
use crate::client::EntryTrust;
use crate::command_error::CommandError;

const ENTRY_VARIABLE: &str = "MAGNOLIAPIN_ENTRY";
const KEY_VARIABLE: &str = "MAGNOLIAPIN_KEY";
const CA_VARIABLE: &str = "MAGNOLIAPIN_CA";
const UNEXPECTED_ANSWER: &str = "the entry's answer cannot be understood";

/// Maximum time for which a call is repeated while an entry is not ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Result of a command.
pub(crate) type CommandResult<T = ()> = Result<T, Report<CommandError>>;

/// Options that all commands share.
pub(crate) struct CommandContext {
    entries: Option<String>,
    key: Option<String>,
    ca: Option<PathBuf>,
    json: bool,
}

impl CommandContext {
    /// Creates a context from the common flags; environment variables replace absent ones.
    pub(crate) fn new(entries: Option<String>, key: Option<String>, json: bool) -> Self {
        let entries = entries.or_else(|| read_variable(ENTRY_VARIABLE));
        let key = key.or_else(|| read_variable(KEY_VARIABLE));
        let ca = read_variable(CA_VARIABLE).map(PathBuf::from);
        Self { entries, key, ca, json }
    }

    /// Sets the file with the trusted certificates; `None` keeps the one from the environment.
    #[must_use]
    pub(crate) fn with_ca(mut self, file: Option<PathBuf>) -> Self {
        self.ca = file.or(self.ca);
        self
    }

    /// Returns whether the output is JSON.
    pub(crate) fn prints_json(&self) -> bool {
        self.json
    }

    /// Creates a client of the configured entries.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Usage`] if no entry is configured, an address is invalid, or the
    /// file with the trusted certificates cannot be used.
    pub(crate) fn client(&self) -> CommandResult<EntryClient> {
        let Some(entries) = &self.entries else {
            let message = format!("no entry is named: give --entry IP:PORT or {ENTRY_VARIABLE}");
            return Err(usage(message));
        };
        let mut addresses = Vec::new();
        for text in entries.split(',') {
            let text = text.trim();
            let address = text.parse::<SocketAddr>().map_err(|_| {
                usage(format!("entry {text:?} is not an address; allowed: IP:PORT[,IP:PORT...]"))
            })?;
            addresses.push(address);
        }
        let trust = self.load_trust()?;
        Ok(EntryClient::new(addresses).with_key(self.key.clone()).with_trust(trust))
    }

    fn load_trust(&self) -> CommandResult<Option<EntryTrust>> {
        let Some(file) = &self.ca else {
            return Ok(None);
        };
        let trust = EntryTrust::load(file).map_err(|cause| {
            usage(format!(
                "--ca {file:?}: {cause}; allowed: a readable PEM file with a certificate"
            ))
        })?;
        Ok(Some(trust))
    }

    /// Calls an entry and returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// Returns a [`CommandError`] if there is no response or the request is refused.
    pub(crate) async fn call_entry(&self, call: EntryCall) -> CommandResult<Vec<u8>> {
        let reply = self.client()?.call(&call).await.map_err(call_failed)?;
        success_body(&reply)
    }

    /// Calls an entry and parses a successful response.
    ///
    /// # Errors
    ///
    /// Returns a [`CommandError`] if there is no response, the request is refused, or the response
    /// cannot be parsed.
    pub(crate) async fn call_for_answer(&self, call: EntryCall) -> CommandResult<CallerAnswer> {
        let body = self.call_entry(call).await?;
        serde_json::from_slice(&body)
            .map_err(|error| refused(format!("{UNEXPECTED_ANSWER}: {error}")))
    }

    /// Prints `value` as JSON if the context requests it, and otherwise as text.
    ///
    /// # Errors
    ///
    /// Returns an error if the output is closed.
    pub(crate) fn print<T: Serialize>(
        &self,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> CommandResult {
        if !self.json {
            return print_text(&text(value));
        }
        let json = serde_json::to_string_pretty(value)
            .map_err(|error| refused(format!("the answer cannot be shown: {error}")))?;
        print_text(&json)
    }
}

/// Calls an entry, and repeats the call while the entry refuses it because it is not ready or its
/// configuration is stale.
///
/// Both refusals mean that the request had no effect, so the repetition is safe.
///
/// # Errors
///
/// Returns a [`CommandError`] if there is no response.
pub(crate) async fn call_when_ready(
    client: &EntryClient,
    call: &EntryCall,
) -> CommandResult<EntryReply> {
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let reply = client.call(call).await.map_err(call_failed)?;
        if !is_not_ready(&reply) || Instant::now() >= deadline {
            return Ok(reply);
        }
        Timer::after(READY_POLL_INTERVAL).await;
    }
}

fn is_not_ready(reply: &EntryReply) -> bool {
    match serde_json::from_slice(&reply.body) {
        Ok(CallerAnswer::Refused(refusal)) => {
            matches!(refusal.kind, ErrorKind::NotReady | ErrorKind::StaleConfig)
        }
        _ => false,
    }
}

/// Returns an environment variable; an empty one counts as unset.
fn read_variable(name: &str) -> Option<String> {
    env::var(name).ok().filter(|value| !value.is_empty())
}

/// Prints text to the standard output, terminated by a line break unless it is empty.
///
/// # Errors
///
/// Returns an error if the output is closed.
pub(crate) fn print_text(text: &str) -> CommandResult {
    let line_end = if text.is_empty() || text.ends_with('\n') { "" } else { "\n" };
    print_bytes(format!("{text}{line_end}").as_bytes())
}

/// Prints bytes to the standard output.
///
/// # Errors
///
/// Returns an error if the output is closed.
pub(crate) fn print_bytes(bytes: &[u8]) -> CommandResult {
    let mut output = io::stdout().lock();
    let written = output.write_all(bytes).and_then(|()| output.flush());
    written.map_err(|error| refused(format!("the output cannot be written: {error}")))
}

/// Creates a [`CommandError::Usage`].
pub(crate) fn usage(message: impl Into<String>) -> Report<CommandError> {
    Report::new(CommandError::Usage(message.into()))
}

/// Creates a [`CommandError::Refused`].
pub(crate) fn refused(message: impl Into<String>) -> Report<CommandError> {
    Report::new(CommandError::Refused(message.into()))
}

/// Creates the error for a response of an unexpected kind.
pub(crate) fn unexpected_answer() -> Report<CommandError> {
    refused(UNEXPECTED_ANSWER)
}

/// Converts the error of a call without a response.
pub(crate) fn call_failed(report: Report<CallError>) -> Report<CommandError> {
    let message = report.current_context().to_string();
    let error = match report.current_context() {
        CallError::Unreachable | CallError::TlsFailed => CommandError::Unreachable(message),
        CallError::Malformed => CommandError::Usage(message),
        CallError::ConnectionFailed | CallError::TimedOut => {
            CommandError::Refused(format!("{message}; outcome: unknown"))
        }
    };
    report.change_context(error)
}

/// Returns the body of a successful response.
///
/// # Errors
///
/// Returns [`CommandError::Refused`] with the text of the refusal.
pub(crate) fn success_body(reply: &EntryReply) -> CommandResult<Vec<u8>> {
    if reply.status.is_success() {
        return Ok(reply.body.to_vec());
    }
    let message = match serde_json::from_slice(&reply.body) {
        Ok(CallerAnswer::Refused(refusal)) => refusal_text(&refusal),
        _ => format!("the entry answered with status {}", reply.status.as_u16()),
    };
    Err(refused(message))
}

fn refusal_text(refusal: &RefusalView) -> String {
    let mut text = format!("{}: {} (outcome: {})", refusal.kind, refusal.message, refusal.outcome);
    for error in &refusal.errors {
        text.push_str(&format!("\n  {error}"));
    }
    for (section, current) in &refusal.current {
        let current = current.as_deref().unwrap_or("(removed)\n");
        text.push_str(&format!("\n  section {section} is now:\n{}", indent(current)));
    }
    text
}

fn indent(text: &str) -> String {
    text.lines().map(|line| format!("    {line}\n")).collect()
}
