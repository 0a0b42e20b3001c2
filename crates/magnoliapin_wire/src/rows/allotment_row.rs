//! Row of a team's allotment.

use indexmap::IndexMap;
use magnoliapin_model::plain_data;
use magnoliapin_model::EntryId;
use magnoliapin_model::SlotCount;

use crate::rows::RowValue;

plain_data! {
    /// Upper limit of a team and the part of it that each entry holds.
    #[derive(Default)]
    pub struct AllotmentRow {
        /// Upper limit on slots that the team may have running over the whole fleet.
        pub limit: SlotCount,
        /// Slots that each entry may have running.
        #[serde(default)]
        pub parts: IndexMap<EntryId, u32>,
    }
}

impl AllotmentRow {
    /// Returns the sum of all parts; the most there is if a damaged row has more.
    pub fn sum(&self) -> u32 {
        self.parts.values().fold(0, |sum, part| sum.saturating_add(*part))
    }

    /// Returns what no entry holds; 0 if the limit was lowered under the sum of the parts.
    pub fn free(&self) -> u32 {
        self.limit.0.saturating_sub(self.sum())
    }
}

impl RowValue for AllotmentRow {
    const KIND: &'static str = "allotment";
}
