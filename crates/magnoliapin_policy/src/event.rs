//! What reaches an entry and what it does: the border of the pure state machine.

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

/// Links an answer to the call that it belongs to, inside one entry process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Something that happened to an entry.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// Time has passed; comes at least every 20 milliseconds.
    Tick,
    /// A caller or an operator asks for something. The driver picks the call's number.
    Caller {
        /// The call; its answer carries the same number.
        call: CallId,
        /// The request.
        request: CallerRequest,
    },
    /// A caller hung up before it had its answer.
    CallerGone(CallId),
    /// The platform answered, or the call failed.
    Platform {
        /// Call of the [`EntryAction::Platform`].
        call: CallId,
        /// The answer.
        reply: PlatformReply,
    },
    /// A target answered, or the call failed.
    Target {
        /// Call of the [`EntryAction::Target`].
        call: CallId,
        /// The answer.
        reply: TargetReply,
    },
    /// A datagram of another entry came; its codec has checked it.
    Peer {
        /// Sender.
        from: EntryId,
        /// Address that it came from.
        address: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// The wall clock's time; told every second or so, for the retention of ended jobs only.
    WallClock(UnixMillis),
    /// The process was asked to stop: finish what runs, take nothing new.
    Stop,
}

/// Something that an entry wants done.
#[derive(Clone, Debug)]
pub enum EntryAction {
    /// Answers a caller or an operator; exactly one for each call.
    Answer {
        /// Call of the [`EntryEvent::Caller`].
        call: CallId,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Calls the platform; exactly one [`EntryEvent::Platform`] follows.
    Platform {
        /// Number of the call.
        call: CallId,
        /// The request.
        request: PlatformRequest,
        /// Time after which the call has failed.
        timeout: Duration,
    },
    /// Calls a target; exactly one [`EntryEvent::Target`] follows.
    Target {
        /// Number of the call.
        call: CallId,
        /// The instance that hosts the target.
        instance: InstanceId,
        /// Its address.
        address: SocketAddr,
        /// The request.
        request: TargetRequest,
        /// Time after which the call has failed.
        timeout: Duration,
        /// Whether the call needs a new connection, as an old one may have gone silent.
        new_connection: bool,
        /// The call is dropped as not sent if it has not left by then.
        send_before: Moment,
    },
    /// Sends a datagram to another entry; it may be lost.
    Send {
        /// Its address.
        address: SocketAddr,
        /// The entry, if known.
        to: Option<EntryId>,
        /// The message.
        message: PeerMessage,
    },
    /// Records an event for the time line.
    Record(TimelineEvent),
    /// The entry has finished its planned stop; the process may exit. Comes last.
    Stopped,
    /// Others have taken this entry for lost. The driver starts over with a new identifier.
    /// Comes last.
    Restart,
}

/// One event of the time line; only changes of state.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct TimelineEvent {
    /// What happened, as a stable name such as `job_accepted`.
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

/// Names of the time line's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TimelineName {
    /// The entry got its first configuration.
    EntryReady,
    /// A planned stop began.
    EntryStopping,
    /// The entry finds that others took it for lost.
    EntryFenced,
    /// Another entry was heard of for the first time.
    PeerJoined,
    /// Another entry was taken for lost.
    PeerLost,
    /// A configuration came into force.
    ConfigInForce,
    /// The entry can no longer know that its configuration is current.
    ConfigStale,
    /// The entry knows again that its configuration is current.
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
    /// A job ended.
    JobEnded,
    /// The outcome of a piece of work is not known and its target is asked.
    OutcomeAsked,
    /// A target is leaving.
    TargetLeaving,
    /// A target was set apart because it fails what others run.
    TargetQuarantined,
    /// A target was taken back.
    TargetRestored,
    /// Part of a team's allotment was taken over from a lost entry.
    PartReclaimed,
    /// An instance changed its state or pool.
    InstanceChanged,
}

impl TimelineEvent {
    /// Makes an event with nothing but its name.
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

    /// Adds a number.
    #[must_use]
    pub fn with_number(mut self, number: u64) -> Self {
        self.number = Some(number);
        self
    }
}
