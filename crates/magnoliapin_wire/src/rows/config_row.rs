//! Rows of the configuration.

use magnoliapin_model::plain_data;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::SectionName;
use magnoliapin_model::TeamId;

use crate::rows::RowValue;

/// Maximum number of changes that the head lists.
pub const MAX_RECENT_CHANGES: usize = 64;

plain_data! {
    /// Version of the accepted configuration and its recent changes.
    #[derive(Default)]
    pub struct ConfigHead {
        /// Version; strictly increasing.
        pub version: ConfigVersion,
        /// At most [`MAX_RECENT_CHANGES`] latest changes, oldest first.
        #[serde(default)]
        pub recent: Vec<SectionChange>,
    }

    /// One section that a version changed.
    #[derive(Copy, Eq)]
    pub struct SectionChange {
        /// Version that made the change.
        pub version: ConfigVersion,
        /// The section.
        pub section: SectionName,
    }

    /// One section of the configuration.
    #[derive(Default)]
    pub struct SectionRow {
        /// Team that owned the section when the row was written.
        #[serde(default)]
        pub owner: Option<TeamId>,
        /// Version that last changed the section.
        pub version: ConfigVersion,
        /// Text as the body of a TOML table; `None` if the section was removed.
        #[serde(default)]
        pub text: Option<String>,
    }
}

impl ConfigHead {
    /// Increments the version and records the sections that it changes.
    ///
    /// If the list grows too long, all changes of the oldest versions are removed.
    pub fn record(&mut self, sections: &[SectionName]) {
        let version = ConfigVersion(self.version.0 + 1);
        let changes = sections.iter().map(|section| SectionChange { version, section: *section });
        self.recent.extend(changes);
        while self.recent.len() > MAX_RECENT_CHANGES {
            let oldest = self.recent[0].version;
            self.recent.retain(|change| change.version != oldest);
        }
        self.version = version;
    }

    /// Returns the sections that changed after `known`, or `None` if the list does not reach back
    /// that far and every section must be read.
    pub fn changed_since(&self, known: ConfigVersion) -> Option<Vec<SectionName>> {
        if known >= self.version {
            return Some(Vec::new());
        }
        let oldest = self.recent.first()?.version;
        if known.0 + 1 < oldest.0 {
            return None;
        }
        let mut sections = Vec::new();
        for change in &self.recent {
            if change.version > known && !sections.contains(&change.section) {
                sections.push(change.section);
            }
        }
        Some(sections)
    }
}

impl RowValue for ConfigHead {
    const KIND: &'static str = "config head";
}

impl RowValue for SectionRow {
    const KIND: &'static str = "section";
}
