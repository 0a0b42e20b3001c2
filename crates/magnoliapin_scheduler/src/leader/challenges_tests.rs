//! Tests of the evidence that ends an incarnation of a target.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::CallFailure;
use magnoliapin_site::InstanceName;
use magnoliapin_site::InstancePage;
use magnoliapin_site::InstanceRecord;
use magnoliapin_site::InstanceReply;
use magnoliapin_site::InstanceState;
use magnoliapin_site::PoolName;
use magnoliapin_site::Resources;
use magnoliapin_site::RunId;
use magnoliapin_site::RunReport;
use magnoliapin_site::RunningTask;
use magnoliapin_site::SiteConfig;
use magnoliapin_site::StoreReply;
use magnoliapin_site::TargetChange;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::TargetReply;
use magnoliapin_site::ZoneName;

use crate::leader::crashes::tests::job_row;
use crate::leader::crashes::tests::running;
use crate::leader::crashes::tests::task;
use crate::leader::crashes::tests::JOB;
use crate::leader::fleet::Fleet;
use crate::leader::job::TaskState;
use crate::leader::previous_runs::tests::target_record;
use crate::leader::previous_runs::tests::FakeSite;
use crate::leader::target::Target;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::site_watch::EvacuatedZones;
use crate::watch::WatchUpdate;
use crate::NodeAction;

const RUN: RunId = RunId { task: task(JOB, 0), attempt: 1 };
const TICK: Duration = Duration::from_millis(20);
/// Longest time for which a service may lack a task after its last run, as the users' rules state it.
const MAX_ABSENCE: Duration = Duration::from_secs(9);

/// A leader whose one run is on target i-7, and the targets that answer it.
struct ChallengeSite {
    leader: Leader,
    out: Outbox,
    /// Start of the incarnation that answers under each name, and the port at which it does.
    answering: IndexMap<TargetName, (u64, u16)>,
    /// Port at which a target with another name replies.
    other_name_at: Option<u16>,
    /// Calls without an answer, and when they time out; `None` if they fail at once.
    timeout: Option<Duration>,
    pending: Vec<(Moment, crate::CallId)>,
    /// Target that the list shows on the instance of i-7, and the one on another instance.
    listed: (Option<&'static str>, Option<&'static str>),
}

impl ChallengeSite {
    fn new() -> Self {
        let (mut leader, mut out) = FakeSite::default().lead(Duration::from_secs(2));
        leader.add_job(JOB, job_row(false), None, false, &mut out);
        let mut site = Self {
            leader,
            out,
            answering: IndexMap::new(),
            other_name_at: None,
            timeout: None,
            pending: Vec::new(),
            listed: (Some("i-7"), None),
        };
        site.answering.insert(TargetName::new("i-7"), (5, 1));
        site.register(target_record("i-7", 5));
        site.pass(Duration::from_millis(200));
        let key = site.leader.target_keys[&TargetName::new("i-7")];
        let now = site.out.now;
        let target = site.leader.targets.get_mut(&key).expect("the target is known");
        target.add_run(RUN.task, running(RUN.attempt, now));
        let job = site.leader.job_keys[&JOB];
        let task = site.leader.jobs.get_mut(&job).and_then(|job| job.task_mut(RUN.task));
        let task = task.expect("the task is open");
        (task.state, task.attempt) = (TaskState::Placed(key), RUN.attempt);
        site.pass(Duration::from_millis(200));
        site
    }

    fn register(&mut self, record: TargetRecord) {
        self.change(TargetChange::Registered(record));
    }

    fn change(&mut self, change: TargetChange) {
        let version = RowVersion(9);
        let reply = StoreReply::Targets { changes: vec![change], next: None, version };
        self.leader.handle_registration_update(WatchUpdate::Changed(reply), &mut self.out);
    }

    fn list(&self) -> InstanceReply {
        let record = |name: &str, target: Option<&str>| InstanceRecord {
            name: InstanceName::new(name),
            pool: PoolName::new("pool"),
            state: InstanceState::Up,
            zone: ZoneName::new("zone"),
            labels: Vec::new(),
            capacity: Resources::NONE,
            target: target.map(TargetName::new),
        };
        let instances = vec![record("m-1", self.listed.0), record("m-2", self.listed.1)];
        InstanceReply::Page(InstancePage { instances, next: None, unreadable: Vec::new() })
    }

    fn report(&self, name: &TargetName, address: SocketAddr) -> Option<TargetReply> {
        if self.other_name_at == Some(address.port()) {
            return Some(TargetReply::OtherIncarnation);
        }
        let (started_at, _) =
            self.answering.get(name).filter(|(_, port)| *port == address.port())?;
        let has_run = name.as_str() == "i-7" && *started_at == 5;
        let running = has_run.then_some(RunningTask { run: RUN, ..RunningTask::default() });
        Some(TargetReply::Report(RunReport {
            clock_ms: self.out.now.0 / 1_000,
            started_at: UnixMillis(*started_at),
            running: running.into_iter().collect(),
            ..RunReport::default()
        }))
    }

    /// Lets time pass, in which the targets and the instance service answer.
    fn pass(&mut self, time: Duration) {
        let end = self.out.now + time;
        while self.out.now < end {
            self.out.now = self.out.now + TICK;
            let now = self.out.now;
            self.leader.record_confirmation(now);
            self.leader.tick(&mut self.out);
            self.leader.finish_batch(&mut self.out);
            for (_, call) in self.pending.extract_if(.., |(at, _)| *at <= now) {
                let reply = TargetReply::Failed(CallFailure::Unknown);
                self.leader.handle_target_reply(call, &reply, &mut self.out);
            }
            let mut actions = Vec::new();
            self.out.take_actions(&mut actions);
            for action in actions {
                match action {
                    NodeAction::Target { call, target, address, .. } => {
                        let reply = self.report(&target, address);
                        match (reply, self.timeout) {
                            (Some(reply), _) => {
                                self.leader.handle_target_reply(call, &reply, &mut self.out);
                            }
                            (None, Some(timeout)) => self.pending.push((now + timeout, call)),
                            (None, None) => {
                                let reply = TargetReply::Failed(CallFailure::NotDone);
                                self.leader.handle_target_reply(call, &reply, &mut self.out);
                            }
                        }
                    }
                    NodeAction::Instances { call, .. } => {
                        let reply = self.list();
                        self.leader.handle_instance_reply(call, &reply, &mut self.out);
                    }
                    _ => {}
                }
            }
        }
    }

    fn target(&self, name: &str) -> &Target {
        &self.leader.targets[&self.leader.target_keys[&TargetName::new(name)]]
    }

    /// Returns whether the run is still taken to be on target i-7, so that its task starts nowhere else.
    fn has_run(&self) -> bool {
        let key = self.leader.target_keys.get(&TargetName::new("i-7"));
        let target = key.and_then(|key| self.leader.targets.get(key));
        target.is_some_and(|target| target.runs.contains_key(&RUN.task))
    }
}

/// Guards against tasks that start again beside their runs (review/11): an entry of another writer names the
/// instance of their target and a later start, and nobody answers at its address.
#[test]
fn registrations_without_an_answer_end_no_target_of_their_instance() {
    let mut site = ChallengeSite::new();
    site.register(target_record("exporter-1", 8));
    assert!(site.has_run());
    site.pass(Duration::from_secs(3));
    assert!(site.has_run());
    // Neither does its removal, or another entry.
    site.change(TargetChange::Removed(TargetName::new("exporter-1")));
    site.register(target_record("exporter-2", 9));
    site.pass(Duration::from_secs(3));
    assert!(site.has_run());
}

/// Guards against the same where the entry was made under the name of another target, which answers.
#[test]
fn targets_that_answer_are_not_ended_by_a_later_one_on_their_instance() {
    for listed in [(None, None), (Some("i-7"), None), (Some("i-7"), Some("i-8"))] {
        let mut site = ChallengeSite::new();
        site.listed = listed;
        site.answering.insert(TargetName::new("i-8"), (8, 1));
        site.register(target_record("i-8", 8));
        site.pass(Duration::from_secs(3));
        assert!(site.has_run(), "{listed:?}");
    }
}

/// Guards against the same while the first target does not answer for a while: the list shows the later one on
/// another instance.
#[test]
fn targets_that_the_list_shows_elsewhere_end_no_target() {
    let mut site = ChallengeSite::new();
    site.listed = (Some("i-7"), Some("i-8"));
    site.pass(Duration::from_secs(1));
    site.answering.insert(TargetName::new("i-8"), (8, 1));
    site.answering.swap_remove(&TargetName::new("i-7"));
    site.timeout = Some(Duration::from_millis(700));
    site.register(target_record("i-8", 8));
    site.pass(Duration::from_secs(3));
    assert!(site.has_run());
}

/// Guards against the same while the first target is cut off for a while and no list tells where the other is.
#[test]
fn targets_that_are_silent_for_a_moment_are_not_ended() {
    let mut site = ChallengeSite::new();
    site.listed = (None, None);
    site.timeout = Some(Duration::from_millis(300));
    site.answering.insert(TargetName::new("i-8"), (8, 1));
    site.answering.swap_remove(&TargetName::new("i-7"));
    site.register(target_record("i-8", 8));
    site.pass(Duration::from_secs(2));
    assert!(site.has_run());
}

/// Guards against a run that is taken for ended after a takeover, since its row names the instance that another
/// writer's entry had stated: the list shows that instance with another target.
#[test]
fn the_list_corrects_the_instance_of_a_target() {
    let mut site = ChallengeSite::new();
    let name = TargetName::new("i-8");
    site.answering.insert(name.clone(), (8, 1));
    site.register(target_record("i-8", 8));
    site.pass(Duration::from_millis(100));
    let key = site.leader.target_keys[&name];
    site.leader.targets.get_mut(&key).expect("the target is known").has_row = true;
    site.listed = (Some("i-7"), Some("i-8"));
    site.pass(Duration::from_millis(600));
    let instance = InstanceName::new("m-2");
    assert_eq!(site.target("i-8").record.instance.as_ref(), Some(&instance));
    assert_eq!(site.leader.hosts.targets_of(&instance), [key]);
}

/// Guards against tasks that wait for the longest lease although their target was replaced on its instance,
/// which no list shows. The target before may refuse connections, or not answer at all.
#[test]
fn replaced_targets_end_soon_after_their_successor_has_answered() {
    for timeout in [None, Some(Duration::from_millis(700))] {
        let mut site = ChallengeSite::new();
        site.listed = (None, None);
        site.timeout = timeout;
        site.answering.swap_remove(&TargetName::new("i-7"));
        site.answering.insert(TargetName::new("i-8"), (8, 1));
        site.register(target_record("i-8", 8));
        let began_at = site.out.now;
        while site.has_run() && site.out.now < began_at + Duration::from_secs(30) {
            site.pass(TICK);
        }
        let waited = site.out.now.since(began_at);
        assert!(waited < MAX_ABSENCE, "{timeout:?}: {waited:?}");
    }
}

/// Guards against maintenance or a move of an instance in use: an entry of another writer, which started later
/// and runs nothing, was taken for the target that the instance hosts.
#[test]
fn instances_in_use_are_not_vacant_because_of_another_entry() {
    let instance = InstanceName::new("m-1");
    for listed in [(Some("i-7"), None), (None, None)] {
        let mut site = ChallengeSite::new();
        site.listed = listed;
        site.pass(Duration::from_secs(1));
        site.register(target_record("exporter-1", 8));
        for _ in 0..2 {
            assert!(!site.leader.is_vacant(&instance), "{listed:?}");
            let hosted = site.leader.hosted_target(&instance);
            assert_eq!(hosted, Some(site.leader.target_keys[&TargetName::new("i-7")]));
            site.pass(Duration::from_secs(1));
        }
    }
}

/// Returns the registration of target i-7 with another start, at another port.
fn moved_record(started_at: u64) -> TargetRecord {
    let address = "127.0.0.1:2".parse().expect("an address");
    TargetRecord { address, ..target_record("i-7", started_at) }
}

/// Guards against tasks that start again while their runs go on for seconds: an entry of another writer under
/// the name of their target states a later start, and an address at which nobody answers.
#[test]
fn registrations_without_an_answer_end_no_incarnation_of_their_name() {
    let mut site = ChallengeSite::new();
    for record in [moved_record(8), target_record("i-7", 9), moved_record(2)] {
        site.register(record);
        assert!(site.has_run());
        site.pass(Duration::from_secs(3));
        let target = site.target("i-7");
        assert!(target.runs[&RUN.task].is_listed && target.failed_heartbeats == 0);
    }
}

/// Guards against the same while the target does not answer for a while: its runs last as long as its lease,
/// and it is in contact again once its own registration is back.
#[test]
fn runs_outlast_a_registration_of_their_targets_name() {
    let mut site = ChallengeSite::new();
    site.answering.swap_remove(&TargetName::new("i-7"));
    site.pass(Duration::from_secs(1));
    site.register(moved_record(8));
    site.pass(Duration::from_secs(2));
    assert!(site.has_run());
    site.answering.insert(TargetName::new("i-7"), (5, 1));
    site.register(target_record("i-7", 5));
    site.pass(Duration::from_secs(10));
    let target = site.target("i-7");
    assert!(target.has_reported && target.runs[&RUN.task].is_listed);
}

/// Guards against a job that fails for a crash that its target has not had: while that does not answer, an entry
/// of another writer under its name states a later start. If that one answers, the crash counts.
#[test]
fn crashes_are_charged_once_the_next_incarnation_answers() {
    for (started_at, port, expected) in [(5, 1, 0), (8, 2, 1)] {
        let mut site = ChallengeSite::new();
        site.answering.swap_remove(&TargetName::new("i-7"));
        site.pass(Duration::from_secs(1));
        site.register(moved_record(8));
        site.pass(Duration::from_secs(1));
        let crashes = |site: &ChallengeSite| {
            let job = &site.leader.jobs[&site.leader.job_keys[&JOB]];
            job.task(RUN.task).expect("the task is open").crashes.len()
        };
        assert_eq!(crashes(&site), 0);
        site.answering.insert(TargetName::new("i-7"), (started_at, port));
        if port == 1 {
            site.register(target_record("i-7", 5));
        }
        site.pass(Duration::from_secs(1));
        assert!(site.target("i-7").has_reported);
        assert_eq!(crashes(&site), expected);
    }
}

/// Guards against tasks that wait for a lease although their target has started again under its name, there or
/// at another address. The incarnation before may refuse connections, or not answer at all.
#[test]
fn restarted_targets_lose_their_runs_soon() {
    for (timeout, port) in [(None, 1), (None, 2), (Some(Duration::from_millis(700)), 2)] {
        let mut site = ChallengeSite::new();
        site.listed = (None, None);
        site.timeout = timeout;
        site.answering.insert(TargetName::new("i-7"), (8, port));
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        site.register(TargetRecord { address, ..target_record("i-7", 8) });
        let began_at = site.out.now;
        while site.has_run() && site.out.now < began_at + Duration::from_secs(30) {
            site.pass(TICK);
        }
        let waited = site.out.now.since(began_at);
        assert!(waited < MAX_ABSENCE, "{timeout:?} {port}: {waited:?}");
    }
}

/// Guards against a target that no leader can use any more, because the last entry under its name states a
/// later start than it has.
#[test]
fn reports_correct_the_start_of_a_registration() {
    let mut site = ChallengeSite::new();
    site.answering.insert(TargetName::new("i-9"), (5, 1));
    site.register(target_record("i-9", 8));
    site.pass(Duration::from_secs(1));
    let target = site.target("i-9");
    assert!(target.has_reported);
    assert_eq!(target.started_at(), UnixMillis(5));
}

/// Guards against a target that is taken for ended by a late reply of another one, at the address that an entry of
/// another writer had stated before its own was read.
#[test]
fn late_replies_of_other_targets_end_no_target() {
    let mut site = ChallengeSite::new();
    let key = site.leader.target_keys[&TargetName::new("i-7")];
    let sent_at = site.out.now;
    site.pass(Duration::from_millis(200));
    let reply = TargetReply::OtherIncarnation;
    site.leader.handle_heartbeat_reply(key, sent_at, &reply, &mut site.out);
    assert!(site.has_run());
    let now = site.out.now;
    site.leader.handle_heartbeat_reply(key, now, &reply, &mut site.out);
    assert!(!site.has_run());
}

/// Guards against an address that counts as confirmed by an answer from another one: an entry of another writer is
/// read while the first heartbeat of a new leader is on its way.
#[test]
fn answers_confirm_no_address_that_was_read_later() {
    let mut site = ChallengeSite::new();
    let name = TargetName::new("i-9");
    site.register(target_record("i-9", 5));
    let key = site.leader.target_keys[&name];
    let sent_at = site.out.now;
    let address = SocketAddr::from(([127, 0, 0, 1], 2));
    site.register(TargetRecord { address, ..target_record("i-9", 5) });
    let report = RunReport { started_at: UnixMillis(5), ..RunReport::default() };
    let reply = TargetReply::Report(report);
    site.leader.handle_heartbeat_reply(key, sent_at, &reply, &mut site.out);
    assert!(!site.target("i-9").has_reported);
    // Its own entry is read again.
    site.answering.insert(name, (5, 1));
    site.register(target_record("i-9", 5));
    site.pass(Duration::from_millis(100));
    assert!(site.target("i-9").has_reported);
}

/// Guards against tasks that start again beside their runs while their target does not answer: an entry of
/// another writer under its name states a later start and the address of another target.
#[test]
fn addresses_of_other_targets_end_no_run() {
    let mut site = ChallengeSite::new();
    site.answering.swap_remove(&TargetName::new("i-7"));
    site.other_name_at = Some(2);
    site.pass(Duration::from_secs(1));
    site.register(moved_record(8));
    site.pass(Duration::from_secs(2));
    assert!(site.has_run());
}

/// Guards against tasks that are stopped, or whose target is called where nobody answers, because an entry of
/// another writer has the name and the start of their target, but another pool, instance, zone or address.
#[test]
fn registrations_that_contradict_an_incarnation_are_not_used() {
    let record = || target_record("i-7", 5);
    for odd in [
        TargetRecord { pool: PoolName::new("other"), ..record() },
        TargetRecord { instance: Some(InstanceName::new("m-2")), ..record() },
        TargetRecord { zone: ZoneName::new("other"), ..record() },
        moved_record(5),
    ] {
        let mut site = ChallengeSite::new();
        site.register(odd.clone());
        site.pass(Duration::from_secs(3));
        let target = site.target("i-7");
        assert_eq!(target.record, record(), "{odd:?}");
        assert!(target.runs[&RUN.task].is_listed && target.missing_since.is_none());
    }
}

/// Guards against a target that is used in a pool that it does not serve, because a new leader has read an entry
/// of another writer under its name before its own.
#[test]
fn contradicting_registrations_are_told_apart_by_the_list() {
    let mut site = ChallengeSite::new();
    site.answering.insert(TargetName::new("i-9"), (5, 1));
    let instance = Some(InstanceName::new("m-2"));
    let own = TargetRecord { instance, ..target_record("i-9", 5) };
    site.listed = (Some("i-7"), Some("i-9"));
    site.register(TargetRecord { pool: PoolName::new("other"), ..own.clone() });
    site.pass(Duration::from_secs(1));
    assert_eq!(site.target("i-9").record.pool, PoolName::new("other"));
    site.register(own.clone());
    assert_eq!(site.target("i-9").record, own);
    assert!(site.leader.pools[&own.pool].targets.contains(&site.leader.target_keys[&own.name]));
}

/// Guards against a target that stays in the pool of its last incarnation: it had reported before its
/// registration in another pool was read.
#[test]
fn registrations_complete_what_a_report_has_shown() {
    let mut site = ChallengeSite::new();
    site.answering.insert(TargetName::new("i-7"), (8, 1));
    site.pass(Duration::from_secs(1));
    let target = site.target("i-7");
    assert!(target.has_reported && target.started_at() == UnixMillis(8));
    let address = target.record.address;
    // It has answered at its address, so that an entry which states another one is of another writer.
    site.register(moved_record(8));
    assert_eq!(site.target("i-7").record.address, address);
    let moved = TargetRecord { pool: PoolName::new("other"), ..target_record("i-7", 8) };
    site.register(moved.clone());
    assert_eq!(site.target("i-7").record, moved);
}

/// Guards against calls to whatever other writers register, and against pools without end: nothing names the
/// pool of their entries. Once a configuration does, the targets of the pool are in use.
#[test]
fn targets_are_called_once_their_pool_is_named() {
    let mut site = ChallengeSite::new();
    site.answering.insert(TargetName::new("i-9"), (8, 1));
    let pool = PoolName::new("late");
    let instance = Some(InstanceName::new("m-2"));
    site.listed = (Some("i-7"), Some("i-9"));
    site.register(TargetRecord { pool: pool.clone(), instance, ..target_record("i-9", 8) });
    site.pass(Duration::from_secs(1));
    assert!(!site.leader.pools.contains_key(&pool));
    assert!(!site.leader.target_keys.contains_key(&TargetName::new("i-9")));
    let rule = site.leader.config.pools[0];
    let mut config = (*site.leader.config).clone();
    config.pools.insert(pool.clone(), rule);
    site.leader.set_config(Rc::new(config));
    site.pass(Duration::from_millis(100));
    assert!(site.target("i-9").has_reported);
    // A pool may leave the configuration while its targets work.
    let mut config = (*site.leader.config).clone();
    config.pools.swap_remove(&pool);
    site.leader.set_config(Rc::new(config));
    site.pass(Duration::from_secs(1));
    assert!(site.target("i-9").has_reported);
}

/// Guards against tasks that wait although targets of their pool are registered: the pool left the
/// configuration before the leader took over, and a job that was accepted before needs it.
#[test]
fn targets_of_unfinished_jobs_are_called_without_a_configuration() {
    let mut site = ChallengeSite::new();
    site.leader.config = Rc::new(SiteConfig::default());
    site.answering.insert(TargetName::new("i-8"), (8, 1));
    let instance = Some(InstanceName::new("m-2"));
    site.listed = (Some("i-7"), Some("i-8"));
    site.register(TargetRecord { instance, ..target_record("i-8", 8) });
    site.pass(Duration::from_millis(100));
    assert!(site.target("i-8").has_reported);
}

/// Guards against an instance that is moved by no plan, and whose services are moved out, because an entry of
/// another writer states that it is in an evacuated zone.
#[test]
fn entries_without_an_answer_evacuate_no_instance() {
    let mut site = ChallengeSite::new();
    // The list has not shown the instance yet.
    site.leader.fleet = Fleet::new(site.out.now);
    let zone = ZoneName::new("evacuated");
    let known_at = Some(site.out.now);
    let zones = [zone.clone()].into_iter().collect();
    site.leader.set_evacuated_zones(&EvacuatedZones { zones, known_at }, site.out.now);
    site.register(TargetRecord { zone, ..target_record("exporter-1", 8) });
    assert!(!site.leader.is_instance_evacuated(&InstanceName::new("m-1")));
}

/// Guards against a wave that evacuates more instances at once than the size of their pool permits, as entries
/// of other writers count as targets of the pool.
#[test]
fn entries_without_an_answer_permit_no_more_evacuations() {
    let mut site = ChallengeSite::new();
    site.pass(Duration::from_secs(1));
    for number in 0..40 {
        let name = format!("exporter-{number}");
        site.register(TargetRecord { instance: None, ..target_record(&name, 8) });
    }
    let mut evacuated = IndexMap::new();
    let instance = InstanceName::new("m-1");
    assert!(site.leader.may_evacuate_more(&instance, &mut evacuated));
    assert!(!site.leader.may_evacuate_more(&instance, &mut evacuated));
}

/// Guards against targets that stay unused for good, as other writers had made too many entries at the time.
#[test]
fn registrations_are_read_again_if_too_many_were_held_back() {
    let mut site = ChallengeSite::new();
    let pool = |name: &str| PoolName::new(name);
    for number in 0..5_000 {
        let name = format!("exporter-{number}");
        site.register(TargetRecord { pool: pool(&name), ..target_record(&name, 8) });
    }
    assert!(site.leader.unused_registrations.held().count() < 5_000);
    assert!(!site.leader.registrations.is_reading());
    let mut config = (*site.leader.config).clone();
    site.leader.set_config(Rc::new(config.clone()));
    assert!(!site.leader.registrations.is_reading());
    config.pools.insert(pool("late"), config.pools[0]);
    site.leader.set_config(Rc::new(config));
    assert!(site.leader.registrations.is_reading());
}
