//! Makes calls to targets for the leader on another node.
//!
//! The agent decides nothing: it makes each call at most once, and only while the call has not
//! expired on this node's clock and no newer leader is known. A call that is lost on the way has
//! the same effect as one that the target never answered, which the leader handles anyway.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_site::AgentBatch;
use magnoliapin_site::AgentCall;
use magnoliapin_site::AgentReplies;
use magnoliapin_site::AgentReply;
use magnoliapin_site::AgentRequest;
use magnoliapin_site::CallFailure;
use magnoliapin_site::JobId;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;
use magnoliapin_site::StoredInput;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;

use crate::known_report::KnownReport;
use crate::outbox::Outbox;
use crate::outbox::TargetCallAction;
use crate::CallId;

#[cfg(test)]
#[path = "agent_tests.rs"]
mod tests;

/// Maximum number of inputs of jobs that are kept; the leader sends one again if it is missing.
const MAX_PAYLOADS: usize = 4_096;
/// Maximum total size of the inputs that are kept, in bytes.
const MAX_PAYLOAD_BYTES: usize = 16 * 1024 * 1024;
/// Time after which a batch of replies counts as lost; the leader repeats its calls then.
const REPLIES_TIMEOUT: Duration = Duration::from_millis(400);

/// Makes calls to targets for the leader.
#[derive(Debug, Default)]
pub(crate) struct Agent {
    /// Highest generation of a leader that has sent a batch.
    generation: u64,
    session: Option<AgentSession>,
    calls: IndexMap<CallId, PendingCall>,
    replies: Vec<(u64, AgentReply)>,
}

/// State that the agent shares with the leader.
#[derive(Debug)]
struct AgentSession {
    number: u64,
    leader: SocketAddr,
    targets: IndexMap<u32, SessionTarget>,
    payloads: IndexMap<JobId, JobInput>,
    /// Total size of the inputs that are kept.
    payload_bytes: usize,
}

/// Input of a job.
#[derive(Debug)]
enum JobInput {
    Text(String),
    /// It is read from the store for each start.
    Stored(StoredInput),
}

#[derive(Debug)]
struct SessionTarget {
    name: TargetName,
    address: SocketAddr,
    /// Highest number of a call in the batch that the address came with. Batches may overtake each other.
    address_call: u64,
    report: KnownReport,
}

/// A call to a target that has not been answered.
#[derive(Debug)]
struct PendingCall {
    session: u64,
    /// Identifies the call to the leader.
    call: u64,
    target: u32,
    /// Number of the report that the leader has; for heartbeats.
    base: u64,
}

impl Agent {
    /// Makes the calls of a batch. `fences` are those that differ from its generation, by the number of
    /// the call; `known_generation` is that of the newest leader that this node has seen.
    pub(crate) fn handle_batch(
        &mut self,
        batch: AgentBatch,
        fences: Vec<(u64, u64)>,
        inputs: &[(JobId, StoredInput)],
        known_generation: u64,
        out: &mut Outbox,
    ) -> PeerReply {
        let newest = known_generation.max(self.generation);
        if batch.generation < newest {
            log::warn!(
                "event=agent_calls_refused generation={} newest={newest} calls={}",
                batch.generation,
                batch.calls.len()
            );
            return PeerReply::Fenced { generation: newest };
        }
        let Some(leader) = batch.leader else { return PeerReply::Refused };
        let is_same_leader = self.generation == batch.generation;
        self.generation = batch.generation;
        let session = match &mut self.session {
            Some(session) if is_same_leader && session.number == batch.session => session,
            // The leader has abandoned the session of a delayed batch.
            Some(session) if is_same_leader && session.number > batch.session => {
                return PeerReply::Refused;
            }
            _ => {
                log::info!(
                    "event=agent_session_began generation={} leader={leader}",
                    batch.generation
                );
                self.replies.clear();
                // Sessions of two leaders may have the same number, but not the same targets.
                self.calls.clear();
                self.session.insert(AgentSession::new(batch.session, leader))
            }
        };
        session.learn(&batch, inputs);
        let fences: IndexMap<u64, u64> = fences.into_iter().collect();
        for call in batch.calls {
            let fence = fences.get(&call.call).copied().unwrap_or(batch.generation);
            self.make_call(call, fence, out);
        }
        PeerReply::Received
    }

    /// Makes a call, or adds the reply to one that cannot be made.
    fn make_call(&mut self, call: AgentCall, fence: u64, out: &mut Outbox) {
        let Some(session) = &self.session else { return };
        let expires_at = Moment::from_millis(call.expires_at_ms);
        if out.now >= expires_at {
            log::info!("event=agent_call_expired call={}", call.call);
            return self.replies.push((call.call, AgentReply::Failed(CallFailure::NotDone)));
        }
        let base = match &call.request {
            AgentRequest::Heartbeat { report, .. } => *report,
            _ => 0,
        };
        let target = session.targets.get(&call.target);
        let request = session.target_request(call.request, fence);
        let Some((target, (request, input))) = target.zip(request) else {
            return self.replies.push((call.call, AgentReply::Missing));
        };
        let timeout = match &request {
            TargetRequest::Heartbeat { .. } => Duration::from_millis(call.timeout_ms),
            _ => Duration::from_millis(call.timeout_ms).min(expires_at.since(out.now)),
        };
        let id = out.next_call();
        out.call_target(TargetCallAction {
            call: id,
            target: target.name.clone(),
            address: target.address,
            request,
            timeout,
            input,
        });
        let pending =
            PendingCall { session: session.number, call: call.call, target: call.target, base };
        self.calls.insert(id, pending);
    }

    /// Handles the reply of a target.
    pub(crate) fn handle_target_reply(&mut self, call: CallId, reply: &TargetReply) {
        let Some(pending) = self.calls.swap_remove(&call) else { return };
        let session = self.session.as_mut().filter(|session| session.number == pending.session);
        let Some(session) = session else { return };
        let reply = match reply {
            TargetReply::Done { clock_ms } => AgentReply::Done { clock_ms: *clock_ms },
            TargetReply::Refused { clock_ms, reason } => {
                AgentReply::Refused { clock_ms: *clock_ms, reason: *reason }
            }
            TargetReply::Report(report) => match session.targets.get_mut(&pending.target) {
                Some(target) => {
                    let update = target.report.replace(report, pending.base);
                    match report.has_more_completions {
                        true => AgentReply::PartialReport(update),
                        false => AgentReply::Report(update),
                    }
                }
                None => AgentReply::Missing,
            },
            TargetReply::OtherIncarnation => AgentReply::OtherIncarnation,
            TargetReply::Failed(failure) => AgentReply::Failed(*failure),
        };
        self.replies.push((pending.call, reply));
    }

    /// Sends the replies that have been collected.
    pub(crate) fn send_replies(&mut self, out: &mut Outbox) {
        if self.replies.is_empty() {
            return;
        }
        let Some(session) = &self.session else { return };
        let replies = std::mem::take(&mut self.replies);
        let batch = AgentReplies { session: session.number, replies };
        out.call_peer(session.leader, PeerRequest::AgentReplies(batch), REPLIES_TIMEOUT);
    }
}

impl AgentSession {
    fn new(number: u64, leader: SocketAddr) -> Self {
        Self {
            number,
            leader,
            targets: IndexMap::new(),
            payloads: IndexMap::new(),
            payload_bytes: 0,
        }
    }

    /// Adds the targets and inputs of a batch.
    fn learn(&mut self, batch: &AgentBatch, inputs: &[(JobId, StoredInput)]) {
        let last_call = batch.calls.iter().map(|call| call.call).max().unwrap_or_default();
        for target in &batch.targets {
            let known = self.targets.entry(target.number).or_insert_with(|| SessionTarget {
                name: target.name.clone(),
                address: target.address,
                address_call: last_call,
                report: KnownReport::default(),
            });
            if last_call >= known.address_call {
                (known.address, known.address_call) = (target.address, last_call);
            }
        }
        if self.payloads.len() > MAX_PAYLOADS || self.payload_bytes > MAX_PAYLOAD_BYTES {
            self.payloads.drain(..self.payloads.len() / 2);
            self.payload_bytes = self.payloads.values().map(JobInput::text_bytes).sum();
        }
        for (job, payload) in &batch.payloads {
            self.payloads.entry(*job).or_insert_with(|| {
                self.payload_bytes += payload.len();
                JobInput::Text(payload.clone())
            });
        }
        for (job, input) in inputs {
            self.payloads.entry(*job).or_insert(JobInput::Stored(*input));
        }
    }

    /// Returns the request to the target, and where the input of its job is stored if the request lacks
    /// it; `None` if the input is not known.
    fn target_request(
        &self,
        request: AgentRequest,
        fence: u64,
    ) -> Option<(TargetRequest, Option<(JobId, StoredInput)>)> {
        let mut stored = None;
        let request = match request {
            AgentRequest::Start { run, lease_until_ms, checkpoint, ticket } => {
                let job = run.task.job;
                let payload = match self.payloads.get(&job)? {
                    JobInput::Text(text) => text.clone(),
                    JobInput::Stored(input) => {
                        stored = Some((job, *input));
                        String::new()
                    }
                };
                TargetRequest::Start { run, payload, lease_until_ms, fence, checkpoint, ticket }
            }
            AgentRequest::Stop { run } => TargetRequest::Stop { run, fence },
            AgentRequest::Heartbeat { acked_completion, lease_until_ms, wait_ms, .. } => {
                let wait = Duration::from_millis(wait_ms);
                TargetRequest::Heartbeat { fence, acked_completion, lease_until_ms, wait }
            }
            AgentRequest::Pace { run, percent } => TargetRequest::Pace { run, percent, fence },
        };
        Some((request, stored))
    }
}

impl JobInput {
    /// Returns the size of the text that is kept, in bytes.
    fn text_bytes(&self) -> usize {
        match self {
            Self::Text(text) => text.len(),
            Self::Stored(_) => 0,
        }
    }
}
