//! Commands that ask an entry, and what they share.

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
const UNREADABLE: &str = "the entry's answer cannot be understood";

/// Longest wait for an entry that has only just started.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const READY_PAUSE: Duration = Duration::from_millis(50);

/// Result of a command.
pub(crate) type CommandResult<T = ()> = Result<T, Report<CommandError>>;

/// What a command needs besides its own arguments.
pub(crate) struct CommandContext {
    entries: Option<String>,
    key: Option<String>,
    ca: Option<PathBuf>,
    json: bool,
}

impl CommandContext {
    /// Makes a context from the common flags, filled up from the environment.
    pub(crate) fn new(entries: Option<String>, key: Option<String>, json: bool) -> Self {
        let entries = entries.or_else(|| read_variable(ENTRY_VARIABLE));
        let key = key.or_else(|| read_variable(KEY_VARIABLE));
        let ca = read_variable(CA_VARIABLE).map(PathBuf::from);
        Self { entries, key, ca, json }
    }

    /// Sets the file with the certificate to trust, unless it is to come from the environment.
    #[must_use]
    pub(crate) fn with_ca(mut self, file: Option<PathBuf>) -> Self {
        self.ca = file.or(self.ca);
        self
    }

    /// Returns whether the answer is to be JSON.
    pub(crate) fn json(&self) -> bool {
        self.json
    }

    /// Makes a client of the entries that were named.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Usage`] if none was named one is no address, or the file with
    /// the certificate to trust cannot be used.
    pub(crate) fn client(&self) -> CommandResult<EntryClient> {
        let Some(entries) = &self.entries else {
            let message = format!("no entry is named: give --entry IP:PORT or {ENTRY_VARIABLE}");
            return Err(usage(message));
        };
        let mut addresses = Vec::new();
        for text in entries.split(',') {
            let text = text.trim();
            let address = text.parse::<SocketAddr>().map_err(|_| {
                usage(format!("entry {text:?} is no address; allowed: IP:PORT[,IP:PORT...]"))
            })?;
            addresses.push(address);
        }
        let trust = self.trust()?;
        Ok(EntryClient::new(addresses).with_key(self.key.clone()).with_trust(trust))
    }

    fn trust(&self) -> CommandResult<Option<EntryTrust>> {
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

    /// Calls an entry and gives back the body of a good answer.
    ///
    /// # Errors
    ///
    /// Returns a [`CommandError`] if there was no answer or a refusal.
    pub(crate) async fn ask(&self, call: EntryCall) -> CommandResult<Vec<u8>> {
        let reply = self.client()?.call(&call).await.map_err(unanswered)?;
        accept(&reply)
    }

    /// Calls an entry and reads a good answer.
    ///
    /// # Errors
    ///
    /// Returns a [`CommandError`] if there was no answer, a refusal, or another form of answer.
    pub(crate) async fn ask_answer(&self, call: EntryCall) -> CommandResult<CallerAnswer> {
        let body = self.ask(call).await?;
        serde_json::from_slice(&body).map_err(|error| refused(format!("{UNREADABLE}: {error}")))
    }

    /// Prints `value` as JSON if that was asked for, else as text.
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

/// Calls an entry again for as long as it is not ready or not sure of its configuration, both of
/// which say that nothing was done.
///
/// # Errors
///
/// Returns a [`CommandError`] if there was no answer.
pub(crate) async fn call_when_ready(
    client: &EntryClient,
    call: &EntryCall,
) -> CommandResult<EntryReply> {
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let reply = client.call(call).await.map_err(unanswered)?;
        if !is_not_ready(&reply) || Instant::now() >= deadline {
            return Ok(reply);
        }
        Timer::after(READY_PAUSE).await;
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

/// Returns a variable of the environment; an empty one counts as unset.
fn read_variable(name: &str) -> Option<String> {
    env::var(name).ok().filter(|value| !value.is_empty())
}

/// Prints lines to the standard output.
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

/// Makes the error of wrong usage.
pub(crate) fn usage(message: impl Into<String>) -> Report<CommandError> {
    Report::new(CommandError::Usage(message.into()))
}

/// Makes the error of a refusal or a failure.
pub(crate) fn refused(message: impl Into<String>) -> Report<CommandError> {
    Report::new(CommandError::Refused(message.into()))
}

/// Makes the error of an answer to another question.
pub(crate) fn unexpected() -> Report<CommandError> {
    refused(UNREADABLE)
}

/// Makes the error of a call without an answer.
pub(crate) fn unanswered(report: Report<CallError>) -> Report<CommandError> {
    let message = report.current_context().to_string();
    let error = match report.current_context() {
        CallError::NotReached | CallError::NotSecure => CommandError::Unreachable(message),
        CallError::Malformed => CommandError::Usage(message),
        CallError::Broken | CallError::TimedOut => {
            CommandError::Refused(format!("{message}; outcome: unknown"))
        }
    };
    report.change_context(error)
}

/// Returns the body of a good answer.
///
/// # Errors
///
/// Returns [`CommandError::Refused`] with the words of a refusal.
pub(crate) fn accept(reply: &EntryReply) -> CommandResult<Vec<u8>> {
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
