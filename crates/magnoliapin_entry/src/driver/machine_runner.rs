//! Runs one entry machine: passes events to it and executes its actions.

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

use crate::driver::fleet_runner::FleetRunner;
use crate::driver::CallDestination;
use crate::driver::CallTable;
use crate::driver::DriverEvent;
use crate::driver::EntryDriver;
use crate::driver::MachineNumber;
use crate::driver::OperatorOutcome;
use crate::metrics::DatagramOutcome;
use crate::metrics::EventName;
use crate::TargetCall;

/// Interval between ticks of the machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the machine receives the wall-clock time.
const WALL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of events handled before yielding to other tasks of the thread.
const EVENTS_PER_TURN: usize = 128;

/// Reason why a runner returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunnerExit {
    /// A planned stop is complete.
    Stopped,
    /// Other entries consider this entry lost; a new machine must start.
    Restart,
    /// The event channel is closed.
    Closed,
}

/// Runs one entry machine and the fleet machine beside it.
pub(super) struct MachineRunner<'a> {
    driver: &'a EntryDriver,
    number: MachineNumber,
    machine: EntryMachine,
    entry: EntryId,
    sequence: u64,
    waiting_callers: IndexMap<CallId, Sender<CallerAnswer>>,
    calls: CallTable,
    fleet: FleetRunner,
    actions: Vec<EntryAction>,
    next_tick: Instant,
    next_wall: Instant,
    exit: Option<RunnerExit>,
}

impl<'a> MachineRunner<'a> {
    pub(super) fn new(driver: &'a EntryDriver) -> Self {
        let state = &driver.state;
        let number = state.next_machine_number();
        let machine = driver.make_machine(number);
        let entry = machine.identity().entry;
        state.start_machine(entry);
        driver.metrics.count_machine();
        log::info!("event=machine_started entry={entry}");
        Self {
            driver,
            number,
            machine,
            entry,
            sequence: 0,
            waiting_callers: IndexMap::new(),
            calls: CallTable::default(),
            fleet: FleetRunner::new(entry, entry.0, number),
            actions: Vec::new(),
            next_tick: Instant::now(),
            next_wall: Instant::now(),
            exit: None,
        }
    }

    pub(super) async fn run(&mut self) -> RunnerExit {
        if self.driver.state.is_stopping() {
            self.handle(EntryEvent::Stop);
        }
        loop {
            self.handle_ready();
            if let Some(exit) = self.exit {
                return exit;
            }
            self.driver.metrics.set_waiting_events(self.driver.events.len());
            // Lets other tasks of the thread run even under a continuous stream of events.
            future::yield_now().await;
            if self.driver.events.is_empty() {
                self.wait().await;
            }
        }
    }

    /// Handles a due tick and at most [`EVENTS_PER_TURN`] queued events.
    fn handle_ready(&mut self) {
        if Instant::now() >= self.next_tick {
            self.next_tick = Instant::now() + TICK_INTERVAL;
            self.handle(EntryEvent::Tick);
            self.report_wall_clock();
            self.driver.metrics.set_policy(&self.machine.counts());
            self.fleet.tick(self.driver, &self.machine);
        }
        for _ in 0..EVENTS_PER_TURN {
            let Ok(event) = self.driver.events.try_recv() else {
                break;
            };
            self.handle_driver_event(event);
            if self.exit.is_some() {
                break;
            }
        }
        let is_ready = self.machine.is_ready();
        self.driver.state.set_ready(is_ready);
    }

    fn report_wall_clock(&mut self) {
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
            Some(Ok(event)) => self.handle_driver_event(event),
            Some(Err(_)) => self.exit = Some(RunnerExit::Closed),
            None => {}
        }
    }

    fn handle_driver_event(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::Machine(EntryEvent::CallerDisconnected(call)) => {
                if self.waiting_callers.swap_remove(&call).is_some() {
                    self.handle(EntryEvent::CallerDisconnected(call));
                }
            }
            DriverEvent::Machine(event) => self.handle(event),
            DriverEvent::Reply(number, event) => self.handle_reply(number, event),
            DriverEvent::Operator(key, request, answers) => {
                self.handle_operator_request(key, request, answers);
            }
            DriverEvent::FleetReply(number, task, event) => {
                if number == self.fleet.number() {
                    self.fleet.handle_reply(self.driver, &self.machine, task, event);
                }
            }
            DriverEvent::Caller(call, request, answers) => {
                self.waiting_callers.insert(call, answers);
                self.handle(EntryEvent::Caller { call, request });
            }
        }
    }

    /// Passes an operator's request to the fleet machine if the key belongs to an operator.
    fn handle_operator_request(
        &mut self,
        key: Option<KeyHash>,
        request: OperatorRequest,
        answers: Sender<OperatorOutcome>,
    ) {
        match self.machine.check_operator(self.driver.clock.now(), key) {
            Ok(_) => self.fleet.handle_request(self.driver, &self.machine, request, answers),
            Err(refusal) => {
                let _ = answers.try_send(Err(refusal));
            }
        }
    }

    fn handle_reply(&mut self, number: MachineNumber, event: EntryEvent) {
        if number != self.number {
            self.driver.metrics.count_event(EventName::Outdated, Duration::ZERO);
            return;
        }
        match &event {
            EntryEvent::Platform { call, .. } => {
                self.calls.remove(CallDestination::Platform, *call);
            }
            EntryEvent::Target { call, .. } => self.calls.remove(CallDestination::Target, *call),
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
            self.execute(action);
        }
        self.actions = actions;
        self.driver.metrics.count_event(name, started.elapsed());
    }

    fn execute(&mut self, action: EntryAction) {
        match action {
            EntryAction::Answer { call, answer } => self.answer(call, answer),
            EntryAction::Platform { call, request, timeout } => {
                let platform = Arc::clone(&self.driver.platform);
                let reply = async move { platform.call(request, timeout).await };
                self.calls.start_platform_call(self.driver, self.number, call, reply);
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
                self.calls.start_target_call(self.driver, self.number, call, reply);
            }
            EntryAction::SendPeer { address, to, message } => self.send(address, to, message),
            EntryAction::Record(event) => {
                let wall_us = self.driver.clock.wall_micros();
                let zone = self.driver.identity.zone;
                if self.driver.state.timeline().push(wall_us, self.entry, zone, event) {
                    self.driver.metrics.count_timeline_drop();
                }
            }
            EntryAction::Stopped => self.exit = Some(RunnerExit::Stopped),
            EntryAction::Restart => self.exit = Some(RunnerExit::Restart),
        }
    }

    fn answer(&mut self, call: CallId, mut answer: CallerAnswer) {
        if let CallerAnswer::Applied { warnings, .. } = &mut answer {
            warnings.extend(self.fleet.warnings(&self.machine));
        }
        // A caller that disconnected is no longer in the map.
        if let Some(answers) = self.waiting_callers.swap_remove(&call) {
            let _ = answers.try_send(answer);
        }
    }

    fn send(&mut self, address: SocketAddr, to: Option<EntryId>, message: PeerMessage) {
        self.sequence += 1;
        let stamp = self.driver.state.timeline().stamp(self.driver.clock.wall_micros());
        let sequence = self.sequence;
        let envelope = PeerEnvelope { from: self.entry, to, sequence, stamp, message };
        let outcome = match self.driver.codec.encode(&envelope) {
            Ok(datagram) => self.send_datagram(address, &datagram),
            Err(_) => DatagramOutcome::SendFailed,
        };
        self.driver.metrics.count_datagram(outcome);
    }

    /// Sends without blocking; the datagram is dropped if the socket buffer is full.
    fn send_datagram(&self, address: SocketAddr, datagram: &[u8]) -> DatagramOutcome {
        let sending = self.driver.peers.send(address, datagram);
        match future::block_on(future::poll_once(sending)) {
            Some(Ok(())) => DatagramOutcome::Sent,
            Some(Err(_)) | None => DatagramOutcome::SendFailed,
        }
    }
}

impl EventName {
    fn of(event: &EntryEvent) -> Self {
        match event {
            EntryEvent::Tick => Self::Tick,
            EntryEvent::Caller { .. } => Self::Caller,
            EntryEvent::CallerDisconnected(_) => Self::CallerDisconnected,
            EntryEvent::Platform { .. } => Self::Platform,
            EntryEvent::Target { .. } => Self::Target,
            EntryEvent::Peer { .. } => Self::Peer,
            EntryEvent::WallClock(_) => Self::WallClock,
            EntryEvent::Stop => Self::Stop,
        }
    }
}
