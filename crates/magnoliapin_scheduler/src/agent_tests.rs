//! Tests of the agent.

use magnoliapin_model::Moment;
use magnoliapin_site::AgentBatch;
use magnoliapin_site::AgentCall;
use magnoliapin_site::AgentReply;
use magnoliapin_site::AgentRequest;
use magnoliapin_site::AgentTarget;
use magnoliapin_site::CallFailure;
use magnoliapin_site::JobId;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;
use magnoliapin_site::RunId;
use magnoliapin_site::RunReport;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TaskName;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::Agent;
use crate::outbox::Outbox;
use crate::CallId;
use crate::NodeAction;

/// A batch with the start of a run, whose target and input it contains.
fn batch(generation: u64, session: u64, call: u64) -> AgentBatch {
    let task = TaskName { job: JobId(5), ..TaskName::default() };
    let run = RunId { task, attempt: 1 };
    AgentBatch {
        session,
        generation,
        leader: Some("10.1.0.1:7000".parse().expect("an address")),
        targets: vec![AgentTarget {
            number: 4,
            name: TargetName::new("i-4"),
            address: "10.2.0.4:80".parse().expect("an address"),
        }],
        payloads: vec![(JobId(5), "input".to_owned())],
        calls: vec![AgentCall {
            call,
            target: 4,
            expires_at_ms: 400,
            timeout_ms: 200,
            request: AgentRequest::Start { run, lease_until_ms: 9, checkpoint: None, ticket: None },
        }],
    }
}

fn handle(
    agent: &mut Agent,
    batch: AgentBatch,
    known_generation: u64,
    out: &mut Outbox,
) -> PeerReply {
    agent.handle_batch(batch, Vec::new(), &[], known_generation, out)
}

/// Returns the calls to targets among the pending actions.
fn target_calls(out: &mut Outbox) -> Vec<CallId> {
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    let calls = actions.into_iter().filter_map(|action| match action {
        NodeAction::Target { call, .. } => Some(call),
        _ => None,
    });
    calls.collect()
}

/// Returns the replies that the agent sends.
fn replies(agent: &mut Agent, out: &mut Outbox) -> Vec<(u64, AgentReply)> {
    agent.send_replies(out);
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    match actions.pop() {
        Some(NodeAction::Peer { request: PeerRequest::AgentReplies(batch), .. }) => batch.replies,
        _ => Vec::new(),
    }
}

#[test]
fn a_call_is_made_and_its_reply_returned() {
    let (mut agent, mut out) = (Agent::default(), Outbox::new(1));
    assert_eq!(handle(&mut agent, batch(2, 1, 77), 2, &mut out), PeerReply::Received);
    let calls = target_calls(&mut out);
    assert_eq!(calls.len(), 1);
    agent.handle_target_reply(calls[0], &TargetReply::Done { clock_ms: 12 });
    assert_eq!(replies(&mut agent, &mut out), [(77, AgentReply::Done { clock_ms: 12 })]);
    assert_eq!(replies(&mut agent, &mut out), []);
}

/// A batch that was delivered late, or handled after a pause of the process, starts nothing.
/// Guards against an agent that passes on a cut list of completions as a whole one, so that the leader
/// takes the runs that it does not name for lost.
#[test]
fn a_cut_list_of_completions_is_returned_as_such() {
    let (mut agent, mut out) = (Agent::default(), Outbox::new(1));
    for (call, has_more_completions) in [(7, true), (8, false)] {
        let mut batch = batch(3, 1, call);
        batch.calls[0].request = AgentRequest::Heartbeat {
            acked_completion: 0,
            lease_until_ms: None,
            wait_ms: 0,
            report: call - 7,
        };
        handle(&mut agent, batch, 3, &mut out);
        let report = RunReport { has_more_completions, ..RunReport::default() };
        let calls = target_calls(&mut out);
        agent.handle_target_reply(calls[0], &TargetReply::Report(report));
        let replies = replies(&mut agent, &mut out);
        let is_partial = matches!(replies[0], (_, AgentReply::PartialReport(_)));
        assert_eq!(is_partial, has_more_completions, "{replies:?}");
    }
}

/// Guards against a call that an agent makes under the fence of the leader's generation, although the target
/// has restarted under that leader: a call from before the restart would have the same fence.
#[test]
fn calls_to_restarted_targets_have_their_own_fence() {
    let (mut agent, mut out) = (Agent::default(), Outbox::new(1));
    let mut batch = batch(2, 1, 77);
    batch.calls.push(AgentCall { call: 78, ..batch.calls[0].clone() });
    agent.handle_batch(batch, vec![(78, 5)], &[], 2, &mut out);
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    let fences = actions.iter().filter_map(|action| match action {
        NodeAction::Target { request, .. } => Some(request.fence()),
        _ => None,
    });
    assert_eq!(fences.collect::<Vec<_>>(), [2, 5]);
}

#[test]
fn an_expired_call_is_not_made() {
    let (mut agent, mut out) = (Agent::default(), Outbox::new(1));
    out.now = Moment::from_millis(400);
    handle(&mut agent, batch(2, 1, 77), 2, &mut out);
    assert_eq!(target_calls(&mut out), []);
    let not_done = AgentReply::Failed(CallFailure::NotDone);
    assert_eq!(replies(&mut agent, &mut out), [(77, not_done)]);
}

/// Neither a leader that another one has replaced at this agent nor one that this node knows to be
/// replaced starts anything.
#[test]
fn calls_of_a_replaced_leader_are_not_made() {
    let (mut agent, mut out) = (Agent::default(), Outbox::new(1));
    let fenced = PeerReply::Fenced { generation: 3 };
    assert_eq!(handle(&mut agent, batch(2, 1, 1), 3, &mut out), fenced);
    assert_eq!(target_calls(&mut out), []);
    assert_eq!(handle(&mut agent, batch(3, 1, 1), 0, &mut out), PeerReply::Received);
    assert_eq!(target_calls(&mut out).len(), 1);
    assert_eq!(handle(&mut agent, batch(2, 9, 1), 0, &mut out), fenced);
    assert_eq!(target_calls(&mut out), []);
}

/// A delayed batch of a session that the leader has given up does not replace the current one.
#[test]
fn calls_of_an_earlier_session_are_not_made() {
    let (mut agent, mut out) = (Agent::default(), Outbox::new(1));
    handle(&mut agent, batch(2, 5, 1), 2, &mut out);
    let calls = target_calls(&mut out);
    assert_eq!(handle(&mut agent, batch(2, 4, 2), 2, &mut out), PeerReply::Refused);
    assert_eq!(target_calls(&mut out), []);
    handle(&mut agent, batch(2, 6, 3), 2, &mut out);
    agent.handle_target_reply(calls[0], &TargetReply::Done { clock_ms: 12 });
    assert_eq!(replies(&mut agent, &mut out), [], "the call belongs to an earlier session");
}

/// Guards against the reply to a call of the previous leader that is taken for a reply to the new
/// one, whose first session has the same number.
#[test]
fn replies_to_calls_of_a_replaced_leader_are_dropped() {
    let (mut agent, mut out) = (Agent::default(), Outbox::new(1));
    handle(&mut agent, batch(2, 1, 1), 2, &mut out);
    let calls = target_calls(&mut out);
    handle(&mut agent, batch(3, 1, 2), 3, &mut out);
    agent.handle_target_reply(calls[0], &TargetReply::Done { clock_ms: 12 });
    assert_eq!(replies(&mut agent, &mut out), []);
}

/// A restarted agent asks for what it has forgotten instead of making the call.
#[test]
fn a_call_without_target_or_input_is_not_made() {
    let (mut agent, mut out) = (Agent::default(), Outbox::new(1));
    let without_input = AgentBatch { payloads: Vec::new(), ..batch(2, 1, 1) };
    handle(&mut agent, without_input, 2, &mut out);
    let without_target = AgentBatch { targets: Vec::new(), ..batch(2, 2, 2) };
    handle(&mut agent, without_target, 2, &mut out);
    assert_eq!(target_calls(&mut out), []);
    assert_eq!(replies(&mut agent, &mut out), [(2, AgentReply::Missing)]);
}

/// Whatever a damaged frame decodes to, it costs no more than its own calls.
#[test]
fn damaged_batches_do_no_harm() {
    let mut random = Pcg64Mcg::seed_from_u64(9);
    let good = postcard::to_allocvec(&batch(2, 1, 77)).expect("a batch can be encoded");
    let mut decoded = 0;
    for _ in 0..20_000 {
        let mut bytes = good.clone();
        for _ in 0..random.random_range(1..4) {
            let position = random.random_range(0..bytes.len());
            bytes[position] = random.random();
        }
        bytes.truncate(random.random_range(bytes.len() / 2..=bytes.len()));
        let Ok(damaged) = postcard::from_bytes::<AgentBatch>(&bytes) else { continue };
        decoded += 1;
        let (mut agent, mut out) = (Agent::default(), Outbox::new(1));
        handle(&mut agent, damaged, 2, &mut out);
        for call in target_calls(&mut out) {
            agent.handle_target_reply(call, &TargetReply::OtherIncarnation);
        }
        replies(&mut agent, &mut out);
    }
    assert!(decoded > 100, "{decoded} damaged batches were decoded");
}

/// Guards against calls that go to the earlier address of a target, as the batch with its new one has overtaken the
/// one before.
#[test]
fn batches_that_were_overtaken_change_no_address() {
    let (mut agent, mut out) = (Agent::default(), Outbox::new(1));
    let mut later = batch(2, 1, 8);
    later.targets[0].address = "10.2.0.5:80".parse().expect("an address");
    for (batch, expected) in [(later, "10.2.0.5:80"), (batch(2, 1, 7), "10.2.0.5:80")] {
        handle(&mut agent, batch, 2, &mut out);
        let mut actions = Vec::new();
        out.take_actions(&mut actions);
        let called = actions.iter().filter_map(|action| match action {
            NodeAction::Target { address, .. } => Some(address.to_string()),
            _ => None,
        });
        assert_eq!(called.collect::<Vec<String>>(), [expected]);
    }
}
