//! State of the system in at most 80 columns: `status`.

use hyper::Method;
use indexmap::IndexMap;
use magnoliapin_model::ZoneId;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::EntryState;
use magnoliapin_wire::EntryView;
use magnoliapin_wire::StatusView;
use magnoliapin_wire::TeamView;

use crate::client::EntryCall;
use crate::command::unexpected_answer;
use crate::command::view;
use crate::command::CommandContext;
use crate::command::CommandResult;

/// Maximum width of the output, in characters.
const COLUMNS: usize = 80;

/// Shows the state of the system.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if no entry responds.
pub(crate) async fn status(context: &CommandContext) -> CommandResult {
    let status = read_status(context).await?;
    context.print(&status, status_text)
}

/// Reads the state of the system from the view of one entry.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if no entry responds.
pub(crate) async fn read_status(context: &CommandContext) -> CommandResult<StatusView> {
    match context.call_for_answer(EntryCall::new(Method::GET, "/v1/status")).await? {
        CallerAnswer::Status(status) => Ok(status),
        _ => Err(unexpected_answer()),
    }
}

/// Returns the state of the system as text.
pub(crate) fn status_text(status: &StatusView) -> String {
    let up_to_date = status.entries.iter().filter(|entry| entry.config == status.config).count();
    let freshness = if status.fresh { "current" } else { "not known to be current" };
    let platform = if status.platform_up { "answers" } else { "does not answer" };
    let config = [
        format!("version {}", status.config),
        freshness.to_owned(),
        format!("in force at {up_to_date} of {} entries", status.entries.len()),
    ];
    let mut text = wrap("configuration  ", &config);
    text.push_str(&format!("platform       {platform}\n"));
    text.push_str(&zone_line(&status.entries));
    text.push_str(&format!(
        "\n{:16} {:16} {:21} {:8} {:>6} {:>8}\n",
        "entry", "zone", "address", "state", "config", "heard"
    ));
    for entry in &status.entries {
        text.push_str(&entry_line(entry));
    }
    text.push('\n');
    text.push_str(&view::pools_text(&status.pools));
    text.push_str(&format!(
        "\n{:40} {:>6} {:>6} {:>7} {:>6} {:>7}\n",
        "team", "weight", "share%", "running", "limit", "waiting"
    ));
    let weights: u64 = status.teams.iter().map(|team| u64::from(team.weight)).sum();
    for team in &status.teams {
        text.push_str(&team_line(team, weights));
    }
    text
}

/// Returns the zones with their numbers of ready and known entries.
fn zone_line(entries: &[EntryView]) -> String {
    let mut zones: IndexMap<ZoneId, ZoneCounts> = IndexMap::new();
    for entry in entries {
        let counts = zones.entry(entry.zone).or_default();
        counts.known += 1;
        counts.ready += u32::from(entry.state == EntryState::Ready);
    }
    zones.sort_unstable_keys();
    let items: Vec<String> = zones
        .iter()
        .map(|(zone, counts)| format!("{zone} {}/{} ready", counts.ready, counts.known))
        .collect();
    wrap("zones          ", &items)
}

/// Numbers of entries of one availability zone.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneCounts {
    known: u32,
    ready: u32,
}

/// Returns a title and comma-separated items, wrapped to lines of at most [`COLUMNS`].
fn wrap(title: &str, items: &[String]) -> String {
    let mut text = title.to_owned();
    let mut column = title.len();
    for (number, item) in items.iter().enumerate() {
        let comma = if number + 1 < items.len() { "," } else { "" };
        let is_first = number == 0;
        if !is_first && column + 1 + item.len() + comma.len() > COLUMNS {
            text.push_str(&format!("\n{:indent$}", "", indent = title.len()));
            column = title.len();
        } else if !is_first {
            text.push(' ');
            column += 1;
        }
        text.push_str(item);
        text.push_str(comma);
        column += item.len() + comma.len();
    }
    text.push('\n');
    text
}

fn entry_line(entry: &EntryView) -> String {
    let state = match entry.state {
        EntryState::Starting => "starting",
        EntryState::Ready => "ready",
        EntryState::Stopping => "stopping",
    };
    format!(
        "{:16} {:16.16} {:21} {:8} {:>6} {:>8}\n",
        entry.entry.to_string(),
        entry.zone,
        entry.address.to_string(),
        state,
        entry.config,
        contact_age_text(entry.silent_ms)
    )
}

/// Returns the time since the last contact with an entry.
fn contact_age_text(silent_ms: u64) -> String {
    if silent_ms < 10_000 {
        format!("{silent_ms}ms")
    } else {
        format!("{}s", silent_ms / 1_000)
    }
}

fn team_line(team: &TeamView, weights: u64) -> String {
    let share = 100.0 * f64::from(team.weight) / weights.max(1) as f64;
    format!(
        "{:40} {:>6} {:>6.1} {:>7} {:>6} {:>7}\n",
        team.team, team.weight, share, team.running, team.limit, team.waiting
    )
}
