//! The one task that owns the machine of an entry.

mod call_table;
mod caller_desk;
mod fleet_run;
mod machine_run;
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
use magnoliapin_policy::PolicyTimes;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::CallerRequest;
use magnoliapin_wire::PeerCodec;
use magnoliapin_wire::RefusalView;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;

use crate::supervisor::ChildEnd;
use crate::EntryMetrics;
use crate::MonotonicClock;
use crate::PeerTransport;
use crate::PlatformClient;
use crate::TargetClient;
use crate::TaskSpawner;

pub(crate) use call_table::CallTable;
pub(crate) use call_table::CallTarget;
pub(crate) use caller_desk::CallerDesk;
pub(crate) use fleet_run::OperatorOutcome;
pub(crate) use state::DriverState;

use self::machine_run::MachineRun;
use self::machine_run::RunEnd;

/// Something for the driver.
#[derive(Debug)]
pub(crate) enum DriverEvent {
    /// Goes to the machine as it is.
    Machine(EntryEvent),
    /// Answers a call of the machine with this number; later machines must not see it.
    Reply(MachineNumber, EntryEvent),
    /// A caller asks for something and waits at the other end of the channel.
    Caller(CallId, CallerRequest, Sender<CallerAnswer>),
    /// An operator asks the fleet for something and waits at the other end of the channel.
    Operator(Option<KeyHash>, OperatorRequest, Sender<OperatorOutcome>),
    /// Answers a call of the fleet's machine beside the machine with this number.
    FleetReply(MachineNumber, u64, FleetEvent),
}

/// Numbers the machines of one process, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MachineNumber(u64);

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
            let mut turn = MachineRun::new(&self);
            match turn.run().await {
                RunEnd::Stopped => self.state.stopped().raise(),
                RunEnd::Closed => return ChildEnd::Done,
                RunEnd::Restart => log::warn!("event=machine_restarted"),
            }
        }
        self.refuse_late_callers().await;
        ChildEnd::Done
    }

    async fn refuse_late_callers(&self) {
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

    /// Makes the next machine with an identifier of its own.
    fn make_machine(&self, number: MachineNumber) -> EntryMachine {
        let mut random = match self.seed {
            Some(seed) => StdRng::seed_from_u64(seed.wrapping_add(number.0 << 32)),
            None => StdRng::from_os_rng(),
        };
        let mut identity = self.identity.clone();
        identity.entry = EntryId(random.random());
        EntryMachine::new(identity, random.random()).with_times(self.times)
    }
}

/// Returns the answer for a caller whose machine is gone.
pub(crate) fn lost_answer() -> CallerAnswer {
    CallerAnswer::Refused(*lost_refusal())
}

/// Returns the refusal for whoever waits for a machine that is gone.
pub(crate) fn lost_refusal() -> Box<RefusalView> {
    let message = "the entry lost track of the request";
    Box::new(RefusalView::new(ErrorKind::OutcomeUnknown, message))
}

/// Returns the refusal for whoever came after the planned stop.
fn stopped_refusal() -> Box<RefusalView> {
    Box::new(RefusalView::new(ErrorKind::NotReady, "the entry has stopped"))
}
