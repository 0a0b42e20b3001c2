//! Tests of applying registrations.

use std::time::Duration;

use magnoliapin_model::RowVersion;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::StoreReply;
use magnoliapin_site::TargetChange;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::TargetState;

use crate::leader::crashes::tests::job_row;
use crate::leader::crashes::tests::running;
use crate::leader::crashes::tests::task;
use crate::leader::crashes::tests::JOB;
use crate::leader::previous_runs::tests::target_record;
use crate::leader::previous_runs::tests::FakeSite;
use crate::leader::target::ClockReading;
use crate::leader::target::Run;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::watch::WatchUpdate;

/// Guards against a second run of a task while the first one goes on: the next incarnation of its target
/// has confirmed a repeated start of it, which is taken for lost with the incarnation before.
#[test]
fn runs_confirmed_after_the_last_report_stay_with_the_target() {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    leader.add_job(JOB, job_row(false), None, false, &mut out);
    let key = TargetKey(77);
    let mut target = Target::new(target_record("i-7", 1), out.now);
    let read_at = out.now + Duration::from_secs(1);
    target.clock = Some(ClockReading { clock_ms: 1, read_at });
    let confirmed_at = Some(read_at + Duration::from_millis(1));
    target.add_run(task(JOB, 0), Run { confirmed_at, ..running(1, out.now) });
    leader.targets.insert(key, target);
    out.now = out.now + Duration::from_secs(2);
    leader.replace_incarnation(key, target_record("i-7", 2), &mut out);
    assert!(leader.targets[&key].runs.contains_key(&task(JOB, 0)));
}

/// Guards against a target that is taken for ended, with all that it runs, because another writer's
/// registration names its instance and a start in the far future.
#[test]
fn registrations_from_the_future_replace_no_target() {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    leader.apply_record(target_record("i-7", 1), &mut out);
    let key = leader.target_keys[&TargetName::new("i-7")];
    for name in ["i-8", "i-7"] {
        let odd = TargetRecord {
            started_at: UnixMillis(u64::MAX),
            state: TargetState::Draining(Some(u64::MAX)),
            ..target_record(name, 1)
        };
        let changes = vec![TargetChange::Registered(odd)];
        let reply = StoreReply::Targets { changes, next: None, version: RowVersion(9) };
        leader.handle_registration_update(WatchUpdate::Changed(reply), &mut out);
        let target = leader.targets.get(&key).expect("the target is known");
        assert_eq!(target.started_at(), UnixMillis(1), "after an odd registration of {name}");
        assert_eq!(leader.targets.len(), 1);
    }
}

/// Guards against targets at full speed that count as cold again, because all registrations are read
/// again after changes were missed.
#[test]
fn a_registration_that_is_read_again_does_not_make_its_target_cold() {
    let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
    let cold_left = Duration::from_secs(3);
    let record = TargetRecord { cold_left, ..target_record("i-7", 1) };
    leader.apply_record(record.clone(), &mut out);
    let key = leader.target_keys[&TargetName::new("i-7")];
    let cold_until = leader.targets[&key].cold_until;
    assert_eq!(cold_until, out.now + cold_left);
    out.now = out.now + Duration::from_secs(60);
    leader.apply_record(record.clone(), &mut out);
    assert_eq!(leader.targets[&key].cold_until, cold_until);
    let cold_left = Duration::from_secs(1);
    leader.apply_record(TargetRecord { cold_left, ..record }, &mut out);
    assert_eq!(leader.targets[&key].cold_until, out.now + cold_left);
}
