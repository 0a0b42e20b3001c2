//! The state of the system on one screen of 80 columns: `status`.

use hyper::Method;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::EntryState;
use magnoliapin_wire::EntryView;
use magnoliapin_wire::StatusView;
use magnoliapin_wire::TeamView;

use crate::client::EntryCall;
use crate::command::unexpected;
use crate::command::view;
use crate::command::CommandContext;
use crate::command::CommandResult;

/// Shows the state of the system.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if no entry answers.
pub(crate) async fn status(context: &CommandContext) -> CommandResult {
    let status = read_status(context).await?;
    context.print(&status, status_text)
}

/// Reads the state of the system as one entry sees it.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if no entry answers.
pub(crate) async fn read_status(context: &CommandContext) -> CommandResult<StatusView> {
    match context.ask_answer(EntryCall::new(Method::GET, "/v1/status")).await? {
        CallerAnswer::Status(status) => Ok(status),
        _ => Err(unexpected()),
    }
}

fn status_text(status: &StatusView) -> String {
    let spread = status.entries.iter().filter(|entry| entry.config == status.config).count();
    let freshness = if status.fresh { "current" } else { "not known to be current" };
    let platform = if status.platform_up { "answers" } else { "does not answer" };
    let mut text = format!(
        "configuration  version {}, {freshness}, in force at {spread} of {} entries\n\
         platform       {platform}\n",
        status.config,
        status.entries.len()
    );
    text.push_str(
        "\nentry             zone         address                state     config  heard\n",
    );
    for entry in &status.entries {
        text.push_str(&entry_line(entry));
    }
    text.push('\n');
    text.push_str(&view::pools_text(&status.pools));
    text.push_str("\nteam                     weight  share%  running   limit  waiting\n");
    let weights: u64 = status.teams.iter().map(|team| u64::from(team.weight)).sum();
    for team in &status.teams {
        text.push_str(&team_line(team, weights));
    }
    text
}

fn entry_line(entry: &EntryView) -> String {
    let state = match entry.state {
        EntryState::Starting => "starting",
        EntryState::Ready => "ready",
        EntryState::Stopping => "stopping",
    };
    let heard = format!("{}ms", entry.silent_ms);
    format!(
        "{:17} {:12} {:22} {:9} {:>6} {:>6}\n",
        entry.entry.to_string(),
        entry.zone,
        entry.address.to_string(),
        state,
        entry.config,
        heard
    )
}

fn team_line(team: &TeamView, weights: u64) -> String {
    let share = 100.0 * f64::from(team.weight) / weights.max(1) as f64;
    format!(
        "{:24} {:>6} {:>7.1} {:>8} {:>7} {:>8}\n",
        team.team, team.weight, share, team.running, team.limit, team.waiting
    )
}
