//! Tests of what calls from before an incarnation of a target do to it, and of what the leader concludes.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::CallFailure;
use magnoliapin_site::JobId;
use magnoliapin_site::RunCompletion;
use magnoliapin_site::RunId;
use magnoliapin_site::RunOutcome;
use magnoliapin_site::RunReport;
use magnoliapin_site::RunningTask;
use magnoliapin_site::StartRefusal;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;
use magnoliapin_site::TaskName;

use crate::leader::crashes::tests::job_row;
use crate::leader::crashes::tests::running;
use crate::leader::crashes::tests::task;
use crate::leader::crashes::tests::JOB;
use crate::leader::job::TaskState;
use crate::leader::previous_runs::tests::target_record;
use crate::leader::previous_runs::tests::FakeSite;
use crate::leader::registrations::TargetLoss;
use crate::leader::target::ClockReading;
use crate::leader::target::HeartbeatState;
use crate::leader::target::Run;
use crate::leader::target::RunStage;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::times::MAX_SERVICE_WAIT;
use crate::CallId;
use crate::NodeAction;

const KEY: TargetKey = TargetKey(77);
const RUN: RunId = RunId { task: task(JOB, 0), attempt: 1 };
const FIRST: u64 = 5;
const SECOND: u64 = 6;

/// A leader with a target that has one run and a heartbeat in progress.
struct LeaderFixture {
    leader: Leader,
    out: Outbox,
}

impl LeaderFixture {
    /// Creates a leader whose target has reported a run that `change` modifies.
    fn new(change: impl Fn(&mut Run)) -> Self {
        let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
        leader.add_job(JOB, job_row(false), None, false, &mut out);
        let target = Target::new(target_record("i-7", FIRST), out.now);
        leader.targets.insert(KEY, target.with_fence(leader.generation));
        leader.target_keys.insert(TargetName::new("i-7"), KEY);
        let mut fixture = Self { leader, out };
        fixture.answer(FIRST, &[]);
        let mut run = Run { start_sent_at: Some(fixture.out.now), ..running(1, fixture.out.now) };
        change(&mut run);
        fixture.target().add_run(RUN.task, run);
        let job = fixture.leader.job_keys[&JOB];
        let task = fixture.leader.jobs.get_mut(&job).and_then(|job| job.task_mut(RUN.task));
        let task = task.expect("the task is open");
        (task.state, task.attempt) = (TaskState::Placed(KEY), RUN.attempt);
        fixture
    }

    fn target(&mut self) -> &mut Target {
        self.leader.targets.get_mut(&KEY).expect("the target is known")
    }

    /// Returns the requests that are sent within 50 ms.
    fn requests(&mut self) -> Vec<(CallId, TargetRequest)> {
        self.out.now = self.out.now + Duration::from_millis(50);
        let now = self.out.now;
        self.leader.record_confirmation(now);
        self.leader.tick(&mut self.out);
        self.leader.finish_batch(&mut self.out);
        let mut actions = Vec::new();
        self.out.take_actions(&mut actions);
        let calls = actions.into_iter().filter_map(|action| match action {
            NodeAction::Target { call, request, .. } => Some((call, request)),
            _ => None,
        });
        calls.collect()
    }

    /// Answers the heartbeat that is due with a report of an incarnation. Returns its fence.
    fn answer(&mut self, started_at: u64, runs: &[RunId]) -> u64 {
        let is_heartbeat =
            |request: &TargetRequest| matches!(request, TargetRequest::Heartbeat { .. });
        let mut requests = self.requests().into_iter();
        let (call, request) =
            requests.find(|(_, request)| is_heartbeat(request)).expect("a heartbeat is due");
        self.reply(call, started_at, runs);
        request.fence()
    }

    fn reply(&mut self, call: CallId, started_at: u64, runs: &[RunId]) {
        let running = runs.iter().map(|run| RunningTask { run: *run, ..RunningTask::default() });
        let report = RunReport {
            clock_ms: 1_000,
            started_at: UnixMillis(started_at),
            running: running.collect(),
            ..RunReport::default()
        };
        self.leader.handle_target_reply(call, &TargetReply::Report(report), &mut self.out);
    }

    /// Lets the run go on for a while beside another one that has just started, so that the other one is
    /// the suspect should the target crash.
    fn let_run_settle(&mut self) {
        for _ in 0..6 {
            self.answer(FIRST, &[RUN]);
        }
        let suspect = TaskName { job: JobId(99), ..RUN.task };
        let now = self.out.now;
        self.target().add_run(suspect, running(1, now));
    }

    fn has_run(&self) -> bool {
        self.leader.targets.get(&KEY).is_some_and(|target| target.runs.contains_key(&RUN.task))
    }

    /// Lets no call be answered for a time.
    fn be_silent(&mut self, time: Duration) {
        let end = self.out.now + time;
        while self.out.now < end {
            for (call, _) in self.requests() {
                let reply = TargetReply::Failed(CallFailure::Unknown);
                self.leader.handle_target_reply(call, &reply, &mut self.out);
            }
        }
    }
}

/// Guards against a run that is started elsewhere while a start of it is still on its way, as its target
/// has restarted (review/7): until a report under a higher fence shows whether the run has begun there.
#[test]
fn runs_of_restarted_targets_wait_for_a_report_under_a_higher_fence() {
    for is_there in [false, true] {
        let mut site = LeaderFixture::new(|run| run.open_starts = 1);
        let before = site.answer(FIRST, &[RUN]);
        site.let_run_settle();
        assert_eq!(site.answer(SECOND, &[]), before);
        assert!(site.has_run(), "the report was requested under the earlier fence");
        let running: &[RunId] = if is_there { &[RUN] } else { &[] };
        assert!(site.answer(SECOND, running) > before);
        let run = site.target().runs.get(&RUN.task).map(|run| run.stage);
        let expected = if is_there { RunStage::Running } else { RunStage::Planned };
        assert_eq!(run, Some(expected), "it goes on, or starts there for the first time");
    }
}

/// A run whose only start was executed by the incarnation that listed it has ended with that one.
#[test]
fn runs_that_ended_with_their_incarnation_start_elsewhere() {
    let mut site = LeaderFixture::new(|_| {});
    site.answer(FIRST, &[RUN]);
    site.answer(SECOND, &[]);
    site.answer(SECOND, &[]);
    assert!(!site.has_run());
}

/// Guards against the same after a second restart, in which the target was silent at first.
#[test]
fn each_restart_raises_the_fence() {
    let mut site = LeaderFixture::new(|run| run.open_starts = 1);
    let before = site.answer(FIRST, &[RUN]);
    site.answer(SECOND, &[]);
    let raised = site.answer(SECOND, &[RUN]);
    site.answer(SECOND + 1, &[]);
    let twice_raised = site.answer(SECOND + 1, &[]);
    assert!(before < raised && raised < twice_raised);
    // Another incarnation that registers under the name of a removed target.
    site.leader.remove_target(KEY, TargetLoss::OtherLife, &mut site.out);
    site.leader.apply_record(target_record("i-7", SECOND + 2), &mut site.out);
    let again = site.leader.targets.values().find(|target| target.record.name.as_str() == "i-7");
    assert!(again.expect("the target is known").fence > twice_raised);
}

/// Guards against two runs of a task: a target restarts, gets a start, is leased for longer than the clock
/// of its earlier incarnation tells, and is cut off. Its runs are taken for lost too soon.
#[test]
fn runs_that_a_later_incarnation_may_have_outlast_the_lease_of_the_earlier_one() {
    let longest_lease = LeaderFixture::new(|_| {}).leader.identity.times.max_lease;
    for (is_listed, open_starts) in [(true, 1), (false, 0), (false, 1), (true, 0)] {
        let mut site = LeaderFixture::new(|run| {
            run.is_listed = is_listed;
            run.open_starts = open_starts;
        });
        site.target().lease_sent_at = Some(site.out.now);
        site.be_silent(longest_lease);
        // The longest lease of the later incarnation begins when the last call arrives.
        let is_confined = is_listed && open_starts == 0;
        site.be_silent(Duration::from_millis(1_000));
        assert_eq!(site.has_run(), !is_confined, "{is_listed} {open_starts}");
        site.be_silent(Duration::from_secs(13));
        assert!(!site.has_run());
    }
}

/// Guards against a lease that the leader takes for over: a call to the incarnation before, with a reading
/// of its clock, has extended it to the longest one.
#[test]
fn a_first_report_may_come_with_the_longest_lease() {
    let mut site = LeaderFixture::new(|_| {});
    let times = site.leader.identity.times;
    assert!(times.task_lease < times.max_lease);
    let now: Moment = site.out.now;
    assert!(!site.target().is_lease_expired(now + times.max_lease));
    assert!(site.target().is_lease_expired(now + times.max_lease + Duration::from_secs(1)));
}

/// Guards against replies to calls from before a restart that count for the new incarnation, and against a
/// leader that steps down because its own higher fence refuses them.
#[test]
fn replies_to_calls_from_before_a_restart_do_not_count() {
    let mut site = LeaderFixture::new(|run| run.stage = RunStage::Starting);
    site.leader.due_orders.push((KEY, RUN.task));
    let starts: Vec<CallId> = site
        .requests()
        .into_iter()
        .filter(|(_, request)| matches!(request, TargetRequest::Start { .. }))
        .map(|(call, _)| call)
        .collect();
    assert_eq!(starts.len(), 1);
    site.leader.replace_incarnation(KEY, target_record("i-7", SECOND), &mut site.out);
    let reason = StartRefusal::Fenced;
    let refusal = TargetReply::Refused { clock_ms: Some(1), reason };
    site.leader.handle_target_reply(starts[0], &refusal, &mut site.out);
    assert!(!site.leader.is_deposed() && site.has_run());
}

/// Guards against a start with a reading of an earlier incarnation's clock that is sent although another
/// one may reply by now.
#[test]
fn starts_wait_while_a_target_may_have_restarted() {
    let mut site = LeaderFixture::new(|run| run.stage = RunStage::Starting);
    site.target().is_same_incarnation = false;
    site.leader.due_orders.push((KEY, RUN.task));
    let requests = site.requests();
    assert!(!requests.iter().any(|(_, request)| matches!(request, TargetRequest::Start { .. })));
}

/// Guards against a task that starts elsewhere because the list shows its instance without a target, while
/// a late start may still begin it on the target's next incarnation.
#[test]
fn late_starts_of_targets_without_a_host_are_waited_for() {
    for (open_starts, loss, is_held) in [
        (1, TargetLoss::Unhosted, true),
        (1, TargetLoss::OtherLife, false),
        (0, TargetLoss::Unhosted, false),
    ] {
        let mut site = LeaderFixture::new(|run| run.open_starts = open_starts);
        let now = site.out.now;
        site.leader.remove_target(KEY, loss, &mut site.out);
        let job = &site.leader.jobs[&site.leader.job_keys[&JOB]];
        let task = job.task(RUN.task).expect("the task is open");
        assert_eq!(task.lost_at.is_some_and(|at| at > now), is_held, "{open_starts} {loss:?}");
    }
}

/// Guards against two runs of a long-running task (review/12): a start without a reply begins it on the next
/// incarnation of its target while it runs elsewhere. It must be at work again 9 s after its last run.
#[test]
fn late_starts_of_long_running_tasks_are_waited_for_within_their_bound() {
    for (open_starts, silent_for, expected_wait) in [
        // The last start that may arrive late has arrived.
        (1, Duration::from_secs(6), Duration::from_secs(6)),
        // The service would lack the task for too long.
        (1, Duration::ZERO, MAX_SERVICE_WAIT),
        // Each start has a reply.
        (0, Duration::ZERO, Duration::ZERO),
    ] {
        let mut site = LeaderFixture::new(|run| {
            run.is_long_running = true;
            run.open_starts = open_starts;
        });
        let sent_at = site.target().runs[&RUN.task].start_sent_at.expect("it was sent");
        site.out.now = sent_at + silent_for;
        let now = site.out.now;
        // The heartbeat that this report answers was sent long before.
        site.target().clock = Some(ClockReading { clock_ms: 1_000, read_at: now });
        site.leader.remove_target(KEY, TargetLoss::Unhosted, &mut site.out);
        let job = &site.leader.jobs[&site.leader.job_keys[&JOB]];
        let lost_at = job.task(RUN.task).and_then(|task| task.lost_at).expect("the run is lost");
        assert_eq!(lost_at.since(now), expected_wait, "{open_starts} {silent_for:?}");
        assert!(expected_wait < Duration::from_secs(9));
    }
}

/// Guards against a task that starts elsewhere although a start of it from before the first of two restarts
/// of its target may still begin it there.
#[test]
fn late_starts_are_waited_for_after_two_restarts() {
    for is_stopping in [false, true] {
        let mut site = LeaderFixture::new(|run| run.open_starts = 1);
        site.answer(FIRST, &[RUN]);
        site.let_run_settle();
        site.answer(SECOND, &[]);
        if is_stopping {
            // It is to run elsewhere, so that its target can be told from it as the cause of a crash.
            let run = site.target().runs.get_mut(&RUN.task).expect("the run is expected");
            run.stage = RunStage::Stopping;
        }
        site.answer(SECOND, &[]);
        assert_eq!(site.has_run(), !is_stopping);
        if !is_stopping {
            // The list shows its instance without a target before it is back once more.
            site.leader.remove_target(KEY, TargetLoss::Unhosted, &mut site.out);
        }
        let job = &site.leader.jobs[&site.leader.job_keys[&JOB]];
        let lost_at = job.task(RUN.task).and_then(|task| task.lost_at).expect("the run is lost");
        assert!(lost_at > site.out.now + Duration::from_secs(10), "{is_stopping}");
    }
}

/// Guards against a task that starts again right after it was done: a late start of an earlier attempt ends on
/// the target on which a later attempt is placed, and its start is not sent yet.
#[test]
fn completed_tasks_do_not_start_again_on_the_same_target() {
    let mut site = LeaderFixture::new(|run| {
        run.attempt = 2;
        run.stage = RunStage::Planned;
        run.is_sent = false;
        run.confirmed_at = None;
    });
    let job = site.leader.job_keys[&JOB];
    let task = site.leader.jobs.get_mut(&job).and_then(|job| job.task_mut(RUN.task));
    task.expect("the task is open").attempt = 2;
    let completion =
        RunCompletion { number: 1, run: RUN, outcome: RunOutcome::Done, checkpoint: None };
    site.leader.handle_completion(KEY, &completion, &mut site.out);
    let later = RunId { attempt: 2, ..RUN };
    site.leader.start_planned(KEY, later, &mut site.out);
    assert_eq!(site.target().runs[&RUN.task].stage, RunStage::Stopping);
}

/// Guards against completions that are lost with a stale acknowledgement: after a pause of the process, its
/// next heartbeat reaches an incarnation that has run something meanwhile.
#[test]
fn heartbeats_after_a_pause_acknowledge_nothing() {
    let mut site = LeaderFixture::new(|_| {});
    site.requests();
    site.out.now = site.out.now + Duration::from_secs(1);
    let now = site.out.now;
    let target = site.target();
    target.acked_completion = 4;
    target.heartbeat = HeartbeatState::Pausing(now);
    let mut acknowledged = Vec::new();
    for _ in 0..2 {
        for (call, request) in site.requests() {
            if let TargetRequest::Heartbeat { acked_completion, lease_until_ms, .. } = request {
                acknowledged.push((acked_completion, lease_until_ms.is_some()));
                site.reply(call, FIRST, &[RUN]);
            }
        }
    }
    assert_eq!(acknowledged, [(0, false), (4, true)]);
}

/// Guards against a target that is called under a fence which its earlier calls had as well, once a leader
/// has used up its fences.
#[test]
fn leaders_without_further_fences_release_their_lease() {
    let mut site = LeaderFixture::new(|_| {});
    let last = crate::fence::next_generation(site.leader.generation) - 1;
    // The heartbeat of the earlier incarnation is in progress.
    site.requests();
    site.target().fence = last;
    site.leader.replace_incarnation(KEY, target_record("i-7", SECOND), &mut site.out);
    let is_stop = |request: &TargetRequest| matches!(request, TargetRequest::Stop { .. });
    assert!(site.requests().iter().all(|(_, request)| is_stop(request)));
    assert!(site.leader.renewal.is_releasing);
}
