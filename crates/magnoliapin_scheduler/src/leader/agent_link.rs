//! State that the leader shares with one agent, and the batches that it sends to it.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::Moment;
use magnoliapin_site::AgentBatch;
use magnoliapin_site::AgentCall;
use magnoliapin_site::AgentReply;
use magnoliapin_site::AgentRequest;
use magnoliapin_site::AgentTarget;
use magnoliapin_site::CallFailure;
use magnoliapin_site::JobId;
use magnoliapin_site::PeerRequest;
use magnoliapin_site::RunReport;
use magnoliapin_site::StoredInput;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;

use crate::known_report::KnownReport;
use crate::leader::target::TargetKey;
use crate::CallId;

/// Time that the way through an agent may add to a call.
const AGENT_SLACK: Duration = Duration::from_millis(400);
/// Inputs of jobs that an agent is assumed to still have; less than what it keeps.
const MAX_KNOWN_PAYLOADS: usize = 1_024;

/// State that is shared with an agent.
#[derive(Debug)]
pub(super) struct AgentLink {
    pub(super) session: u64,
    pub(super) targets: IndexMap<TargetKey, LinkTarget>,
    /// Inputs of jobs that the agent has.
    pub(super) payloads: IndexSet<JobId>,
    /// Calls that wait to be sent.
    pub(super) queue: AgentBatch,
    /// Fences of those calls that are sent under a higher one than the generation.
    pub(super) queued_fences: Vec<(u64, u64)>,
    /// Stored inputs of those calls that the agent may not know yet.
    pub(super) queued_inputs: Vec<(JobId, StoredInput)>,
    /// Calls without a reply.
    pub(super) outstanding: IndexMap<CallId, OutstandingCall>,
    /// Batches that the agent has not acknowledged.
    pub(super) sent: IndexMap<CallId, SentBatch>,
}

#[derive(Debug, Default)]
pub(super) struct LinkTarget {
    /// Address of the target in the last batch with one that the agent has acknowledged. The next incarnation
    /// of the target may have another.
    pub(super) known_address: Option<SocketAddr>,
    pub(super) report: KnownReport,
}

/// A call without a reply.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutstandingCall {
    pub(super) target: TargetKey,
    /// Job whose run the call starts.
    pub(super) job: Option<JobId>,
    pub(super) deadline: Moment,
}

/// What a batch contained.
#[derive(Debug)]
pub(super) struct SentBatch {
    pub(super) calls: Vec<CallId>,
    pub(super) targets: Vec<(TargetKey, SocketAddr)>,
    pub(super) payloads: Vec<JobId>,
}

/// A call to a target, for an agent.
#[derive(Debug)]
pub(super) struct OutgoingCall<'a> {
    pub(super) call: CallId,
    pub(super) target: TargetKey,
    pub(super) record: &'a TargetRecord,
    pub(super) request: TargetRequest,
    /// Where the input of a start is stored, if the request does not contain it.
    pub(super) input: Option<StoredInput>,
    pub(super) timeout: Duration,
}

impl AgentLink {
    pub(super) fn new(session: u64, generation: u64, leader: Option<SocketAddr>) -> Self {
        Self {
            session,
            targets: IndexMap::new(),
            payloads: IndexSet::new(),
            queue: AgentBatch { session, generation, leader, ..AgentBatch::default() },
            queued_fences: Vec::new(),
            queued_inputs: Vec::new(),
            outstanding: IndexMap::new(),
            sent: IndexMap::new(),
        }
    }

    pub(super) fn add_call(&mut self, call: OutgoingCall<'_>, expires_at_ms: u64, now: Moment) {
        let number = call.target.0 as u32;
        let target = self.targets.entry(call.target).or_default();
        let report = target.report.number();
        let address = call.record.address;
        let listed = self.queue.targets.iter_mut().find(|listed| listed.number == number);
        match listed {
            // Calls to the incarnation before that wait in the same batch are of no use any more.
            Some(listed) => listed.address = address,
            None if target.known_address == Some(address) => {}
            None => {
                let name = call.record.name.clone();
                self.queue.targets.push(AgentTarget { number, name, address });
            }
        }
        let fence = call.request.fence();
        if fence != self.queue.generation {
            self.queued_fences.push((call.call.0, fence));
        }
        let mut started_job = None;
        let request = match call.request {
            TargetRequest::Start { run, payload, lease_until_ms, checkpoint, ticket, .. } => {
                let job = run.task.job;
                started_job = Some(job);
                let is_listed = self.queue.payloads.iter().any(|(listed, _)| *listed == job)
                    || self.queued_inputs.iter().any(|(listed, _)| *listed == job);
                if !self.payloads.contains(&job) && !is_listed {
                    match call.input {
                        Some(input) => self.queued_inputs.push((job, input)),
                        None => self.queue.payloads.push((job, payload)),
                    }
                }
                AgentRequest::Start { run, lease_until_ms, checkpoint, ticket }
            }
            TargetRequest::Stop { run, .. } => AgentRequest::Stop { run },
            TargetRequest::Heartbeat { acked_completion, lease_until_ms, wait, .. } => {
                let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
                AgentRequest::Heartbeat { acked_completion, lease_until_ms, wait_ms, report }
            }
            TargetRequest::Pace { run, percent, .. } => AgentRequest::Pace { run, percent },
        };
        self.queue.calls.push(AgentCall {
            call: call.call.0,
            target: number,
            expires_at_ms,
            timeout_ms: u64::try_from(call.timeout.as_millis()).unwrap_or(u64::MAX),
            request,
        });
        let outstanding = OutstandingCall {
            target: call.target,
            job: started_job,
            deadline: now + call.timeout + AGENT_SLACK,
        };
        self.outstanding.insert(call.call, outstanding);
    }

    pub(super) fn take_batch(&mut self) -> (PeerRequest, SentBatch) {
        let empty = AgentBatch {
            session: self.queue.session,
            generation: self.queue.generation,
            leader: self.queue.leader,
            ..AgentBatch::default()
        };
        let batch = std::mem::replace(&mut self.queue, empty);
        let sent = SentBatch {
            calls: batch.calls.iter().map(|call| CallId(call.call)).collect(),
            targets: batch
                .targets
                .iter()
                .map(|target| (TargetKey(target.number.into()), target.address))
                .collect(),
            payloads: batch
                .payloads
                .iter()
                .map(|(job, _)| *job)
                .chain(self.queued_inputs.iter().map(|(job, _)| *job))
                .collect(),
        };
        let fences = std::mem::take(&mut self.queued_fences);
        let inputs = std::mem::take(&mut self.queued_inputs);
        // Agents of earlier versions know no stored inputs, or no calls with a fence.
        let request = match (inputs.is_empty(), fences.is_empty()) {
            (true, true) => PeerRequest::AgentCalls(batch),
            (true, false) => PeerRequest::RaisedAgentCalls { batch, fences },
            (false, _) => PeerRequest::StoredInputCalls { batch, fences, inputs },
        };
        (request, sent)
    }

    /// Records what the agent knows from a batch that it has acknowledged.
    pub(super) fn confirm(&mut self, sent: SentBatch) {
        for (key, address) in sent.targets {
            if let Some(target) = self.targets.get_mut(&key) {
                target.known_address = Some(address);
            }
        }
        if self.payloads.len() >= MAX_KNOWN_PAYLOADS {
            self.payloads.drain(..MAX_KNOWN_PAYLOADS / 2);
        }
        self.payloads.extend(sent.payloads);
    }

    /// Returns the reply of a target; `None` if the call has been given up.
    pub(super) fn target_reply(
        &mut self,
        call: CallId,
        reply: AgentReply,
    ) -> Option<(CallId, TargetReply)> {
        let outstanding = self.outstanding.swap_remove(&call)?;
        let target = self.targets.get_mut(&outstanding.target);
        let has_more_completions = matches!(reply, AgentReply::PartialReport(_));
        let reply = match reply {
            AgentReply::Done { clock_ms } => TargetReply::Done { clock_ms },
            AgentReply::Refused { clock_ms, reason } => TargetReply::Refused { clock_ms, reason },
            AgentReply::Report(update) | AgentReply::PartialReport(update) => target
                .and_then(|target| target.report.apply(update))
                .map(|report| RunReport { has_more_completions, ..report })
                .map_or(TargetReply::Failed(CallFailure::Unknown), TargetReply::Report),
            AgentReply::OtherIncarnation => TargetReply::OtherIncarnation,
            AgentReply::Failed(failure) => TargetReply::Failed(failure),
            AgentReply::Missing => {
                if let Some(target) = target {
                    target.known_address = None;
                }
                if let Some(job) = outstanding.job {
                    self.payloads.swap_remove(&job);
                }
                TargetReply::Failed(CallFailure::NotDone)
            }
        };
        Some((call, reply))
    }
}
