//! Tests of the rules of evacuations.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::RunId;
use magnoliapin_site::SiteBounds;
use magnoliapin_site::TargetRequest;
use magnoliapin_site::ZoneName;

use super::may_move_out;
use super::may_send_start;
use crate::leader::crashes::tests::job_row;
use crate::leader::crashes::tests::job_row_with;
use crate::leader::crashes::tests::running;
use crate::leader::crashes::tests::task;
use crate::leader::crashes::tests::JOB;
use crate::leader::previous_runs::tests::target_record;
use crate::leader::previous_runs::tests::FakeSite;
use crate::leader::target::ClockReading;
use crate::leader::target::Run;
use crate::leader::target::RunStage;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::site_watch::EvacuatedZones;
use crate::watch::tests::site_bounds;
use crate::NodeAction;
use crate::NodeTimes;

const KEY: TargetKey = TargetKey(77);
const RUN: RunId = RunId { task: task(JOB, 0), attempt: 1 };
const BOUND: Duration = Duration::from_secs(5);

fn times(evacuation_time: Option<Duration>) -> NodeTimes {
    NodeTimes { evacuation_time, ..NodeTimes::new(&site_bounds()) }
}

/// Returns a leader of a site with evacuations, with one run on a target in zone `zone`.
fn lead_with_run(stage: RunStage, is_sent: bool) -> (Leader, Outbox) {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    leader.identity.times.evacuation_time = Some(BOUND);
    leader.add_job(JOB, job_row(false), None, false, &mut out);
    let mut target = Target::new(target_record("i-7", 1), out.now);
    target.clock = Some(ClockReading { clock_ms: 1, read_at: out.now });
    target.is_same_incarnation = true;
    let run = Run { stage, is_sent, confirmed_at: None, ..running(1, out.now) };
    target.add_run(RUN.task, run);
    leader.targets.insert(KEY, target);
    let now = out.now;
    leader.record_confirmation(now);
    (leader, out)
}

fn set_zones(leader: &mut Leader, zones: &[&str], known_at: Moment) {
    let zones = zones.iter().map(|zone| ZoneName::new(zone)).collect();
    leader.set_evacuated_zones(&EvacuatedZones { zones, known_at: Some(known_at) }, known_at);
}

/// Returns the numbers of starts and stops that have been sent.
fn sent_orders(out: &mut Outbox) -> (usize, usize) {
    let mut actions = Vec::new();
    out.take_actions(&mut actions);
    let count = |is_wanted: fn(&TargetRequest) -> bool| {
        let requests = actions.iter().filter_map(|action| match action {
            NodeAction::Target { request, .. } => Some(request),
            _ => None,
        });
        requests.filter(|request| is_wanted(request)).count()
    };
    let starts = count(|request| matches!(request, TargetRequest::Start { .. }));
    (starts, count(|request| matches!(request, TargetRequest::Stop { .. })))
}

/// Guards against a leader that holds all starts of a healthy site because its settings have a short bound,
/// and against other intervals on sites with the usual one or none.
#[test]
fn short_bounds_leave_time_between_two_replies_of_the_watch() {
    let times = |bound_ms: Option<u64>| {
        let evacuation_time = bound_ms.map(Duration::from_millis);
        NodeTimes::new(&SiteBounds { evacuation_time, ..site_bounds() })
    };
    assert_eq!(times(None).watch_wait, times(Some(5_000)).watch_wait);
    for bound_ms in [1, 1_500, 2_500, 3_500, 5_000] {
        let times = times(Some(bound_ms));
        // A reply shows the rows as of when its call was sent, and the next call waits as long again.
        let known_at = Moment::from_millis(10_000);
        let now = known_at + times.watch_wait * 2;
        assert!(may_send_start(now, Some(known_at), &times), "{bound_ms}");
    }
}

/// Guards against starts that are sent so late after the last contact that they begin after the bound of
/// an evacuation that is not known, and against starts that wait while the store is only slow.
#[test]
fn starts_are_sent_while_no_unknown_evacuation_can_be_over_its_bound() {
    let known_at = Moment::START + Duration::from_secs(10);
    let sent = |age_ms| {
        let now = known_at + Duration::from_millis(age_ms);
        may_send_start(now, Some(known_at), &times(Some(BOUND)))
    };
    assert!(sent(0) && sent(2_700));
    let transit = times(None).order_timeout;
    assert!(!sent((BOUND - transit).as_millis() as u64) && !sent(60_000));
    assert!(!may_send_start(known_at, None, &times(Some(BOUND))));
}

/// Guards against starts that wait on sites without evacuations.
#[test]
fn without_a_bound_starts_never_wait() {
    assert!(may_send_start(Moment::START + BOUND * 9, Some(Moment::START), &times(None)));
    assert!(may_send_start(Moment::START, None, &times(None)));
}

/// Guards against services that are interrupted without room elsewhere, all at once, or in part.
#[test]
fn long_running_tasks_move_out_only_into_room() {
    assert!(may_move_out(0, Some(1), None, 1) && may_move_out(1, Some(2), None, 1));
    assert!(!may_move_out(0, Some(1), None, 0));
    assert!(may_move_out(0, None, None, 1) && !may_move_out(1, None, None, 5));
    assert!(may_move_out(0, None, Some(3), 3) && !may_move_out(0, None, Some(3), 2));
    assert!(!may_move_out(0, Some(1), Some(3), 9) && may_move_out(0, Some(3), Some(3), 3));
}

/// Guards against a run that waits for its record, or for a reply that shows the zones, and then starts.
#[test]
fn runs_that_were_not_sent_are_dropped() {
    for stage in [RunStage::Planned, RunStage::Starting] {
        let (mut leader, mut out) = lead_with_run(stage, false);
        let now = out.now;
        set_zones(&mut leader, &["zone"], now);
        leader.due_orders.push((KEY, RUN.task));
        leader.poll_zones(&mut out);
        leader.poll_orders(&mut out);
        leader.start_planned(KEY, RUN, &mut out);
        assert_eq!(sent_orders(&mut out), (0, 0), "{stage:?}");
        assert!(leader.targets[&KEY].runs.is_empty(), "{stage:?}");
    }
}

/// Guards against a start without a reply that is repeated in the zone, and against a second run of its
/// task elsewhere.
#[test]
fn starts_without_a_reply_are_resolved_by_a_stop() {
    let (mut leader, mut out) = lead_with_run(RunStage::Starting, true);
    let now = out.now;
    set_zones(&mut leader, &["zone"], now);
    leader.due_orders.push((KEY, RUN.task));
    leader.poll_orders(&mut out);
    leader.poll_orders(&mut out);
    assert_eq!(sent_orders(&mut out), (0, 1));
    assert_eq!(leader.targets[&KEY].runs[&RUN.task].stage, RunStage::Stopping);
}

/// Guards against runs that are interrupted although they end by themselves.
#[test]
fn tasks_that_end_by_themselves_finish_in_the_zone() {
    let (mut leader, mut out) = lead_with_run(RunStage::Running, true);
    let now = out.now;
    set_zones(&mut leader, &["zone"], now);
    leader.poll_zones(&mut out);
    leader.poll_orders(&mut out);
    assert_eq!(sent_orders(&mut out), (0, 0));
    assert_eq!(leader.targets[&KEY].runs[&RUN.task].stage, RunStage::Running);
}

/// Guards against starts by a leader that has not heard of the zones for a while, and against starts that
/// are not sent once it has. The evacuation of another zone has no effect.
#[test]
fn starts_wait_until_the_zones_are_known() {
    let (mut leader, mut out) = lead_with_run(RunStage::Planned, false);
    let now = out.now;
    leader.start_planned(KEY, RUN, &mut out);
    assert_eq!(sent_orders(&mut out), (0, 0));
    set_zones(&mut leader, &["other"], now);
    out.now = out.now + Duration::from_millis(200);
    leader.poll_orders(&mut out);
    assert_eq!(sent_orders(&mut out), (1, 0));
}

/// Guards against pools that are not dispatched when a zone returns.
#[test]
fn pools_are_dispatched_when_a_zone_returns() {
    let (mut leader, out) = lead_with_run(RunStage::Running, true);
    set_zones(&mut leader, &["zone"], out.now);
    let pool = leader.targets[&KEY].record.pool.clone();
    leader.mark_for_dispatch(&pool);
    leader.pools[&pool].needs_dispatch = false;
    set_zones(&mut leader, &[], out.now);
    assert!(leader.pools[&pool].needs_dispatch);
}

/// Guards against long-running tasks that stay in the zone, because a task that does not start again
/// counts as one that needs the room outside.
#[test]
fn tasks_that_are_given_up_need_no_room() {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    leader.add_job(JOB, job_row_with(2, true), None, false, &mut out);
    let mut target = Target::new(target_record("i-7", 1), out.now);
    target.has_reported = true;
    target.is_same_incarnation = true;
    target.last_contact_at = out.now;
    leader.targets.insert(KEY, target);
    let job_key = leader.job_keys[&JOB];
    let pool = leader.jobs[&job_key].pool.clone();
    leader.pools.entry(pool.clone()).or_default().targets.insert(KEY);
    let candidates = leader.candidate_targets(&pool, out.now);
    assert_eq!(leader.count_competitors(&pool, &candidates), 2);
    for attempt in 1..=5 {
        let mut crashed = Target::new(target_record("i-9", u64::from(attempt)), out.now);
        let run = Run { is_long_running: true, is_isolated: true, ..running(attempt, out.now) };
        crashed.add_run(RUN.task, run);
        leader.record_crash(&crashed, &mut out);
    }
    assert_eq!(leader.count_competitors(&pool, &candidates), 1);
}

/// Guards against a cold target that is treated like the others, and against one that is treated
/// differently on a site without evacuations.
#[test]
fn targets_are_cold_only_where_zones_may_be_evacuated() {
    let (mut leader, out) = lead_with_run(RunStage::Running, true);
    let mut record = target_record("i-8", 1);
    record.cold_left = Duration::from_secs(3);
    let target = Target::new(record, out.now);
    assert_eq!(leader.cold_starts_left(&target, out.now), Some(u32::MAX));
    assert_eq!(leader.cold_starts_left(&target, out.now + Duration::from_secs(3)), None);
    leader.identity.times.evacuation_time = None;
    assert_eq!(leader.cold_starts_left(&target, out.now), None);
}
