//! Runs one entry until a stop signal: `entry`.

use std::io;
use std::path::Path;

use futures_lite::FutureExt;
use magnoliapin_entry::EntryHandle;
use magnoliapin_entry::EntryOptions;
use magnoliapin_entry::EntryService;

use crate::command;
use crate::command::refused;
use crate::command::usage;
use crate::command::CommandResult;
use crate::flags;
use crate::logs;
use crate::settings::EntrySettings;
use crate::signals::StopSignals;

/// Runs an entry with the settings of a file.
///
/// # Errors
///
/// Returns [`CommandError::Usage`](crate::command_error::CommandError::Usage) with all errors
/// of the settings, and [`CommandError::Refused`](crate::command_error::CommandError::Refused) if
/// the entry cannot start or is stopped by a second signal.
pub(crate) fn run(flags: &flags::Entry) -> CommandResult {
    let settings = load_settings(&flags.settings)?;
    if flags.check {
        return command::print_text(&format!("ok: an entry of zone {}", settings.zone));
    }
    logs::start_log(settings.log_level, settings.log_format, Box::new(io::stderr()))
        .map_err(|error| refused(error.to_string()))?;
    let mut signals = StopSignals::new().map_err(|error| refused(error.to_string()))?;
    let handle = EntryService::start(entry_options(&settings))
        .map_err(|report| refused(report.current_context().to_string()))?;
    command::print_text(&format!("listening on {}", handle.caller_address()))?;
    log::info!("event=entry_started zone={} peers={}", settings.zone, handle.peer_address());
    smol::block_on(stop_on_signal(&handle, &mut signals))
}

async fn stop_on_signal(handle: &EntryHandle, signals: &mut StopSignals) -> CommandResult {
    signals.next().await;
    log::info!("event=stop_began");
    handle.stop();
    let finished = async {
        handle.finished().await;
        Ok(())
    };
    let interrupted = async {
        signals.next().await;
        Err(refused("stopped immediately by a second signal"))
    };
    finished.or(interrupted).await?;
    log::info!("event=stop_ended");
    Ok(())
}

fn load_settings(file: &Path) -> CommandResult<EntrySettings> {
    EntrySettings::load(file).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        usage(lines.join("\n"))
    })
}

fn entry_options(settings: &EntrySettings) -> EntryOptions {
    let options = EntryOptions::new(settings.zone, settings.platform)
        .with_tls(settings.tls.clone())
        .with_peer_key(settings.peer_key.as_bytes())
        .with_times(settings.times)
        .with_limits(settings.limits.clone());
    EntryOptions {
        caller_listen: settings.caller_listen,
        peer_listen: settings.peer_listen,
        seed: settings.seed,
        ..options
    }
}
