//! Sends requests, submits jobs and polls them as clients do, and records the outcomes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use indexmap::IndexMap;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_model::WorkOutcome;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::JobState;
use smol::Timer;

use crate::client::CallError;
use crate::client::EntryCall;
use crate::client::EntryClient;
use crate::client::EntryReply;
use crate::demo::deployment::WorkKind;
use crate::demo::record::CallOutcome;
use crate::demo::record::JobRecord;
use crate::demo::record::WorkRecord;
use crate::demo::traffic::WorkArrival;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Most attempts to submit a job; another follows if one was not sent or its outcome is unknown.
const MAX_SUBMIT_ATTEMPTS: usize = 6;

const RETRY_DELAY: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Client of the demo, which calls with the keys of all teams.
pub(crate) struct DemoClient {
    entries: Vec<SocketAddr>,
    secrets: IndexMap<TeamId, String>,
}

impl DemoClient {
    /// Creates a client of these entries with the teams' keys.
    pub(crate) fn new(entries: Vec<SocketAddr>, secrets: IndexMap<TeamId, String>) -> Self {
        Self { entries, secrets }
    }

    /// Sends a request or submits a job and returns its outcome.
    pub(crate) async fn send_work(&self, arrival: &WorkArrival) -> WorkRecord {
        let call_outcome = match arrival.queue.kind {
            WorkKind::Request => self.send_request(arrival).await,
            WorkKind::Job => self.submit_job(arrival).await,
        };
        WorkRecord {
            marker: arrival.marker,
            queue: arrival.queue,
            team: arrival.team,
            call_outcome,
        }
    }

    /// Polls a job until it reaches a final state or `deadline` has passed; reads it at least once.
    pub(crate) async fn poll_job(
        &self,
        team: Option<TeamId>,
        record: &mut JobRecord,
        deadline: Instant,
    ) {
        let mut attempt = record.job.0 as u64;
        loop {
            if let Some(state) = self.read_job(team, record.job, attempt).await {
                record.record_state(state);
            }
            if record.final_state.is_some() || Instant::now() >= deadline {
                return;
            }
            attempt = attempt.wrapping_add(1);
            Timer::after(POLL_INTERVAL).await;
        }
    }

    async fn send_request(&self, arrival: &WorkArrival) -> CallOutcome {
        let path = format!("/v1/queues/{}/requests", arrival.queue.full_name());
        let call = self.build_call(path, arrival);
        let started = Instant::now();
        let reply = self.client(arrival.team, arrival.marker).call(&call).await;
        match reply {
            Ok(reply) if reply.status.is_success() => CallOutcome::Answered {
                latency: started.elapsed(),
                matches_payload: reply.body == arrival.payload.as_bytes(),
            },
            Ok(reply) => parse_refusal(&reply),
            Err(report) => outcome_of_error(*report.current_context()),
        }
    }

    async fn submit_job(&self, arrival: &WorkArrival) -> CallOutcome {
        let path = format!("/v1/queues/{}/jobs", arrival.queue.full_name());
        let call = self
            .build_call(path, arrival)
            .with_header("idempotency-key", format!("demo-{}", arrival.marker));
        let mut is_uncertain = false;
        let mut call_outcome = CallOutcome::NotSent;
        for attempt in 0..MAX_SUBMIT_ATTEMPTS as u64 {
            let client = self.client(arrival.team, arrival.marker.wrapping_add(attempt));
            call_outcome = match client.call(&call).await {
                Ok(reply) => parse_accepted(&reply),
                Err(report) => outcome_of_error(*report.current_context()),
            };
            match call_outcome {
                CallOutcome::Accepted(_) => return call_outcome,
                CallOutcome::NoAnswer
                | CallOutcome::Refused { outcome: WorkOutcome::Unknown, .. } => is_uncertain = true,
                CallOutcome::NotSent => {}
                _ if !is_uncertain => return call_outcome,
                _ => {}
            }
            Timer::after(RETRY_DELAY).await;
        }
        if is_uncertain {
            // An earlier attempt may have been accepted even if the last one was refused.
            return CallOutcome::NoAnswer;
        }
        call_outcome
    }

    async fn read_job(&self, team: Option<TeamId>, job: WorkId, attempt: u64) -> Option<JobState> {
        let call = EntryCall::new(Method::GET, format!("/v1/jobs/{job}"));
        let reply = self.client(team, attempt).call(&call.with_timeout(CALL_TIMEOUT)).await.ok()?;
        match serde_json::from_slice(&reply.body).ok()? {
            CallerAnswer::Job(job) => Some(job.state),
            _ => None,
        }
    }

    fn build_call(&self, path: String, arrival: &WorkArrival) -> EntryCall {
        EntryCall::new(Method::POST, path)
            .with_body(arrival.payload.clone())
            .with_timeout(CALL_TIMEOUT)
    }

    /// Creates an HTTP client whose first entry rotates with the number of the attempt.
    fn client(&self, team: Option<TeamId>, attempt: u64) -> EntryClient {
        let mut entries = self.entries.clone();
        let start = attempt as usize % entries.len().max(1);
        entries.rotate_left(start);
        let secret = team.and_then(|team| self.secrets.get(&team).cloned());
        EntryClient::new(entries).with_key(secret)
    }
}

fn parse_accepted(reply: &EntryReply) -> CallOutcome {
    match serde_json::from_slice(&reply.body) {
        Ok(CallerAnswer::Accepted(job) | CallerAnswer::Job(job)) => {
            CallOutcome::Accepted(JobRecord::new(job.id))
        }
        _ => parse_refusal(reply),
    }
}

fn parse_refusal(reply: &EntryReply) -> CallOutcome {
    match serde_json::from_slice(&reply.body) {
        Ok(CallerAnswer::Refused(refusal)) => {
            CallOutcome::Refused { kind: refusal.kind, outcome: refusal.outcome }
        }
        _ => {
            CallOutcome::Refused { kind: ErrorKind::OutcomeUnknown, outcome: WorkOutcome::Unknown }
        }
    }
}

fn outcome_of_error(error: CallError) -> CallOutcome {
    match error {
        CallError::Unreachable | CallError::TlsFailed | CallError::Malformed => {
            CallOutcome::NotSent
        }
        CallError::ConnectionFailed | CallError::TimedOut => CallOutcome::NoAnswer,
    }
}
