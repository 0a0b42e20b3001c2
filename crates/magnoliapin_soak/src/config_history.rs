//! History of the configurations that the platform accepted, for the checks.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::KeyHash;
use magnoliapin_model::Moment;
use magnoliapin_model::SectionName;
use magnoliapin_model::TeamId;
use magnoliapin_standin::TableState;
use magnoliapin_wire::rows::ConfigHead;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::rows::SectionRow;
use magnoliapin_wire::TableRead;

/// Longest time until an accepted configuration is in force on every fresh entry.
pub(crate) const IN_FORCE_BOUND: Duration = Duration::from_secs(6);

/// One accepted configuration.
#[derive(Debug)]
struct AcceptedConfig {
    at: Moment,
    version: ConfigVersion,
    document: ConfigDocument,
}

/// Accepted configurations, oldest first.
#[derive(Debug, Default)]
pub(crate) struct ConfigHistory {
    accepted: Vec<AcceptedConfig>,
}

impl ConfigHistory {
    /// Records the configuration in the table if its version has changed.
    pub(crate) fn record_change(&mut self, now: Moment, table: &mut TableState) {
        let key = RowKey::ConfigHead.to_string();
        let rows = table.read(&TableRead::Keys(vec![key]));
        let Some(head) = rows.first().and_then(|row| ConfigHead::from_json(&row.value).ok()) else {
            return;
        };
        if self.accepted.last().is_some_and(|last| last.version == head.version) {
            return;
        }
        let read = TableRead::Prefix {
            prefix: RowKey::SECTION_PREFIX.to_owned(),
            after: String::new(),
            limit: 1_000,
        };
        let mut sections: IndexMap<SectionName, String> = IndexMap::new();
        for row in table.read(&read) {
            let Ok(RowKey::Section(name)) = row.key.parse() else { continue };
            let section = SectionRow::from_json(&row.value).ok();
            if let Some(text) = section.and_then(|section| section.text) {
                sections.insert(name, text);
            }
        }
        let document = ConfigDocument::from_sections(&sections).unwrap_or_default();
        self.accepted.push(AcceptedConfig { at: now, version: head.version, document });
    }

    /// Returns the newest version and its document.
    pub(crate) fn newest(&self) -> Option<(ConfigVersion, &ConfigDocument)> {
        self.accepted.last().map(|config| (config.version, &config.document))
    }

    /// Returns the version that every fresh entry must have in force at `now`.
    pub(crate) fn due_version(&self, now: Moment) -> ConfigVersion {
        let due = self.accepted.iter().rev().find(|config| now.since(config.at) > IN_FORCE_BOUND);
        due.map(|config| config.version).unwrap_or_default()
    }

    /// Returns the highest limit of a team that any entry may have applied since `since`.
    pub(crate) fn limit_bound(&self, team: TeamId, since: Moment) -> u32 {
        let limit = |config: &AcceptedConfig| {
            config.document.teams.get(&team).map_or(0, |section| section.limit.0)
        };
        let mut bound = 0;
        for config in self.accepted.iter().rev() {
            bound = bound.max(limit(config));
            if since.since(config.at) > IN_FORCE_BOUND {
                break;
            }
        }
        bound
    }

    /// Returns whether a key has been withdrawn for longer than [`IN_FORCE_BOUND`].
    pub(crate) fn is_long_withdrawn(&self, key: &KeyHash, now: Moment) -> bool {
        for config in self.accepted.iter().rev() {
            if config.document.team_of_key(key).is_some() {
                return false;
            }
            if now.since(config.at) > IN_FORCE_BOUND {
                return true;
            }
        }
        false
    }
}
