//! Tests of the choice of agents and of their links.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::ByteSize;
use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::AgentReplies;
use magnoliapin_site::AgentReply;
use magnoliapin_site::CallFailure;
use magnoliapin_site::JobId;
use magnoliapin_site::NodeName;
use magnoliapin_site::NodeProfile;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;
use magnoliapin_site::PoolName;
use magnoliapin_site::Resources;
use magnoliapin_site::RunId;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;
use magnoliapin_site::TargetState;
use magnoliapin_site::TaskName;
use magnoliapin_site::ZoneName;

use super::AgentLinks;
use crate::leader::agent_link::OutgoingCall;
use crate::leader::target::TargetKey;
use crate::outbox::Outbox;
use crate::CallId;
use crate::NodeAction;

const TARGETS: u64 = 60;

fn profile(number: u8, zone: &str, cpu_milli: u32) -> NodeProfile {
    NodeProfile {
        name: NodeName::new(&format!("node-{number}")),
        zone: ZoneName::new(zone),
        address: Some(SocketAddr::from(([10, 1, 0, number], 7000))),
        incarnation: 1,
        cpu_milli,
        link_kbps: 1_000_000,
    }
}

fn record(number: u64, zone: &str) -> TargetRecord {
    TargetRecord {
        name: TargetName::new(&format!("i-{number}")),
        started_at: UnixMillis(1),
        pool: PoolName::new("pool"),
        address: SocketAddr::from(([10, 2, 0, number as u8], 80)),
        zone: ZoneName::new(zone),
        state: TargetState::Ready,
        capacity: Resources::NONE,
        labels: Vec::new(),
        instance: None,
        cold_left: Duration::ZERO,
    }
}

/// Links of a weak leader with two nodes in zone a and one in zone b.
fn links(now: Moment) -> AgentLinks {
    let mut links = AgentLinks::new(3, &profile(0, "a", 30), now);
    for (number, zone) in [(1, "a"), (2, "a"), (3, "b")] {
        links.record_ping(profile(number, zone, 90), 0, now);
    }
    let zone = |name| (ZoneName::new(name), TARGETS as usize / 2);
    links.select(&IndexMap::from([zone("a"), zone("b")]), now);
    links
}

fn start(links: &mut AgentLinks, call: u64, job: u64, now: Moment) -> SocketAddr {
    start_under(3, links, call, job, now)
}

fn start_under(fence: u64, links: &mut AgentLinks, call: u64, job: u64, now: Moment) -> SocketAddr {
    start_at(&record(1, "a"), fence, links, call, job, now)
}

fn start_at(
    record: &TargetRecord,
    fence: u64,
    links: &mut AgentLinks,
    call: u64,
    job: u64,
    now: Moment,
) -> SocketAddr {
    let agent = links.agent_for(TargetKey(1), record).expect("an agent in zone a");
    let task = TaskName { job: JobId(job), ..TaskName::default() };
    let request = TargetRequest::Start {
        run: RunId { task, attempt: 1 },
        payload: "input".to_owned(),
        lease_until_ms: 9_000,
        fence,
        checkpoint: None,
        ticket: None,
    };
    let timeout = Duration::from_millis(400);
    let target = TargetKey(1);
    let call = OutgoingCall { call: CallId(call), target, record, request, input: None, timeout };
    links.queue(agent, call, now);
    agent
}

/// Sends the queued batches and returns the last one with its call.
fn send(links: &mut AgentLinks, out: &mut Outbox) -> (CallId, magnoliapin_site::AgentBatch) {
    links.send_batches(out);
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    match actions.pop() {
        Some(NodeAction::Peer { call, request: PeerRequest::AgentCalls(batch), .. }) => {
            (call, batch)
        }
        other => panic!("a batch should be sent, not {other:?}"),
    }
}

/// Guards against calls to a restarted target that lose their higher fence on the way through an agent. Two
/// calls of one batch may differ in it, as the target was found to have restarted in between.
#[test]
fn calls_keep_the_fence_of_a_restarted_target() {
    let (mut links, mut out) = (links(Moment::START), Outbox::new(1));
    start(&mut links, 1, 1, Moment::START);
    start_under(4, &mut links, 2, 2, Moment::START);
    links.send_batches(&mut out);
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    let Some(NodeAction::Peer { request, .. }) = actions.pop() else { panic!("a batch is sent") };
    let PeerRequest::RaisedAgentCalls { batch, fences } = request else {
        panic!("the batch comes with a fence")
    };
    assert_eq!((batch.generation, batch.calls.len(), fences), (3, 2, vec![(2, 4)]));
}

#[test]
fn targets_are_spread_over_the_agents_of_their_zone() {
    let mut links = links(Moment::START);
    let mut counts: IndexMap<SocketAddr, u32> = IndexMap::new();
    for number in 0..TARGETS {
        let zone = if number % 2 == 0 { "a" } else { "b" };
        let agent = links.agent_for(TargetKey(number), &record(number, zone));
        *counts.entry(agent.expect("an agent")).or_default() += 1;
    }
    let count = |number| counts[&SocketAddr::from(([10, 1, 0, number], 7000))];
    assert_eq!(count(3), 30, "zone b has one agent");
    assert!(count(1).abs_diff(count(2)) <= 12, "{} and {}", count(1), count(2));
}

#[test]
fn a_leader_that_can_serve_all_targets_uses_no_agent() {
    let mut links = links(Moment::START);
    links.select(&IndexMap::from([(ZoneName::new("a"), 10)]), Moment::START);
    assert_eq!(links.agent_for(TargetKey(1), &record(1, "a")), None);
    assert!(!links.lacks_agents(10));
}

/// Address and input are sent until the agent has acknowledged a batch with them.
#[test]
fn known_targets_and_inputs_are_not_sent_again() {
    let mut out = Outbox::new(1);
    let mut links = links(out.now);
    start(&mut links, 1, 5, out.now);
    let (call, batch) = send(&mut links, &mut out);
    assert_eq!((batch.targets.len(), batch.payloads.len(), batch.calls.len()), (1, 1, 1));
    start(&mut links, 2, 5, out.now);
    let (_, unconfirmed) = send(&mut links, &mut out);
    assert_eq!((unconfirmed.targets.len(), unconfirmed.payloads.len()), (1, 1));
    assert_eq!(links.handle_batch_reply(call, &PeerReply::Received, out.now), Some(Ok(Vec::new())));
    start(&mut links, 3, 5, out.now);
    let (_, confirmed) = send(&mut links, &mut out);
    assert_eq!((confirmed.targets.len(), confirmed.payloads.len()), (0, 0));
    let missing = AgentReplies { session: batch.session, replies: vec![(3, AgentReply::Missing)] };
    let replies = links.handle_replies(missing);
    assert_eq!(replies, [(CallId(3), TargetReply::Failed(CallFailure::NotDone))]);
    start(&mut links, 4, 5, out.now);
    let (_, repeated) = send(&mut links, &mut out);
    assert_eq!((repeated.targets.len(), repeated.payloads.len()), (1, 1));
}

/// A call expires on the agent's clock. A ping that was delayed shows that clock too early, so the
/// highest reading counts.
#[test]
fn calls_expire_on_the_agents_clock() {
    let mut out = Outbox::new(1);
    out.now = Moment::from_millis(1_000);
    let mut links = links(out.now);
    for clock_ms in [5_000, 4_200] {
        links.record_ping(profile(1, "a", 90), clock_ms, out.now);
        links.record_ping(profile(2, "a", 90), clock_ms, out.now);
    }
    start(&mut links, 1, 5, out.now);
    let (_, batch) = send(&mut links, &mut out);
    assert_eq!(batch.calls[0].expires_at_ms, 5_400);
}

/// Calls that were not sent are not made; the outcome of others is unknown. Their target is called
/// through another agent.
#[test]
fn calls_of_a_failed_agent_fail_at_once() {
    let mut out = Outbox::new(1);
    let mut links = links(out.now);
    let agent = start(&mut links, 1, 5, out.now);
    let (batch_call, batch) = send(&mut links, &mut out);
    start(&mut links, 2, 5, out.now);
    let unknown = PeerReply::Failed(CallFailure::Unknown);
    let failed = links.handle_batch_reply(batch_call, &unknown, out.now).expect("a batch");
    let failed: Vec<_> =
        failed.expect("no newer leader").iter().map(|call| (call.call.0, call.failure)).collect();
    assert_eq!(failed, [(1, CallFailure::Unknown), (2, CallFailure::NotDone)]);
    let zones = IndexMap::from([(ZoneName::new("a"), 30), (ZoneName::new("b"), 30)]);
    links.select(&zones, out.now);
    assert_ne!(start(&mut links, 3, 5, out.now), agent);
    let late = AgentReplies {
        session: batch.session,
        replies: vec![(1, AgentReply::Done { clock_ms: 1 })],
    };
    assert_eq!(links.handle_replies(late), [], "the session is over");
}

#[test]
fn an_agent_without_pings_or_replies_is_given_up() {
    let mut out = Outbox::new(1);
    let mut links = links(out.now);
    let agent = start(&mut links, 1, 5, out.now);
    send(&mut links, &mut out);
    assert!(links.poll(Moment::from_millis(600)).is_empty());
    let number = if agent == SocketAddr::from(([10, 1, 0, 1], 7000)) { 1 } else { 2 };
    links.record_ping(profile(number, "a", 90), 0, Moment::from_millis(600));
    assert!(links.poll(Moment::from_millis(790)).is_empty(), "its pings are recent");
    assert_eq!(links.poll(Moment::from_millis(810)).len(), 1, "the call is overdue");
}

#[test]
fn an_agent_that_obeys_a_newer_leader_deposes_this_one() {
    let mut out = Outbox::new(1);
    let mut links = links(out.now);
    start(&mut links, 1, 5, out.now);
    let (call, _) = send(&mut links, &mut out);
    let fenced = PeerReply::Fenced { generation: 4 };
    assert_eq!(links.handle_batch_reply(call, &fenced, out.now), Some(Err(4)));
}

/// Guards against starts that a slow link can never carry within their time limit.
#[test]
fn large_inputs_are_sent_over_a_link_that_carries_them_in_time() {
    let now = Moment::from_millis(10_000);
    let mut own = profile(0, "a", 30);
    own.link_kbps = 10_000;
    let mut links = AgentLinks::new(3, &own, now);
    let mut slow = profile(1, "a", 90);
    slow.link_kbps = 10_000;
    let fast = profile(2, "b", 90);
    let (slow_address, fast_address) = (slow.address, fast.address);
    links.record_ping(slow, 0, now);
    links.record_ping(fast, 0, now);
    let timeout = Duration::from_millis(400);
    let agent = |usual, size| links.agent_for_input(usual, ByteSize(size), timeout, now);
    for usual in [None, slow_address, fast_address] {
        assert_eq!(agent(usual, 20_000), usual);
        assert_eq!(agent(usual, 262_144), fast_address);
    }
    let much_later = now + Duration::from_secs(60);
    let alone = links.agent_for_input(slow_address, ByteSize(262_144), timeout, much_later);
    assert_eq!(alone, slow_address, "no other node has a faster link");
}

/// Guards against a target that no agent reaches any more, as it has started again at another address.
#[test]
fn agents_learn_the_address_of_the_next_incarnation() {
    let (mut links, mut out) = (links(Moment::START), Outbox::new(1));
    let moved = TargetRecord { address: SocketAddr::from(([10, 2, 0, 9], 80)), ..record(1, "a") };
    for (call, record, lists_address) in [
        (1, record(1, "a"), true),
        (2, record(1, "a"), false),
        (3, moved.clone(), true),
        (4, moved, false),
    ] {
        start_at(&record, 3, &mut links, call, call, Moment::START);
        let (id, batch) = send(&mut links, &mut out);
        let listed: Vec<SocketAddr> = batch.targets.iter().map(|target| target.address).collect();
        let expected = if lists_address { vec![record.address] } else { Vec::new() };
        assert_eq!(listed, expected, "call {call}");
        links.handle_batch_reply(id, &PeerReply::Received, Moment::START);
    }
}
