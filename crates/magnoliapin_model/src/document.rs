//! The configuration document: pools, teams, queues, maintenance and weights.

mod check;
mod document_error;
mod document_snapshot;
mod key_hash;
mod key_ring;
mod key_secret;
mod maintenance_section;
mod number_range;
mod owner_rule;
mod parse;
mod pool_section;
mod queue_section;
mod section_diff;
mod section_name;
mod section_reader;
mod section_text;
mod team_section;
mod weight_section;

pub use document_error::DocumentError;
pub use document_error::MAX_DOCUMENT_ERRORS;
pub use document_snapshot::DocumentSnapshot;
pub use document_snapshot::SnapshotError;
pub use key_hash::KeyHash;
pub use key_hash::KeyHashError;
pub use key_ring::KeyRing;
pub use key_secret::KeySecret;
pub use maintenance_section::MaintenanceSection;
pub use number_range::NumberRange;
pub use owner_rule::NotOwner;
pub use parse::MAX_DOCUMENT_BYTES;
pub use pool_section::PoolSection;
pub use queue_section::QueueSection;
pub use section_diff::SectionDiff;
pub use section_diff::SectionEdit;
pub use section_name::SectionName;
pub use section_name::SectionNameError;
pub use team_section::TeamSection;
pub use weight_section::WeightSection;

use indexmap::IndexMap;

use crate::KeyId;
use crate::PoolId;
use crate::QueueId;
use crate::TeamId;

crate::plain_data! {
    /// The whole configuration document.
    ///
    /// [`ConfigDocument::parse`] and [`ConfigDocument::from_sections`] return only documents
    /// without errors, with their sections sorted by name.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct ConfigDocument {
        /// Pools of instances.
        pub pools: IndexMap<PoolId, PoolSection>,
        /// Teams that submit work.
        pub teams: IndexMap<TeamId, TeamSection>,
        /// Queues that accept work.
        pub queues: IndexMap<QueueId, QueueSection>,
        /// Settings of planned maintenance.
        pub maintenance: MaintenanceSection,
        /// Relative weights of this site's optimization objectives.
        pub weights: WeightSection,
    }
}

impl ConfigDocument {
    /// Returns the name of every section, in canonical order: by kind, then by name.
    pub fn section_names(&self) -> Vec<SectionName> {
        let pools = self.pools.keys().map(|pool| SectionName::Pool(*pool));
        let teams = self.teams.keys().map(|team| SectionName::Team(*team));
        let queues = self.queues.keys().map(|queue| SectionName::Queue(*queue));
        let mut names: Vec<SectionName> = pools.chain(teams).chain(queues).collect();
        names.extend([SectionName::Maintenance, SectionName::Weights]);
        names.sort_unstable();
        names
    }

    /// Returns the team and the name of the key with this hash, or `None` if no team has it.
    ///
    /// Compares `hash` with every key of the document; [`KeyRing::find`] is faster.
    pub fn team_of_key(&self, hash: &KeyHash) -> Option<(TeamId, KeyId)> {
        let mut found = None;
        for (team, section) in &self.teams {
            for (key, stored) in &section.keys {
                if stored.matches(hash) {
                    found = Some((*team, *key));
                }
            }
        }
        found
    }
}
