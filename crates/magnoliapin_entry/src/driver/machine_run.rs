//! The run of one machine: events in, actions out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use futures_lite::future;
use futures_lite::FutureExt;
use indexmap::IndexMap;
use magnoliapin_fleet::OperatorRequest;
use magnoliapin_model::EntryId;
use magnoliapin_model::KeyHash;
use magnoliapin_model::UnixMillis;
use magnoliapin_policy::CallId;
use magnoliapin_policy::EntryAction;
use magnoliapin_policy::EntryEvent;
use magnoliapin_policy::EntryMachine;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::PeerEnvelope;
use magnoliapin_wire::PeerMessage;
use smol::Timer;

use crate::driver::fleet_run::FleetRun;
use crate::driver::CallTable;
use crate::driver::CallTarget;
use crate::driver::DriverEvent;
use crate::driver::EntryDriver;
use crate::driver::MachineNumber;
use crate::driver::OperatorOutcome;
use crate::metrics::DatagramFate;
use crate::metrics::EventName;
use crate::TargetCall;

/// Longest time between two ticks of the machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two tellings of the wall clock.
const WALL_INTERVAL: Duration = Duration::from_secs(1);
/// Events handled before other tasks of the thread get their turn.
const EVENTS_PER_TURN: usize = 128;

/// How the run of one machine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunEnd {
    Stopped,
    Restart,
    Closed,
}

/// The run of one machine.
pub(super) struct MachineRun<'a> {
    driver: &'a EntryDriver,
    number: MachineNumber,
    machine: EntryMachine,
    entry: EntryId,
    sequence: u64,
    waiting: IndexMap<CallId, Sender<CallerAnswer>>,
    calls: CallTable,
    fleet: FleetRun,
    actions: Vec<EntryAction>,
    next_tick: Instant,
    next_wall: Instant,
    end: Option<RunEnd>,
}

impl<'a> MachineRun<'a> {
    pub(super) fn new(driver: &'a EntryDriver) -> Self {
        let state = &driver.state;
        let number = state.next_machine();
        let machine = driver.make_machine(number);
        let entry = machine.identity().entry;
        state.begin_machine(entry);
        driver.metrics.count_machine();
        log::info!("event=machine_started entry={entry}");
        Self {
            driver,
            number,
            machine,
            entry,
            sequence: 0,
            waiting: IndexMap::new(),
            calls: CallTable::default(),
            fleet: FleetRun::new(entry, entry.0, number),
            actions: Vec::new(),
            next_tick: Instant::now(),
            next_wall: Instant::now(),
            end: None,
        }
    }

    pub(super) async fn run(&mut self) -> RunEnd {
        if self.driver.state.is_stopping() {
            self.handle(EntryEvent::Stop);
        }
        loop {
            self.handle_ready();
            if let Some(end) = self.end {
                return end;
            }
            self.driver.metrics.set_waiting_events(self.driver.events.len());
            // Lets the tasks of the same thread run even if events never end.
            future::yield_now().await;
            if self.driver.events.is_empty() {
                self.wait().await;
            }
        }
    }

    /// Handles a tick that is due and the events that wait, up to a bound.
    fn handle_ready(&mut self) {
        if Instant::now() >= self.next_tick {
            self.next_tick = Instant::now() + TICK_INTERVAL;
            self.handle(EntryEvent::Tick);
            self.tell_wall_clock();
            self.driver.metrics.set_policy(&self.machine.counts());
            self.fleet.tick(self.driver, &self.machine);
        }
        for _ in 0..EVENTS_PER_TURN {
            let Ok(event) = self.driver.events.try_recv() else {
                break;
            };
            self.take(event);
            if self.end.is_some() {
                break;
            }
        }
        let is_ready = self.machine.is_ready();
        self.driver.state.set_ready(is_ready);
    }

    fn tell_wall_clock(&mut self) {
        if Instant::now() >= self.next_wall {
            self.next_wall = Instant::now() + WALL_INTERVAL;
            let wall = UnixMillis(self.driver.clock.wall_micros() / 1_000);
            self.handle(EntryEvent::WallClock(wall));
        }
    }

    /// Waits for an event or the next tick.
    async fn wait(&mut self) {
        let tick = async {
            Timer::at(self.next_tick).await;
            None
        };
        let event = async { Some(self.driver.events.recv().await) };
        match event.or(tick).await {
            Some(Ok(event)) => self.take(event),
            Some(Err(_)) => self.end = Some(RunEnd::Closed),
            None => {}
        }
    }

    fn take(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::Machine(EntryEvent::CallerGone(call)) => {
                if self.waiting.swap_remove(&call).is_some() {
                    self.handle(EntryEvent::CallerGone(call));
                }
            }
            DriverEvent::Machine(event) => self.handle(event),
            DriverEvent::Reply(number, event) => self.take_reply(number, event),
            DriverEvent::Operator(key, request, answers) => self.operate(key, request, answers),
            DriverEvent::FleetReply(number, task, event) => {
                if number == self.fleet.number() {
                    self.fleet.take_reply(self.driver, &self.machine, task, event);
                }
            }
            DriverEvent::Caller(call, request, answers) => {
                self.waiting.insert(call, answers);
                self.handle(EntryEvent::Caller { call, request });
            }
        }
    }

    /// Hands an operator's request to the fleet if the key is an operator's.
    fn operate(
        &mut self,
        key: Option<KeyHash>,
        request: OperatorRequest,
        answers: Sender<OperatorOutcome>,
    ) {
        match self.machine.check_operator(self.driver.clock.now(), key) {
            Ok(_) => self.fleet.take_operator(self.driver, &self.machine, request, answers),
            Err(refusal) => {
                let _ = answers.try_send(Err(refusal));
            }
        }
    }

    fn take_reply(&mut self, number: MachineNumber, event: EntryEvent) {
        if number != self.number {
            self.driver.metrics.count_event(EventName::Outdated, Duration::ZERO);
            return;
        }
        match &event {
            EntryEvent::Platform { call, .. } => self.calls.remove(CallTarget::Platform, *call),
            EntryEvent::Target { call, .. } => self.calls.remove(CallTarget::Target, *call),
            _ => {}
        }
        self.handle(event);
    }

    fn handle(&mut self, event: EntryEvent) {
        let name = EventName::of(&event);
        let started = Instant::now();
        let mut actions = std::mem::take(&mut self.actions);
        self.machine.handle(self.driver.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action);
        }
        self.actions = actions;
        self.driver.metrics.count_event(name, started.elapsed());
    }

    fn carry_out(&mut self, action: EntryAction) {
        match action {
            EntryAction::Answer { call, answer } => self.answer(call, answer),
            EntryAction::Platform { call, request, timeout } => {
                let platform = Arc::clone(&self.driver.platform);
                let reply = async move { platform.call(request, timeout).await };
                self.calls.start_platform(self.driver, self.number, call, reply);
            }
            EntryAction::Target {
                call,
                instance: _,
                address,
                request,
                timeout,
                new_connection,
                send_before,
            } => {
                let targets = Arc::clone(&self.driver.targets);
                let target_call =
                    TargetCall { address, request, timeout, new_connection, send_before };
                let reply = async move { targets.call(target_call).await };
                self.calls.start_target(self.driver, self.number, call, reply);
            }
            EntryAction::Send { address, to, message } => self.send(address, to, message),
            EntryAction::Record(event) => {
                let wall_us = self.driver.clock.wall_micros();
                let zone = self.driver.identity.zone;
                if self.driver.state.timeline().push(wall_us, self.entry, zone, event) {
                    self.driver.metrics.count_timeline_drop();
                }
            }
            EntryAction::Stopped => self.end = Some(RunEnd::Stopped),
            EntryAction::Restart => self.end = Some(RunEnd::Restart),
        }
    }

    fn answer(&mut self, call: CallId, mut answer: CallerAnswer) {
        if let CallerAnswer::Applied { warnings, .. } = &mut answer {
            warnings.extend(self.fleet.warnings(&self.machine));
        }
        // A caller that hung up is no longer in the table.
        if let Some(answers) = self.waiting.swap_remove(&call) {
            let _ = answers.try_send(answer);
        }
    }

    fn send(&mut self, address: SocketAddr, to: Option<EntryId>, message: PeerMessage) {
        self.sequence += 1;
        let stamp = self.driver.state.timeline().stamp(self.driver.clock.wall_micros());
        let sequence = self.sequence;
        let envelope = PeerEnvelope { from: self.entry, to, sequence, stamp, message };
        let fate = match self.driver.codec.encode(&envelope) {
            Ok(datagram) => self.send_datagram(address, &datagram),
            Err(_) => DatagramFate::SendFailed,
        };
        self.driver.metrics.count_datagram(fate);
    }

    /// Sends without waiting: a socket whose buffer is full loses the datagram.
    fn send_datagram(&self, address: SocketAddr, datagram: &[u8]) -> DatagramFate {
        let sending = self.driver.peers.send(address, datagram);
        match future::block_on(future::poll_once(sending)) {
            Some(Ok(())) => DatagramFate::Sent,
            Some(Err(_)) | None => DatagramFate::SendFailed,
        }
    }
}

impl EventName {
    fn of(event: &EntryEvent) -> Self {
        match event {
            EntryEvent::Tick => Self::Tick,
            EntryEvent::Caller { .. } => Self::Caller,
            EntryEvent::CallerGone(_) => Self::CallerGone,
            EntryEvent::Platform { .. } => Self::Platform,
            EntryEvent::Target { .. } => Self::Target,
            EntryEvent::Peer { .. } => Self::Peer,
            EntryEvent::WallClock(_) => Self::WallClock,
            EntryEvent::Stop => Self::Stop,
        }
    }
}
