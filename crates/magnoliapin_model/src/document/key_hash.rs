//! Hashes of keys, as the document stores them, with constant-time comparison.

use std::fmt;
use std::str::FromStr;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// SHA-256 of a key's secret.
///
/// Secrets have 256 random bits, so they cannot be found by brute force from an unsalted hash.
#[derive(Clone, Copy, PartialEq, Eq, Hash, SerializeDisplay, DeserializeFromStr)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Length of the prefix by which [`KeyRing`](crate::KeyRing) indexes hashes, in bytes.
    pub(super) const PREFIX_BYTES: usize = 8;

    /// Hashes the secret of a key.
    pub fn new(secret: &str) -> Self {
        Self(Sha256::digest(secret.as_bytes()).into())
    }

    /// Compares two hashes in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    pub(super) fn prefix(&self) -> [u8; Self::PREFIX_BYTES] {
        let mut prefix = [0; Self::PREFIX_BYTES];
        prefix.copy_from_slice(&self.0[..Self::PREFIX_BYTES]);
        prefix
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyHash({}..)", hex::encode(&self.0[..4]))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "sha256:{}", hex::encode(self.0))
    }
}

impl FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.strip_prefix("sha256:").ok_or(KeyHashError)?;
        let mut bytes = [0; 32];
        hex::decode_to_slice(digits, &mut bytes).map_err(|_| KeyHashError)?;
        Ok(Self(bytes))
    }
}

/// Error for a text that is not the hash of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyHashError;

impl fmt::Display for KeyHashError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a key is \"sha256:\" and 64 hexadecimal digits")
    }
}

impl std::error::Error for KeyHashError {}
