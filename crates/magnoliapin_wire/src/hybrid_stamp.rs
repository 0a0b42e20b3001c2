//! Stamps that order events over all entries.

use magnoliapin_model::plain_data;

plain_data! {
    /// A point on a hybrid logical clock.
    ///
    /// It is close to the wall clock, and an event that another one can have caused has a higher
    /// stamp than that one, whatever the wall clocks of their entries say.
    #[derive(Copy, Default, Eq, PartialOrd, Ord, Hash)]
    pub struct HybridStamp {
        /// Highest wall clock that the entry has seen, in microseconds since 1970.
        pub wall_us: u64,
        /// Orders events of the same `wall_us`.
        pub count: u32,
    }
}
