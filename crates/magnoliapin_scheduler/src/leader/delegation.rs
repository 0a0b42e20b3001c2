//! Calls targets, directly or through agents.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_site::AgentReplies;
use magnoliapin_site::JobId;
use magnoliapin_site::NodeProfile;
use magnoliapin_site::PeerReply;
use magnoliapin_site::StoredInput;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;
use magnoliapin_site::ZoneName;

use crate::leader::agent_link::OutgoingCall;
use crate::leader::agent_links::FailedCall;
use crate::leader::target::HeartbeatState;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::leader::SentCall;
use crate::leader::TargetCall;
use crate::outbox::Outbox;
use crate::outbox::TargetCallAction;
use crate::CallId;

/// Time after which a new leader without agents calls the targets itself.
const FIRST_AGENTS_WAIT: Duration = Duration::from_millis(1_000);

impl Leader {
    /// Sends a request to a target. Returns `None` if the target is not known.
    pub(super) fn call_target(
        &mut self,
        key: TargetKey,
        kind: TargetCall,
        request: TargetRequest,
        timeout: Duration,
        out: &mut Outbox,
    ) -> Option<CallId> {
        self.call_target_with_input(key, kind, request, None, timeout, out)
    }

    /// Sends a request to a target. `input` is where the input of a start is stored, if the request
    /// does not contain it. Returns `None` if the target is not known.
    pub(super) fn call_target_with_input(
        &mut self,
        key: TargetKey,
        kind: TargetCall,
        request: TargetRequest,
        input: Option<(JobId, StoredInput)>,
        timeout: Duration,
        out: &mut Outbox,
    ) -> Option<CallId> {
        let target = self.targets.get_mut(&key)?;
        target.record_sent(&request, out.now);
        let call = out.next_call();
        self.target_calls.insert(call, SentCall { kind, fence: target.fence });
        let record = &target.record;
        let agent = self.agents.agent_for(key, record);
        let agent = match input {
            Some((_, input)) => self.agents.agent_for_input(agent, input.size, timeout, out.now),
            None => agent,
        };
        match agent {
            Some(agent) => {
                let input = input.map(|(_, input)| input);
                let outgoing = OutgoingCall { call, target: key, record, request, input, timeout };
                self.agents.queue(agent, outgoing, out.now);
            }
            None => out.call_target(TargetCallAction {
                call,
                target: record.name.clone(),
                address: record.address,
                request,
                timeout,
                input,
            }),
        }
        Some(call)
    }

    /// Returns whether heartbeats wait for the first agents of a new leader, which would otherwise
    /// open a connection to every target.
    pub(super) fn is_waiting_for_agents(&self, now: Moment) -> bool {
        now.since(self.acquired_at) < FIRST_AGENTS_WAIT
            && self.agents.lacks_agents(self.targets.len())
    }

    /// Records a ping of another node, which can be an agent.
    pub(super) fn record_ping(&mut self, profile: NodeProfile, clock_ms: u64, out: &mut Outbox) {
        let failed = self.agents.record_ping(profile, clock_ms, out.now);
        self.handle_failed_calls(failed, out);
    }

    /// Gives up agents that do not answer, and selects the agents when that is due.
    pub(super) fn poll_agents(&mut self, out: &mut Outbox) {
        let failed = self.agents.poll(out.now);
        if self.agents.is_selection_due(out.now) {
            let mut targets: IndexMap<ZoneName, usize> = IndexMap::new();
            for target in self.targets.values() {
                *targets.entry(target.record.zone.clone()).or_default() += 1;
            }
            self.agents.select(&targets, out.now);
            self.agents.retain_targets(|key| self.targets.contains_key(&key));
        }
        self.handle_failed_calls(failed, out);
    }

    /// Handles the replies of targets that an agent returns.
    pub(super) fn handle_agent_replies(&mut self, replies: AgentReplies, out: &mut Outbox) {
        for (call, reply) in self.agents.handle_replies(replies) {
            self.handle_target_reply(call, &reply, out);
        }
    }

    /// Handles the reply of an agent to a batch. Returns whether the call was a batch.
    pub(crate) fn handle_agent_reply(
        &mut self,
        call: CallId,
        reply: &PeerReply,
        out: &mut Outbox,
    ) -> bool {
        match self.agents.handle_batch_reply(call, reply, out.now) {
            Some(Ok(failed)) => self.handle_failed_calls(failed, out),
            Some(Err(_)) => self.depose("an agent obeys a newer leader"),
            None => return false,
        }
        true
    }

    /// Handles calls whose agent has failed. The state of their targets is not known to be worse
    /// than before, so heartbeats are repeated at once and do not count as failed.
    fn handle_failed_calls(&mut self, failed: Vec<FailedCall>, out: &mut Outbox) {
        for FailedCall { call, failure } in failed {
            let sent = self.target_calls.get(&call).copied();
            if let Some(TargetCall::Heartbeat(key, _)) = sent.map(|sent| sent.kind) {
                self.target_calls.swap_remove(&call);
                let target = self.targets.get_mut(&key);
                let is_current =
                    |state| matches!(state, HeartbeatState::InFlight(id, _) if id == call);
                if let Some(target) = target.filter(|target| is_current(target.heartbeat)) {
                    target.heartbeat = HeartbeatState::Pausing(out.now);
                }
                continue;
            }
            let started = sent.and_then(|sent| match sent.kind {
                TargetCall::Start(key, run) => Some((key, run)),
                TargetCall::Heartbeat(..) | TargetCall::Stop(..) => None,
            });
            let has_broken_off = started
                .and_then(|(key, run)| self.run_mut(key, run))
                .is_some_and(|run| run.has_broken_off);
            self.handle_target_reply(call, &TargetReply::Failed(failure), out);
            // The connection that broke now is the one to the agent.
            if let Some(run) = started.and_then(|(key, run)| self.run_mut(key, run)) {
                run.has_broken_off = has_broken_off;
            }
        }
    }
}
