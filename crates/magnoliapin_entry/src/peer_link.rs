//! Receives datagrams, checks them and passes them on to the driver.

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
use crate::metrics::DatagramFate;
use crate::supervisor::ChildEnd;
use crate::EntryMetrics;
use crate::MonotonicClock;
use crate::PeerTransport;

/// Senders whose last sequence number is remembered.
const MAX_SENDERS: usize = 1_024;

/// Receives datagrams for one entry.
#[derive(Clone, Debug)]
pub(crate) struct PeerLink {
    /// Where datagrams come from.
    pub(crate) transport: Arc<dyn PeerTransport>,
    /// Checks them.
    pub(crate) codec: PeerCodec,
    /// Takes the messages.
    pub(crate) events: Sender<DriverEvent>,
    /// Knows the entry's identifier.
    pub(crate) state: Arc<DriverState>,
    /// Tells the wall clock.
    pub(crate) clock: Arc<dyn MonotonicClock>,
    /// Counts datagrams.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// Events that may wait for the driver before datagrams are dropped.
    pub(crate) waiting_datagrams: usize,
}

impl PeerLink {
    /// Receives until the driver is gone.
    pub(crate) async fn run(self) -> ChildEnd {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let mut last_sequences = SequenceTable::default();
        loop {
            let Ok((length, address)) = self.transport.receive(&mut buffer).await else {
                return ChildEnd::Failed;
            };
            let fate = match self.codec.decode(&buffer[..length]) {
                Ok(envelope) => self.deliver(address, envelope, &mut last_sequences),
                Err(_) => DatagramFate::Foreign,
            };
            self.metrics.count_datagram(fate);
            if self.events.is_closed() {
                return ChildEnd::Done;
            }
        }
    }

    fn deliver(
        &self,
        address: SocketAddr,
        envelope: PeerEnvelope,
        last_sequences: &mut SequenceTable,
    ) -> DatagramFate {
        let own = self.state.entry();
        if envelope.from == own || envelope.to.is_some_and(|to| to != own) {
            return DatagramFate::Misdirected;
        }
        if !last_sequences.raise(envelope.from, envelope.sequence) {
            return DatagramFate::Replayed;
        }
        if self.events.len() >= self.waiting_datagrams {
            return DatagramFate::Overflowed;
        }
        let wall_us = self.clock.wall_micros();
        if !self.state.timeline().receive(wall_us, envelope.stamp) {
            self.metrics.count_stamp_ahead();
        }
        let event = EntryEvent::Peer { from: envelope.from, address, message: envelope.message };
        match self.events.try_send(DriverEvent::Machine(event)) {
            Ok(()) => DatagramFate::Received,
            Err(_) => DatagramFate::Overflowed,
        }
    }
}

/// Highest sequence number received from each sender.
#[derive(Debug, Default)]
struct SequenceTable {
    highest: IndexMap<EntryId, u64>,
}

impl SequenceTable {
    /// Raises the number of a sender; returns false if it is not higher than the last one.
    fn raise(&mut self, sender: EntryId, sequence: u64) -> bool {
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
