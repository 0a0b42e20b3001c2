//! An index of every team's keys.

use indexmap::IndexMap;

use crate::ConfigDocument;
use crate::KeyHash;
use crate::KeyId;
use crate::TeamId;

/// Finds the team of a key without searching the whole document.
///
/// The index uses the first bytes of the hash, so the time of a lookup can reveal whether a stored
/// hash has the same prefix. An attacker cannot use this: the bytes come from a SHA-256 of the
/// secret, so they cannot be steered towards a stored hash, and even a complete hash does not
/// reveal a secret of 256 random bits. Complete hashes are compared in constant time.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    buckets: IndexMap<[u8; KeyHash::PREFIX_BYTES], Vec<IndexedKey>>,
}

#[derive(Clone, Debug)]
struct IndexedKey {
    hash: KeyHash,
    team: TeamId,
    key: KeyId,
}

impl KeyRing {
    /// Indexes the keys of a document.
    pub fn new(document: &ConfigDocument) -> Self {
        let mut ring = Self::default();
        for (team, section) in &document.teams {
            for (key, hash) in &section.keys {
                let indexed_key = IndexedKey { hash: *hash, team: *team, key: *key };
                ring.buckets.entry(hash.prefix()).or_default().push(indexed_key);
            }
        }
        ring
    }

    /// Returns the team and the name of the key with this hash, or `None` if no team has it.
    pub fn find(&self, hash: &KeyHash) -> Option<(TeamId, KeyId)> {
        let bucket = self.buckets.get(&hash.prefix())?;
        let found = bucket.iter().find(|stored| stored.hash.matches(hash))?;
        Some((found.team, found.key))
    }
}
