//! One team with its keys, share and limit.

use indexmap::IndexMap;
use toml::Table;

use super::document_error::ErrorList;
use super::section_reader::SectionReader;
use super::section_text::toml_key;
use super::section_text::SectionText;
use crate::KeyHash;
use crate::KeyId;
use crate::NumberRange;
use crate::SectionName;
use crate::SlotCount;
use crate::TeamId;

/// Stands in an error for the value of a key, which may be a secret put there by mistake.
const HIDDEN: &str = "a value that is not shown";
const KEYS: &str = "names, each with \"sha256:\" and 64 hexadecimal digits in quotes";

crate::plain_data! {
    /// One team with its keys, share and limit.
    #[serde(default, deny_unknown_fields)]
    pub struct TeamSection {
        /// Team that owns this section; empty means that any operator may change it.
        pub owner: Option<TeamId>,
        /// Weight of the team's share where everything is full.
        pub weight: u32,
        /// Upper limit on slots that the team may have running over the whole fleet.
        pub limit: SlotCount,
        /// Whether the team's keys may change the configuration and the fleet.
        pub operator: bool,
        /// Keys by name; withdrawn keys are removed.
        pub keys: IndexMap<KeyId, KeyHash>,
    }
}

impl Default for TeamSection {
    fn default() -> Self {
        Self { owner: None, weight: 1, limit: SlotCount(0), operator: false, keys: IndexMap::new() }
    }
}

impl TeamSection {
    /// Names of the section's keys, in canonical order.
    pub const KEYS: &'static [&'static str] = &["owner", "weight", "limit", "operator", "keys"];

    /// Allowed weights of a share.
    pub const WEIGHT: NumberRange = NumberRange::new(1, 1_000, "shares");

    /// Allowed upper limits.
    pub const LIMIT: NumberRange = NumberRange::new(1, 1_000_000, "slots");

    /// Most keys that a team has at once.
    pub const MAX_KEYS: usize = 64;

    pub(super) fn read(mut reader: SectionReader<'_>) -> Self {
        reader.require("limit", Self::LIMIT);
        let default = Self::default();
        let section = Self {
            owner: reader.name("owner"),
            weight: reader.number("weight", Self::WEIGHT, default.weight),
            limit: SlotCount(reader.number("limit", Self::LIMIT, default.limit.0)),
            operator: reader.flag("operator", default.operator),
            keys: read_keys(&mut reader),
        };
        reader.finish(Self::KEYS);
        section
    }

    pub(super) fn check(&self, name: SectionName, errors: &mut ErrorList) {
        errors.check_range(name, "weight", self.weight, Self::WEIGHT);
        errors.check_range(name, "limit", self.limit.0, Self::LIMIT);
        if self.keys.len() > Self::MAX_KEYS {
            let found = format!("{} keys", self.keys.len());
            errors.add(name, "keys", found, format!("at most {} keys", Self::MAX_KEYS));
        }
    }

    pub(super) fn write(&self, text: &mut SectionText) {
        text.optional("owner", self.owner);
        text.number("weight", self.weight);
        text.number("limit", self.limit.0);
        text.line("operator", self.operator);
        let mut keys: Vec<_> = self.keys.iter().collect();
        keys.sort_unstable_by_key(|(key, _)| **key);
        for (key, hash) in keys {
            text.line(&format!("keys.{}", toml_key(key.as_str())), hash.to_string());
        }
    }
}

fn read_keys(reader: &mut SectionReader<'_>) -> IndexMap<KeyId, KeyHash> {
    let table: Table = reader.table("keys", KEYS);
    let mut keys = IndexMap::new();
    for (name, value) in table {
        let place = format!("keys.{name}");
        let hash = value.as_str().and_then(|text| text.parse::<KeyHash>().ok());
        match (name.parse::<KeyId>(), hash) {
            (Ok(key), Some(hash)) => {
                keys.insert(key, hash);
            }
            (Err(error), _) => reader.error(&place, HIDDEN, error),
            (_, None) => reader.error(&place, HIDDEN, KEYS),
        }
    }
    keys
}
