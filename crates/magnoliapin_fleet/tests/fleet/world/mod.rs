//! A tiny world in virtual time: several fleet machines, one table, some instances, and faults.

mod instance;
mod table;

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_fleet::FleetAction;
use magnoliapin_fleet::FleetCall;
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

pub(crate) use instance::TinyInstance;
pub(crate) use table::TinyTable;

/// Time of one step.
pub(crate) const STEP_MS: u64 = 100;
/// Wall-clock time at the start.
const WALL_START: u64 = 1_800_000_000;
/// The list lags by this much.
const LIST_LAG_MS: u64 = 2_000;
/// An operator is answered within this time.
const OPERATOR_MS: u64 = 20_000;

/// What may go wrong, each as a chance for one step.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultRates {
    /// An answer or request of one call is lost.
    pub(crate) lost: f64,
    /// An entry starts over.
    pub(crate) kill: f64,
    /// An entry is paused for up to 30 seconds.
    pub(crate) pause: f64,
    /// The platform goes down for up to 20 seconds.
    pub(crate) outage: f64,
    /// One instance crashes.
    pub(crate) crash: f64,
    /// A rack or a zone crashes.
    pub(crate) wave: f64,
    /// An operator asks for something.
    pub(crate) operator: f64,
    /// An entry proposes to set an instance apart, or to take it back.
    pub(crate) suspect: f64,
}

/// One entry of the world.
#[derive(Debug)]
struct TinyEntry {
    machine: FleetMachine,
    incarnation: u64,
    paused_until_ms: u64,
    /// Calls of operators without an answer, with the time they were made.
    asked: IndexMap<FleetCall, u64>,
}

/// Something under way between an entry and the platform.
#[derive(Clone, Debug)]
struct TinyMessage {
    due_ms: u64,
    entry: usize,
    incarnation: u64,
    call: FleetCall,
    body: MessageBody,
}

#[derive(Clone, Debug)]
enum MessageBody {
    /// A request with what becomes of its answer.
    Request(PlatformRequest, AnswerFate),
    Reply(PlatformReply),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerFate {
    Comes,
    Lost,
}

/// The whole world.
#[derive(Debug)]
pub(crate) struct TinyWorld {
    pub(crate) now_ms: u64,
    pub(crate) faults: FaultRates,
    pub(crate) table: TinyTable,
    pub(crate) document: ConfigDocument,
    pub(crate) instances: IndexMap<InstanceId, TinyInstance>,
    /// Images whose instances crash soon after they are up.
    pub(crate) bad_image: Option<String>,
    /// Answers of operators so far.
    pub(crate) answers: Vec<OperatorAnswer>,
    entries: Vec<TinyEntry>,
    messages: Vec<TinyMessage>,
    list: Vec<InstanceRecord>,
    listed_at_ms: u64,
    down_until_ms: u64,
    random: Pcg64,
    next_call: u64,
    incarnations: u64,
}

impl TinyWorld {
    /// Makes a world with some entries and no faults.
    pub(crate) fn new(
        seed: u64,
        entries: usize,
        document: ConfigDocument,
        instances: Vec<TinyInstance>,
    ) -> Self {
        let instances = instances.into_iter().map(|instance| (instance.instance, instance));
        let mut world = Self {
            now_ms: 0,
            faults: FaultRates::default(),
            table: TinyTable::default(),
            document,
            instances: instances.collect(),
            bad_image: None,
            answers: Vec::new(),
            entries: Vec::new(),
            messages: Vec::new(),
            list: Vec::new(),
            listed_at_ms: 0,
            down_until_ms: 0,
            random: Pcg64::seed_from_u64(seed),
            next_call: 1 << 40,
            incarnations: 0,
        };
        for _ in 0..entries {
            let entry = world.new_entry();
            world.entries.push(entry);
        }
        world.apply(world.document.clone());
        world
    }

    /// Returns the wall-clock time.
    pub(crate) fn wall(&self) -> UnixSeconds {
        UnixSeconds(WALL_START + self.now_ms / 1_000)
    }

    /// Lets time pass, with faults.
    pub(crate) fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step();
        }
    }

    /// Gives every entry another document.
    pub(crate) fn apply(&mut self, document: ConfigDocument) {
        self.document = document;
        for entry in 0..self.entries.len() {
            let document = Box::new(self.document.clone());
            self.give(entry, FleetEvent::Document(document));
        }
    }

    /// Lets an operator ask something at an entry.
    pub(crate) fn ask(&mut self, entry: usize, request: OperatorRequest) {
        self.next_call += 1;
        let call = FleetCall(self.next_call);
        self.entries[entry].asked.insert(call, self.now_ms);
        self.give(entry, FleetEvent::Operator { call, request });
    }

    /// Lets an entry start over with nothing.
    pub(crate) fn kill(&mut self, entry: usize) {
        self.entries[entry] = self.new_entry();
        let document = Box::new(self.document.clone());
        self.give(entry, FleetEvent::Document(document));
    }

    /// Cuts the platform off for some time.
    pub(crate) fn cut(&mut self, span_ms: u64) {
        self.down_until_ms = self.now_ms + span_ms;
    }

    /// Lets every entry propose to take an instance back.
    pub(crate) fn release(&mut self, instance: InstanceId) {
        let run = self.instances[&instance].run;
        for entry in 0..self.entries.len() {
            self.give(entry, FleetEvent::Suspect { instance, run, suspect: false });
        }
    }

    /// Returns the instances whose maintenance is older than the period, with its age.
    pub(crate) fn overdue(&self) -> Vec<(InstanceId, u64)> {
        let period = u64::from(self.document.maintenance.period_hours) * 3_600;
        let rows = self.table.fleet.rows();
        let ages = rows.map(|(instance, _, row)| (instance, self.wall().since(row.maintained_at)));
        ages.filter(|(_, age)| *age > period).collect()
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        for instance in self.instances.values_mut() {
            instance.work(self.now_ms, &mut self.random);
        }
        self.update_list();
        self.inject_faults();
        self.deliver();
        self.hear_health();
        for entry in 0..self.entries.len() {
            if self.entries[entry].paused_until_ms <= self.now_ms {
                self.give(entry, FleetEvent::Tick { wall: self.wall() });
            }
        }
        self.check_operators();
        self.check_planners();
    }

    fn new_entry(&mut self) -> TinyEntry {
        self.incarnations += 1;
        let seed = self.random.random();
        let machine = FleetMachine::new(EntryId(self.incarnations), seed);
        TinyEntry {
            machine,
            incarnation: self.incarnations,
            paused_until_ms: 0,
            asked: IndexMap::new(),
        }
    }

    fn give(&mut self, entry: usize, event: FleetEvent) {
        let now = Moment::from_millis(self.now_ms);
        let mut actions = Vec::new();
        self.entries[entry].machine.handle(now, event, &mut actions);
        for action in actions {
            self.act(entry, action);
        }
    }

    fn act(&mut self, entry: usize, action: FleetAction) {
        match action {
            FleetAction::Platform { call, request, timeout } => {
                self.send(entry, call, request, timeout);
            }
            FleetAction::AskLoad { instance, epoch } => {
                let Some(target) = self.instances.get(&instance) else { return };
                if target.is_up(self.now_ms) {
                    let load = target.load(self.now_ms);
                    self.give(entry, FleetEvent::Load { instance, epoch, load });
                }
            }
            FleetAction::StopWork { instance, run } => {
                if let Some(target) = self.instances.get_mut(&instance) {
                    if target.run == run {
                        target.tasks.clear();
                    }
                }
            }
            FleetAction::Answer { call, answer } => {
                let asked = self.entries[entry].asked.shift_remove(&call);
                assert!(asked.is_some(), "one answer for each call");
                self.answers.push(answer);
            }
            FleetAction::Record(_) => {}
        }
    }

    /// Puts a request on its way; requests and answers may be lost or late.
    fn send(&mut self, entry: usize, call: FleetCall, request: PlatformRequest, limit: Duration) {
        let incarnation = self.entries[entry].incarnation;
        let is_down = self.now_ms < self.down_until_ms;
        let is_lost = is_down || self.random.random_bool(self.faults.lost);
        let message = |due_ms, body| TinyMessage { due_ms, entry, incarnation, call, body };
        if !is_lost {
            let body = MessageBody::Request(request, AnswerFate::Comes);
            let due_ms = self.now_ms + self.random.random_range(5..90);
            return self.messages.push(message(due_ms, body));
        }
        let timeout_ms = u64::try_from(limit.as_millis()).unwrap();
        let failure = MessageBody::Reply(PlatformReply::Failed(CallFailure::Unknown));
        self.messages.push(message(self.now_ms + timeout_ms, failure));
        let arrives = !is_down && self.random.random_bool(0.7);
        if arrives {
            // The effect may come long after the caller has given up.
            let due_ms = self.now_ms + self.random.random_range(5..8_000);
            let body = MessageBody::Request(request, AnswerFate::Lost);
            self.messages.push(message(due_ms, body));
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (mut due, later): (Vec<TinyMessage>, Vec<TinyMessage>) =
            std::mem::take(&mut self.messages).into_iter().partition(|message| {
                let entry = &self.entries[message.entry];
                let is_reply = matches!(message.body, MessageBody::Reply(_));
                message.due_ms <= now_ms && (!is_reply || entry.paused_until_ms <= now_ms)
            });
        self.messages = later;
        due.sort_by_key(|message| message.due_ms);
        for message in due {
            match message.body {
                MessageBody::Request(request, fate) => {
                    let reply = self.carry_out(&request);
                    if fate == AnswerFate::Comes {
                        let due_ms = now_ms + self.random.random_range(5..90);
                        let body = MessageBody::Reply(reply);
                        self.messages.push(TinyMessage { due_ms, body, ..message });
                    }
                }
                MessageBody::Reply(reply) => {
                    if self.entries[message.entry].incarnation == message.incarnation {
                        let call = message.call;
                        self.give(message.entry, FleetEvent::Platform { call, reply });
                    }
                }
            }
        }
    }

    fn carry_out(&mut self, request: &PlatformRequest) -> PlatformReply {
        match request {
            PlatformRequest::Transact(transaction) => {
                PlatformReply::Transaction(self.table.transact(transaction, &self.document))
            }
            PlatformRequest::Read(read) => PlatformReply::Rows(self.table.read(read)),
            PlatformRequest::Resolve(token) => PlatformReply::Resolved(self.table.resolve(*token)),
            PlatformRequest::Instances => PlatformReply::Instances(self.list.clone()),
            PlatformRequest::Order(instance, order) => {
                let may_cut = self.table.fleet.row(*instance).is_some_and(|row| row.force);
                let now_ms = self.now_ms;
                let target = self.instances.get_mut(instance);
                if target.is_some_and(|target| target.take_order(now_ms, order, may_cut)) {
                    PlatformReply::Ordered
                } else {
                    PlatformReply::Failed(CallFailure::NotSent)
                }
            }
        }
    }

    fn update_list(&mut self) {
        if self.now_ms >= self.listed_at_ms + LIST_LAG_MS {
            self.listed_at_ms = self.now_ms;
            let now_ms = self.now_ms;
            self.list = self.instances.values().map(|target| target.record(now_ms)).collect();
        }
    }

    /// Some entry finds out about each instance that went down or came back.
    fn hear_health(&mut self) {
        let instances: Vec<InstanceId> = self.instances.keys().copied().collect();
        for instance in instances {
            let target = &self.instances[&instance];
            let is_down = !target.is_up(self.now_ms);
            let is_failed =
                self.table.fleet.row(instance).is_some_and(|r| r.state == InstanceState::Failed);
            let is_news = target.seen_down != is_down || (is_failed != is_down);
            if !is_news || !self.random.random_bool(0.1) {
                continue;
            }
            let run = target.run;
            self.instances[&instance].seen_down = is_down;
            let entry = self.random.random_range(0..self.entries.len());
            if self.entries[entry].paused_until_ms <= self.now_ms {
                self.give(entry, FleetEvent::Health { instance, run, healthy: !is_down });
            }
        }
    }

    fn inject_faults(&mut self) {
        let faults = self.faults;
        let entry = self.random.random_range(0..self.entries.len());
        if self.random.random_bool(faults.kill) {
            self.kill(entry);
        }
        if self.random.random_bool(faults.pause) {
            let pause_ms = self.random.random_range(500..30_000);
            self.entries[entry].paused_until_ms = self.now_ms + pause_ms;
            for asked_ms in self.entries[entry].asked.values_mut() {
                *asked_ms += pause_ms;
            }
        }
        if self.random.random_bool(faults.outage) {
            self.down_until_ms = self.now_ms + self.random.random_range(500..20_000);
        }
        self.crash_some(faults);
        if self.random.random_bool(faults.operator) {
            let request = self.random_request();
            if self.entries[entry].paused_until_ms <= self.now_ms {
                self.ask(entry, request);
            }
        }
        if self.random.random_bool(faults.suspect) {
            let instance = self.random_instance();
            let suspect = self.random.random_bool(0.4);
            let run = self.instances[&instance].run;
            self.give(entry, FleetEvent::Suspect { instance, run, suspect });
        }
    }

    fn crash_some(&mut self, faults: FaultRates) {
        let down_ms = self.random.random_range(1_000..200_000);
        if self.random.random_bool(faults.crash) {
            let instance = self.random_instance();
            self.instances[&instance].crash(self.now_ms, down_ms);
        }
        if self.random.random_bool(faults.wave) {
            let victim = self.random_instance();
            let victim = self.instances[&victim].clone();
            let whole_zone = self.random.random_bool(0.3);
            for target in self.instances.values_mut() {
                if target.rack == victim.rack || (whole_zone && target.zone == victim.zone) {
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
        let place = self.random.random_range(0..self.instances.len());
        *self.instances.get_index(place).unwrap().0
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

    /// Steps would be safe with two planners, but the lease should keep it to one.
    fn check_planners(&self) {
        let now = Moment::from_millis(self.now_ms);
        let planners = self.entries.iter().filter(|entry| entry.machine.is_planner(now)).count();
        assert!(planners <= 1, "{planners} entries plan at {} ms", self.now_ms);
    }

    fn check_operators(&self) {
        for entry in &self.entries {
            for asked_ms in entry.asked.values() {
                let waited_ms = self.now_ms.saturating_sub(*asked_ms);
                assert!(waited_ms <= OPERATOR_MS, "an operator waits for {waited_ms} ms");
            }
        }
    }
}
