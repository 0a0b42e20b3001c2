//! Simulation in virtual time: fleet state machines of several entries, one table, instances and
//! injected faults.

mod instance;
mod table;

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_fleet::FleetAction;
use magnoliapin_fleet::FleetCallId;
use magnoliapin_fleet::FleetEvent;
use magnoliapin_fleet::FleetMachine;
use magnoliapin_fleet::InstanceState;
use magnoliapin_fleet::OperatorAnswer;
use magnoliapin_fleet::OperatorRequest;
use magnoliapin_fleet::UnixSeconds;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::EntryId;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::PoolId;
use magnoliapin_wire::CallFailure;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;

pub(crate) use instance::SimulatedInstance;
pub(crate) use table::SimulatedTable;

/// Virtual time of one step, in milliseconds.
pub(crate) const STEP_MS: u64 = 100;
/// Wall-clock time at the start, in Unix seconds.
const WALL_START_SECONDS: u64 = 1_800_000_000;
/// Interval at which the platform updates its instance list; the list lags by up to this time.
const LIST_INTERVAL_MS: u64 = 2_000;
/// Longest time in which an operator request must be answered.
const OPERATOR_DEADLINE_MS: u64 = 20_000;

/// Probabilities of faults and random events, per step if not stated otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultRates {
    /// The request or reply of a platform call is lost, per call.
    pub(crate) lost_message: f64,
    /// An entry is killed and restarts with empty state.
    pub(crate) entry_kill: f64,
    /// An entry is paused for up to 30 seconds.
    pub(crate) entry_pause: f64,
    /// The platform is unreachable for up to 20 seconds.
    pub(crate) platform_outage: f64,
    /// One instance crashes.
    pub(crate) instance_crash: f64,
    /// All instances of a rack or a zone crash.
    pub(crate) group_crash: f64,
    /// An operator sends a request.
    pub(crate) operator_request: f64,
    /// An entry proposes to quarantine or release an instance.
    pub(crate) quarantine_proposal: f64,
}

/// One entry of the simulation.
#[derive(Debug)]
struct SimulatedEntry {
    machine: FleetMachine,
    incarnation: u64,
    paused_until_ms: u64,
    /// Unanswered operator calls with the time of their request, in milliseconds.
    pending_calls: IndexMap<FleetCallId, u64>,
}

/// A request or reply in flight between an entry and the platform.
#[derive(Clone, Debug)]
struct SimulatedMessage {
    due_ms: u64,
    entry: usize,
    incarnation: u64,
    call: FleetCallId,
    body: MessageBody,
}

#[derive(Clone, Debug)]
enum MessageBody {
    /// A request, and whether its reply is delivered.
    Request(PlatformRequest, ReplyDelivery),
    Reply(PlatformReply),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplyDelivery {
    Delivered,
    Lost,
}

/// The whole simulation.
#[derive(Debug)]
pub(crate) struct FleetWorld {
    pub(crate) now_ms: u64,
    pub(crate) faults: FaultRates,
    pub(crate) table: SimulatedTable,
    pub(crate) document: ConfigDocument,
    pub(crate) instances: IndexMap<InstanceId, SimulatedInstance>,
    /// Image whose instances crash, each with a probability of 1 % per step.
    pub(crate) bad_image: Option<String>,
    /// Answers that operators received so far.
    pub(crate) answers: Vec<OperatorAnswer>,
    entries: Vec<SimulatedEntry>,
    messages: Vec<SimulatedMessage>,
    /// Instance list of the platform, as updated at `listed_at_ms`.
    list: Vec<InstanceRecord>,
    listed_at_ms: u64,
    platform_down_until_ms: u64,
    random: Pcg64,
    next_call: u64,
    incarnations: u64,
}

impl FleetWorld {
    /// Creates a simulation with `entries` entries and no faults.
    pub(crate) fn new(
        seed: u64,
        entries: usize,
        document: ConfigDocument,
        instances: Vec<SimulatedInstance>,
    ) -> Self {
        let instances = instances.into_iter().map(|instance| (instance.instance, instance));
        let mut world = Self {
            now_ms: 0,
            faults: FaultRates::default(),
            table: SimulatedTable::default(),
            document,
            instances: instances.collect(),
            bad_image: None,
            answers: Vec::new(),
            entries: Vec::new(),
            messages: Vec::new(),
            list: Vec::new(),
            listed_at_ms: 0,
            platform_down_until_ms: 0,
            random: Pcg64::seed_from_u64(seed),
            next_call: 1 << 40,
            incarnations: 0,
        };
        for _ in 0..entries {
            let entry = world.new_entry();
            world.entries.push(entry);
        }
        world.set_document(world.document.clone());
        world
    }

    /// Returns the wall-clock time.
    pub(crate) fn wall(&self) -> UnixSeconds {
        UnixSeconds(WALL_START_SECONDS + self.now_ms / 1_000)
    }

    /// Advances the simulation by `steps` steps.
    pub(crate) fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step();
        }
    }

    /// Replaces the document at every entry.
    pub(crate) fn set_document(&mut self, document: ConfigDocument) {
        self.document = document;
        for entry in 0..self.entries.len() {
            let document = Box::new(self.document.clone());
            self.handle_event(entry, FleetEvent::Config(document));
        }
    }

    /// Sends a request of an operator to an entry.
    pub(crate) fn send_operator_request(&mut self, entry: usize, request: OperatorRequest) {
        self.next_call += 1;
        let call = FleetCallId(self.next_call);
        self.entries[entry].pending_calls.insert(call, self.now_ms);
        self.handle_event(entry, FleetEvent::Operator { call, request });
    }

    /// Kills an entry and restarts it with empty state.
    pub(crate) fn kill(&mut self, entry: usize) {
        self.entries[entry] = self.new_entry();
        let document = Box::new(self.document.clone());
        self.handle_event(entry, FleetEvent::Config(document));
    }

    /// Makes the platform unreachable for `duration_ms`.
    pub(crate) fn start_outage(&mut self, duration_ms: u64) {
        self.platform_down_until_ms = self.now_ms + duration_ms;
    }

    /// Makes every entry propose to release an instance from quarantine.
    pub(crate) fn propose_release(&mut self, instance: InstanceId) {
        let incarnation = self.instances[&instance].incarnation;
        for entry in 0..self.entries.len() {
            self.handle_event(
                entry,
                FleetEvent::QuarantineProposal { instance, incarnation, quarantine: false },
            );
        }
    }

    /// Returns the instances whose last maintenance is older than the period, with its age in
    /// seconds.
    pub(crate) fn overdue(&self) -> Vec<(InstanceId, u64)> {
        let period = u64::from(self.document.maintenance.period_hours) * 3_600;
        let rows = self.table.fleet.rows();
        let ages = rows.map(|(instance, _, row)| (instance, self.wall().since(row.maintained_at)));
        ages.filter(|(_, age)| *age > period).collect()
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        for instance in self.instances.values_mut() {
            instance.advance_tasks(self.now_ms, &mut self.random);
        }
        self.update_list();
        self.inject_faults();
        self.deliver_messages();
        self.report_health();
        for entry in 0..self.entries.len() {
            if self.entries[entry].paused_until_ms <= self.now_ms {
                self.handle_event(entry, FleetEvent::Tick { wall: self.wall() });
            }
        }
        self.check_operators();
        self.check_planners();
    }

    fn new_entry(&mut self) -> SimulatedEntry {
        self.incarnations += 1;
        let seed = self.random.random();
        let machine = FleetMachine::new(EntryId(self.incarnations), seed);
        SimulatedEntry {
            machine,
            incarnation: self.incarnations,
            paused_until_ms: 0,
            pending_calls: IndexMap::new(),
        }
    }

    /// Passes an event to an entry and executes the actions that follow.
    fn handle_event(&mut self, entry: usize, event: FleetEvent) {
        let now = Moment::from_millis(self.now_ms);
        let mut actions = Vec::new();
        self.entries[entry].machine.handle(now, event, &mut actions);
        for action in actions {
            self.handle_action(entry, action);
        }
    }

    fn handle_action(&mut self, entry: usize, action: FleetAction) {
        match action {
            FleetAction::Platform { call, request, timeout } => {
                self.send_request(entry, call, request, timeout);
            }
            FleetAction::QueryLoad { instance, epoch } => {
                let Some(target) = self.instances.get(&instance) else { return };
                if target.is_up(self.now_ms) {
                    let load = target.load(self.now_ms);
                    self.handle_event(entry, FleetEvent::Load { instance, epoch, load });
                }
            }
            FleetAction::StopWork { instance, incarnation } => {
                if let Some(target) = self.instances.get_mut(&instance) {
                    if target.incarnation == incarnation {
                        target.task_ends_ms.clear();
                    }
                }
            }
            FleetAction::Answer { call, answer } => {
                let requested_ms = self.entries[entry].pending_calls.shift_remove(&call);
                assert!(requested_ms.is_some(), "a call is answered exactly once");
                self.answers.push(answer);
            }
            FleetAction::Record(_) => {}
        }
    }

    /// Sends a request to the platform; the request or its reply may be lost or late.
    fn send_request(
        &mut self,
        entry: usize,
        call: FleetCallId,
        request: PlatformRequest,
        timeout: Duration,
    ) {
        let incarnation = self.entries[entry].incarnation;
        let is_down = self.now_ms < self.platform_down_until_ms;
        let is_lost = is_down || self.random.random_bool(self.faults.lost_message);
        let message = |due_ms, body| SimulatedMessage { due_ms, entry, incarnation, call, body };
        if !is_lost {
            let body = MessageBody::Request(request, ReplyDelivery::Delivered);
            let due_ms = self.now_ms + self.random.random_range(5..90);
            return self.messages.push(message(due_ms, body));
        }
        let timeout_ms = u64::try_from(timeout.as_millis()).unwrap();
        let failure = MessageBody::Reply(PlatformReply::Failed(CallFailure::Unknown));
        self.messages.push(message(self.now_ms + timeout_ms, failure));
        let arrives_late = !is_down && self.random.random_bool(0.7);
        if arrives_late {
            // The request may take effect long after the entry's timeout.
            let due_ms = self.now_ms + self.random.random_range(5..8_000);
            let body = MessageBody::Request(request, ReplyDelivery::Lost);
            self.messages.push(message(due_ms, body));
        }
    }

    fn deliver_messages(&mut self) {
        let now_ms = self.now_ms;
        let (mut due, later): (Vec<SimulatedMessage>, Vec<SimulatedMessage>) =
            std::mem::take(&mut self.messages).into_iter().partition(|message| {
                let entry = &self.entries[message.entry];
                let is_reply = matches!(message.body, MessageBody::Reply(_));
                message.due_ms <= now_ms && (!is_reply || entry.paused_until_ms <= now_ms)
            });
        self.messages = later;
        due.sort_by_key(|message| message.due_ms);
        for message in due {
            match message.body {
                MessageBody::Request(request, delivery) => {
                    let reply = self.handle_request(&request);
                    if delivery == ReplyDelivery::Delivered {
                        let due_ms = now_ms + self.random.random_range(5..90);
                        let body = MessageBody::Reply(reply);
                        self.messages.push(SimulatedMessage { due_ms, body, ..message });
                    }
                }
                MessageBody::Reply(reply) => {
                    if self.entries[message.entry].incarnation == message.incarnation {
                        let call = message.call;
                        self.handle_event(message.entry, FleetEvent::Platform { call, reply });
                    }
                }
            }
        }
    }

    fn handle_request(&mut self, request: &PlatformRequest) -> PlatformReply {
        match request {
            PlatformRequest::Transact(transaction) => {
                PlatformReply::Transaction(self.table.transact(transaction, &self.document))
            }
            PlatformRequest::Read(read) => PlatformReply::Rows(self.table.read(read)),
            PlatformRequest::Resolve(token) => PlatformReply::Resolved(self.table.resolve(*token)),
            PlatformRequest::Instances => PlatformReply::Instances(self.list.clone()),
            PlatformRequest::Order(instance, order) => {
                let may_stop_tasks = self.table.fleet.row(*instance).is_some_and(|row| row.force);
                let now_ms = self.now_ms;
                let target = self.instances.get_mut(instance);
                if target.is_some_and(|target| target.handle_order(now_ms, order, may_stop_tasks)) {
                    PlatformReply::Ordered
                } else {
                    PlatformReply::Failed(CallFailure::NotSent)
                }
            }
        }
    }

    fn update_list(&mut self) {
        if self.now_ms >= self.listed_at_ms + LIST_INTERVAL_MS {
            self.listed_at_ms = self.now_ms;
            let now_ms = self.now_ms;
            self.list = self.instances.values().map(|target| target.record(now_ms)).collect();
        }
    }

    /// Reports each instance that went down or came back, or whose row does not match, to a random
    /// entry with a probability of 10 % per step.
    fn report_health(&mut self) {
        let instances: Vec<InstanceId> = self.instances.keys().copied().collect();
        for instance in instances {
            let target = &self.instances[&instance];
            let is_down = !target.is_up(self.now_ms);
            let is_failed = self
                .table
                .fleet
                .row(instance)
                .is_some_and(|row| row.state == InstanceState::Failed);
            let needs_report = target.last_check_failed != is_down || (is_failed != is_down);
            if !needs_report || !self.random.random_bool(0.1) {
                continue;
            }
            let incarnation = target.incarnation;
            self.instances[&instance].last_check_failed = is_down;
            let entry = self.random.random_range(0..self.entries.len());
            if self.entries[entry].paused_until_ms <= self.now_ms {
                self.handle_event(
                    entry,
                    FleetEvent::Health { instance, incarnation, healthy: !is_down },
                );
            }
        }
    }

    fn inject_faults(&mut self) {
        let faults = self.faults;
        let entry = self.random.random_range(0..self.entries.len());
        if self.random.random_bool(faults.entry_kill) {
            self.kill(entry);
        }
        if self.random.random_bool(faults.entry_pause) {
            let pause_ms = self.random.random_range(500..30_000);
            self.entries[entry].paused_until_ms = self.now_ms + pause_ms;
            for requested_ms in self.entries[entry].pending_calls.values_mut() {
                *requested_ms += pause_ms;
            }
        }
        if self.random.random_bool(faults.platform_outage) {
            self.platform_down_until_ms = self.now_ms + self.random.random_range(500..20_000);
        }
        self.crash_instances(faults);
        if self.random.random_bool(faults.operator_request) {
            let request = self.random_request();
            if self.entries[entry].paused_until_ms <= self.now_ms {
                self.send_operator_request(entry, request);
            }
        }
        if self.random.random_bool(faults.quarantine_proposal) {
            let instance = self.random_instance();
            let quarantine = self.random.random_bool(0.4);
            let incarnation = self.instances[&instance].incarnation;
            self.handle_event(
                entry,
                FleetEvent::QuarantineProposal { instance, incarnation, quarantine },
            );
        }
    }

    fn crash_instances(&mut self, faults: FaultRates) {
        let down_ms = self.random.random_range(1_000..200_000);
        if self.random.random_bool(faults.instance_crash) {
            let instance = self.random_instance();
            self.instances[&instance].crash(self.now_ms, down_ms);
        }
        if self.random.random_bool(faults.group_crash) {
            let victim = self.random_instance();
            let victim = self.instances[&victim].clone();
            let is_whole_zone = self.random.random_bool(0.3);
            for target in self.instances.values_mut() {
                if target.rack == victim.rack || (is_whole_zone && target.zone == victim.zone) {
                    target.crash(self.now_ms, down_ms);
                }
            }
        }
        if let Some(image) = &self.bad_image {
            for target in self.instances.values_mut() {
                if target.image == *image && self.random.random_bool(0.01) {
                    target.crash(self.now_ms, 20_000);
                }
            }
        }
    }

    fn random_instance(&mut self) -> InstanceId {
        let index = self.random.random_range(0..self.instances.len());
        *self.instances.get_index(index).unwrap().0
    }

    fn random_request(&mut self) -> OperatorRequest {
        let instance = self.random_instance();
        let pools: Vec<PoolId> = self.document.pools.keys().copied().collect();
        let pool = *pools.choose(&mut self.random).unwrap();
        let force = self.random.random_bool(0.2);
        match self.random.random_range(0..14) {
            0 => OperatorRequest::Drain { instance, force },
            1..=3 => OperatorRequest::Undrain { instance },
            4..=6 => {
                let dry_run = self.random.random_bool(0.2);
                OperatorRequest::Move { instance, pool, force, dry_run }
            }
            7 => OperatorRequest::ShowMaintenance,
            8 => OperatorRequest::PauseMaintenance { paused: self.random.random_bool(0.2) },
            9 => OperatorRequest::StartRollout { pool },
            10 => OperatorRequest::PauseRollout { pool },
            11 => OperatorRequest::ResumeRollout { pool },
            12 => OperatorRequest::RollBack { pool },
            _ => OperatorRequest::ShowRollouts,
        }
    }

    /// Asserts that the lease allows at most one planner, although steps are safe with two.
    fn check_planners(&self) {
        let now = Moment::from_millis(self.now_ms);
        let planners = self.entries.iter().filter(|entry| entry.machine.is_planner(now)).count();
        assert!(planners <= 1, "{planners} entries plan at {} ms", self.now_ms);
    }

    /// Asserts that no operator request exceeds its deadline; pauses of its entry do not count.
    fn check_operators(&self) {
        for entry in &self.entries {
            for requested_ms in entry.pending_calls.values() {
                let waited_ms = self.now_ms.saturating_sub(*requested_ms);
                assert!(
                    waited_ms <= OPERATOR_DEADLINE_MS,
                    "an operator request is unanswered after {waited_ms} ms"
                );
            }
        }
    }
}
