//! An index of every team's keys.

use indexmap::IndexMap;

use crate::ConfigDocument;
use crate::KeyHash;
use crate::KeyId;
use crate::TeamId;

/// Finds the team of a key without a walk over the whole document.
///
/// The index is by the first bytes of the hash, so the time of a lookup can tell whether some
/// stored hash starts alike. That is of no use to an attacker: the bytes are those of a SHA-256
/// of the secret, so nobody can steer them towards a stored hash, and knowing a hash whole does
/// not give a secret of 256 random bits. The hashes themselves are compared in constant time.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    buckets: IndexMap<[u8; KeyHash::PREFIX_BYTES], Vec<RingKey>>,
}

#[derive(Clone, Debug)]
struct RingKey {
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
                let ring_key = RingKey { hash: *hash, team: *team, key: *key };
                ring.buckets.entry(hash.prefix()).or_default().push(ring_key);
            }
        }
        ring
    }

    /// Returns the team and the name of a key, or none if no team has it.
    pub fn find(&self, hash: &KeyHash) -> Option<(TeamId, KeyId)> {
        let bucket = self.buckets.get(&hash.prefix())?;
        let found = bucket.iter().find(|stored| stored.hash.matches(hash))?;
        Some((found.team, found.key))
    }
}
