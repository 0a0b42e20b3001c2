//! Racks in which planned work is under way.

use indexmap::IndexMap;
use magnoliapin_model::plain_data;
use magnoliapin_model::RackId;

plain_data! {
    /// Value of the row `fleet/racks`: how many instances of each rack have a planned step.
    #[derive(Default)]
    #[serde(transparent)]
    pub struct RackRow {
        /// Instances with a planned step; a rack without one is left out.
        pub planned: IndexMap<RackId, u32>,
    }
}

impl RackRow {
    /// Returns whether planned work is under way in `rack`.
    pub fn is_open(&self, rack: RackId) -> bool {
        self.planned.contains_key(&rack)
    }

    /// Returns how many racks have planned work.
    pub fn open_racks(&self) -> u32 {
        u32::try_from(self.planned.len()).unwrap_or(u32::MAX)
    }

    /// Counts a planned step in `rack`.
    pub fn add(&mut self, rack: RackId) {
        *self.planned.entry(rack).or_insert(0) += 1;
    }

    /// Takes back an earlier [`add`](Self::add) and returns whether there was one to take back.
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
