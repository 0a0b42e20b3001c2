//! Runs a stand-in until a stop signal: `stand-in platform` and `stand-in target`.

use std::time::Duration;

use magnoliapin_model::InstanceId;
use magnoliapin_model::SlotCount;
use magnoliapin_standin::PlatformOptions;
use magnoliapin_standin::PlatformStandin;
use magnoliapin_standin::TargetOptions;
use magnoliapin_standin::TargetStandin;

use crate::command::print_text;
use crate::command::refused;
use crate::command::usage;
use crate::command::CommandResult;
use crate::flags;
use crate::signals::StopSignals;

/// Image of a target whose flags name none.
const DEFAULT_IMAGE: &str = "base";

/// Runs the stand-in that the flags select.
///
/// # Errors
///
/// Returns [`CommandError::Refused`](crate::command_error::CommandError::Refused) if it cannot
/// start, and [`CommandError::Usage`](crate::command_error::CommandError::Usage) if the
/// default name of the instance is invalid.
pub(crate) fn run(flags: flags::StandIn) -> CommandResult {
    smol::block_on(async {
        match flags.subcommand {
            flags::StandInCmd::Platform(flags) => run_platform(&flags).await,
            flags::StandInCmd::Target(flags) => run_target(flags).await,
        }
    })
}

async fn run_platform(flags: &flags::Platform) -> CommandResult {
    let mut signals = StopSignals::new().map_err(|error| refused(error.to_string()))?;
    let mut options = PlatformOptions::default().with_listen(flags.listen);
    if let Some(lag) = flags.lag_ms {
        options = options.with_lag(Duration::from_millis(lag));
    }
    if let Some(seed) = flags.seed {
        options = options.with_seed(seed);
    }
    let handle = PlatformStandin::start(options)
        .await
        .map_err(|report| refused(format!("{}: {}", flags.listen, report.current_context())))?;
    print_text(&format!("listening on {}", handle.address()))?;
    signals.next().await;
    handle.stop().await;
    Ok(())
}

async fn run_target(flags: flags::Target) -> CommandResult {
    let mut signals = StopSignals::new().map_err(|error| refused(error.to_string()))?;
    let instance = match flags.instance {
        Some(instance) => instance,
        None => default_instance(&flags)?,
    };
    let options = target_options(&flags, instance);
    let listen = options.listen;
    let handle = TargetStandin::start(options)
        .await
        .map_err(|report| refused(format!("{listen}: {}", report.current_context())))?;
    print_text(&format!("listening on {}", handle.address()))?;
    signals.next().await;
    handle.stop().await;
    Ok(())
}

fn target_options(flags: &flags::Target, instance: InstanceId) -> TargetOptions {
    let mut options = TargetOptions::new(instance, flags.zone, flags.rack, flags.platform)
        .with_listen(flags.listen)
        .with_image(flags.image.as_deref().unwrap_or(DEFAULT_IMAGE));
    options.pool = flags.pool;
    options.seed = flags.seed;
    if let Some(slots) = flags.slots {
        options = options.with_slots(SlotCount(slots));
    }
    if let Some(connections) = flags.connections {
        options = options.with_connections(connections as usize);
    }
    options
}

fn default_instance(flags: &flags::Target) -> CommandResult<InstanceId> {
    let name = format!("{}.{}.{}", flags.zone, flags.rack, flags.listen.port());
    InstanceId::new(&name).map_err(|error| usage(format!("instance {name:?}: {error}")))
}
