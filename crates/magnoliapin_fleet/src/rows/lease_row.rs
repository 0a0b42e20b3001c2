//! The planner's lease.

use magnoliapin_model::plain_data;
use magnoliapin_model::EntryId;

plain_data! {
    /// Value of the row `lease/planner`.
    ///
    /// It holds no timestamp: other entries consider the lease expired when the row has not changed
    /// for the lease duration on their own monotonic clock.
    #[derive(Copy, Default, Eq)]
    pub struct LeaseRow {
        /// Entry that holds the lease.
        pub holder: EntryId,
        /// Incremented on each renewal and each change of the holder.
        pub counter: u64,
    }
}
