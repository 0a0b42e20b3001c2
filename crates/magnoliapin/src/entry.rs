//! Runs one entry until it is asked to stop: `entry`.

use std::path::Path;

use crate::command;
use crate::command::usage;
use crate::command::CommandResult;
use crate::flags;
use crate::settings::EntrySettings;

/// Runs an entry with the settings of a file.
///
/// # Errors
///
/// Returns [`CommandError::Usage`](crate::command_error::CommandError::Usage) with every fault of
/// the settings.
pub(crate) fn run(flags: &flags::Entry) -> CommandResult {
    let settings = load_settings(&flags.settings)?;
    if flags.check {
        return command::print_text(&format!("ok: an entry of zone {}", settings.zone));
    }
    Err(usage("an entry cannot be run yet"))
}

fn load_settings(file: &Path) -> CommandResult<EntrySettings> {
    EntrySettings::load(file).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        usage(lines.join("\n"))
    })
}
