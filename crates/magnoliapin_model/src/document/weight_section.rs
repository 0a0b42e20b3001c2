//! Weights of a site's optimization objectives.

use super::document_error::ErrorList;
use super::section_reader::SectionReader;
use super::section_text::SectionText;
use crate::SectionName;
use crate::TeamId;

const ALLOWED_WEIGHT: &str = "a number from 0 to 1000000";
const MAX_WEIGHT: f64 = 1_000_000.0;

crate::plain_data! {
    /// Weights of the site's optimization objectives; only their ratios matter.
    #[serde(default, deny_unknown_fields)]
    pub struct WeightSection {
        /// Team that owns this section; with `None`, any operator may change it.
        pub owner: Option<TeamId>,
        /// Cost per instance-hour kept as buffer capacity.
        pub buffer: f64,
        /// Cost of a deviation from the fair share.
        pub share: f64,
        /// Cost of moving one instance between pools.
        pub moves: f64,
        /// Cost per hour of roll-out.
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
            buffer: reader.float("buffer", ALLOWED_WEIGHT, default.buffer),
            share: reader.float("share", ALLOWED_WEIGHT, default.share),
            moves: reader.float("moves", ALLOWED_WEIGHT, default.moves),
            rollout: reader.float("rollout", ALLOWED_WEIGHT, default.rollout),
        };
        reader.finish(Self::KEYS);
        section
    }

    pub(super) fn check(&self, name: SectionName, errors: &mut ErrorList) {
        for (key, weight) in self.weights_by_key() {
            if !(0.0..=MAX_WEIGHT).contains(&weight) {
                errors.add(name, key, weight, ALLOWED_WEIGHT);
            }
        }
        if self.weights_by_key().iter().all(|(_, weight)| *weight == 0.0) {
            errors.add(name, "", "only weights of 0", "at least one weight above 0");
        }
    }

    pub(super) fn write(&self, text: &mut SectionText) {
        text.optional("owner", self.owner);
        for (key, weight) in self.weights_by_key() {
            text.line(key, weight);
        }
    }

    fn weights_by_key(&self) -> [(&'static str, f64); 4] {
        [
            ("buffer", self.buffer),
            ("share", self.share),
            ("moves", self.moves),
            ("rollout", self.rollout),
        ]
    }
}
