//! Hands in work and follows jobs as callers do, and notes what it is told.

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
use crate::demo::note::CallerTold;
use crate::demo::note::JobNote;
use crate::demo::note::WorkNote;
use crate::demo::traffic::WorkArrival;

/// Longest wait for the answer of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// How often a job is submitted whose submission has an unknown outcome.
const SUBMIT_TRIES: usize = 6;

const RETRY_PAUSE: Duration = Duration::from_millis(300);
const POLL_PAUSE: Duration = Duration::from_millis(200);

/// Callers of all teams.
pub(crate) struct DemoCaller {
    entries: Vec<SocketAddr>,
    secrets: IndexMap<TeamId, String>,
}

impl DemoCaller {
    /// Makes callers that know the entries' addresses and their teams' keys.
    pub(crate) fn new(entries: Vec<SocketAddr>, secrets: IndexMap<TeamId, String>) -> Self {
        Self { entries, secrets }
    }

    /// Hands in one piece of work and notes what became of it.
    pub(crate) async fn hand_in(&self, arrival: &WorkArrival) -> WorkNote {
        let told = match arrival.queue.kind {
            WorkKind::Request => self.run(arrival).await,
            WorkKind::Job => self.submit(arrival).await,
        };
        WorkNote { marker: arrival.marker, queue: arrival.queue, team: arrival.team, told }
    }

    /// Reads a job until it has ended or `deadline` is over.
    pub(crate) async fn follow(&self, team: Option<TeamId>, note: &mut JobNote, deadline: Instant) {
        let mut turn = note.job.0 as u64;
        loop {
            if let Some(state) = self.read_job(team, note.job, turn).await {
                note.read(state);
            }
            if note.end.is_some() || Instant::now() >= deadline {
                return;
            }
            turn = turn.wrapping_add(1);
            Timer::after(POLL_PAUSE).await;
        }
    }

    async fn run(&self, arrival: &WorkArrival) -> CallerTold {
        let path = format!("/v1/queues/{}/requests", arrival.queue.full_name());
        let call = self.call(path, arrival);
        let started = Instant::now();
        let reply = self.client(arrival.team, arrival.marker).call(&call).await;
        match reply {
            Ok(reply) if reply.status.is_success() => CallerTold::Answered {
                latency: started.elapsed(),
                is_own: reply.body == arrival.payload.as_bytes(),
            },
            Ok(reply) => read_refusal(&reply),
            Err(report) => unanswered(*report.current_context()),
        }
    }

    async fn submit(&self, arrival: &WorkArrival) -> CallerTold {
        let path = format!("/v1/queues/{}/jobs", arrival.queue.full_name());
        let call = self
            .call(path, arrival)
            .with_header("idempotency-key", format!("demo-{}", arrival.marker));
        let mut was_sent = false;
        let mut told = CallerTold::NotSent;
        for turn in 0..SUBMIT_TRIES as u64 {
            let client = self.client(arrival.team, arrival.marker.wrapping_add(turn));
            told = match client.call(&call).await {
                Ok(reply) => read_accepted(&reply),
                Err(report) => unanswered(*report.current_context()),
            };
            match told {
                CallerTold::Accepted(_) => return told,
                CallerTold::NoAnswer
                | CallerTold::Refused { outcome: WorkOutcome::Unknown, .. } => was_sent = true,
                CallerTold::NotSent => {}
                _ if !was_sent => return told,
                _ => {}
            }
            Timer::after(RETRY_PAUSE).await;
        }
        if was_sent {
            // An earlier submission may have been taken, whatever the last one was told.
            return CallerTold::NoAnswer;
        }
        told
    }

    async fn read_job(&self, team: Option<TeamId>, job: WorkId, turn: u64) -> Option<JobState> {
        let call = EntryCall::new(Method::GET, format!("/v1/jobs/{job}"));
        let reply = self.client(team, turn).call(&call.with_timeout(CALL_TIMEOUT)).await.ok()?;
        match serde_json::from_slice(&reply.body).ok()? {
            CallerAnswer::Job(job) => Some(job.state),
            _ => None,
        }
    }

    fn call(&self, path: String, arrival: &WorkArrival) -> EntryCall {
        EntryCall::new(Method::POST, path)
            .with_body(arrival.payload.clone())
            .with_timeout(CALL_TIMEOUT)
    }

    /// Makes a client that starts with another entry at each turn.
    fn client(&self, team: Option<TeamId>, turn: u64) -> EntryClient {
        let mut entries = self.entries.clone();
        let start = turn as usize % entries.len().max(1);
        entries.rotate_left(start);
        let secret = team.and_then(|team| self.secrets.get(&team).cloned());
        EntryClient::new(entries).with_key(secret)
    }
}

fn read_accepted(reply: &EntryReply) -> CallerTold {
    match serde_json::from_slice(&reply.body) {
        Ok(CallerAnswer::Accepted(job) | CallerAnswer::Job(job)) => {
            CallerTold::Accepted(JobNote::new(job.id))
        }
        _ => read_refusal(reply),
    }
}

fn read_refusal(reply: &EntryReply) -> CallerTold {
    match serde_json::from_slice(&reply.body) {
        Ok(CallerAnswer::Refused(refusal)) => {
            CallerTold::Refused { kind: refusal.kind, outcome: refusal.outcome }
        }
        _ => CallerTold::Refused { kind: ErrorKind::OutcomeUnknown, outcome: WorkOutcome::Unknown },
    }
}

fn unanswered(error: CallError) -> CallerTold {
    match error {
        CallError::Unreachable | CallError::TlsFailed | CallError::Malformed => CallerTold::NotSent,
        CallError::ConnectionFailed | CallError::TimedOut => CallerTold::NoAnswer,
    }
}
