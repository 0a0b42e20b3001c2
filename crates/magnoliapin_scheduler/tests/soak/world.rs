//! Virtual time: nodes, store, targets and clients, and the messages between them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_scheduler::CallId;
use magnoliapin_scheduler::ClientId;
use magnoliapin_scheduler::NodeAction;
use magnoliapin_scheduler::NodeEvent;
use magnoliapin_scheduler::NodeMachine;
use magnoliapin_scheduler::PeerId;
use magnoliapin_site::CallFailure;
use magnoliapin_site::ClientAnswer;
use magnoliapin_site::EndedRun;
use magnoliapin_site::InstanceName;
use magnoliapin_site::InstanceReply;
use magnoliapin_site::InstanceRequest;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;
use magnoliapin_site::RunEnd;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;
use magnoliapin_site::TargetState;
use magnoliapin_site::TaskName;
use magnoliapin_site::ZoneName;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::clients::ClientBook;
use crate::clients::ClientStep;
use crate::faults::FaultState;
use crate::faults::FaultStep;
use crate::faults::StoreMode;
use crate::instances::InstanceService;
use crate::judge::Judge;
use crate::site;
use crate::store::FakeStore;
use crate::target::FakeTarget;
use crate::target::TaskPlan;

/// Time between two ticks of a node.
pub(crate) const TICK: Duration = Duration::from_millis(20);
/// Wall clock at the start.
const START_WALL: u64 = 1_790_000_000_000;
/// End of the load and of the faults.
pub(crate) const LOAD_END: Duration = Duration::from_secs(30);
/// End of the run: all that was accepted must have ended by then.
const RUN_END: Duration = Duration::from_secs(75);

/// One node.
pub(crate) struct NodeSlot {
    pub(crate) machine: Option<NodeMachine>,
    pub(crate) life: u64,
    pub(crate) zone: usize,
    pub(crate) paused_until: Moment,
    started: Moment,
    /// Calls that have not been answered.
    open: BTreeSet<CallId>,
}

/// Something that happens at a moment.
pub(crate) enum Event {
    Tick(usize, u64),
    StoreCall(usize, u64, CallId, StoreRequest),
    StoreWaitOver(u64),
    ToNode(usize, u64, NodeEvent),
    TargetCall(usize, u64, CallId, usize, u64, TargetRequest, bool),
    TargetWaitOver(u64),
    PeerCall(usize, u64, CallId, usize, PeerRequest),
    PeerAnswer(PeerId, PeerReply),
    Timeout(usize, u64, CallId, CallKind),
    InstanceCall(usize, u64, CallId, InstanceRequest),
    InstanceBack(usize),
    WaveBegins,
    Check,
    Beat(usize),
    Client(ClientStep),
    Fault(FaultStep),
}

/// What a call is made to.
#[derive(Clone, Copy)]
pub(crate) enum CallKind {
    Store,
    Target,
    Peer,
    Instances,
}

pub(crate) struct WaitingWatch {
    pub(crate) node: usize,
    pub(crate) life: u64,
    pub(crate) call: CallId,
    pub(crate) request: StoreRequest,
}

pub(crate) struct WaitingHold {
    pub(crate) node: usize,
    pub(crate) life: u64,
    pub(crate) call: CallId,
    pub(crate) target: usize,
    pub(crate) target_life: u64,
}

/// Everything there is.
pub(crate) struct World {
    pub(crate) now: Moment,
    pub(crate) random: Pcg64Mcg,
    queue: BTreeMap<(Moment, u64), Event>,
    pub(crate) last_event: u64,
    pub(crate) nodes: Vec<NodeSlot>,
    pub(crate) store: FakeStore,
    pub(crate) targets: Vec<FakeTarget>,
    /// When each target last reached the store.
    pub(crate) beats: Vec<Moment>,
    pub(crate) watches: BTreeMap<u64, WaitingWatch>,
    pub(crate) holds: BTreeMap<u64, WaitingHold>,
    /// Who asked a node, which call it was, and the node that was asked.
    pub(crate) peers: BTreeMap<PeerId, (usize, u64, CallId, usize)>,
    pub(crate) faults: FaultState,
    pub(crate) clients: ClientBook,
    pub(crate) judge: Judge,
    pub(crate) service: InstanceService,
    /// Looks in a row at which a task that lasts did not run though there was room.
    pub(crate) idle_checks: BTreeMap<TaskName, u32>,
}

impl World {
    pub(crate) fn new(seed: u64, longest_fault_ms: u64, has_fleet: bool) -> Self {
        let mut world = Self {
            now: Moment::START,
            random: Pcg64Mcg::seed_from_u64(seed),
            queue: BTreeMap::new(),
            last_event: 0,
            nodes: Vec::new(),
            store: FakeStore::default(),
            targets: Vec::new(),
            beats: Vec::new(),
            watches: BTreeMap::new(),
            holds: BTreeMap::new(),
            peers: BTreeMap::new(),
            faults: FaultState::default(),
            clients: ClientBook::default(),
            judge: Judge::default(),
            service: InstanceService::default(),
            idle_checks: BTreeMap::new(),
        };
        world.store.set_config(site::config(1, has_fleet));
        for number in 0..site::POOLS * site::TARGETS_PER_POOL {
            world.add_target(number);
        }
        for node in 0..site::NODES {
            world.nodes.push(NodeSlot {
                machine: None,
                life: 0,
                zone: node % site::ZONES,
                paused_until: Moment::START,
                started: Moment::START,
                open: BTreeSet::new(),
            });
            world.start_node(node);
        }
        if has_fleet {
            for number in 0..site::STANDBYS {
                world.add_target(site::POOLS * site::TARGETS_PER_POOL + number);
            }
            world.plan_instances();
            world.plan_lasting();
        }
        world.plan_clients();
        world.plan_faults(longest_fault_ms);
        world
    }

    fn add_target(&mut self, number: usize) {
        let zone = number % site::ZONES;
        let record = TargetRecord {
            name: TargetName::new(&format!("i-{number}")),
            born_at: UnixMillis(START_WALL + number as u64),
            pool: site::pool_name(number % site::POOLS),
            address: format!("10.0.0.{}:80", number + 1).parse().expect("an address"),
            zone: ZoneName::new(&format!("zone-{zone}")),
            state: TargetState::Ready,
            capacity: site::target_capacity(),
            labels: vec![format!("r{zone}")],
            instance: Some(InstanceName::new(&format!("m-{number}"))),
        };
        let rate = 1.0 - self.random.random_range(0.0..0.02);
        let mut target = FakeTarget::new(record, zone, self.now, rate);
        if number >= site::POOLS * site::TARGETS_PER_POOL {
            target.record.pool = site::standby_pool();
            target.is_up = false;
        }
        self.targets.push(target);
        self.beats.push(Moment::START);
        self.at(Duration::from_millis(number as u64), Event::Beat(number));
    }

    pub(crate) fn start_node(&mut self, node: usize) {
        let seed = self.random.random();
        let slot = &mut self.nodes[node];
        slot.life += 1;
        slot.started = self.now;
        slot.open.clear();
        slot.machine = Some(NodeMachine::new(&site::settings(node), seed));
        let life = slot.life;
        self.at(Duration::ZERO, Event::Tick(node, life));
    }

    /// Schedules an event.
    pub(crate) fn at(&mut self, after: Duration, event: Event) {
        self.last_event += 1;
        self.queue.insert((self.now + after, self.last_event), event);
    }

    pub(crate) fn run(&mut self) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > Moment::START + RUN_END {
                break;
            }
            self.now = at;
            self.advance_targets();
            self.handle(event);
        }
    }

    /// Returns what was broken.
    pub(crate) fn verdict(&mut self) -> Vec<String> {
        let mut broken = std::mem::take(&mut self.judge.broken);
        for (job, known) in &self.judge.jobs {
            if known.accepted_at.is_some() && known.shown.is_none() {
                let steps = &known.spec.steps;
                let gang = steps.iter().any(|step| step.gang);
                let long = known.spec.is_long_running();
                let at = known.accepted_at.unwrap_or_default().0 / 1_000_000;
                let cancelled = known.cancelled_at.is_some();
                broken.push(format!(
                    "{job}: accepted at {at} s and never shown as ended; steps {} gang {gang} \
                     long {long} cancelled {cancelled}",
                    steps.len()
                ));
            }
        }
        if self.has_fleet() && !self.is_wave_over() {
            broken.push("the wave is not completed".to_owned());
        }
        if self.judge.starts < 100 {
            broken.push(format!("only {} tasks were started", self.judge.starts));
        }
        broken.truncate(5);
        broken
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(node, life) => {
                if self.nodes[node].life == life {
                    let wall = self.wall();
                    self.tell_node(node, life, NodeEvent::WallClock(wall));
                    self.tell_node(node, life, NodeEvent::Tick);
                    self.at(TICK, Event::Tick(node, life));
                }
            }
            Event::StoreCall(node, life, call, request) => {
                self.store_call(node, life, call, request);
            }
            Event::StoreWaitOver(watch) => self.end_watch(watch),
            Event::ToNode(node, life, event) => self.tell_node(node, life, event),
            Event::TargetCall(node, life, call, target, target_life, request, is_late) => {
                self.target_call(node, life, call, target, target_life, &request, is_late);
            }
            Event::TargetWaitOver(hold) => self.end_hold(hold),
            Event::PeerCall(node, life, call, to, request) => {
                self.peer_call(node, life, call, to, request);
            }
            Event::PeerAnswer(peer, reply) => self.peer_answer(peer, reply),
            Event::Timeout(node, life, call, kind) => {
                let failure = CallFailure::Unknown;
                let event = match kind {
                    CallKind::Store => NodeEvent::Store(call, StoreReply::Failed(failure)),
                    CallKind::Target => NodeEvent::Target(call, TargetReply::Failed(failure)),
                    CallKind::Peer => NodeEvent::Peer(call, PeerReply::Failed(failure)),
                    CallKind::Instances => {
                        NodeEvent::Instances(call, InstanceReply::Failed(failure))
                    }
                };
                self.tell_node(node, life, event);
            }
            Event::InstanceCall(node, life, call, request) => {
                self.instance_call(node, life, call, &request);
            }
            Event::InstanceBack(number) => self.instance_back(number),
            Event::WaveBegins => self.begin_wave(),
            Event::Check => self.check_lasting(),
            Event::Beat(target) => self.beat(target),
            Event::Client(step) => self.client_step(step),
            Event::Fault(step) => self.fault_step(step),
        }
    }

    pub(crate) fn wall(&self) -> UnixMillis {
        UnixMillis(START_WALL + self.now.0 / 1000)
    }

    /// Hands an event to a node and carries out what follows.
    pub(crate) fn tell_node(&mut self, node: usize, life: u64, event: NodeEvent) {
        let slot = &mut self.nodes[node];
        if slot.life != life || slot.machine.is_none() {
            return;
        }
        if self.now < slot.paused_until {
            let wait = slot.paused_until.since(self.now);
            return self.at(wait, Event::ToNode(node, life, event));
        }
        let call = match &event {
            NodeEvent::Store(call, _)
            | NodeEvent::Target(call, _)
            | NodeEvent::Peer(call, _)
            | NodeEvent::Instances(call, _) => Some(*call),
            _ => None,
        };
        if call.is_some_and(|call| !slot.open.remove(&call)) {
            return;
        }
        let Some(machine) = &mut slot.machine else { return };
        let mut actions = Vec::new();
        crate::journal::set_now(self.now.0, node);
        let since = Moment(self.now.since(slot.started).as_micros() as u64);
        machine.handle(since, event, &mut actions);
        machine.finish(&mut actions);
        for action in actions {
            self.carry_out(node, life, action);
        }
    }

    fn carry_out(&mut self, node: usize, life: u64, action: NodeAction) {
        match action {
            NodeAction::Answer(client, answer) => self.client_answer(client, &answer),
            NodeAction::Store { call, request, timeout } => {
                self.nodes[node].open.insert(call);
                self.at(timeout, Event::Timeout(node, life, call, CallKind::Store));
                let delay = self.store_delay();
                self.at(delay, Event::StoreCall(node, life, call, request));
            }
            NodeAction::Target { call, target, address, request, timeout } => {
                self.nodes[node].open.insert(call);
                self.at(timeout, Event::Timeout(node, life, call, CallKind::Target));
                let number = self.targets.iter().position(|known| known.record.address == address);
                let Some(number) = number else { return };
                let delay = self.delay();
                let record = &self.targets[number].record;
                // An instance that was moved has another target at the same address.
                let target_life = if record.name == target { record.born_at.0 } else { 0 };
                let is_late = !matches!(request, TargetRequest::Hold { .. })
                    && self.random.random_bool(self.faults.late_orders);
                let event =
                    Event::TargetCall(node, life, call, number, target_life, request, is_late);
                if is_late {
                    let late = Duration::from_millis(self.random.random_range(2000..12_000));
                    self.at(late, event);
                } else {
                    self.at(delay, event);
                }
            }
            NodeAction::Peer { call, address, request, timeout } => {
                self.nodes[node].open.insert(call);
                self.at(timeout, Event::Timeout(node, life, call, CallKind::Peer));
                let to = (0..site::NODES).find(|to| site::node_address(*to) == address);
                let Some(to) = to else { return };
                let delay = self.delay();
                self.at(delay, Event::PeerCall(node, life, call, to, request));
            }
            NodeAction::AnswerPeer(peer, reply) => {
                let delay = self.delay();
                self.at(delay, Event::PeerAnswer(peer, reply));
            }
            NodeAction::Instances { call, request, timeout } => {
                if self.has_fleet() {
                    self.nodes[node].open.insert(call);
                    self.at(timeout, Event::Timeout(node, life, call, CallKind::Instances));
                    let delay = self.delay();
                    self.at(delay, Event::InstanceCall(node, life, call, request));
                }
            }
            NodeAction::Advice { .. } => {}
        }
    }

    pub(crate) fn plan(&mut self, task: TaskName, target: usize) -> TaskPlan {
        let job = self.judge.jobs.get(&task.job);
        let spec = job.and_then(|job| job.spec.steps.get(usize::from(task.step)));
        let length = self.random.random_range(200..1500);
        let fails = if self.faults.bad_target == Some(target) { 0.9 } else { 0.02 };
        TaskPlan {
            demand: spec.map(|spec| spec.demand).unwrap_or_default(),
            length: match spec.is_some_and(|spec| spec.long_running) {
                true => Duration::from_secs(1000),
                false => Duration::from_millis(length),
            },
            end: if self.random.random_bool(fails) { RunEnd::Failed } else { RunEnd::Done },
        }
    }

    /// Ends the runs whose time has come, and answers the holds that waited for them.
    fn advance_targets(&mut self) {
        let now = self.now;
        for number in 0..self.targets.len() {
            if !self.targets[number].is_up {
                continue;
            }
            let born = self.targets[number].record.born_at.0;
            let ends: Vec<EndedRun> = self.targets[number].advance(now);
            for end in &ends {
                self.judge.end(now, number, born, end.run, end.end, end.number);
            }
            if !ends.is_empty() {
                let waiting: Vec<u64> = self
                    .holds
                    .iter()
                    .filter(|(_, hold)| hold.target == number)
                    .map(|(hold, _)| *hold)
                    .collect();
                for hold in waiting {
                    self.end_hold(hold);
                }
            }
        }
    }

    /// Lets a target renew its registration, and drops those that have been silent.
    fn beat(&mut self, number: usize) {
        let zone = self.targets[number].zone;
        let reaches = self.targets[number].is_up
            && !self.faults.is_zone_cut_from_store(zone)
            && self.faults.store != StoreMode::Silent;
        if reaches {
            self.beats[number] = self.now;
            let record = self.targets[number].record.clone();
            self.store.register(record);
        } else if self.now.since(self.beats[number]) > site::HEARTBEAT * 3 {
            let name = self.targets[number].record.name.clone();
            self.store.unregister(&name);
        }
        self.answer_watches();
        self.at(site::HEARTBEAT, Event::Beat(number));
    }

    /// Returns whether nothing has kept a node from the store lately.
    pub(crate) fn is_in_touch(&self, node: usize) -> bool {
        const CONTACT_TIME: Duration = Duration::from_secs(3);
        self.faults.store == StoreMode::Up
            && !self.faults.is_cut_from_store(node, self.nodes[node].zone)
            && self.now.since(self.faults.changed_at) > CONTACT_TIME
    }

    fn client_answer(&mut self, client: ClientId, answer: &ClientAnswer) {
        self.take_answer(client, answer);
    }
}
