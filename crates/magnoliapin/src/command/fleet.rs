//! Operators' commands for the fleet: `drain`, `undrain`, `move`, `maintenance`, `rollout`.

use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;

use hyper::Method;
use indexmap::IndexMap;
use magnoliapin_fleet::FleetStep;
use magnoliapin_fleet::MaintenanceView;
use magnoliapin_fleet::OperatorAnswer;
use magnoliapin_fleet::OperatorRequest;
use magnoliapin_fleet::PoolForecast;
use magnoliapin_fleet::RolloutRow;
use magnoliapin_fleet::UnixSeconds;
use magnoliapin_model::PoolId;
use serde::Serialize;

use crate::client::EntryCall;
use crate::command::call_when_ready;
use crate::command::print_text;
use crate::command::refused;
use crate::command::success_body;
use crate::command::unexpected_answer;
use crate::command::usage;
use crate::command::CommandContext;
use crate::command::CommandResult;
use crate::flags;

/// First second of the year 10000, which RFC 3339 cannot represent.
const RFC3339_END_SECONDS: u64 = 253_402_300_800;

/// Action of the `maintenance` command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MaintenanceAction {
    /// Shows the steps and deadlines that come next.
    Plan,
    /// Pauses planned work.
    Pause,
    /// Resumes planned work.
    Resume,
}

impl FromStr for MaintenanceAction {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "plan" => Ok(Self::Plan),
            "pause" => Ok(Self::Pause),
            "resume" => Ok(Self::Resume),
            _ => Err("allowed: plan, pause, resume".to_owned()),
        }
    }
}

/// Action of the `rollout` command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RolloutAction {
    /// Starts a roll-out of the image in the configuration document.
    Start,
    /// Shows roll-outs.
    Status,
    /// Pauses a roll-out.
    Pause,
    /// Resumes a paused or halted roll-out.
    Resume,
    /// Rolls a pool back to its previous image.
    RollBack,
}

impl FromStr for RolloutAction {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "start" => Ok(Self::Start),
            "status" => Ok(Self::Status),
            "pause" => Ok(Self::Pause),
            "resume" => Ok(Self::Resume),
            "rollback" => Ok(Self::RollBack),
            _ => Err("allowed: start, status, pause, resume, rollback".to_owned()),
        }
    }
}

/// Predicted effect of a move.
#[derive(Debug, Serialize)]
struct MoveForecast {
    step: FleetStep,
    pools: Vec<PoolForecast>,
}

/// Drains an instance.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if the request is refused.
pub(crate) async fn drain(context: &CommandContext, flags: &flags::Drain) -> CommandResult {
    let (instance, force) = (flags.instance, flags.force);
    let request = OperatorRequest::Drain { instance, force };
    send_and_confirm(context, &request, &format!("drain of instance {instance} is ordered")).await
}

/// Cancels a drain.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if the request is refused.
pub(crate) async fn undrain(context: &CommandContext, flags: &flags::Undrain) -> CommandResult {
    let instance = flags.instance;
    let request = OperatorRequest::Undrain { instance };
    send_and_confirm(context, &request, &format!("undrain of instance {instance} is ordered")).await
}

/// Moves an instance to another pool, or shows the effect of the move in a dry run.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if the request is refused.
pub(crate) async fn move_instance(context: &CommandContext, flags: &flags::Move) -> CommandResult {
    let (instance, pool, dry_run) = (flags.instance, flags.pool, flags.dry_run);
    let request = OperatorRequest::Move { instance, pool, force: flags.force, dry_run };
    if !dry_run {
        let text = format!("move of instance {instance} to pool {pool} is ordered");
        return send_and_confirm(context, &request, &text).await;
    }
    let OperatorAnswer::Forecast { step, pools } = send_request(context, &request).await? else {
        return Err(unexpected_answer());
    };
    context.print(&MoveForecast { step, pools }, forecast_text)
}

/// Shows, pauses or resumes planned work.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if the request is refused.
pub(crate) async fn maintenance(
    context: &CommandContext,
    flags: &flags::Maintenance,
) -> CommandResult {
    let pause = |paused| OperatorRequest::PauseMaintenance { paused };
    match flags.action {
        MaintenanceAction::Plan => show_maintenance(context).await,
        MaintenanceAction::Pause => {
            send_and_confirm(context, &pause(true), "planned work is paused").await
        }
        MaintenanceAction::Resume => {
            send_and_confirm(context, &pause(false), "planned work goes on").await
        }
    }
}

/// Starts, shows, pauses, resumes or rolls back roll-outs.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if a required pool is missing or
/// the request is refused.
pub(crate) async fn rollout(context: &CommandContext, flags: &flags::Rollout) -> CommandResult {
    let required_pool =
        flags.pool.ok_or_else(|| usage("a pool is required; only status works without one"));
    let (request, operation) = match flags.action {
        RolloutAction::Status => return show_rollouts(context, flags.pool).await,
        RolloutAction::Start => (OperatorRequest::StartRollout { pool: required_pool? }, "start"),
        RolloutAction::Pause => (OperatorRequest::PauseRollout { pool: required_pool? }, "pause"),
        RolloutAction::Resume => {
            (OperatorRequest::ResumeRollout { pool: required_pool? }, "resumption")
        }
        RolloutAction::RollBack => (OperatorRequest::RollBack { pool: required_pool? }, "rollback"),
    };
    let pool = flags.pool.map(|pool| pool.to_string()).unwrap_or_default();
    send_and_confirm(
        context,
        &request,
        &format!("{operation} of the roll-out to pool {pool} is ordered"),
    )
    .await
}

async fn show_maintenance(context: &CommandContext) -> CommandResult {
    let answer = send_request(context, &OperatorRequest::ShowMaintenance).await?;
    let OperatorAnswer::Maintenance(view) = answer else { return Err(unexpected_answer()) };
    context.print(&view, maintenance_text)
}

async fn show_rollouts(context: &CommandContext, pool: Option<PoolId>) -> CommandResult {
    let answer = send_request(context, &OperatorRequest::ShowRollouts).await?;
    let OperatorAnswer::Rollouts(mut rollouts) = answer else { return Err(unexpected_answer()) };
    rollouts.retain(|id, _| pool.is_none_or(|pool| pool == *id));
    rollouts.sort_unstable_keys();
    context.print(&rollouts, rollouts_text)
}

/// Sends a request and, once the entry has accepted it, prints `text`, or `{}` as JSON.
async fn send_and_confirm(
    context: &CommandContext,
    request: &OperatorRequest,
    text: &str,
) -> CommandResult {
    let OperatorAnswer::Done = send_request(context, request).await? else {
        return Err(unexpected_answer());
    };
    print_text(if context.prints_json() { "{}" } else { text })
}

async fn send_request(
    context: &CommandContext,
    request: &OperatorRequest,
) -> CommandResult<OperatorAnswer> {
    let codec_error = |error| {
        refused(format!("the request cannot be encoded or its response cannot be parsed: {error}"))
    };
    let body = serde_json::to_vec(request).map_err(codec_error)?;
    let call = EntryCall::new(Method::POST, "/v1/fleet").with_body(body);
    let reply = call_when_ready(&context.client()?, &call).await?;
    serde_json::from_slice(&success_body(&reply)?).map_err(codec_error)
}

fn forecast_text(forecast: &MoveForecast) -> String {
    let mut text = format!("would {}\n", forecast.step);
    text.push_str(&format!(
        "{:40} {:>7} {:>5} {:>11} {:>6}\n",
        "pool", "members", "after", "unavailable", "budget"
    ));
    for pool in &forecast.pools {
        text.push_str(&format!(
            "{:40} {:>7} {:>5} {:>11} {:>6}\n",
            pool.pool,
            pool.now.members,
            pool.members_after,
            pool.now.unavailable.total(),
            pool.max_unavailable
        ));
    }
    text
}

fn maintenance_text(view: &MaintenanceView) -> String {
    let state = if view.paused { "paused" } else { "running" };
    let mut text = format!("planned work   {state}\n");
    text.push_str(&format!(
        "one round      {} of a period of {}\n",
        duration_text(view.total_seconds),
        duration_text(view.period_seconds)
    ));
    if let Some(infeasible) = &view.infeasible {
        text.push_str(&format!("the period cannot be met: {infeasible}\n"));
    }
    text.push_str(&format!("\nsteps that would start now: {}\n", view.steps.len()));
    for step in &view.steps {
        text.push_str(&format!("  {step}\n"));
    }
    text.push_str("\nnext deadlines\n");
    for deadline in &view.deadlines {
        text.push_str(&format!("  {:40} {}\n", deadline.instance, time_text(deadline.deadline)));
    }
    text
}

fn rollouts_text(rollouts: &IndexMap<PoolId, RolloutRow>) -> String {
    if rollouts.is_empty() {
        return "no roll-out".to_owned();
    }
    let mut text = format!(
        "{:24} {:12} {:16} {:16} {}\n",
        "pool", "stage", "image", "previous", "stage since"
    );
    for (pool, row) in rollouts {
        text.push_str(&format!(
            "{:24} {:12} {:16} {:16} {}\n",
            pool,
            row.stage,
            row.image,
            row.previous_image,
            time_text(row.changed_at)
        ));
    }
    text
}

fn duration_text(seconds: u64) -> String {
    humantime::format_duration(Duration::from_secs(seconds)).to_string()
}

/// Returns a time in the RFC 3339 format in UTC, or in seconds if it is out of range.
fn time_text(time: UnixSeconds) -> String {
    match SystemTime::UNIX_EPOCH.checked_add(Duration::from_secs(time.0)) {
        Some(shown) if time.0 < RFC3339_END_SECONDS => {
            humantime::format_rfc3339_seconds(shown).to_string()
        }
        _ => format!("{time} s"),
    }
}
