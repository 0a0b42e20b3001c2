//! Tests of when running attempts are queried.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::Attempt;
use magnoliapin_model::EntryId;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::QueueId;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetIncarnation;
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
use crate::tasks::TaskRegistry;
use crate::EntryAction;
use crate::PolicyTimes;

const INCARNATION: TargetIncarnation = TargetIncarnation(3);

fn task() -> TaskId {
    TaskId::new(WorkId(7), Attempt(1))
}

fn start_task(out: &mut Outbox, times: &PolicyTimes) -> TaskRegistry {
    let mut tasks = TaskRegistry::default();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let target = BoundTarget { instance: InstanceId::default(), run: INCARNATION, address };
    let request = StartTask {
        task: task(),
        entry: EntryId(1),
        run: INCARNATION,
        team: TeamId::default(),
        queue: QueueId::default(),
        lease_ms: 15_000,
        max_run_ms: 60_000,
        payload: Vec::new(),
    };
    tasks.start(request, target, out, times);
    tasks
}

fn renewal(incarnation: TargetIncarnation, state: TaskState) -> EntryTasks {
    let reply = TaskReply {
        task: task(),
        run: incarnation,
        state,
        output: Vec::new(),
        output_bytes: 0,
        free_slots: SlotCount(7),
    };
    EntryTasks { run: incarnation, leaving: false, free_slots: SlotCount(7), tasks: vec![reply] }
}

/// Returns the number of queries that are sent at `now`.
fn queries_at(tasks: &mut TaskRegistry, out: &mut Outbox, now: Moment) -> usize {
    out.now = now;
    tasks.pump(out);
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    let is_query = |action: &EntryAction| {
        let EntryAction::Target { request, .. } = action else { return false };
        matches!(request, TargetRequest::Query(_))
    };
    actions.iter().filter(|action| is_query(action)).count()
}

#[test]
fn renewed_task_is_not_queried() {
    let (mut out, times) = (Outbox::new(1), PolicyTimes::default());
    let mut tasks = start_task(&mut out, &times);
    let mut queries = 0;
    for step in 0..300 {
        let now = Moment::from_millis(step * 100);
        if now.0.is_multiple_of(2_000_000) {
            tasks.handle_renewal(&renewal(INCARNATION, TaskState::Running), now, &times);
        }
        queries += queries_at(&mut tasks, &mut out, now);
    }
    assert_eq!(queries, 0);
}

#[test]
fn task_is_queried_when_its_renewals_stop() {
    let (mut out, times) = (Outbox::new(1), PolicyTimes::default());
    let mut tasks = start_task(&mut out, &times);
    tasks.handle_renewal(&renewal(INCARNATION, TaskState::Running), Moment::START, &times);
    let due = Moment::START + times.renew_interval + times.reply_timeout;
    assert_eq!(queries_at(&mut tasks, &mut out, due.before(Duration::from_millis(1))), 0);
    assert_eq!(queries_at(&mut tasks, &mut out, due), 1);
}

#[test]
fn renewal_with_completion_or_other_incarnation_does_not_delay_query() {
    for renewal in [
        renewal(INCARNATION, TaskState::Finished),
        renewal(TargetIncarnation(4), TaskState::Running),
    ] {
        let (mut out, times) = (Outbox::new(1), PolicyTimes::default());
        let mut tasks = start_task(&mut out, &times);
        tasks.handle_renewal(&renewal, Moment::START, &times);
        assert_eq!(queries_at(&mut tasks, &mut out, Moment::START + times.reply_timeout), 1);
    }
}
