//! The simulation: one event queue in virtual time.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::UnixMillis;
use magnoliapin_model::WorkId;
use magnoliapin_model::WorkOutcome;
use magnoliapin_model::ZoneId;
use magnoliapin_policy::CallId;
use magnoliapin_policy::EntryAction;
use magnoliapin_policy::EntryEvent;
use magnoliapin_policy::PolicyOptions;
use magnoliapin_policy::PolicyTimes;
use magnoliapin_standin::CallOutcome;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::CallerRequest;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::TargetRequest;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::caller_registry::CallKind;
use crate::caller_registry::CallerRegistry;
use crate::caller_registry::PendingCall;
use crate::config_history::ConfigHistory;
use crate::entry_node::EntryNode;
use crate::link_state::LinkState;
use crate::platform_node::PlatformNode;
use crate::report::CheckKind;
use crate::report::SoakReport;
use crate::target_node::CallSource;
use crate::target_node::TargetNode;
use crate::trial::TrialLog;

pub(crate) const ZONES: usize = 3;
/// Wall clock at the start of a simulation, in milliseconds since 1970.
const WALL_START_MS: u64 = 1_700_000_000_000;
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(500);
pub(crate) const FIRST_PORT: u16 = 10_000;
pub(crate) const FIRST_TARGET_PORT: u16 = 20_000;
/// Virtual time for which a simulation settles without faults and new load.
const SETTLE_TIME: Duration = Duration::from_secs(240);

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct SoakPlan {
    /// Seed of the random generator.
    pub seed: u64,
    /// Events handled with faults and load, before the simulation settles.
    pub steps: u64,
    /// Number of entries.
    pub entries: usize,
    /// Mean time between two calls of callers and operators.
    pub call_interval: Duration,
    /// Mean time between two faults; `None` injects none.
    pub fault_interval: Option<Duration>,
    /// Share of new work that crashes each target that starts it.
    pub crash_share: f64,
    /// Time bounds of the entries.
    pub times: PolicyTimes,
}

impl Default for SoakPlan {
    fn default() -> Self {
        Self {
            seed: 1,
            steps: 200_000,
            entries: 5,
            call_interval: Duration::from_millis(8),
            fault_interval: Some(Duration::from_millis(2_500)),
            crash_share: 0.0,
            times: PolicyTimes::default(),
        }
    }
}

#[derive(Debug)]
pub(crate) enum WorldEvent {
    Tick(usize, u32),
    Deliver(usize, u32, Box<EntryEvent>),
    AtPlatform { source: CallSource, request: Box<PlatformRequest>, outcome: CallOutcome },
    AtTarget(Box<TargetCall>),
    Timeout { source: CallSource, is_platform: bool, target: Option<usize> },
    TargetDue(usize),
    Register,
    NextCall,
    Fault,
    Recover(FaultRecovery),
    StartEntry(usize),
    Call { entry: usize, call: PendingCall, request: Box<CallerRequest> },
}

/// A call on its way to a target.
#[derive(Debug)]
pub(crate) struct TargetCall {
    pub(crate) source: CallSource,
    pub(crate) target: usize,
    pub(crate) request: TargetRequest,
    /// Whether the target's immediate reply reaches the entry.
    pub(crate) is_answered: bool,
    pub(crate) sent_at: Moment,
}

/// Recovery from a fault.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultRecovery {
    ResumeEntry(usize),
    RestartTarget(usize),
    ResumeTarget(usize),
    RepairTarget(usize),
    RemoveTarget(usize),
    HealPeers(ZoneId),
    HealPlatform(ZoneId),
    RestorePlatform,
}

/// A simulation of entries, targets and the platform.
#[derive(Debug)]
pub struct SoakWorld {
    pub(crate) plan: SoakPlan,
    pub(crate) now: Moment,
    pub(crate) random: Pcg64Mcg,
    pub(crate) entries: Vec<EntryNode>,
    pub(crate) targets: Vec<TargetNode>,
    pub(crate) platform: PlatformNode,
    pub(crate) links: LinkState,
    pub(crate) callers: CallerRegistry,
    pub(crate) config_history: ConfigHistory,
    pub(crate) newest_keys: IndexMap<&'static str, u32>,
    pub(crate) report: SoakReport,
    pub(crate) events: BTreeMap<(Moment, u64), WorldEvent>,
    pub(crate) open_calls: IndexSet<CallSource>,
    sequence: u64,
    last_caller_call: u64,
    pub(crate) is_settling: bool,
    pub(crate) options: PolicyOptions,
    /// Measurements of a trial; `None` in a soak.
    pub(crate) trial: Option<Box<TrialLog>>,
}

impl SoakWorld {
    /// Creates a simulation that has not started.
    pub fn new(plan: SoakPlan) -> Self {
        let mut world = Self::empty(plan);
        world.build();
        world
    }

    /// Creates a simulation without entries and targets.
    pub(crate) fn empty(plan: SoakPlan) -> Self {
        Self {
            plan,
            now: Moment::from_millis(1_000),
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            entries: Vec::new(),
            targets: Vec::new(),
            platform: PlatformNode::new(plan.seed),
            links: LinkState::default(),
            callers: CallerRegistry::default(),
            config_history: ConfigHistory::default(),
            newest_keys: IndexMap::new(),
            report: SoakReport { seed: plan.seed, ..SoakReport::default() },
            events: BTreeMap::new(),
            open_calls: IndexSet::new(),
            sequence: 0,
            last_caller_call: 0,
            is_settling: false,
            options: PolicyOptions::default(),
            trial: None,
        }
    }

    fn build(&mut self) {
        for index in 0..9 {
            let pool = if index < 6 { "main" } else { "side" };
            self.add_target(zone(index % ZONES), pool);
        }
        for index in 0..self.plan.entries {
            let port = FIRST_PORT + u16::try_from(index).unwrap_or_default();
            self.entries.push(
                EntryNode::new(zone(index % ZONES), address(port)).with_times(self.plan.times),
            );
            self.schedule_after(Duration::from_millis(10), WorldEvent::StartEntry(index));
        }
        self.schedule_after(Duration::ZERO, WorldEvent::Register);
        self.schedule_after(Duration::from_secs(4), WorldEvent::NextCall);
        if let Some(interval) = self.plan.fault_interval {
            self.schedule_after(interval + Duration::from_secs(6), WorldEvent::Fault);
        }
    }

    pub(crate) fn add_target(&mut self, zone: ZoneId, pool: &str) {
        let index = self.targets.len();
        let port = FIRST_TARGET_PORT + u16::try_from(index).unwrap_or_default();
        let instance = format!("i{index}").parse().expect("a short name");
        let pool = pool.parse().expect("a short name");
        let run = TargetIncarnation(self.random.random());
        self.targets.push(TargetNode::new(instance, zone, pool, address(port), run));
    }

    /// Runs the simulation until it has settled or a check fails, and returns its report.
    pub fn run(mut self) -> SoakReport {
        while self.report.steps < self.plan.steps && self.report.violations.is_empty() {
            self.step();
        }
        if self.report.violations.is_empty() {
            self.settle();
            self.check_final_state();
        }
        self.report.virtual_ms = self.now.0 / 1_000;
        self.report
    }

    fn settle(&mut self) {
        self.is_settling = true;
        self.recover_all();
        let end = self.now + SETTLE_TIME;
        while self.now < end && self.report.violations.is_empty() {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        let Some(((at, _), event)) = self.events.pop_first() else { return };
        debug_assert!(at >= self.now, "virtual time goes backwards");
        self.now = at;
        self.report.steps += 1;
        match event {
            WorldEvent::Tick(entry, incarnation) => self.tick(entry, incarnation),
            WorldEvent::Deliver(entry, incarnation, event) => {
                self.deliver(entry, incarnation, *event);
            }
            WorldEvent::AtPlatform { source, request, outcome } => {
                self.handle_platform_call(source, *request, outcome);
            }
            WorldEvent::AtTarget(call) => self.handle_target_call(*call),
            WorldEvent::Timeout { source, is_platform, target } => {
                self.handle_timeout(source, is_platform, target);
            }
            WorldEvent::TargetDue(target) => self.handle_target_due(target),
            WorldEvent::Register => self.register(),
            WorldEvent::NextCall => self.send_next_call(),
            WorldEvent::Fault => self.inject(),
            WorldEvent::Recover(recovery) => self.recover(recovery),
            WorldEvent::StartEntry(entry) => self.start_entry(entry),
            WorldEvent::Call { entry, call, request } => self.handle_call(entry, call, *request),
        }
    }

    pub(crate) fn schedule_after(&mut self, span: Duration, event: WorldEvent) {
        self.sequence += 1;
        self.events.insert((self.now + span, self.sequence), event);
    }

    pub(crate) fn latency(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(500..4_000))
    }

    fn register(&mut self) {
        self.schedule_after(REGISTRATION_INTERVAL, WorldEvent::Register);
        for target in &self.targets {
            self.platform.list.register(self.now, &target.record());
        }
        if self.report.steps > 0
            && self.config_history.newest().is_none()
            && self.entries[0].is_up()
        {
            self.send_first_document();
        }
    }

    fn send_next_call(&mut self) {
        if self.is_settling {
            return;
        }
        let interval = self.plan.call_interval.mul_f64(self.random.random_range(0.1..1.9));
        self.schedule_after(interval, WorldEvent::NextCall);
        if self.config_history.newest().is_some() {
            self.send_random_call();
        }
    }

    fn start_entry(&mut self, index: usize) {
        if self.entries[index].is_up() {
            return;
        }
        let id = EntryId(self.random.random());
        let seed = self.random.random();
        self.entries[index].start(self.now, id, seed, self.options);
        let incarnation = self.entries[index].incarnation;
        self.schedule_after(TICK_INTERVAL, WorldEvent::Tick(index, incarnation));
    }

    /// Kills the current incarnation of an entry and starts a new one after `pause`.
    pub(crate) fn kill_entry(&mut self, index: usize, pause: Duration) {
        let incarnation = self.entries[index].incarnation;
        self.report.unknown += self.callers.drop_calls(index, incarnation);
        self.entries[index].kill();
        self.open_calls.retain(|source| source.entry != index);
        self.schedule_after(pause, WorldEvent::StartEntry(index));
    }

    fn wall_clock(&self) -> UnixMillis {
        UnixMillis(WALL_START_MS + self.now.0 / 1_000)
    }

    fn tick(&mut self, index: usize, incarnation: u32) {
        if self.entries[index].incarnation != incarnation {
            return;
        }
        self.deliver(index, incarnation, EntryEvent::WallClock(self.wall_clock()));
        self.deliver(index, incarnation, EntryEvent::Tick);
        if self.entries[index].incarnation == incarnation {
            let pause = self.entries[index].paused_until.map(|until| until.since(self.now));
            self.schedule_after(
                pause.unwrap_or(TICK_INTERVAL).max(TICK_INTERVAL),
                WorldEvent::Tick(index, incarnation),
            );
        }
    }

    /// Delivers an event to an entry; a paused entry receives it when it resumes, except ticks.
    pub(crate) fn deliver(&mut self, index: usize, incarnation: u32, event: EntryEvent) {
        let entry = &mut self.entries[index];
        if entry.incarnation != incarnation {
            return;
        }
        if let Some(until) = entry.paused_until.filter(|until| *until > self.now) {
            if !matches!(event, EntryEvent::Tick) {
                let wait = until.since(self.now);
                self.schedule_after(wait, WorldEvent::Deliver(index, incarnation, Box::new(event)));
            }
            return;
        }
        if !self.record_delivery(index, incarnation, &event) {
            return;
        }
        let entry = &mut self.entries[index];
        let clock = entry.clock(self.now);
        let mut actions = Vec::new();
        let Some(machine) = entry.machine.as_mut() else { return };
        machine.handle(clock, event, &mut actions);
        let broken = machine.counts().broken_invariants;
        let is_fresh = machine.is_fresh(clock);
        let version = machine.config_version();
        self.check_machine(index, broken, is_fresh, version);
        for action in actions {
            self.perform(index, incarnation, action);
        }
    }

    /// Records that an event reaches an entry. Returns `false` for a second reply to one call, which
    /// the I/O layer drops.
    fn record_delivery(&mut self, entry: usize, incarnation: u32, event: &EntryEvent) -> bool {
        match event {
            EntryEvent::Caller { call, .. } => {
                let source = CallSource { entry, incarnation, call: *call };
                if let Some(pending) = self.callers.pending.get_mut(&source) {
                    pending.received_at = self.now;
                }
                true
            }
            EntryEvent::Platform { call, .. } | EntryEvent::Target { call, .. } => {
                self.open_calls.swap_remove(&CallSource { entry, incarnation, call: *call })
            }
            _ => true,
        }
    }

    fn check_machine(&mut self, index: usize, broken: u64, is_fresh: bool, version: ConfigVersion) {
        let now = self.now;
        self.report.check(CheckKind::MachineInvariant, broken == 0, || {
            format!("{now:?} entry {index} broke {broken} invariants")
        });
        if is_fresh {
            let due = self.config_history.due_version(now);
            self.report.check(CheckKind::ConfigCurrent, version >= due, || {
                format!("{now:?} entry {index} is fresh with version {version}, but {due} is due")
            });
        }
    }

    fn perform(&mut self, index: usize, incarnation: u32, action: EntryAction) {
        match action {
            EntryAction::Answer { call, answer } => {
                self.handle_answer(CallSource { entry: index, incarnation, call }, answer);
            }
            EntryAction::Platform { call, request, timeout } => {
                let source = CallSource { entry: index, incarnation, call };
                self.call_platform(source, request, timeout);
            }
            EntryAction::Target { call, address, request, timeout, new_connection, .. } => {
                let source = CallSource { entry: index, incarnation, call };
                self.call_target(source, address, request, timeout, new_connection);
            }
            EntryAction::SendPeer { address, to, message } => {
                self.send(index, address, to, message);
            }
            EntryAction::Record(_) => {}
            EntryAction::Stopped | EntryAction::Restart => {
                let pause = Duration::from_millis(self.random.random_range(100..3_000));
                self.kill_entry(index, pause);
            }
        }
    }

    /// Sends a caller's request to a random running entry.
    pub(crate) fn call_entry(&mut self, kind: CallKind, marker: u64, request: CallerRequest) {
        let up = (0..self.entries.len()).filter(|index| self.entries[*index].is_up());
        let up = up.collect::<Vec<_>>();
        if up.is_empty() {
            return;
        }
        let entry = up[self.random.random_range(0..up.len())];
        let call = PendingCall { kind, key: request.key, marker, received_at: self.now };
        let wait = self.latency();
        self.schedule_after(wait, WorldEvent::Call { entry, call, request: Box::new(request) });
    }

    fn handle_call(&mut self, entry: usize, pending: PendingCall, request: CallerRequest) {
        if !self.entries[entry].is_up() {
            return;
        }
        self.last_caller_call += 1;
        let call = CallId(self.last_caller_call);
        let incarnation = self.entries[entry].incarnation;
        self.callers.pending.insert(CallSource { entry, incarnation, call }, pending);
        self.deliver(entry, incarnation, EntryEvent::Caller { call, request });
    }

    fn handle_answer(&mut self, source: CallSource, answer: CallerAnswer) {
        let pending = self.callers.pending.swap_remove(&source);
        let now = self.now;
        self.report.check(CheckKind::AnsweredOnce, pending.is_some(), || {
            format!("{now:?} a second answer to {source:?}: {answer:?}")
        });
        let Some(pending) = pending else { return };
        if let Some(trial) = &mut self.trial {
            trial.record_answer(now, pending.marker, &answer);
        }
        let ran = matches!(answer, CallerAnswer::Output { .. } | CallerAnswer::Accepted(_));
        if let Some(key) = pending.key.filter(|_| ran) {
            let withdrawn = self.config_history.is_long_withdrawn(&key, pending.received_at);
            self.report.check(CheckKind::KeyWithdrawn, !withdrawn, || {
                format!(
                    "{now:?} entry {} accepted work under a withdrawn key at {:?}",
                    source.entry, pending.received_at
                )
            });
        }
        self.record_answer(&pending, &answer);
        if let CallerAnswer::Refused(refusal) = &answer {
            *self.report.refused.entry(refusal.kind).or_default() += 1;
        }
        match answer {
            CallerAnswer::Output { output } => self.check_output(pending.marker, &output),
            CallerAnswer::Accepted(view) => self.record_accepted(pending.marker, view.id),
            CallerAnswer::Refused(refusal) if refusal.outcome == WorkOutcome::NotRun => {
                self.report.not_run += 1;
                self.check_not_run(&pending);
            }
            CallerAnswer::Refused(refusal) if refusal.outcome == WorkOutcome::Unknown => {
                self.report.unknown += 1;
            }
            _ => {}
        }
    }

    fn record_answer(&mut self, pending: &PendingCall, answer: &CallerAnswer) {
        if !matches!(pending.kind, CallKind::Run | CallKind::Submit) {
            return;
        }
        let not_run = match answer {
            CallerAnswer::Refused(refusal) => refusal.outcome == WorkOutcome::NotRun,
            _ => false,
        };
        if let Some(work) = self.callers.work_mut(pending.marker) {
            work.answers += 1;
            work.is_always_not_run &= not_run;
        }
    }

    fn record_accepted(&mut self, marker: u64, id: WorkId) {
        let now = self.now;
        let Some(work) = self.callers.work_mut(marker) else { return };
        let before = work.job.replace(id);
        if before.is_none() {
            self.report.accepted += 1;
        }
        self.report.check(CheckKind::OwnAnswer, before.is_none_or(|job| job == id), || {
            format!("{now:?} marker {marker} became two jobs, {before:?} and {id}")
        });
    }

    fn check_output(&mut self, marker: u64, output: &[u8]) {
        self.report.answered += 1;
        let now = self.now;
        let is_own = self.callers.work(marker).is_some_and(|work| work.payload == output);
        self.report.check(CheckKind::OwnAnswer, is_own, || {
            format!("{now:?} marker {marker} got {:?}", String::from_utf8_lossy(output))
        });
    }
}

pub(crate) fn zone(index: usize) -> ZoneId {
    format!("z{index}").parse().expect("a short name")
}

pub(crate) fn address(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}
