//! Receives and verifies datagrams of peers and passes them to the driver.

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Sender;
use indexmap::IndexMap;
use magnoliapin_model::EntryId;
use magnoliapin_policy::EntryEvent;
use magnoliapin_wire::PeerCodec;
use magnoliapin_wire::PeerEnvelope;
use magnoliapin_wire::MAX_DATAGRAM_BYTES;

use crate::driver::DriverEvent;
use crate::driver::DriverState;
use crate::metrics::DatagramOutcome;
use crate::supervisor::ChildOutcome;
use crate::EntryMetrics;
use crate::MonotonicClock;
use crate::PeerTransport;

/// Maximum number of senders whose last sequence number is kept.
const MAX_SENDERS: usize = 1_024;

/// Receives datagrams of peers for one entry.
#[derive(Clone, Debug)]
pub(crate) struct PeerLink {
    /// Transport that delivers datagrams.
    pub(crate) transport: Arc<dyn PeerTransport>,
    /// Verifies and decodes datagrams.
    pub(crate) codec: PeerCodec,
    /// Event channel of the driver.
    pub(crate) events: Sender<DriverEvent>,
    /// Shared state with the entry's identifier and the timeline.
    pub(crate) state: Arc<DriverState>,
    /// Source of the wall-clock time.
    pub(crate) clock: Arc<dyn MonotonicClock>,
    /// Counts datagrams.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// Number of queued driver events at which datagrams are dropped.
    pub(crate) max_queued_events: usize,
}

impl PeerLink {
    /// Receives datagrams until the driver's event channel is closed.
    pub(crate) async fn run(self) -> ChildOutcome {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut last_sequences = SequenceTable::default();
        loop {
            let Ok((length, address)) = self.transport.receive(&mut buffer).await else {
                return ChildOutcome::Failed;
            };
            let outcome = match self.codec.decode(&buffer[..length]) {
                Ok(envelope) => self.deliver(address, envelope, &mut last_sequences),
                Err(_) => DatagramOutcome::Foreign,
            };
            self.metrics.count_datagram(outcome);
            if self.events.is_closed() {
                return ChildOutcome::Done;
            }
        }
    }

    fn deliver(
        &self,
        address: SocketAddr,
        envelope: PeerEnvelope,
        last_sequences: &mut SequenceTable,
    ) -> DatagramOutcome {
        let local_entry = self.state.entry();
        if envelope.from == local_entry || envelope.to.is_some_and(|to| to != local_entry) {
            return DatagramOutcome::Misdirected;
        }
        if !last_sequences.advance(envelope.from, envelope.sequence) {
            return DatagramOutcome::Replayed;
        }
        if self.events.len() >= self.max_queued_events {
            return DatagramOutcome::Overflowed;
        }
        let wall_us = self.clock.wall_micros();
        if !self.state.timeline().receive(wall_us, envelope.stamp) {
            self.metrics.count_ignored_stamp();
        }
        let event = EntryEvent::Peer { from: envelope.from, address, message: envelope.message };
        match self.events.try_send(DriverEvent::Machine(event)) {
            Ok(()) => DatagramOutcome::Received,
            Err(_) => DatagramOutcome::Overflowed,
        }
    }
}

/// Highest sequence number received from each sender.
#[derive(Debug, Default)]
struct SequenceTable {
    highest: IndexMap<EntryId, u64>,
}

impl SequenceTable {
    /// Records the sequence number of a sender; returns `false` if it is not higher than the
    /// last one.
    fn advance(&mut self, sender: EntryId, sequence: u64) -> bool {
        match self.highest.get_mut(&sender) {
            Some(highest) if sequence <= *highest => false,
            Some(highest) => {
                *highest = sequence;
                true
            }
            None => {
                if self.highest.len() >= MAX_SENDERS {
                    self.highest.shift_remove_index(0);
                }
                self.highest.insert(sender, sequence);
                true
            }
        }
    }
}
