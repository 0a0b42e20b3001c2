//! Latest events of one entry, for the merged timeline of all entries.

use std::collections::VecDeque;

use magnoliapin_model::plain_data;
use magnoliapin_model::EntryId;
use magnoliapin_model::ZoneId;
use magnoliapin_policy::TimelineEvent;
use magnoliapin_wire::HybridStamp;

use crate::hybrid_clock::HybridClock;

plain_data! {
    /// Event with its stamp and the entry that recorded it.
    pub struct TimelineRecord {
        /// Wall-clock part of the hybrid stamp, in microseconds since the Unix epoch; see
        /// [`HybridStamp`](magnoliapin_wire::HybridStamp).
        pub stamp_us: u64,
        /// Counter of the hybrid stamp, which orders events of the same microsecond.
        pub stamp_count: u32,
        /// Entry that recorded the event.
        pub entry: EntryId,
        /// Availability zone of the entry.
        pub zone: ZoneId,
        /// Recorded event; its fields are flattened into the record.
        #[serde(flatten)]
        pub event: TimelineEvent,
    }

    /// Response to `GET /v1/timeline`.
    #[derive(Default)]
    pub struct TimelineView {
        /// Number of events dropped from the ring.
        pub dropped: u64,
        /// The latest events, oldest first.
        pub records: Vec<TimelineRecord>,
    }
}

/// A bounded ring of events, stamped by a hybrid logical clock.
#[derive(Debug)]
pub(crate) struct TimelineRing {
    capacity: usize,
    dropped: u64,
    clock: HybridClock,
    records: VecDeque<TimelineRecord>,
}

impl TimelineRing {
    /// Creates an empty ring for `capacity` events, at least one.
    pub(crate) fn new(capacity: usize) -> Self {
        let records = VecDeque::with_capacity(capacity.min(1_024));
        Self { capacity: capacity.max(1), dropped: 0, clock: HybridClock::default(), records }
    }

    /// Appends an event; returns whether the oldest one was dropped to make room.
    pub(crate) fn push(
        &mut self,
        wall_us: u64,
        entry: EntryId,
        zone: ZoneId,
        event: TimelineEvent,
    ) -> bool {
        let stamp = self.clock.next(wall_us);
        let is_full = self.records.len() >= self.capacity;
        if is_full {
            self.records.pop_front();
            self.dropped += 1;
        }
        self.records.push_back(TimelineRecord {
            stamp_us: stamp.wall_us,
            stamp_count: stamp.count,
            entry,
            zone,
            event,
        });
        is_full
    }

    /// Returns a copy of the retained events.
    pub(crate) fn view(&self) -> TimelineView {
        TimelineView { dropped: self.dropped, records: self.records.iter().cloned().collect() }
    }

    /// Returns the stamp for an outgoing message.
    pub(crate) fn stamp(&mut self, wall_us: u64) -> HybridStamp {
        self.clock.next(wall_us)
    }

    /// Advances the clock to at least the stamp of a received message; returns whether the stamp
    /// was accepted.
    pub(crate) fn receive(&mut self, wall_us: u64, stamp: HybridStamp) -> bool {
        self.clock.receive(wall_us, stamp)
    }
}
