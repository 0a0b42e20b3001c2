//! Submitting, showing and cancelling work: `submit`, `request`, `job`, `cancel`.

use std::fs;
use std::io;
use std::io::IsTerminal;
use std::io::Read;
use std::path::PathBuf;
use std::time::Duration;

use hyper::Method;
use magnoliapin_model::WorkId;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::JobState;
use magnoliapin_wire::JobView;
use smol::Timer;

use crate::client::EntryCall;
use crate::command::print_bytes;
use crate::command::refused;
use crate::command::unexpected_answer;
use crate::command::usage;
use crate::command::CommandContext;
use crate::command::CommandResult;
use crate::flags;

/// Interval between reads of a job that `submit --wait` waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time allowed for the response in addition to the timeout of the request.
const RESPONSE_MARGIN: Duration = Duration::from_secs(5);

/// Timeout of a request for which none is given.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(600);

/// Submits a job and optionally waits for its end.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if the job is
/// refused, or if the command waits for it and it does not finish successfully.
pub(crate) async fn submit(context: &CommandContext, flags: flags::Submit) -> CommandResult {
    let payload = read_payload(flags.payload, flags.file)?;
    let path = format!("/v1/queues/{}/jobs", flags.queue);
    let mut call = EntryCall::new(Method::POST, path).with_body(payload);
    if let Some(key) = flags.idempotency_key {
        call = call.with_header("idempotency-key", key);
    }
    let mut job = call_job(context, call).await?;
    while flags.wait && job.state == JobState::Accepted {
        Timer::after(POLL_INTERVAL).await;
        job = read_job(context, job.id).await?;
    }
    context.print(&job, if flags.wait { job_text } else { job_id_text })?;
    if flags.wait && job.state != JobState::Finished {
        let message = format!("job {} ended as {}", job.id, state_text(job.state));
        return Err(refused(message));
    }
    Ok(())
}

/// Runs a request and prints its output.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if it is refused or fails.
pub(crate) async fn request(context: &CommandContext, flags: flags::Request) -> CommandResult {
    let payload = read_payload(flags.payload, flags.file)?;
    let timeout = flags.timeout_ms.map_or(DEFAULT_REQUEST_TIMEOUT, Duration::from_millis);
    let path = format!("/v1/queues/{}/requests", flags.queue);
    let mut call = EntryCall::new(Method::POST, path)
        .with_body(payload)
        .with_timeout(timeout.saturating_add(RESPONSE_MARGIN));
    if let Some(millis) = flags.timeout_ms {
        call = call.with_header("x-timeout-ms", millis.to_string());
    }
    let output = context.call_entry(call).await?;
    print_bytes(&output)?;
    // The output is printed byte for byte, except that a line break is added on a terminal.
    if io::stdout().is_terminal() && !output.ends_with(b"\n") {
        print_bytes(b"\n")?;
    }
    Ok(())
}

/// Shows a job.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if it cannot be read.
pub(crate) async fn job(context: &CommandContext, flags: flags::Job) -> CommandResult {
    let job = read_job(context, flags.id).await?;
    context.print(&job, job_text)
}

/// Cancels a job.
///
/// # Errors
///
/// Returns a [`CommandError`](crate::command_error::CommandError) if the job cannot be
/// cancelled or has ended in another way.
pub(crate) async fn cancel(context: &CommandContext, flags: flags::Cancel) -> CommandResult {
    let call = EntryCall::new(Method::DELETE, format!("/v1/jobs/{}", flags.id));
    let job = call_job(context, call).await?;
    context.print(&job, job_text)?;
    match job.state {
        JobState::Accepted | JobState::Cancelled => Ok(()),
        state => {
            let message = format!("job {} had ended as {}", job.id, state_text(state));
            Err(refused(message))
        }
    }
}

async fn read_job(context: &CommandContext, id: WorkId) -> CommandResult<JobView> {
    call_job(context, EntryCall::new(Method::GET, format!("/v1/jobs/{id}"))).await
}

async fn call_job(context: &CommandContext, call: EntryCall) -> CommandResult<JobView> {
    match context.call_for_answer(call).await? {
        CallerAnswer::Accepted(job) | CallerAnswer::Job(job) => Ok(job),
        _ => Err(unexpected_answer()),
    }
}

fn read_payload(payload: Option<String>, file: Option<PathBuf>) -> CommandResult<Vec<u8>> {
    match (payload, file) {
        (Some(_), Some(_)) => Err(usage("give the input as an argument or by --file, not both")),
        (Some(text), None) => Ok(text.into_bytes()),
        (None, Some(path)) => {
            fs::read(&path).map_err(|error| usage(format!("{}: {error}", path.display())))
        }
        (None, None) => {
            let mut payload = Vec::new();
            let read = io::stdin().lock().read_to_end(&mut payload);
            read.map_err(|error| usage(format!("cannot read the standard input: {error}")))?;
            Ok(payload)
        }
    }
}

fn job_id_text(job: &JobView) -> String {
    job.id.to_string()
}

fn job_text(job: &JobView) -> String {
    let mut text = format!(
        "job      {}\nteam     {}\nqueue    {}\nstate    {}\nattempt  {}\n",
        job.id,
        job.team,
        job.queue,
        state_text(job.state),
        job.attempt
    );
    if let Some(output) = &job.output {
        text.push_str(&format!("output   {output}\n"));
    }
    if let Some(reason) = &job.reason {
        text.push_str(&format!("reason   {reason}\n"));
    }
    text
}

/// Returns the name of a job's state.
pub(crate) fn state_text(state: JobState) -> &'static str {
    match state {
        JobState::Accepted => "accepted",
        JobState::Finished => "finished",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
        JobState::Unknown => "unknown",
        JobState::Unrunnable => "unrunnable",
    }
}
