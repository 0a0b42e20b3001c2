//! Inputs and outputs of the fleet's state machine.

use std::fmt;
use std::time::Duration;

use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::QueueId;
use magnoliapin_model::RowVersion;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;

use crate::FleetStep;
use crate::OperatorAnswer;
use crate::OperatorRequest;
use crate::TargetLoad;
use crate::UnixSeconds;

/// Number that matches a reply or answer to its call within one state machine.
///
/// The state machine numbers its platform calls and the driver numbers operator requests, so the
/// two may share a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FleetCallId(pub u64);

impl fmt::Display for FleetCallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// Time has passed; sent at least every 100 ms.
    Tick {
        /// Wall-clock time.
        wall: UnixSeconds,
    },
    /// A configuration came into force.
    Config(Box<ConfigDocument>),
    /// The platform replied, or the call failed.
    Platform {
        /// Call of the [`FleetAction::Platform`].
        call: FleetCallId,
        /// The reply.
        reply: PlatformReply,
    },
    /// A target reported its load, in response to [`FleetAction::QueryLoad`] or unrequested.
    Load {
        /// The instance.
        instance: InstanceId,
        /// Epoch of the [`FleetAction::QueryLoad`]; 0 if the load was not requested.
        epoch: RowVersion,
        /// Its load.
        load: TargetLoad,
    },
    /// Result of a health check of an instance by this entry. It expires after
    /// [`FleetSettings::finding_ttl`](crate::FleetSettings::finding_ttl), 15 s by default, so the driver
    /// repeats it for as long as the instance's row differs.
    Health {
        /// The instance.
        instance: InstanceId,
        /// Incarnation of the target that was checked.
        incarnation: TargetIncarnation,
        /// Whether the target responds.
        healthy: bool,
    },
    /// This entry proposes to quarantine an instance or to release it. Expires and is repeated like
    /// [`FleetEvent::Health`].
    QuarantineProposal {
        /// The instance.
        instance: InstanceId,
        /// Incarnation of the target that the proposal is about.
        incarnation: TargetIncarnation,
        /// Whether to quarantine (true) or release (false) it.
        quarantine: bool,
    },
    /// Average demand of a queue over all entries since the previous event for that queue. Every
    /// entry receives it for every queue, so that a new planner already has the history.
    Demand {
        /// The queue.
        queue: QueueId,
        /// Demand in slots.
        slots: f64,
    },
    /// An operator sent a request. The driver assigns the call number.
    Operator {
        /// The call; its answer carries the same number.
        call: FleetCallId,
        /// The request.
        request: OperatorRequest,
    },
}

/// Output of the state machine, carried out by the driver.
#[derive(Clone, Debug)]
pub enum FleetAction {
    /// Calls the platform; exactly one [`FleetEvent::Platform`] follows.
    Platform {
        /// Number of the call.
        call: FleetCallId,
        /// The request.
        request: PlatformRequest,
        /// Time after which the call has failed.
        timeout: Duration,
    },
    /// Requests the load of a target; a [`FleetEvent::Load`] follows if it replies.
    QueryLoad {
        /// The instance.
        instance: InstanceId,
        /// Version of the instance's row; returned in the [`FleetEvent::Load`].
        epoch: RowVersion,
    },
    /// Stops the work that still runs on an instance after an operator's forced drain has reached
    /// its time limit.
    StopWork {
        /// The instance.
        instance: InstanceId,
        /// Incarnation of its target; the work of another incarnation is not stopped.
        incarnation: TargetIncarnation,
    },
    /// Answers an operator request; exactly one for each call.
    Answer {
        /// Call of the [`FleetEvent::Operator`].
        call: FleetCallId,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Records a committed step in the timeline.
    Record(FleetStep),
}
