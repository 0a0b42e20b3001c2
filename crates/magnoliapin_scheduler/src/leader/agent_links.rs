//! Chooses the nodes that make the leader's calls to targets, and exchanges batches with them.
//!
//! Load pattern: hundreds of targets, each with several starts and completions a second. Their
//! HTTP calls would fill the leader's link and processor, so agents in the zones of the targets make
//! them, and the leader exchanges compact batches with few agents. A leader whose targets are fewer
//! than it can serve by itself calls them directly.
//!
//! An agent that does not answer is not used for a while: all its calls fail at once, and the
//! leader repeats them through another agent. This is safe, as each call may be made twice.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::ByteSize;
use magnoliapin_model::Moment;
use magnoliapin_site::AgentReplies;
use magnoliapin_site::CallFailure;
use magnoliapin_site::NodeProfile;
use magnoliapin_site::PeerReply;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::TargetReply;
use magnoliapin_site::ZoneName;

use crate::known_report::KnownReport;
use crate::leader::agent_link::AgentLink;
use crate::leader::agent_link::OutgoingCall;
use crate::leader::target::TargetKey;
use crate::outbox::Outbox;
use crate::CallId;

#[cfg(test)]
#[path = "agent_links_tests.rs"]
mod tests;

/// Time without a ping after which a node is not used as an agent; several ping intervals.
const PING_VALIDITY: Duration = Duration::from_millis(700);
/// Time within which an agent acknowledges a batch; many times the usual round-trip time.
const BATCH_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which an agent is not used after it has failed.
const FAILED_AGENT_PAUSE: Duration = Duration::from_millis(2_000);
/// Time between two selections of agents.
const SELECTION_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum number of agents in a zone, so that one can take over from another.
const MIN_AGENTS_PER_ZONE: usize = 2;
/// Number of times that a large input passes the link of the node which sends it: in Base64 from the
/// store, and to the target, with some room.
const INPUT_TRANSFERS: u64 = 3;

/// The nodes that can be agents, and the links to those that are.
#[derive(Debug)]
pub(super) struct AgentLinks {
    generation: u64,
    /// Address of this node, to which the agents send their replies.
    address: Option<SocketAddr>,
    /// Number of targets that this node can serve by itself.
    own_capacity: usize,
    /// Bandwidth of this node's link, in kilobits per second.
    own_link_kbps: u64,
    nodes: IndexMap<SocketAddr, AgentNode>,
    /// Agents in use, by zone of the node.
    selected: IndexMap<ZoneName, Vec<SocketAddr>>,
    next_selection_at: Moment,
    routes: IndexMap<TargetKey, Option<SocketAddr>>,
    last_session: u64,
    /// Batches that are not acknowledged, and the agent of each.
    batches: IndexMap<CallId, SocketAddr>,
}

/// A node that offers itself as an agent.
#[derive(Debug)]
struct AgentNode {
    profile: NodeProfile,
    last_ping_at: Moment,
    /// Lower bound of the difference between its clock and this node's, in milliseconds.
    clock_offset_ms: i64,
    /// It is not used before this moment, because it has failed.
    paused_until: Moment,
    link: Option<AgentLink>,
}

/// A call that got no reply through its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FailedCall {
    pub(super) call: CallId,
    pub(super) failure: CallFailure,
}

impl AgentLinks {
    /// Creates the links of a leader that knows no other node yet.
    pub(super) fn new(generation: u64, own_profile: &NodeProfile, now: Moment) -> Self {
        Self {
            generation,
            address: own_profile.address,
            own_capacity: own_profile.target_capacity() as usize,
            own_link_kbps: own_profile.link_kbps,
            nodes: IndexMap::new(),
            selected: IndexMap::new(),
            next_selection_at: now,
            routes: IndexMap::new(),
            last_session: 0,
            batches: IndexMap::new(),
        }
    }

    /// Records a ping of a node. Returns the calls that are lost because its process has restarted.
    pub(super) fn record_ping(
        &mut self,
        profile: NodeProfile,
        clock_ms: u64,
        now: Moment,
    ) -> Vec<FailedCall> {
        let Some(address) = profile.address else { return Vec::new() };
        let offset_ms = clock_ms as i64 - (now.0 / 1000) as i64;
        let Some(node) = self.nodes.get_mut(&address) else {
            let node = AgentNode {
                profile,
                last_ping_at: now,
                clock_offset_ms: offset_ms,
                paused_until: now,
                link: None,
            };
            self.nodes.insert(address, node);
            // The first calls of a new leader wait for its agents.
            self.next_selection_at = now;
            return Vec::new();
        };
        node.last_ping_at = now;
        if node.profile.incarnation == profile.incarnation {
            node.clock_offset_ms = node.clock_offset_ms.max(offset_ms);
            return Vec::new();
        }
        node.profile = profile;
        node.clock_offset_ms = offset_ms;
        self.drop_link(address, &[])
    }

    /// Selects the agents again if that is due. `targets` is the number of targets by zone.
    pub(super) fn select(&mut self, targets: &IndexMap<ZoneName, usize>, now: Moment) {
        self.next_selection_at = now + SELECTION_INTERVAL;
        let selected = self.selection(targets, now);
        if selected != self.selected {
            log::info!(
                "event=agents_selected agents={} targets={}",
                selected.values().map(Vec::len).sum::<usize>(),
                targets.values().sum::<usize>()
            );
            self.selected = selected;
            self.routes.clear();
        }
    }

    /// Returns whether the agents should be selected again.
    pub(super) fn is_selection_due(&self, now: Moment) -> bool {
        now >= self.next_selection_at
    }

    /// Returns whether this node can serve fewer targets than there are, and no agent is selected.
    pub(super) fn lacks_agents(&self, targets: usize) -> bool {
        targets > self.own_capacity && self.selected.is_empty()
    }

    fn selection(
        &self,
        targets: &IndexMap<ZoneName, usize>,
        now: Moment,
    ) -> IndexMap<ZoneName, Vec<SocketAddr>> {
        let mut selected: IndexMap<ZoneName, Vec<SocketAddr>> = IndexMap::new();
        if targets.values().sum::<usize>() <= self.own_capacity {
            return selected;
        }
        let mut nodes: Vec<(&SocketAddr, &AgentNode)> =
            self.nodes.iter().filter(|(_, node)| node.is_usable(now)).collect();
        nodes.sort_by(|(_, left), (_, right)| {
            let capacities = right.profile.target_capacity().cmp(&left.profile.target_capacity());
            capacities.then(left.profile.name.cmp(&right.profile.name))
        });
        let mut capacities: IndexMap<&ZoneName, usize> = IndexMap::new();
        for (address, node) in nodes {
            let zone = &node.profile.zone;
            let agents = selected.entry(zone.clone()).or_default();
            let capacity = capacities.entry(zone).or_default();
            let is_enough = *capacity >= targets.get(zone).copied().unwrap_or_default();
            if agents.len() < MIN_AGENTS_PER_ZONE || !is_enough {
                agents.push(*address);
                *capacity += node.profile.target_capacity() as usize;
            }
        }
        selected
    }

    /// Returns the agent that makes the calls to a target; `None` if the leader makes them.
    pub(super) fn agent_for(
        &mut self,
        key: TargetKey,
        record: &TargetRecord,
    ) -> Option<SocketAddr> {
        if self.selected.is_empty() {
            return None;
        }
        if let Some(route) = self.routes.get(&key) {
            return *route;
        }
        let in_zone = self.selected.get(&record.zone).filter(|agents| !agents.is_empty());
        let everywhere = || self.selected.values().flatten().copied().collect();
        let agents: Vec<SocketAddr> = in_zone.cloned().unwrap_or_else(everywhere);
        let score = |address: &SocketAddr| self.nodes[address].score_for(record);
        let agent = agents.into_iter().max_by(|left, right| score(left).total_cmp(&score(right)));
        self.routes.insert(key, agent);
        agent
    }

    /// Returns the agent that sends a start with a large input; `None` if the leader sends it. Where the
    /// link of the usual one cannot carry the input in time, it is the node with the fastest link.
    pub(super) fn agent_for_input(
        &self,
        usual: Option<SocketAddr>,
        size: ByteSize,
        timeout: Duration,
        now: Moment,
    ) -> Option<SocketAddr> {
        let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX).max(1);
        // A kilobit per second is a bit per millisecond.
        let needed_kbps = size.0.saturating_mul(8 * INPUT_TRANSFERS) / timeout_ms;
        let link_of = |agent: Option<SocketAddr>| match agent {
            Some(address) => self.nodes.get(&address).map_or(0, |node| node.profile.link_kbps),
            None => self.own_link_kbps,
        };
        if link_of(usual) >= needed_kbps {
            return usual;
        }
        let usable = self.nodes.iter().filter(|(_, node)| node.is_usable(now));
        let others = usable.map(|(address, _)| Some(*address));
        // The usual one stays where several are equal.
        let candidates = others.chain([None, usual]);
        candidates.max_by_key(|agent| link_of(*agent)).flatten()
    }

    /// Adds a call to the next batch of an agent.
    pub(super) fn queue(&mut self, agent: SocketAddr, call: OutgoingCall<'_>, now: Moment) {
        let (generation, address) = (self.generation, self.address);
        let Some(node) = self.nodes.get_mut(&agent) else { return };
        let session = match &node.link {
            Some(link) => link.session,
            None => {
                self.last_session += 1;
                self.last_session
            }
        };
        let link = node.link.get_or_insert_with(|| AgentLink::new(session, generation, address));
        let expires_at_ms = (now + call.timeout).0 / 1000;
        let expires_at_ms = expires_at_ms.saturating_add_signed(node.clock_offset_ms);
        link.add_call(call, expires_at_ms, now);
    }

    /// Sends the queued calls.
    pub(super) fn send_batches(&mut self, out: &mut Outbox) {
        for (address, node) in &mut self.nodes {
            let Some(link) = &mut node.link else { continue };
            if link.queue.calls.is_empty() {
                continue;
            }
            let (request, sent) = link.take_batch();
            let call = out.call_peer(*address, request, BATCH_TIMEOUT);
            link.sent.insert(call, sent);
            self.batches.insert(call, *address);
        }
    }

    /// Handles the reply to a batch; returns `None` if the call was not a batch. A newer leader is
    /// returned as an error.
    pub(super) fn handle_batch_reply(
        &mut self,
        call: CallId,
        reply: &PeerReply,
        now: Moment,
    ) -> Option<Result<Vec<FailedCall>, u64>> {
        let agent = self.batches.swap_remove(&call)?;
        let node = self.nodes.get_mut(&agent)?;
        let sent = node.link.as_mut().and_then(|link| link.sent.swap_remove(&call));
        Some(match reply {
            PeerReply::Received => {
                if let Some((link, sent)) = node.link.as_mut().zip(sent) {
                    link.confirm(sent);
                }
                Ok(Vec::new())
            }
            PeerReply::Fenced { generation } if *generation > self.generation => Err(*generation),
            reply => {
                // Without an entry, the link to which the batch belonged was given up already.
                let Some(sent) = sent else { return Some(Ok(Vec::new())) };
                log::warn!("event=agent_failed agent={} reply={reply:?}", node.profile.name);
                node.paused_until = now + FAILED_AGENT_PAUSE;
                self.next_selection_at = now;
                let is_not_done =
                    matches!(reply, PeerReply::Failed(CallFailure::NotDone) | PeerReply::Refused);
                Ok(self.drop_link(agent, if is_not_done { &sent.calls } else { &[] }))
            }
        })
    }

    /// Returns the replies of targets in a batch of an agent, with the calls that they belong to.
    pub(super) fn handle_replies(&mut self, batch: AgentReplies) -> Vec<(CallId, TargetReply)> {
        let link = self
            .nodes
            .values_mut()
            .filter_map(|node| node.link.as_mut())
            .find(|link| link.session == batch.session);
        let Some(link) = link else { return Vec::new() };
        let replies = batch.replies.into_iter();
        replies.filter_map(|(call, reply)| link.target_reply(CallId(call), reply)).collect()
    }

    /// Gives up agents that have not sent pings or replies in time. Returns their calls.
    pub(super) fn poll(&mut self, now: Moment) -> Vec<FailedCall> {
        let mut lost = Vec::new();
        for (address, node) in &mut self.nodes {
            let Some(link) = &node.link else { continue };
            let is_overdue = link.outstanding.values().any(|call| now > call.deadline);
            if is_overdue {
                node.paused_until = now + FAILED_AGENT_PAUSE;
            }
            if is_overdue || !node.has_recent_ping(now) {
                log::warn!(
                    "event=agent_lost agent={} overdue={is_overdue} calls={}",
                    node.profile.name,
                    link.outstanding.len()
                );
                lost.push(*address);
            }
        }
        if !lost.is_empty() {
            self.next_selection_at = now;
        }
        lost.into_iter().flat_map(|address| self.drop_link(address, &[])).collect()
    }

    /// Lets agents send the next report of a target whole, as its incarnation has changed.
    pub(super) fn forget_report(&mut self, key: TargetKey) {
        for node in self.nodes.values_mut() {
            let target = node.link.as_mut().and_then(|link| link.targets.get_mut(&key));
            if let Some(target) = target {
                target.report = KnownReport::default();
            }
        }
    }

    /// Forgets the targets that are no longer known.
    pub(super) fn retain_targets(&mut self, is_known: impl Fn(TargetKey) -> bool) {
        self.routes.retain(|key, _| is_known(*key));
        for node in self.nodes.values_mut() {
            if let Some(link) = &mut node.link {
                link.targets.retain(|key, _| is_known(*key));
            }
        }
    }

    /// Drops the state that is shared with an agent. Returns the calls that have no reply; those in
    /// `not_made` and those that were not sent have certainly not been made.
    fn drop_link(&mut self, agent: SocketAddr, not_made: &[CallId]) -> Vec<FailedCall> {
        let link = self.nodes.get_mut(&agent).and_then(|node| node.link.take());
        let Some(link) = link else { return Vec::new() };
        let queued = link.queue.calls.iter().map(|call| CallId(call.call));
        let not_made: IndexSet<CallId> = queued.chain(not_made.iter().copied()).collect();
        let failed = link.outstanding.into_keys().map(|call| {
            let is_made = !not_made.contains(&call);
            let failure = if is_made { CallFailure::Unknown } else { CallFailure::NotDone };
            FailedCall { call, failure }
        });
        failed.collect()
    }
}

impl AgentNode {
    fn has_recent_ping(&self, now: Moment) -> bool {
        now.since(self.last_ping_at) <= PING_VALIDITY
    }

    fn is_usable(&self, now: Moment) -> bool {
        self.has_recent_ping(now) && now >= self.paused_until
    }

    /// Returns the score of the node as agent of a target; the highest is chosen. Each node gets a
    /// share of the targets in proportion to its capacity, and another set of nodes changes few
    /// assignments.
    fn score_for(&self, record: &TargetRecord) -> f64 {
        let mut hasher = DefaultHasher::new();
        self.profile.name.hash(&mut hasher);
        record.name.hash(&mut hasher);
        // Uniform in the open interval from 0 to 1.
        let uniform = ((hasher.finish() >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
        -f64::from(self.profile.target_capacity()) / uniform.ln()
    }
}
