//! Tests of when an attempt counts as never started.

use std::net::Ipv4Addr;

use magnoliapin_model::Attempt;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::QueueId;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_wire::rows::BoundTarget;
use magnoliapin_wire::StartTask;
use magnoliapin_wire::TargetReply;
use magnoliapin_wire::TargetRequest;
use magnoliapin_wire::TaskReply;
use magnoliapin_wire::TaskState;

use crate::outbox::Outbox;
use crate::tasks::TaskOutcome;
use crate::tasks::TaskRegistry;
use crate::CallId;
use crate::EntryAction;
use crate::PolicyTimes;

const INCARNATION: TargetIncarnation = TargetIncarnation(7);

fn task() -> TaskId {
    TaskId::new(WorkId(1), Attempt(1))
}

fn start(tasks: &mut TaskRegistry, out: &mut Outbox) {
    let target = BoundTarget {
        instance: Default::default(),
        run: INCARNATION,
        address: (Ipv4Addr::LOCALHOST, 1).into(),
    };
    let request = StartTask {
        task: task(),
        entry: EntryId(1),
        run: INCARNATION,
        team: TeamId::default(),
        queue: QueueId::default(),
        lease_ms: 15_000,
        max_run_ms: 4_000,
        payload: Vec::new(),
    };
    tasks.start(request, target, out, &PolicyTimes::default());
}

/// Sends the check that is due at `now` and returns its call.
fn send_check(tasks: &mut TaskRegistry, out: &mut Outbox, now: Moment) -> (CallId, TargetRequest) {
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    actions.clear();
    out.now = now;
    tasks.pump(out);
    out.take_actions(&mut actions);
    match actions.pop() {
        Some(EntryAction::Target { call, request, .. }) => (call, request),
        action => panic!("expected a check call, got {action:?}"),
    }
}

fn never_started() -> TargetReply {
    TargetReply::Task(TaskReply {
        task: task(),
        run: INCARNATION,
        state: TaskState::NeverStarted,
        output: Vec::new(),
        output_bytes: 0,
        free_slots: SlotCount(1),
    })
}

// A stop requested while a query is in flight must not turn the query's "never started" into a
// proof: only a fence or stop call prevents a start that is still on its way.
#[test]
fn query_reply_does_not_rule_out_a_start_despite_a_later_stop_request() {
    let (mut tasks, mut out) = (TaskRegistry::default(), Outbox::new(1));
    start(&mut tasks, &mut out);
    let (query, request) = send_check(&mut tasks, &mut out, Moment::from_millis(1_500));
    assert_eq!(request, TargetRequest::Query(task()));
    tasks.request_stop(task(), Moment::from_millis(1_501));
    let completed = tasks.handle_reply(query, never_started(), &mut out, &PolicyTimes::default());
    assert!(completed.is_none(), "the start may still be in flight: {completed:?}");
}

#[test]
fn stop_reply_rules_out_a_start() {
    let (mut tasks, mut out) = (TaskRegistry::default(), Outbox::new(1));
    start(&mut tasks, &mut out);
    tasks.request_stop(task(), Moment::from_millis(1));
    let (stop, request) = send_check(&mut tasks, &mut out, Moment::from_millis(2));
    assert_eq!(request, TargetRequest::Stop(task()));
    let completed = tasks.handle_reply(stop, never_started(), &mut out, &PolicyTimes::default());
    assert_eq!(completed.map(|completed| completed.outcome), Some(TaskOutcome::NotStarted(None)));
}
