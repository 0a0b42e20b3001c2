//! Operators' commands to the fleet: `drain`, `undrain`, `move`, `maintenance`, `rollout`.

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
use crate::command::accept;
use crate::command::call_when_ready;
use crate::command::print_text;
use crate::command::refused;
use crate::command::unexpected;
use crate::command::usage;
use crate::command::CommandContext;
use crate::command::CommandResult;
use crate::flags;

/// First second of the year 10000, which the written form of a time cannot hold.
const MAX_SHOWN_SECONDS: u64 = 253_402_300_800;

/// What `maintenance` does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MaintenanceAction {
    /// Shows what comes next.
    Plan,
    /// Holds planned work back.
    Pause,
    /// Lets planned work go on.
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

/// What `rollout` does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RolloutAction {
    /// Starts a roll-out of the document's image.
    Start,
    /// Shows roll-outs.
    Status,
    /// Pauses a roll-out.
    Pause,
    /// Lets a paused or halted roll-out go on.
    Resume,
    /// Takes a pool back to the image before.
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

/// What a move would do.
#[derive(Debug, Serialize)]
struct MoveForecast {
    step: FleetStep,
    pools: Vec<PoolForecast>,
}

/// Drains an instance.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if the step is refused.
pub(crate) async fn drain(context: &CommandContext, flags: &flags::Drain) -> CommandResult {
    let (instance, force) = (flags.instance, flags.force);
    let request = OperatorRequest::Drain { instance, force };
    order(context, &request, &format!("drain of instance {instance} is ordered")).await
}

/// Takes a drain back.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if the step is refused.
pub(crate) async fn undrain(context: &CommandContext, flags: &flags::Undrain) -> CommandResult {
    let instance = flags.instance;
    let request = OperatorRequest::Undrain { instance };
    order(context, &request, &format!("undrain of instance {instance} is ordered")).await
}

/// Moves an instance to another pool, or tells what that would do.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if the step is refused.
pub(crate) async fn move_instance(context: &CommandContext, flags: &flags::Move) -> CommandResult {
    let (instance, pool, dry_run) = (flags.instance, flags.pool, flags.dry_run);
    let request = OperatorRequest::Move { instance, pool, force: flags.force, dry_run };
    if !dry_run {
        let text = format!("move of instance {instance} to pool {pool} is ordered");
        return order(context, &request, &text).await;
    }
    let OperatorAnswer::Forecast { step, pools } = operate(context, &request).await? else {
        return Err(unexpected());
    };
    context.print(&MoveForecast { step, pools }, forecast_text)
}

/// Shows, pauses or resumes planned work.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if the step is refused.
pub(crate) async fn maintenance(
    context: &CommandContext,
    flags: &flags::Maintenance,
) -> CommandResult {
    let pause = |paused| OperatorRequest::PauseMaintenance { paused };
    match flags.action {
        MaintenanceAction::Plan => show_maintenance(context).await,
        MaintenanceAction::Pause => order(context, &pause(true), "planned work is paused").await,
        MaintenanceAction::Resume => order(context, &pause(false), "planned work goes on").await,
    }
}

/// Starts, shows or steers roll-outs.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if the pool is missing or the
/// step is refused.
pub(crate) async fn rollout(context: &CommandContext, flags: &flags::Rollout) -> CommandResult {
    let named = flags.pool.ok_or_else(|| usage("a pool must be named; only status needs none"));
    let (request, verb) = match flags.action {
        RolloutAction::Status => return show_rollouts(context, flags.pool).await,
        RolloutAction::Start => (OperatorRequest::StartRollout { pool: named? }, "start"),
        RolloutAction::Pause => (OperatorRequest::PauseRollout { pool: named? }, "pause"),
        RolloutAction::Resume => (OperatorRequest::ResumeRollout { pool: named? }, "resumption"),
        RolloutAction::RollBack => (OperatorRequest::RollBack { pool: named? }, "rollback"),
    };
    let pool = flags.pool.map(|pool| pool.to_string()).unwrap_or_default();
    order(context, &request, &format!("{verb} of the roll-out to pool {pool} is ordered")).await
}

async fn show_maintenance(context: &CommandContext) -> CommandResult {
    let answer = operate(context, &OperatorRequest::ShowMaintenance).await?;
    let OperatorAnswer::Maintenance(view) = answer else { return Err(unexpected()) };
    context.print(&view, maintenance_text)
}

async fn show_rollouts(context: &CommandContext, pool: Option<PoolId>) -> CommandResult {
    let answer = operate(context, &OperatorRequest::ShowRollouts).await?;
    let OperatorAnswer::Rollouts(mut rollouts) = answer else { return Err(unexpected()) };
    rollouts.retain(|known, _| pool.is_none_or(|pool| pool == *known));
    rollouts.sort_unstable_keys();
    context.print(&rollouts, rollouts_text)
}

/// Asks for one step and prints that it was taken.
async fn order(context: &CommandContext, request: &OperatorRequest, text: &str) -> CommandResult {
    let OperatorAnswer::Done = operate(context, request).await? else { return Err(unexpected()) };
    print_text(if context.json() { "{}" } else { text })
}

async fn operate(
    context: &CommandContext,
    request: &OperatorRequest,
) -> CommandResult<OperatorAnswer> {
    let unreadable = |error| refused(format!("the request or its answer is unreadable: {error}"));
    let body = serde_json::to_vec(request).map_err(unreadable)?;
    let call = EntryCall::new(Method::POST, "/v1/fleet").with_body(body);
    let reply = call_when_ready(&context.client()?, &call).await?;
    serde_json::from_slice(&accept(&reply)?).map_err(unreadable)
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
        span_text(view.total_seconds),
        span_text(view.period_seconds)
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

fn span_text(seconds: u64) -> String {
    humantime::format_duration(Duration::from_secs(seconds)).to_string()
}

/// Returns a time as it is written in UTC.
fn time_text(time: UnixSeconds) -> String {
    match SystemTime::UNIX_EPOCH.checked_add(Duration::from_secs(time.0)) {
        Some(shown) if time.0 < MAX_SHOWN_SECONDS => {
            humantime::format_rfc3339_seconds(shown).to_string()
        }
        _ => format!("{time} s"),
    }
}
