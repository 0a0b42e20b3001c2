//! The link of a node to the one that schedules.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::CallFailure;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;

use crate::outbox::Outbox;
use crate::CallId;

/// Time between two pings.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a ping has failed: many times what the way takes.
const PING_TIMEOUT: Duration = Duration::from_millis(300);
/// Pings in a row without an answer after which nothing else is waited for.
const SILENT_PINGS: u32 = 2;
/// Pings in a row that may find nobody listening before the process there is taken for gone.
const REFUSED_PINGS: u32 = 2;

/// The link of a node to the one that schedules.
#[derive(Debug, Default)]
pub(crate) struct PeerLink {
    address: Option<SocketAddr>,
    /// Generation that the scheduler there must have.
    generation: u64,
    ping: Option<CallId>,
    next_ping_at: Moment,
    is_up: bool,
    /// Pings in a row that nobody was there to take.
    refused: u32,
    /// Pings in a row without an answer.
    failed: u32,
}

impl PeerLink {
    /// Points the link at the scheduler of a generation. Returns whether it is another one.
    pub(crate) fn set_scheduler(&mut self, generation: u64, address: Option<SocketAddr>) -> bool {
        let is_other = generation != self.generation || address != self.address;
        if is_other {
            *self = Self { address, generation, ..Self::default() };
        }
        is_other
    }

    /// Returns where the scheduler is, if it answers.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.address.filter(|_| self.is_up)
    }

    /// Returns whether nobody listens where the scheduler was, so that its process has ended.
    pub(crate) fn is_gone(&self) -> bool {
        self.refused >= REFUSED_PINGS
    }

    /// Returns whether the scheduler has been silent for long.
    pub(crate) fn is_silent(&self) -> bool {
        self.failed >= SILENT_PINGS
    }

    /// Sends a ping when it is time.
    pub(crate) fn poll(&mut self, out: &mut Outbox) {
        let Some(address) = self.address else { return };
        if self.ping.is_some() || out.now < self.next_ping_at {
            return;
        }
        self.next_ping_at = out.now + PING_INTERVAL;
        self.ping = Some(out.call_peer(address, PeerRequest::Ping, PING_TIMEOUT));
    }

    /// Takes an answer; returns whether it was one to a ping.
    pub(crate) fn take_reply(&mut self, call: CallId, reply: &PeerReply) -> bool {
        if self.ping != Some(call) {
            return false;
        }
        self.ping = None;
        match reply {
            PeerReply::Pong { generation } => {
                self.is_up = *generation == self.generation;
                self.refused = 0;
                self.failed = 0;
            }
            PeerReply::Failed(CallFailure::NotDone) => {
                self.is_up = false;
                self.refused += 1;
                self.failed += 1;
            }
            _ => {
                self.is_up = false;
                self.refused = 0;
                self.failed += 1;
            }
        }
        true
    }

    /// Notes that a call to the scheduler failed.
    pub(crate) fn note_failure(&mut self) {
        self.is_up = false;
        self.next_ping_at = Moment::START;
    }
}
