//! The magnoliapin program: entries, nodes, stand-ins, the demo and the commands of clients and
//! operators.
//!
//! `flags` defines the command line and `settings` reads the settings of an entry. `command`
//! contains the commands that call an entry through `client`.

mod client;
mod command;
mod command_error;
mod demo;
mod entry;
mod flags;
mod help;
mod logs;
mod node;
mod settings;
mod signals;
mod stand_in;

use std::env;
use std::io;
use std::io::Write;
use std::process::ExitCode;

use error_stack::Report;

use crate::command::CommandContext;
use crate::command::CommandResult;
use crate::command_error::CommandError;
use crate::flags::ConfigCmd;
use crate::flags::KeyCmd;
use crate::flags::Magnoliapin;
use crate::flags::MagnoliapinCmd;

fn main() -> ExitCode {
    let flags = match Magnoliapin::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => return print_help(&error.to_string()),
        Err(error) => {
            let usage = CommandError::Usage(format!("{error}; see magnoliapin --help"));
            return fail(&Report::new(usage));
        }
    };
    match run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => fail(&report),
    }
}

fn run(flags: Magnoliapin) -> CommandResult {
    let context = CommandContext::new(flags.entry, flags.key, flags.json).with_ca(flags.ca);
    match flags.subcommand {
        MagnoliapinCmd::Entry(flags) => entry::run(&flags),
        MagnoliapinCmd::Node(flags) => node::run(&flags),
        MagnoliapinCmd::StandIn(flags) => stand_in::run(flags),
        MagnoliapinCmd::Demo(flags) => demo::run(&context, &flags),
        subcommand => smol::block_on(run_client(&context, subcommand)),
    }
}

async fn run_client(context: &CommandContext, subcommand: MagnoliapinCmd) -> CommandResult {
    match subcommand {
        MagnoliapinCmd::Submit(flags) => command::work::submit(context, flags).await,
        MagnoliapinCmd::Request(flags) => command::work::request(context, flags).await,
        MagnoliapinCmd::Job(flags) => command::work::job(context, flags).await,
        MagnoliapinCmd::Cancel(flags) => command::work::cancel(context, flags).await,
        MagnoliapinCmd::Config(flags) => run_config(context, flags.subcommand).await,
        MagnoliapinCmd::Key(flags) => run_key(context, flags.subcommand).await,
        MagnoliapinCmd::Pools(_) => command::view::pools(context).await,
        MagnoliapinCmd::Instances(_) => command::view::instances(context).await,
        MagnoliapinCmd::Drain(flags) => command::fleet::drain(context, &flags).await,
        MagnoliapinCmd::Undrain(flags) => command::fleet::undrain(context, &flags).await,
        MagnoliapinCmd::Move(flags) => command::fleet::move_instance(context, &flags).await,
        MagnoliapinCmd::Maintenance(flags) => command::fleet::maintenance(context, &flags).await,
        MagnoliapinCmd::Rollout(flags) => command::fleet::rollout(context, &flags).await,
        MagnoliapinCmd::Status(_) => command::status::status(context).await,
        MagnoliapinCmd::Timeline(flags) => command::timeline::timeline(context, flags).await,
        MagnoliapinCmd::Entry(_)
        | MagnoliapinCmd::Node(_)
        | MagnoliapinCmd::StandIn(_)
        | MagnoliapinCmd::Demo(_) => Err(command::usage("this command does not call an entry")),
    }
}

async fn run_config(context: &CommandContext, subcommand: ConfigCmd) -> CommandResult {
    match subcommand {
        ConfigCmd::Check(flags) => command::config::check(context, &flags),
        ConfigCmd::Diff(flags) => command::config::diff(context, &flags).await,
        ConfigCmd::Apply(flags) => command::config::apply(context, &flags).await,
        ConfigCmd::Show(flags) => command::config::show(context, &flags).await,
    }
}

async fn run_key(context: &CommandContext, subcommand: KeyCmd) -> CommandResult {
    match subcommand {
        KeyCmd::New(flags) => command::key::new(context, &flags),
        KeyCmd::List(flags) => command::key::list(context, &flags).await,
        KeyCmd::Withdraw(flags) => command::key::withdraw(context, &flags).await,
    }
}

fn print_help(help: &str) -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let section = help::subcommand_help(help, &arguments);
    match command::print_text(section) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => fail(&report),
    }
}

fn fail(report: &Report<CommandError>) -> ExitCode {
    // A closed standard error cannot be reported anywhere.
    let _ = writeln!(io::stderr(), "magnoliapin: {}", report.current_context());
    ExitCode::from(report.current_context().exit_code())
}
