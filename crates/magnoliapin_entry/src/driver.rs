//! The one task that owns the machine of an entry.

mod call_table;
mod caller_desk;

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use futures_lite::future;
use futures_lite::FutureExt;
use indexmap::IndexMap;
use magnoliapin_model::EntryId;
use magnoliapin_model::ErrorKind;
use magnoliapin_policy::CallId;
use magnoliapin_policy::EntryAction;
use magnoliapin_policy::EntryEvent;
use magnoliapin_policy::EntryIdentity;
use magnoliapin_policy::EntryMachine;
use magnoliapin_policy::PolicyTimes;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::CallerRequest;
use magnoliapin_wire::PeerCodec;
use magnoliapin_wire::PeerEnvelope;
use magnoliapin_wire::PeerMessage;
use magnoliapin_wire::RefusalView;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;
use smol::Timer;

use crate::metrics::DatagramFate;
use crate::metrics::EventName;
use crate::stop_signal::StopSignal;
use crate::supervisor::ChildEnd;
use crate::timeline::TimelineRing;
use crate::EntryMetrics;
use crate::MonotonicClock;
use crate::PeerTransport;
use crate::PlatformClient;
use crate::TargetCall;
use crate::TargetClient;
use crate::TaskSpawner;

pub(crate) use call_table::CallTable;
pub(crate) use call_table::CallTarget;
pub(crate) use caller_desk::CallerDesk;

/// Longest time between two ticks of the machine.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Events handled before other tasks of the thread get their turn.
const EVENTS_PER_TURN: usize = 128;

/// Something for the driver.
#[derive(Debug)]
pub(crate) enum DriverEvent {
    /// Goes to the machine as it is.
    Machine(EntryEvent),
    /// Answers a call of the machine with this number; later machines must not see it.
    Reply(MachineNumber, EntryEvent),
    /// A caller asks for something and waits at the other end of the channel.
    Caller(CallId, CallerRequest, Sender<CallerAnswer>),
}

/// Numbers the machines of one process, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MachineNumber(u64);

/// What the driver lets other tasks see.
#[derive(Debug)]
pub(crate) struct DriverState {
    entry: AtomicU64,
    is_ready: AtomicBool,
    is_stopping: AtomicBool,
    stopped: StopSignal,
    machines: AtomicU64,
    timeline: Mutex<TimelineRing>,
}

impl DriverState {
    /// Makes the state before the first machine starts.
    pub(crate) fn new(timeline_events: usize) -> Self {
        Self {
            entry: AtomicU64::new(0),
            is_ready: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            stopped: StopSignal::new(),
            machines: AtomicU64::new(0),
            timeline: Mutex::new(TimelineRing::new(timeline_events)),
        }
    }

    /// Returns the entry's identifier, which changes when the machine starts over.
    pub(crate) fn entry(&self) -> EntryId {
        EntryId(self.entry.load(Ordering::SeqCst))
    }

    /// Returns whether the machine takes new work.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::SeqCst) && !self.is_stopping()
    }

    /// Returns whether a planned stop was asked for.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Notes that a planned stop was asked for; returns whether it is the first time.
    pub(crate) fn begin_stop(&self) -> bool {
        !self.is_stopping.swap(true, Ordering::SeqCst)
    }

    /// Returns the signal that the planned stop has ended.
    pub(crate) fn stopped(&self) -> &StopSignal {
        &self.stopped
    }

    /// Returns the latest events.
    pub(crate) fn timeline(&self) -> MutexGuard<'_, TimelineRing> {
        self.timeline.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What every machine of the entry is made with and works through.
#[derive(Clone, Debug)]
pub(crate) struct EntryDriver {
    /// Identity; each machine gets another identifier.
    pub(crate) identity: EntryIdentity,
    /// Seed of the random numbers; none draws one.
    pub(crate) seed: Option<u64>,
    /// Time bounds.
    pub(crate) times: PolicyTimes,
    /// Encodes datagrams.
    pub(crate) codec: PeerCodec,
    /// The platform's service.
    pub(crate) platform: Arc<dyn PlatformClient>,
    /// Targets.
    pub(crate) targets: Arc<dyn TargetClient>,
    /// Datagrams.
    pub(crate) peers: Arc<dyn PeerTransport>,
    /// Clock.
    pub(crate) clock: Arc<dyn MonotonicClock>,
    /// Counts what happens.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// Starts calls.
    pub(crate) spawner: TaskSpawner,
    /// Where events come from.
    pub(crate) events: Receiver<DriverEvent>,
    /// Where the answers of calls go.
    pub(crate) replies: Sender<DriverEvent>,
    /// What other tasks see.
    pub(crate) state: Arc<DriverState>,
}

impl EntryDriver {
    /// Runs machines, one after the other, and refuses callers once a planned stop has ended.
    pub(crate) async fn run(self) -> ChildEnd {
        while !self.state.stopped().is_raised() {
            let mut turn = DriverTurn::new(&self);
            match turn.run().await {
                TurnEnd::Stopped => self.state.stopped().raise(),
                TurnEnd::Closed => return ChildEnd::Done,
                TurnEnd::Restart => log::warn!("event=machine_restarted"),
            }
        }
        self.refuse_late_callers().await;
        ChildEnd::Done
    }

    async fn refuse_late_callers(&self) {
        while let Ok(event) = self.events.recv().await {
            if let DriverEvent::Caller(_, _, answers) = event {
                let _ = answers.try_send(stopped_answer());
            }
        }
    }

    /// Makes the next machine with an identifier of its own.
    fn make_machine(&self, number: MachineNumber) -> EntryMachine {
        let mut random = match self.seed {
            Some(seed) => StdRng::seed_from_u64(seed.wrapping_add(number.0 << 32)),
            None => StdRng::from_os_rng(),
        };
        let mut identity = self.identity.clone();
        identity.entry = EntryId(random.random());
        EntryMachine::new(identity, random.random()).with_times(self.times.clone())
    }
}

/// How the run of one machine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TurnEnd {
    Stopped,
    Restart,
    Closed,
}

/// The run of one machine.
struct DriverTurn<'a> {
    driver: &'a EntryDriver,
    number: MachineNumber,
    machine: EntryMachine,
    entry: EntryId,
    sequence: u64,
    waiting: IndexMap<CallId, Sender<CallerAnswer>>,
    calls: CallTable,
    actions: Vec<EntryAction>,
    next_tick: Instant,
    end: Option<TurnEnd>,
}

impl<'a> DriverTurn<'a> {
    fn new(driver: &'a EntryDriver) -> Self {
        let state = &driver.state;
        let number = MachineNumber(state.machines.fetch_add(1, Ordering::SeqCst) + 1);
        let machine = driver.make_machine(number);
        let entry = machine.identity().entry;
        state.entry.store(entry.0, Ordering::SeqCst);
        state.is_ready.store(false, Ordering::SeqCst);
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
            actions: Vec::new(),
            next_tick: Instant::now(),
            end: None,
        }
    }

    async fn run(&mut self) -> TurnEnd {
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
            self.driver.metrics.set_policy(&self.machine.counts());
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
        self.driver.state.is_ready.store(is_ready, Ordering::SeqCst);
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
            Some(Err(_)) => self.end = Some(TurnEnd::Closed),
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
            DriverEvent::Caller(call, request, answers) => {
                self.waiting.insert(call, answers);
                self.handle(EntryEvent::Caller { call, request });
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
            EntryAction::Stopped => self.end = Some(TurnEnd::Stopped),
            EntryAction::Restart => self.end = Some(TurnEnd::Restart),
        }
    }

    fn answer(&mut self, call: CallId, answer: CallerAnswer) {
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
            EntryEvent::Stop => Self::Stop,
        }
    }
}

/// Returns the answer for a caller whose machine is gone.
pub(crate) fn lost_answer() -> CallerAnswer {
    let message = "the entry lost track of the request";
    CallerAnswer::Refused(RefusalView::new(ErrorKind::OutcomeUnknown, message))
}

/// Returns the answer for a caller that came after the planned stop.
fn stopped_answer() -> CallerAnswer {
    CallerAnswer::Refused(RefusalView::new(ErrorKind::NotReady, "the entry has stopped"))
}
