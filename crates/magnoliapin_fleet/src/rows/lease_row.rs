//! The planner's lease.

use magnoliapin_model::plain_data;
use magnoliapin_model::EntryId;

plain_data! {
    /// Value of the row `lease/planner`.
    ///
    /// It holds no time: others judge the lease lapsed when the counter has not changed for the
    /// length of the lease on their own monotonic clock.
    #[derive(Copy, Default, Eq)]
    pub struct LeaseRow {
        /// Entry that plans.
        pub holder: EntryId,
        /// Raised at each renewal and each change of the holder.
        pub counter: u64,
    }
}
