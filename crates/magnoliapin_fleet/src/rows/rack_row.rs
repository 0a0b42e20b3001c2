//! Racks with planned work in progress.

use indexmap::IndexMap;
use magnoliapin_model::plain_data;
use magnoliapin_model::RackId;

plain_data! {
    /// Value of the row `fleet/racks`: how many instances of each rack have a planned step.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct RackRow {
        /// Instances with a planned step, by rack; racks without any are omitted.
        pub planned: IndexMap<RackId, u32>,
    }
}

impl RackRow {
    /// Returns whether `rack` has planned work.
    pub fn has_planned_work(&self, rack: RackId) -> bool {
        self.planned.contains_key(&rack)
    }

    /// Returns the number of racks with planned work.
    pub fn planned_racks(&self) -> u32 {
        u32::try_from(self.planned.len()).unwrap_or(u32::MAX)
    }

    /// Adds a planned step in `rack`.
    pub fn add(&mut self, rack: RackId) {
        *self.planned.entry(rack).or_insert(0) += 1;
    }

    /// Reverts an [`add`](Self::add), or returns `false` if `rack` has no planned step.
    #[must_use]
    pub fn remove(&mut self, rack: RackId) -> bool {
        let Some(count) = self.planned.get_mut(&rack) else { return false };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.planned.shift_remove(&rack);
        }
        true
    }
}
