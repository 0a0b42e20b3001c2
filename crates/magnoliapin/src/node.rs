//! Runs one node on the users' platform until a stop signal: `node`.

use std::env;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

use magnoliapin_node::NodeError;
use magnoliapin_platform::PlatformProtocol;
use magnoliapin_platform::SETTINGS_VARIABLE;

use crate::command;
use crate::command::refused;
use crate::command::usage;
use crate::command::CommandResult;
use crate::flags;
use crate::logs;
use crate::logs::LogFormat;
use crate::logs::LogLevel;

/// Runs a node with the settings of a file.
///
/// # Errors
///
/// Returns [`CommandError::Usage`](crate::command_error::CommandError::Usage) with all errors
/// of the settings, and [`CommandError::Refused`](crate::command_error::CommandError::Refused) if
/// the node cannot start.
pub(crate) fn run(flags: &flags::Node) -> CommandResult {
    let path = flags.settings.clone().or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let Some(path) = path else {
        return Err(usage(format!("give --settings FILE or set {SETTINGS_VARIABLE}")));
    };
    let protocol = Rc::new(PlatformProtocol);
    if flags.check {
        let settings = magnoliapin_node::read_settings(&path, protocol.as_ref());
        let settings = settings.map_err(|report| usage(report.current_context().to_string()))?;
        return command::print_text(&format!("ok: node {} of {}", settings.name, settings.zone));
    }
    logs::start_log(LogLevel::default(), LogFormat::Text, Box::new(io::stdout()))
        .map_err(|error| refused(error.to_string()))?;
    magnoliapin_node::run_node(&path, protocol).map_err(|report| {
        let error = report.current_context();
        match error {
            NodeError::SettingsUnreadable(_) | NodeError::SettingsInvalid(_) => {
                usage(error.to_string())
            }
            NodeError::Listen(_) | NodeError::Signals => refused(format!("{report:?}")),
        }
    })
}
