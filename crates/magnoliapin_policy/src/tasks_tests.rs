//! When an attempt counts as never started.

use std::net::Ipv4Addr;

use magnoliapin_model::Attempt;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::QueueId;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetRun;
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
use crate::tasks::TaskBook;
use crate::tasks::TaskVerdict;
use crate::CallId;
use crate::EntryAction;
use crate::PolicyTimes;

const RUN: TargetRun = TargetRun(7);

fn task() -> TaskId {
    TaskId::new(WorkId(1), Attempt(1))
}

fn start(book: &mut TaskBook, out: &mut Outbox) {
    let target = BoundTarget {
        instance: Default::default(),
        run: RUN,
        address: (Ipv4Addr::LOCALHOST, 1).into(),
    };
    let request = StartTask {
        task: task(),
        entry: EntryId(1),
        run: RUN,
        team: TeamId::default(),
        queue: QueueId::default(),
        lease_ms: 15_000,
        max_run_ms: 4_000,
        payload: Vec::new(),
    };
    book.start(request, target, out, &PolicyTimes::default());
}

/// Lets the book ask and returns its question.
fn ask(book: &mut TaskBook, out: &mut Outbox, now: Moment) -> (CallId, TargetRequest) {
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    actions.clear();
    out.now = now;
    book.pump(out);
    out.take_actions(&mut actions);
    match actions.pop() {
        Some(EntryAction::Target { call, request, .. }) => (call, request),
        other => panic!("no question but {other:?}"),
    }
}

fn never_started() -> TargetReply {
    TargetReply::Task(TaskReply {
        task: task(),
        run: RUN,
        state: TaskState::NeverStarted,
        output: Vec::new(),
        output_bytes: 0,
        free_slots: SlotCount(1),
    })
}

#[test]
fn an_answer_to_a_query_proves_nothing_although_a_stop_was_asked_for_meanwhile() {
    let (mut book, mut out) = (TaskBook::default(), Outbox::new(1));
    start(&mut book, &mut out);
    let (query, request) = ask(&mut book, &mut out, Moment::from_millis(1_500));
    assert_eq!(request, TargetRequest::Query(task()));
    book.stop_once(task(), Moment::from_millis(1_501));
    let end = book.take_reply(query, never_started(), &mut out, &PolicyTimes::default());
    assert!(end.is_none(), "the start may still be on its way: {end:?}");
}

#[test]
fn an_answer_to_a_stop_proves_that_the_task_never_starts() {
    let (mut book, mut out) = (TaskBook::default(), Outbox::new(1));
    start(&mut book, &mut out);
    book.stop_once(task(), Moment::from_millis(1));
    let (stop, request) = ask(&mut book, &mut out, Moment::from_millis(2));
    assert_eq!(request, TargetRequest::Stop(task()));
    let end = book.take_reply(stop, never_started(), &mut out, &PolicyTimes::default());
    assert_eq!(end.map(|end| end.verdict), Some(TaskVerdict::NotStarted(None)));
}
