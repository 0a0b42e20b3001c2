//! Tests of the questions about attempts that run.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::Attempt;
use magnoliapin_model::EntryId;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::QueueId;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetRun;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_wire::rows::BoundTarget;
use magnoliapin_wire::EntryTasks;
use magnoliapin_wire::StartTask;
use magnoliapin_wire::TargetRequest;
use magnoliapin_wire::TaskReply;
use magnoliapin_wire::TaskState;

use crate::outbox::Outbox;
use crate::tasks::TaskBook;
use crate::EntryAction;
use crate::PolicyTimes;

const RUN: TargetRun = TargetRun(3);

fn task() -> TaskId {
    TaskId::new(WorkId(7), Attempt(1))
}

fn start_task(out: &mut Outbox, times: &PolicyTimes) -> TaskBook {
    let mut book = TaskBook::default();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let target = BoundTarget { instance: InstanceId::default(), run: RUN, address };
    let request = StartTask {
        task: task(),
        entry: EntryId(1),
        run: RUN,
        team: TeamId::default(),
        queue: QueueId::default(),
        lease_ms: 15_000,
        max_run_ms: 60_000,
        payload: Vec::new(),
    };
    book.start(request, target, out, times);
    book
}

fn renewal(run: TargetRun, state: TaskState) -> EntryTasks {
    let reply = TaskReply {
        task: task(),
        run,
        state,
        output: Vec::new(),
        output_bytes: 0,
        free_slots: SlotCount(7),
    };
    EntryTasks { run, leaving: false, free_slots: SlotCount(7), tasks: vec![reply] }
}

/// Returns how many questions the book asks when it is pumped at a time.
fn questions_at(book: &mut TaskBook, out: &mut Outbox, now: Moment) -> usize {
    out.now = now;
    book.pump(out);
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    let is_question = |action: &EntryAction| {
        let EntryAction::Target { request, .. } = action else { return false };
        matches!(request, TargetRequest::Query(_))
    };
    actions.iter().filter(|action| is_question(action)).count()
}

#[test]
fn a_task_whose_lease_is_renewed_is_not_asked_about() {
    let (mut out, times) = (Outbox::new(1), PolicyTimes::default());
    let mut book = start_task(&mut out, &times);
    let mut asked = 0;
    for step in 0..300 {
        let now = Moment::from_millis(step * 100);
        if now.0.is_multiple_of(2_000_000) {
            book.note_renewal(&renewal(RUN, TaskState::Running), now, &times);
        }
        asked += questions_at(&mut book, &mut out, now);
    }
    assert_eq!(asked, 0);
}

#[test]
fn a_task_is_asked_about_when_its_renewals_stop() {
    let (mut out, times) = (Outbox::new(1), PolicyTimes::default());
    let mut book = start_task(&mut out, &times);
    book.note_renewal(&renewal(RUN, TaskState::Running), Moment::START, &times);
    let due = Moment::START + times.renew_interval + times.silence;
    assert_eq!(questions_at(&mut book, &mut out, due.before(Duration::from_millis(1))), 0);
    assert_eq!(questions_at(&mut book, &mut out, due), 1);
}

#[test]
fn a_renewal_that_lists_an_end_or_another_run_puts_no_question_off() {
    for renewal in [renewal(RUN, TaskState::Finished), renewal(TargetRun(4), TaskState::Running)] {
        let (mut out, times) = (Outbox::new(1), PolicyTimes::default());
        let mut book = start_task(&mut out, &times);
        book.note_renewal(&renewal, Moment::START, &times);
        assert_eq!(questions_at(&mut book, &mut out, Moment::START + times.silence), 1);
    }
}
