//! Inputs and outputs of the pure state machine.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::UnixMillis;
use magnoliapin_site::AdviceReply;
use magnoliapin_site::AdviceRequest;
use magnoliapin_site::ClientReply;
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

/// Identifies a call, so that its reply can be matched; unique within a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Identifies a client's request, so that the reply can be sent; unique within a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// Identifies another node's request, so that the reply can be sent; unique within a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub u64);

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// Time has passed.
    Tick,
    /// Current time of the wall clock; sent with every tick.
    WallClock(UnixMillis),
    /// A client sent a request.
    Client(ClientId, Box<ClientRequest>),
    /// The store answered, or the call failed.
    Store(CallId, StoreReply),
    /// A target answered, or the call failed.
    Target(CallId, TargetReply),
    /// The instance service answered, or the call failed.
    Instances(CallId, InstanceReply),
    /// The placement service answered, or the call failed.
    Advice(CallId, AdviceReply),
    /// The leader answered, or the call failed.
    Peer(CallId, PeerReply),
    /// Another node sent a request to the leader.
    PeerRequest(PeerId, PeerRequest),
    /// The process was asked to stop.
    Stop,
}

/// The connection that a call uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// One of the pool; the call waits until one is unused.
    Pooled,
    /// A new one, for calls that must not depend on connections that may have gone silent.
    New,
}

/// An output of the state machine, carried out by its driver.
#[derive(Clone, Debug)]
pub enum NodeAction {
    /// Replies to a client; sent exactly once for each request.
    ReplyToClient(ClientId, ClientReply),
    /// Calls the store; exactly one [`NodeEvent::Store`] follows.
    Store {
        /// Identifier of the call.
        call: CallId,
        /// The request.
        request: StoreRequest,
        /// Time after which the call fails.
        timeout: Duration,
        /// Connection that the call uses.
        connection: ConnectionChoice,
    },
    /// Calls a target; exactly one [`NodeEvent::Target`] follows.
    Target {
        /// Identifier of the call.
        call: CallId,
        /// Name of the target.
        target: TargetName,
        /// Address of the target.
        address: SocketAddr,
        /// The request.
        request: TargetRequest,
        /// Time after which the call fails.
        timeout: Duration,
    },
    /// Calls the instance service; exactly one [`NodeEvent::Instances`] follows.
    Instances {
        /// Identifier of the call.
        call: CallId,
        /// The request.
        request: InstanceRequest,
        /// Time after which the call fails.
        timeout: Duration,
    },
    /// Calls the leader on another node; exactly one [`NodeEvent::Peer`] follows.
    Peer {
        /// Identifier of the call.
        call: CallId,
        /// Address of the node.
        address: SocketAddr,
        /// The request.
        request: PeerRequest,
        /// Time after which the call fails.
        timeout: Duration,
    },
    /// Replies to another node; sent exactly once for each request.
    ReplyToPeer(PeerId, PeerReply),
    /// Calls the placement service; exactly one [`NodeEvent::Advice`] follows.
    Advice {
        /// Identifier of the call.
        call: CallId,
        /// The request.
        request: AdviceRequest,
        /// Time after which the call fails.
        timeout: Duration,
    },
}
