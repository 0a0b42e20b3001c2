//! The latest events of one entry, for the time line over all entries.

use std::collections::VecDeque;

use magnoliapin_model::plain_data;
use magnoliapin_model::EntryId;
use magnoliapin_model::ZoneId;
use magnoliapin_policy::TimelineEvent;
use magnoliapin_wire::HybridStamp;

use crate::hybrid_clock::HybridClock;

plain_data! {
    /// One event with the entry that recorded it.
    pub struct TimelineRecord {
        /// Hybrid logical clock, in microseconds since 1970; see
        /// [`HybridStamp`](magnoliapin_wire::HybridStamp).
        pub stamp_us: u64,
        /// Orders events of the same microsecond.
        pub stamp_count: u32,
        /// The entry.
        pub entry: EntryId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// What happened.
        #[serde(flatten)]
        pub event: TimelineEvent,
    }

    /// Answer of `GET /v1/timeline`.
    #[derive(Default)]
    pub struct TimelineView {
        /// Events that are no longer kept.
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
    /// Makes an empty ring.
    pub(crate) fn new(capacity: usize) -> Self {
        let records = VecDeque::with_capacity(capacity.min(1_024));
        Self { capacity: capacity.max(1), dropped: 0, clock: HybridClock::default(), records }
    }

    /// Adds an event; returns whether an older one had to go.
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

    /// Returns a copy of what is kept.
    pub(crate) fn view(&self) -> TimelineView {
        TimelineView { dropped: self.dropped, records: self.records.iter().cloned().collect() }
    }

    /// Returns the stamp of a message that leaves.
    pub(crate) fn stamp(&mut self, wall_us: u64) -> HybridStamp {
        self.clock.next(wall_us)
    }

    /// Takes the stamp of a message that came; returns whether it was followed.
    pub(crate) fn receive(&mut self, wall_us: u64, stamp: HybridStamp) -> bool {
        self.clock.receive(wall_us, stamp)
    }
}
