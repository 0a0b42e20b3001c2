//! What reaches a node and what it does: the border of the pure state machine.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::UnixMillis;
use magnoliapin_site::AdviceReply;
use magnoliapin_site::AdviceRequest;
use magnoliapin_site::ClientAnswer;
use magnoliapin_site::ClientRequest;
use magnoliapin_site::InstanceReply;
use magnoliapin_site::InstanceRequest;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;

/// Links an answer to the call that it belongs to, inside one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Links an answer to the client that waits for it, inside one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// Links an answer to the node that waits for it, inside one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u64);

/// Something that happened to a node.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// Time has passed.
    Tick,
    /// The wall clock's time; told with every tick.
    WallClock(UnixMillis),
    /// A client asks for something.
    Client(ClientId, Box<ClientRequest>),
    /// The store answered, or the call failed.
    Store(CallId, StoreReply),
    /// A target answered, or the call failed.
    Target(CallId, TargetReply),
    /// The service for instances answered, or the call failed.
    Instances(CallId, InstanceReply),
    /// The placement service answered, or the call failed.
    Advice(CallId, AdviceReply),
    /// The scheduler answered, or the call failed.
    Peer(CallId, PeerReply),
    /// Another node asks the scheduler for something.
    PeerRequest(PeerId, PeerRequest),
    /// The process was asked to stop.
    Stop,
}

/// Something that a node wants done.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// Answers a client; exactly one for each request.
    Answer(ClientId, ClientAnswer),
    /// Calls the store; exactly one [`NodeEvent::Store`] follows.
    Store {
        /// Number of the call.
        call: CallId,
        /// The request.
        request: StoreRequest,
        /// Time after which the call has failed.
        timeout: Duration,
    },
    /// Calls a target; exactly one [`NodeEvent::Target`] follows.
    Target {
        /// Number of the call.
        call: CallId,
        /// Name of the target.
        target: TargetName,
        /// Its address.
        address: SocketAddr,
        /// The request.
        request: TargetRequest,
        /// Time after which the call has failed.
        timeout: Duration,
    },
    /// Calls the service for instances; exactly one [`NodeEvent::Instances`] follows.
    Instances {
        /// Number of the call.
        call: CallId,
        /// The request.
        request: InstanceRequest,
        /// Time after which the call has failed.
        timeout: Duration,
    },
    /// Calls the node that schedules; exactly one [`NodeEvent::Peer`] follows.
    Peer {
        /// Number of the call.
        call: CallId,
        /// Address of the node.
        address: SocketAddr,
        /// The request.
        request: PeerRequest,
        /// Time after which the call has failed.
        timeout: Duration,
    },
    /// Answers another node; exactly one for each request.
    AnswerPeer(PeerId, PeerReply),
    /// Calls the placement service; exactly one [`NodeEvent::Advice`] follows.
    Advice {
        /// Number of the call.
        call: CallId,
        /// The request.
        request: AdviceRequest,
        /// Time after which the call has failed.
        timeout: Duration,
    },
}
