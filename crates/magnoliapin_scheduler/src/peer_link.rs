//! Health check of the leader by another node.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::ByteSize;
use magnoliapin_model::Moment;
use magnoliapin_site::CallFailure;
use magnoliapin_site::NodeProfile;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;

use crate::outbox::Outbox;
use crate::CallId;

/// Time between two pings.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a ping fails; many times the usual round-trip time.
const PING_TIMEOUT: Duration = Duration::from_millis(300);
/// Consecutive failed pings after which forwarded requests are sent to the store instead.
const UNRESPONSIVE_AFTER_PINGS: u32 = 2;
/// Consecutive pings whose connection fails after which the leader's process counts as down.
const PROCESS_DOWN_AFTER_PINGS: u32 = 2;

/// Pings the leader on another node and tracks whether it answers.
#[derive(Debug, Default)]
pub(crate) struct PeerLink {
    address: Option<SocketAddr>,
    /// Generation that the leader must have.
    generation: u64,
    /// The ping in flight.
    ping_call: Option<CallId>,
    next_ping_at: Moment,
    is_up: bool,
    /// Consecutive pings whose connection failed.
    refused_pings: u32,
    /// Consecutive failed pings.
    failed_pings: u32,
}

impl PeerLink {
    /// Sets the leader to ping. Returns whether it has changed.
    pub(crate) fn set_leader(&mut self, generation: u64, address: Option<SocketAddr>) -> bool {
        let has_changed = generation != self.generation || address != self.address;
        if has_changed {
            *self = Self { address, generation, ..Self::default() };
        }
        has_changed
    }

    /// Returns the address of the leader, if it answers.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.address.filter(|_| self.is_up)
    }

    /// Returns whether the leader's process has ended, as connections to it fail.
    pub(crate) fn is_process_down(&self) -> bool {
        self.refused_pings >= PROCESS_DOWN_AFTER_PINGS
    }

    /// Returns whether several consecutive pings have failed.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.failed_pings >= UNRESPONSIVE_AFTER_PINGS
    }

    /// Sends a ping when one is due, with the profile of this node and its memory, if that is given.
    pub(crate) fn poll(
        &mut self,
        profile: &NodeProfile,
        memory: Option<ByteSize>,
        out: &mut Outbox,
    ) {
        let Some(address) = self.address else { return };
        if self.ping_call.is_some() || out.now < self.next_ping_at {
            return;
        }
        self.next_ping_at = out.now + PING_INTERVAL;
        let (profile, clock_ms) = (profile.clone(), out.now.0 / 1000);
        let ping = match memory {
            Some(memory) => PeerRequest::OfferWithMemory { profile, clock_ms, memory },
            None => PeerRequest::Offer { profile, clock_ms },
        };
        self.ping_call = Some(out.call_peer(address, ping, PING_TIMEOUT));
    }

    /// Handles a reply. Returns whether it answers a ping.
    pub(crate) fn handle_reply(&mut self, call: CallId, reply: &PeerReply) -> bool {
        if self.ping_call != Some(call) {
            return false;
        }
        self.ping_call = None;
        match reply {
            PeerReply::Pong { generation } => {
                self.is_up = *generation == self.generation;
                self.refused_pings = 0;
                self.failed_pings = 0;
            }
            PeerReply::Failed(CallFailure::NotDone) => {
                self.is_up = false;
                self.refused_pings += 1;
                self.failed_pings += 1;
            }
            _ => {
                self.is_up = false;
                self.refused_pings = 0;
                self.failed_pings += 1;
            }
        }
        true
    }

    /// Records that a call to the leader failed, and makes a ping due at once.
    pub(crate) fn record_failure(&mut self) {
        self.is_up = false;
        self.next_ping_at = Moment::START;
    }
}
