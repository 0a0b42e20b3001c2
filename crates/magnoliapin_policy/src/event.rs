//! Inputs and outputs of the entry's state machine.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::EntryId;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_model::WorkId;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::CallerRequest;
use magnoliapin_wire::PeerMessage;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::TargetReply;
use magnoliapin_wire::TargetRequest;

/// Matches a reply to its call within one entry process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Input of the entry's state machine.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// Time has passed; delivered at least every 20 milliseconds.
    Tick,
    /// A client or an operator sent a request. The driver assigns the call's identifier.
    Caller {
        /// Identifier of the call, repeated in its answer.
        call: CallId,
        /// The request.
        request: CallerRequest,
    },
    /// A client disconnected before it got its answer.
    CallerDisconnected(CallId),
    /// The platform replied, or the call failed.
    Platform {
        /// Call of the [`EntryAction::Platform`].
        call: CallId,
        /// The reply.
        reply: PlatformReply,
    },
    /// A target replied, or the call failed.
    Target {
        /// Call of the [`EntryAction::Target`].
        call: CallId,
        /// The reply.
        reply: TargetReply,
    },
    /// A datagram of another entry arrived and was decoded and checked by its codec.
    Peer {
        /// Sender.
        from: EntryId,
        /// Source address of the datagram.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Wall-clock time, delivered about once a second. Used for the time stamps and the retention
    /// of jobs only.
    WallClock(UnixMillis),
    /// The process was requested to stop: running work is finished and new work is refused.
    Stop,
}

/// Output of the entry's state machine, executed by the driver.
#[derive(Clone, Debug)]
pub enum EntryAction {
    /// Answers a client or an operator; exactly one for each call.
    Answer {
        /// Call of the [`EntryEvent::Caller`].
        call: CallId,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Calls the platform; exactly one [`EntryEvent::Platform`] follows.
    Platform {
        /// Identifier of the call.
        call: CallId,
        /// The request.
        request: PlatformRequest,
        /// Timeout of the call.
        timeout: Duration,
    },
    /// Calls a target; exactly one [`EntryEvent::Target`] follows.
    Target {
        /// Identifier of the call.
        call: CallId,
        /// Instance that hosts the target.
        instance: InstanceId,
        /// Address of the target.
        address: SocketAddr,
        /// The request.
        request: TargetRequest,
        /// Timeout of the call.
        timeout: Duration,
        /// Whether the call needs a new connection, as existing ones may be unresponsive.
        new_connection: bool,
        /// Time by which the call must be sent; a later one is dropped and reported as not sent.
        send_before: Moment,
    },
    /// Sends a datagram to another entry, without a guarantee of delivery.
    SendPeer {
        /// Address of the entry.
        address: SocketAddr,
        /// Identifier of the entry, if known.
        to: Option<EntryId>,
        /// The message.
        message: PeerMessage,
    },
    /// Records an event in the timeline.
    Record(TimelineEvent),
    /// The entry has completed its planned stop and the process may exit. Always the last action.
    Stopped,
    /// Other entries have declared this entry lost. The driver starts a new incarnation with a new
    /// identifier. Always the last action.
    Restart,
}

/// One event of the timeline, which records state changes only.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct TimelineEvent {
    /// Stable name of the event, such as `job_accepted`.
    pub name: TimelineName,
    /// The job or request, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work: Option<WorkId>,
    /// The instance, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<InstanceId>,
    /// Kind of the error, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<ErrorKind>,
    /// A number that belongs to the event, such as a version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub number: Option<u64>,
}

/// Names of timeline events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TimelineName {
    /// The entry became ready for the first time: it has a configuration, has read the instance
    /// list and is registered.
    EntryReady,
    /// A planned stop started.
    EntryStopping,
    /// The entry found that other entries had declared it lost.
    EntryFenced,
    /// A datagram of an entry that was not known before arrived.
    PeerJoined,
    /// Another entry was declared lost.
    PeerLost,
    /// A new configuration version came into force.
    ConfigInForce,
    /// The configuration is no longer known to be current.
    ConfigStale,
    /// The configuration is known to be current.
    ConfigFresh,
    /// The platform stopped answering.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
    /// A job's row was committed.
    JobAccepted,
    /// A job was bound to a target.
    JobBound,
    /// A job was taken over from a lost entry.
    JobTakenOver,
    /// A job finished, whatever its outcome.
    JobEnded,
    /// The outcome of a task is unknown and is requested from its target.
    OutcomeAsked,
    /// A target is leaving.
    TargetLeaving,
    /// A target was quarantined after repeated failures of work on it.
    TargetQuarantined,
    /// The quarantine of a target ended.
    TargetRestored,
    /// The entry started to reclaim the quota slices of lost entries in a team's allotment.
    PartReclaimed,
    /// An instance changed its state or pool.
    InstanceChanged,
}

impl TimelineEvent {
    /// Creates an event without details.
    pub fn new(name: TimelineName) -> Self {
        Self { name, work: None, instance: None, kind: None, number: None }
    }

    /// Adds the job or request.
    #[must_use]
    pub fn with_work(mut self, work: WorkId) -> Self {
        self.work = Some(work);
        self
    }

    /// Adds the instance.
    #[must_use]
    pub fn with_instance(mut self, instance: InstanceId) -> Self {
        self.instance = Some(instance);
        self
    }

    /// Adds the kind of the error.
    #[must_use]
    pub fn with_kind(mut self, kind: ErrorKind) -> Self {
        self.kind = Some(kind);
        self
    }

    /// Adds a number, such as a version.
    #[must_use]
    pub fn with_number(mut self, number: u64) -> Self {
        self.number = Some(number);
        self
    }
}
