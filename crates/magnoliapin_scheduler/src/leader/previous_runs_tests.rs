//! Tests of the runs that a new leader inherits.

use std::rc::Rc;
use std::time::Duration;

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
use magnoliapin_site::PoolRule;
use magnoliapin_site::Resources;
use magnoliapin_site::RunId;
use magnoliapin_site::RunReport;
use magnoliapin_site::RunningTask;
use magnoliapin_site::SiteConfig;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;
use magnoliapin_site::TargetChange;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;
use magnoliapin_site::TargetState;
use magnoliapin_site::TaskName;
use magnoliapin_site::ZoneName;

use crate::election::AcquiredLease;
use crate::leader::recovery::tests::identity;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::target::UnstoredCompletion;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::AssignmentBatchRow;
use crate::rows::AssignmentRow;
use crate::NodeAction;

const TICK: Duration = Duration::from_millis(50);

/// Returns the registration of a target on the instance of [`FakeSite`].
pub(in crate::leader) fn target_record(name: &str, started_at: u64) -> TargetRecord {
    TargetRecord {
        name: TargetName::new(name),
        started_at: UnixMillis(started_at),
        pool: PoolName::new("pool"),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: ZoneName::new("zone"),
        state: TargetState::Ready,
        capacity: Resources::NONE,
        labels: Vec::new(),
        instance: Some(FakeSite::instance()),
        cold_left: Duration::ZERO,
    }
}

/// What a new leader finds out about the one target that an assignment row names.
#[derive(Clone, Debug, Default)]
pub(in crate::leader) struct FakeSite {
    is_registered: bool,
    /// Whether a later target is registered on the same instance.
    has_successor: bool,
    /// Whether that target answers.
    is_successor_up: bool,
    /// State in which the list shows the instance; `None` if the list omits it.
    pub(in crate::leader) listed: Option<InstanceState>,
    has_unreadable_entry: bool,
    /// Row of the last batch; `None` before the first.
    batch: Option<Vec<u8>>,
    /// When the target begins to answer; `None` if it stays silent.
    answers_from: Option<Moment>,
    /// When it stops answering again, with a run going on.
    answers_until: Option<Moment>,
    /// Whether its reports are those of an incarnation before the registered one.
    reports_earlier_incarnation: bool,
    /// Whether another target replies at the address of the registration.
    has_address_of_another: bool,
    heartbeats: u32,
    /// Whether the batch row listed the target as silent when its lease was extended.
    was_extended_while_silent: Option<bool>,
    /// Assignment row of the target, once a leader has written it.
    written_assignment: Option<AssignmentRow>,
}

impl FakeSite {
    fn instance() -> InstanceName {
        InstanceName::new("m-1")
    }

    /// Returns a site whose target has a run and stops answering after 3 s.
    fn falling_silent() -> Self {
        Self {
            is_registered: true,
            answers_from: Some(Moment::START),
            answers_until: Some(Moment::START + Duration::from_secs(3)),
            ..Self::default()
        }
    }

    fn assignment() -> StoreRow {
        let run = RunId { task: TaskName::default(), attempt: 1 };
        let row = AssignmentRow {
            started_at: UnixMillis(7),
            instance: Some(Self::instance()),
            runs: vec![run],
            orphans: Vec::new(),
        };
        Self::row("i-1", rows::encode(&row))
    }

    fn row(key: &str, value: Vec<u8>) -> StoreRow {
        StoreRow {
            table: rows::ASSIGNMENTS.to_owned(),
            partition: rows::CONTROL_PARTITION.to_owned(),
            key: key.to_owned(),
            version: RowVersion(3),
            value: Some(value),
        }
    }

    fn lists_silent_target(&self) -> bool {
        let batch = self.batch.as_deref().and_then(rows::decode::<AssignmentBatchRow>);
        batch.is_some_and(|batch| !batch.silent_targets.is_empty())
    }

    fn registration(&self) -> Vec<TargetChange> {
        let record = target_record("i-1", 7);
        let successor = target_record("i-2", 9);
        let records = [(self.has_successor, successor), (self.is_registered, record)];
        let registered = records.into_iter().filter(|(is_registered, _)| *is_registered);
        registered.map(|(_, record)| TargetChange::Registered(record)).collect()
    }

    fn store_reply(&mut self, request: &StoreRequest) -> Option<StoreReply> {
        let version = RowVersion(5);
        match request {
            StoreRequest::Commit(transaction) => {
                let batch = transaction.writes.iter().find(|(row, _)| row.key == rows::BATCH_KEY);
                self.batch = batch.map(|(_, value)| value.clone()).or(self.batch.take());
                let assignment = transaction.writes.iter().find(|(row, _)| row.key == "i-1");
                let assignment = assignment.and_then(|(_, value)| rows::decode(value));
                self.written_assignment = assignment.or(self.written_assignment.take());
                Some(StoreReply::Committed(version))
            }
            StoreRequest::Read(range) => {
                let batch = self.batch.clone().map(|batch| Self::row(rows::BATCH_KEY, batch));
                let rows = batch.into_iter().chain([Self::assignment()]);
                let rows = rows.filter(|row| row.table == range.table).collect();
                Some(StoreReply::Rows { rows, has_more: false, version })
            }
            StoreRequest::ReadTargets { .. } => {
                let changes = self.registration();
                Some(StoreReply::Targets { changes, version, next: None })
            }
            _ => None,
        }
    }

    fn instance_reply(&self) -> InstanceReply {
        let record = |state| InstanceRecord {
            name: Self::instance(),
            pool: PoolName::new("pool"),
            state,
            zone: ZoneName::new("zone"),
            labels: Vec::new(),
            capacity: Resources::NONE,
            target: Some(TargetName::new("i-1")),
        };
        let unreadable = self.has_unreadable_entry.then(|| "no name".to_owned());
        InstanceReply::Page(InstancePage {
            instances: self.listed.map(record).into_iter().collect(),
            next: None,
            unreadable: unreadable.into_iter().collect(),
        })
    }

    fn running_task() -> RunningTask {
        let run = RunId { task: TaskName::default(), attempt: 1 };
        RunningTask { run, checkpoint: None, percent: 0, gauge: None }
    }

    fn target_reply(
        &mut self,
        name: &TargetName,
        request: &TargetRequest,
        now: Moment,
    ) -> TargetReply {
        if name.as_str() == "i-2" && self.is_successor_up {
            return TargetReply::Report(RunReport {
                clock_ms: now.0 / 1_000,
                started_at: UnixMillis(9),
                ..RunReport::default()
            });
        }
        if self.has_address_of_another {
            return TargetReply::OtherIncarnation;
        }
        let is_over = self.answers_until.is_some_and(|until| now >= until);
        if is_over || self.answers_from.is_none_or(|from| now < from) {
            return TargetReply::Failed(CallFailure::Unknown);
        }
        if matches!(request, TargetRequest::Heartbeat { lease_until_ms: Some(_), .. }) {
            self.was_extended_while_silent.get_or_insert(self.lists_silent_target());
        }
        self.heartbeats += 1;
        TargetReply::Report(RunReport {
            clock_ms: now.0 / 1_000,
            started_at: UnixMillis(if self.reports_earlier_incarnation { 5 } else { 7 }),
            running: self.answers_until.map(|_| Self::running_task()).into_iter().collect(),
            completions: Vec::new(),
            has_more_completions: false,
        })
    }

    /// Runs a new leader for a time. Returns whether it has accounted for the inherited run.
    fn accounts_within(&mut self, time: Duration) -> bool {
        self.lead(time).0.previous_runs_resolved
    }

    /// Runs a new leader for a time.
    pub(in crate::leader) fn lead(&mut self, time: Duration) -> (Leader, Outbox) {
        let mut out = Outbox::new(1);
        let lease = AcquiredLease {
            generation: 2,
            fence_version: RowVersion(1),
            requested_at: Moment::START,
        };
        let rule = PoolRule { enforces_capacity: true, ..PoolRule::default() };
        let pools = ["pool", "other"].into_iter().map(|name| (PoolName::new(name), rule)).collect();
        let config = Rc::new(SiteConfig { pools, ..SiteConfig::default() });
        let mut leader = Leader::new(identity(), lease, config, Vec::new(), None, &mut out);
        self.lead_on(&mut leader, &mut out, time);
        (leader, out)
    }

    /// Runs a leader until a time after its start.
    fn lead_on(&mut self, leader: &mut Leader, out: &mut Outbox, time: Duration) {
        while out.now < Moment::START + time {
            let mut actions = Vec::new();
            out.take_actions(&mut actions);
            for action in actions {
                match action {
                    NodeAction::Store { call, request, .. } => {
                        if let Some(reply) = self.store_reply(&request) {
                            leader.handle_store_reply(call, &reply, out);
                        }
                    }
                    NodeAction::Instances { call, .. } => {
                        leader.handle_instance_reply(call, &self.instance_reply(), out);
                    }
                    NodeAction::Target { call, target, request, .. } => {
                        let reply = self.target_reply(&target, &request, out.now);
                        leader.handle_target_reply(call, &reply, out);
                    }
                    _ => {}
                }
            }
            out.now = out.now + TICK;
            leader.tick(out);
            leader.finish_batch(out);
        }
    }

    /// Runs a new leader for a time, and then stops it as planned.
    fn lead_until_stop(&mut self, time: Duration) -> Leader {
        let (mut leader, mut out) = self.lead(time);
        leader.release(&mut out);
        self.lead_on(&mut leader, &mut out, time + TICK * 4);
        leader
    }
}

/// Guards against tasks that wait for the longest lease, again after each takeover, although the
/// instance of their target no longer exists.
#[test]
fn runs_on_instances_that_are_gone_are_not_waited_for() {
    assert!(FakeSite::default().accounts_within(Duration::from_secs(2)));
}

/// Guards against the same where no list shows it, but the answer of a later target on the same instance
/// does.
#[test]
fn runs_on_replaced_targets_are_not_waited_for() {
    // The target before may still be registered; it is silent then, or the later one has its address.
    for (is_registered, has_address_of_another, bound) in
        [(false, false, 2), (true, false, 9), (true, true, 2)]
    {
        let mut site = FakeSite {
            is_registered,
            has_address_of_another,
            has_successor: true,
            is_successor_up: true,
            has_unreadable_entry: true,
            ..FakeSite::default()
        };
        assert!(site.accounts_within(Duration::from_secs(bound)), "{is_registered}");
    }
}

/// Guards against tasks that start again beside their runs after a takeover, because an entry of another
/// writer names the instance of their target and a later start, but nobody answers at its address.
#[test]
fn registrations_without_an_answer_resolve_no_previous_runs() {
    for is_registered in [false, true] {
        let mut site = FakeSite {
            is_registered,
            has_successor: true,
            has_unreadable_entry: true,
            ..FakeSite::default()
        };
        assert!(!site.accounts_within(Duration::from_secs(12)), "{is_registered}");
    }
}

/// The run may go on as long as the instance may exist: two runs of a task are worse than none.
#[test]
fn runs_on_instances_that_may_exist_are_waited_for() {
    let sites = [
        FakeSite { listed: Some(InstanceState::Up), ..FakeSite::default() },
        FakeSite { listed: Some(InstanceState::Down), ..FakeSite::default() },
        FakeSite { is_registered: true, ..FakeSite::default() },
        FakeSite { has_unreadable_entry: true, ..FakeSite::default() },
    ];
    for mut site in sites {
        // A start of the previous leader may arrive 2 s after the takeover and run for the longest lease.
        assert!(!site.clone().accounts_within(Duration::from_secs(12)), "{site:?}");
        assert!(site.accounts_within(Duration::from_secs(13)), "{site:?}");
    }
}

/// Guards against a task that is started again although a start of the previous leader is on its way to
/// the next incarnation of its target, which knows no fence.
#[test]
fn idle_instances_prove_nothing_while_previous_starts_may_arrive() {
    let mut site = FakeSite { listed: Some(InstanceState::Maintained), ..FakeSite::default() };
    assert!(!site.clone().accounts_within(Duration::from_millis(1_900)));
    assert!(site.accounts_within(Duration::from_secs(3)));
}

/// Guards against a completion that is acknowledged while a start of the same task by the previous leader
/// is still on its way to another target.
#[test]
fn completions_are_acknowledged_once_previous_starts_cannot_arrive() {
    let (mut leader, out) = FakeSite::default().lead(Duration::from_millis(100));
    leader.previous_runs_resolved = false;
    let key = TargetKey(77);
    let mut target = Target::new(target_record("i-7", 1), out.now);
    let run = RunId { task: TaskName::default(), attempt: 1 };
    target.unstored.push_back(UnstoredCompletion { number: 1, run, change: None });
    leader.targets.insert(key, target);
    let acked_after = |leader: &mut Leader, time| {
        leader.acknowledge_completions(key, Moment::START + time);
        leader.targets[&key].acked_completion
    };
    assert_eq!(acked_after(&mut leader, Duration::from_millis(1_900)), 0);
    assert_eq!(acked_after(&mut leader, Duration::from_millis(2_100)), 1);
}

/// Guards against a run that is taken for ended, and started again elsewhere, because a list that lags
/// behind shows the instance of a target that answers as out of service.
#[test]
fn targets_that_answer_are_alive_whatever_the_list_says() {
    let mut site = FakeSite {
        is_registered: true,
        listed: Some(InstanceState::Moving),
        answers_from: Some(Moment::START),
        answers_until: Some(Moment::START + Duration::from_secs(60)),
        ..FakeSite::default()
    };
    let (leader, _) = site.lead(Duration::from_secs(4));
    assert!(leader.targets.values().any(|target| !target.runs.is_empty()));
    // Once it is silent, the list counts.
    site.answers_until = Some(Moment::START + Duration::from_secs(3));
    let (leader, _) = site.lead(Duration::from_secs(5));
    assert!(leader.targets.is_empty());
}

/// Guards against a wait for the longest lease that starts anew with each of several takeovers.
#[test]
fn wait_for_a_silent_target_goes_on_after_the_next_takeover() {
    let mut site = FakeSite { is_registered: true, ..FakeSite::default() };
    assert!(!site.accounts_within(Duration::from_secs(4)));
    assert!(!site.accounts_within(Duration::from_secs(4)));
    assert!(site.accounts_within(Duration::from_secs(5)));
}

/// Guards against the same where the target has fallen silent under the leader that is replaced: a lost
/// long-running task was idle for 10.5 s and 10.7 s after two orderly changes of leader.
#[test]
fn wait_for_a_target_that_fell_silent_goes_on_after_a_takeover() {
    let mut site = FakeSite::falling_silent();
    site.lead(Duration::from_secs(7));
    site.answers_from = None;
    site.answers_until = None;
    // The longest lease, which its first report may have come with, ends 3.4 s after the takeover.
    assert!(!site.clone().accounts_within(Duration::from_secs(3)));
    assert!(site.accounts_within(Duration::from_secs(5)));
}

/// Guards against the same where the leader is stopped before it has noticed the silence for sure.
#[test]
fn wait_for_a_target_that_has_just_fallen_silent_goes_on_after_a_planned_stop() {
    let mut site = FakeSite::falling_silent();
    let leader = site.lead_until_stop(Duration::from_millis(3_050));
    assert!(leader.is_released());
    site.answers_from = None;
    site.answers_until = None;
    // The longest lease, which its first report may have come with, ends 6.9 s after the takeover.
    assert!(!site.clone().accounts_within(Duration::from_secs(6)));
    assert!(site.accounts_within(Duration::from_secs(8)));
}

/// Guards against a wait for the longest lease of a target that is lost just after a planned change of leader.
#[test]
fn leases_of_a_stopped_leader_are_known_to_the_next_one() {
    let mut site = FakeSite {
        answers_until: Some(Moment::START + Duration::from_secs(60)),
        ..FakeSite::falling_silent()
    };
    site.lead_until_stop(Duration::from_secs(20));
    site.answers_until = Some(Moment::START + Duration::from_millis(500));
    let has_run_after = |time| {
        let (leader, _) = site.clone().lead(time);
        leader.targets.values().any(|target| !target.runs.is_empty())
    };
    assert!(has_run_after(Duration::from_millis(3_500)));
    assert!(!has_run_after(Duration::from_millis(6_000)));
}

/// Guards against targets whose leases run out after a planned change of leader, as the row goes on listing them.
#[test]
fn leases_are_extended_soon_after_a_planned_stop() {
    let mut site = FakeSite {
        answers_until: Some(Moment::START + Duration::from_secs(60)),
        ..FakeSite::falling_silent()
    };
    site.lead_until_stop(Duration::from_secs(3));
    assert!(site.lists_silent_target());
    site.was_extended_while_silent = None;
    let (leader, _) = site.lead(Duration::from_secs(1));
    assert!(!site.lists_silent_target());
    assert_eq!(site.was_extended_while_silent, Some(false));
    assert!(leader.targets.values().all(|target| target.lease_until_ms > 0));
}

/// Guards against a wait that each next leader begins anew, as the row of a target that was still registered when its
/// runs were given up goes on naming them.
#[test]
fn rows_of_known_targets_name_no_runs_that_were_given_up() {
    let mut site = FakeSite { is_registered: true, ..FakeSite::default() };
    assert!(site.accounts_within(Duration::from_secs(13)));
    let row = site.written_assignment.expect("the row is written");
    assert_eq!((row.started_at, row.runs), (UnixMillis(7), Vec::new()));
}

/// Guards against a target that answers again and is leased while the next leader would not count on it.
#[test]
fn leases_of_targets_that_answer_again_are_extended_once_they_are_not_listed() {
    let mut site = FakeSite::falling_silent();
    let (mut leader, mut out) = site.lead(Duration::from_secs(6));
    assert!(site.lists_silent_target());
    let key = leader.target_keys[&TargetName::new("i-1")];
    let target = leader.targets.get_mut(&key).expect("the target is known");
    target.failed_heartbeats = 0;
    assert!(leader.silent_targets.contains(&TargetName::new("i-1")));
    assert!(leader.must_record_silence(out.now));
    out.now = out.now + TICK;
    leader.record_assignments(&mut out);
    assert!(leader.silent_targets(out.now).is_empty());
}

/// The next leader relies on the batch row, so the lease of a target that reports after all is
/// extended only once that row no longer lists it.
#[test]
fn leases_of_targets_that_are_listed_as_silent_are_not_extended() {
    let answers_from = Some(Moment::START + Duration::from_secs(3));
    let mut site = FakeSite { is_registered: true, answers_from, ..FakeSite::default() };
    assert!(site.accounts_within(Duration::from_secs(4)));
    assert_eq!(site.was_extended_while_silent, Some(false));
}

/// Guards against a target that gets no more heartbeats, so that its tasks are neither renewed nor
/// started again, after a report that is older than its registration.
#[test]
fn targets_with_outdated_reports_get_further_heartbeats() {
    let mut site = FakeSite {
        is_registered: true,
        answers_from: Some(Moment::START),
        reports_earlier_incarnation: true,
        ..FakeSite::default()
    };
    site.accounts_within(Duration::from_secs(4));
    assert!(site.heartbeats > 3, "{} heartbeats", site.heartbeats);
}

/// Guards against a run that is taken for lost under the lease of the leader before, because the
/// new one has not extended it yet.
#[test]
fn runs_last_as_long_as_the_leases_of_earlier_leaders() {
    let has_run_after = |seconds| {
        let mut site = FakeSite {
            is_registered: true,
            answers_from: Some(Moment::START + Duration::from_millis(800)),
            answers_until: Some(Moment::START + Duration::from_millis(1_500)),
            ..FakeSite::default()
        };
        let (leader, _) = site.lead(Duration::from_secs(seconds));
        leader.targets.values().any(|target| !target.runs.is_empty())
    };
    assert!(has_run_after(9));
    assert!(!has_run_after(12));
}

/// Guards against tasks that start again beside their runs after a takeover, because an entry of another
/// writer under the name of their target states the address of another one.
#[test]
fn addresses_of_other_targets_resolve_no_previous_runs() {
    let mut site = FakeSite {
        is_registered: true,
        has_address_of_another: true,
        listed: Some(InstanceState::Up),
        ..FakeSite::default()
    };
    assert!(!site.accounts_within(Duration::from_secs(12)));
}
