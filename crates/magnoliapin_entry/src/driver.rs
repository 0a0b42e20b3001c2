//! Driver task that exclusively owns the state machine of an entry.

mod call_table;
mod driver_handle;
mod fleet_runner;
mod machine_runner;
mod state;

use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use magnoliapin_fleet::FleetEvent;
use magnoliapin_fleet::OperatorRequest;
use magnoliapin_model::EntryId;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::KeyHash;
use magnoliapin_policy::CallId;
use magnoliapin_policy::EntryEvent;
use magnoliapin_policy::EntryIdentity;
use magnoliapin_policy::EntryMachine;
use magnoliapin_policy::PolicyOptions;
use magnoliapin_policy::PolicyTimes;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::CallerRequest;
use magnoliapin_wire::PeerCodec;
use magnoliapin_wire::RefusalView;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;

use crate::supervisor::ChildOutcome;
use crate::EntryMetrics;
use crate::MonotonicClock;
use crate::PeerTransport;
use crate::PlatformClient;
use crate::TargetClient;
use crate::TaskSpawner;

pub(crate) use call_table::CallDestination;
pub(crate) use call_table::CallTable;
pub(crate) use driver_handle::DriverHandle;
pub(crate) use fleet_runner::OperatorOutcome;
pub(crate) use state::DriverState;

use self::machine_runner::MachineRunner;
use self::machine_runner::RunnerExit;

/// Event handled by the driver.
#[derive(Debug)]
pub(crate) enum DriverEvent {
    /// Event passed to the current machine unchanged.
    Machine(EntryEvent),
    /// Reply to a call of the machine with this number; later machines must not receive it.
    Reply(MachineNumber, EntryEvent),
    /// Request of a caller, which receives the answer over the channel.
    Caller(CallId, CallerRequest, Sender<CallerAnswer>),
    /// Request of an operator to the fleet machine, answered over the channel.
    Operator(Option<KeyHash>, OperatorRequest, Sender<OperatorOutcome>),
    /// Result of a task of the fleet machine that runs alongside the entry machine with this
    /// number. The second number is that of the task.
    FleetReply(MachineNumber, u64, FleetEvent),
}

/// Sequence number of a machine within the process, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MachineNumber(u64);

/// Configuration and I/O shared by all successive machines of the entry.
#[derive(Clone, Debug)]
pub(crate) struct EntryDriver {
    /// Identity of the entry; each machine replaces the identifier by a new one.
    pub(crate) identity: EntryIdentity,
    /// Seed of the random number generators; `None` seeds them from the operating system.
    pub(crate) seed: Option<u64>,
    /// Timeouts and intervals of the machines.
    pub(crate) times: PolicyTimes,
    /// Policies of the machines.
    pub(crate) policies: PolicyOptions,
    /// Encoder of datagrams.
    pub(crate) codec: PeerCodec,
    /// Client of the platform's service.
    pub(crate) platform: Arc<dyn PlatformClient>,
    /// Client of the targets.
    pub(crate) targets: Arc<dyn TargetClient>,
    /// Transport of datagrams between entries.
    pub(crate) peers: Arc<dyn PeerTransport>,
    /// Clock of the process.
    pub(crate) clock: Arc<dyn MonotonicClock>,
    /// Metrics of the entry.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// Spawner of the call tasks.
    pub(crate) spawner: TaskSpawner,
    /// Receiving end of the event channel.
    pub(crate) events: Receiver<DriverEvent>,
    /// Sending end of the event channel, for replies to calls.
    pub(crate) replies: Sender<DriverEvent>,
    /// State shared with other tasks.
    pub(crate) state: Arc<DriverState>,
}

impl EntryDriver {
    /// Runs one machine after the other; refuses all requests once a planned stop is complete.
    pub(crate) async fn run(self) -> ChildOutcome {
        while !self.state.stopped().is_raised() {
            let mut runner = MachineRunner::new(&self);
            match runner.run().await {
                RunnerExit::Stopped => self.state.stopped().raise(),
                RunnerExit::Closed => return ChildOutcome::Done,
                RunnerExit::Restart => log::warn!("event=machine_restarted"),
            }
        }
        self.refuse_late_requests().await;
        ChildOutcome::Done
    }

    async fn refuse_late_requests(&self) {
        while let Ok(event) = self.events.recv().await {
            match event {
                DriverEvent::Caller(_, _, answers) => {
                    let _ = answers.try_send(CallerAnswer::Refused(*stopped_refusal()));
                }
                DriverEvent::Operator(_, _, answers) => {
                    let _ = answers.try_send(Err(stopped_refusal()));
                }
                _ => {}
            }
        }
    }

    /// Creates the next machine with a new identifier.
    fn make_machine(&self, number: MachineNumber) -> EntryMachine {
        let mut random = match self.seed {
            Some(seed) => StdRng::seed_from_u64(seed.wrapping_add(number.0 << 32)),
            None => StdRng::from_os_rng(),
        };
        let mut identity = self.identity.clone();
        identity.entry = EntryId(random.random());
        EntryMachine::new(identity, random.random())
            .with_times(self.times)
            .with_options(self.policies)
    }
}

/// Returns the answer for a caller whose machine stopped before it answered.
pub(crate) fn unknown_outcome_answer() -> CallerAnswer {
    CallerAnswer::Refused(*unknown_outcome_refusal())
}

/// Returns the refusal for a request whose machine stopped before it answered.
pub(crate) fn unknown_outcome_refusal() -> Box<RefusalView> {
    let message = "the entry stopped or restarted before it answered; the outcome is unknown";
    Box::new(RefusalView::new(ErrorKind::OutcomeUnknown, message))
}

/// Returns the refusal for a request that arrives after the planned stop.
fn stopped_refusal() -> Box<RefusalView> {
    Box::new(RefusalView::new(ErrorKind::NotReady, "the entry has stopped"))
}
