//! What each measure is worth to a site.

use super::document_error::ErrorList;
use super::section_reader::SectionReader;
use super::section_text::SectionText;
use crate::SectionName;
use crate::TeamId;

const WEIGHT: &str = "a number from 0 to 1000000";
const MAX_WEIGHT: f64 = 1_000_000.0;

crate::plain_data! {
    /// What each measure is worth to this site; only the ratios matter.
    #[serde(default, deny_unknown_fields)]
    pub struct WeightSection {
        /// Team that owns this section; empty means that any operator may change it.
        pub owner: Option<TeamId>,
        /// Price of an instance-hour held as buffer.
        pub buffer: f64,
        /// Price of a distance from the share.
        pub share: f64,
        /// Price of one move.
        pub moves: f64,
        /// Price of an hour of roll-out.
        pub rollout: f64,
    }
}

impl Default for WeightSection {
    fn default() -> Self {
        Self { owner: None, buffer: 1.0, share: 1.0, moves: 1.0, rollout: 1.0 }
    }
}

impl WeightSection {
    /// Names of the section's keys, in canonical order.
    pub const KEYS: &'static [&'static str] = &["owner", "buffer", "share", "moves", "rollout"];

    pub(super) fn read(mut reader: SectionReader<'_>) -> Self {
        let default = Self::default();
        let section = Self {
            owner: reader.name("owner"),
            buffer: reader.fraction("buffer", WEIGHT, default.buffer),
            share: reader.fraction("share", WEIGHT, default.share),
            moves: reader.fraction("moves", WEIGHT, default.moves),
            rollout: reader.fraction("rollout", WEIGHT, default.rollout),
        };
        reader.finish(Self::KEYS);
        section
    }

    pub(super) fn check(&self, name: SectionName, errors: &mut ErrorList) {
        for (key, weight) in self.prices() {
            if !(0.0..=MAX_WEIGHT).contains(&weight) {
                errors.add(name, key, weight, WEIGHT);
            }
        }
        if self.prices().iter().all(|(_, weight)| *weight == 0.0) {
            errors.add(name, "", "only weights of 0", "at least one weight above 0");
        }
    }

    pub(super) fn write(&self, text: &mut SectionText) {
        text.optional("owner", self.owner);
        for (key, weight) in self.prices() {
            text.line(key, weight);
        }
    }

    fn prices(&self) -> [(&'static str, f64); 4] {
        [
            ("buffer", self.buffer),
            ("share", self.share),
            ("moves", self.moves),
            ("rollout", self.rollout),
        ]
    }
}
