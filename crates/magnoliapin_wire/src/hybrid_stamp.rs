//! Timestamps that order events across entries.

use magnoliapin_model::plain_data;

plain_data! {
    /// A point on a hybrid logical clock.
    ///
    /// The stamp is close to the wall clock. An event has a higher stamp than every event that may
    /// have caused it, even if the wall clocks of their entries disagree.
    #[derive(Copy, Default, Eq, PartialOrd, Ord, Hash)]
    pub struct HybridStamp {
        /// Highest wall-clock time observed by the entry, in microseconds since the Unix epoch.
        pub wall_us: u64,
        /// Logical counter that orders events with the same `wall_us`.
        pub count: u32,
    }
}
