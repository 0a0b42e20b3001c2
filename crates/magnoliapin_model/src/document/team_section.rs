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

/// Value that errors show for a key, which may be a secret entered by mistake.
const REDACTED: &str = "a value that is not shown";
const ALLOWED_KEYS: &str = "names, each with \"sha256:\" and 64 hexadecimal digits in quotes";

crate::plain_data! {
    /// One team with its keys, share and limit.
    #[serde(default, deny_unknown_fields)]
    pub struct TeamSection {
        /// Team that owns this section; with `None`, any operator may change it.
        pub owner: Option<TeamId>,
        /// Weight of the team's share while all slots are occupied.
        pub weight: u32,
        /// Maximum number of slots that the team may occupy in the whole fleet.
        pub limit: SlotCount,
        /// Whether the team's keys may change the configuration and the fleet.
        pub operator: bool,
        /// Hash of each key, by name; revoked keys are removed.
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

    /// Allowed values of `weight`.
    pub const WEIGHT: NumberRange = NumberRange::new(1, 1_000, "shares");

    /// Allowed values of `limit`.
    pub const LIMIT: NumberRange = NumberRange::new(1, 1_000_000, "slots");

    /// Maximum number of keys of a team.
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
    let table: Table = reader.table("keys", ALLOWED_KEYS);
    let mut keys = IndexMap::new();
    for (name, value) in table {
        let key_path = format!("keys.{name}");
        let hash = value.as_str().and_then(|text| text.parse::<KeyHash>().ok());
        match (name.parse::<KeyId>(), hash) {
            (Ok(key), Some(hash)) => {
                keys.insert(key, hash);
            }
            (Err(error), _) => reader.add_error(&key_path, REDACTED, error),
            (_, None) => reader.add_error(&key_path, REDACTED, ALLOWED_KEYS),
        }
    }
    keys
}
