//! What reaches the fleet's machine and what it does.

use std::fmt;
use std::time::Duration;

use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::QueueId;
use magnoliapin_model::RowVersion;
use magnoliapin_model::TargetRun;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;

use crate::FleetStep;
use crate::OperatorAnswer;
use crate::OperatorRequest;
use crate::TargetLoad;
use crate::UnixSeconds;

/// Links an answer to a call, inside one machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FleetCall(pub u64);

impl fmt::Display for FleetCall {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// Time has passed; comes at least every 100 milliseconds.
    Tick {
        /// Wall-clock time.
        wall: UnixSeconds,
    },
    /// A configuration came into force.
    Document(Box<ConfigDocument>),
    /// The platform answered, or the call failed.
    Platform {
        /// Call of the [`FleetAction::Platform`].
        call: FleetCall,
        /// The answer.
        reply: PlatformReply,
    },
    /// A target told its load, asked for by [`FleetAction::AskLoad`] or not.
    Load {
        /// The instance.
        instance: InstanceId,
        /// Epoch of the [`FleetAction::AskLoad`]; 0 if nobody asked.
        epoch: RowVersion,
        /// Its load.
        load: TargetLoad,
    },
    /// This entry found out whether an instance answers. Counts for 15 seconds, so it is told
    /// again for as long as the instance's row says otherwise.
    Health {
        /// The instance.
        instance: InstanceId,
        /// Run that was asked.
        run: TargetRun,
        /// Whether it answers.
        healthy: bool,
    },
    /// This entry proposes to set an instance apart or to take it back; told again like health.
    Suspect {
        /// The instance.
        instance: InstanceId,
        /// Run that the proposal is about.
        run: TargetRun,
        /// Whether to set it apart.
        suspect: bool,
    },
    /// What a queue asked for on the mean since the last such event, over all entries. Every entry
    /// is told, and of every queue, so that a new planner knows the trend.
    Demand {
        /// The queue.
        queue: QueueId,
        /// Slots.
        slots: f64,
    },
    /// An operator asks for something. The driver picks the call's number.
    Operator {
        /// The call; its answer carries the same number.
        call: FleetCall,
        /// The request.
        request: OperatorRequest,
    },
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum FleetAction {
    /// Calls the platform; exactly one [`FleetEvent::Platform`] follows.
    Platform {
        /// Number of the call.
        call: FleetCall,
        /// The request.
        request: PlatformRequest,
        /// Time after which the call has failed.
        timeout: Duration,
    },
    /// Asks a target for its load; a [`FleetEvent::Load`] follows if it answers.
    AskLoad {
        /// The instance.
        instance: InstanceId,
        /// Comes back with the answer.
        epoch: RowVersion,
    },
    /// Stops what still runs on an instance, as an operator said so.
    StopWork {
        /// The instance.
        instance: InstanceId,
        /// Run of its target; another run is left alone.
        run: TargetRun,
    },
    /// Answers an operator; exactly one for each call.
    Answer {
        /// Call of the [`FleetEvent::Operator`].
        call: FleetCall,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Records a step that was committed, for the time line.
    Record(FleetStep),
}
