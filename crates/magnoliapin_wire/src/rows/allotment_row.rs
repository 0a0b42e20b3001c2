//! Row of a team's quota allotment.

use indexmap::IndexMap;
use magnoliapin_model::plain_data;
use magnoliapin_model::EntryId;
use magnoliapin_model::SlotCount;

use crate::rows::RowValue;

plain_data! {
    /// Quota allotment of a team: its limit, divided into one slice for each entry.
    #[derive(Default)]
    pub struct AllotmentRow {
        /// Maximum number of slots that the team may occupy in the whole fleet.
        pub limit: SlotCount,
        /// Quota slice of each entry: number of slots that the team may occupy through it.
        #[serde(default)]
        pub parts: IndexMap<EntryId, u32>,
    }
}

impl AllotmentRow {
    /// Returns the sum of all slices, saturated at `u32::MAX` if a corrupt row exceeds it.
    pub fn sum(&self) -> u32 {
        self.parts.values().fold(0, |sum, slice| sum.saturating_add(*slice))
    }

    /// Returns the number of slots that are in no slice; 0 if the sum of the slices exceeds a
    /// lowered limit.
    pub fn unallocated(&self) -> u32 {
        self.limit.0.saturating_sub(self.sum())
    }
}

impl RowValue for AllotmentRow {
    const KIND: &'static str = "allotment";
}
