//! Secrets of keys, shown only once, when they are generated.

use std::fmt;

use rand::CryptoRng;

use crate::KeyHash;

const SECRET_BYTES: usize = 32;

/// The secret of a key. `Debug` and `Display` redact it.
#[derive(Clone)]
pub struct KeySecret(String);

impl KeySecret {
    /// Generates a secret of 256 random bits.
    pub fn new(generator: &mut dyn CryptoRng) -> Self {
        let mut bytes = [0; SECRET_BYTES];
        generator.fill_bytes(&mut bytes);
        Self(hex::encode(bytes))
    }

    /// Wraps an existing secret, for example from a request or the environment.
    pub fn from_text(secret: impl Into<String>) -> Self {
        Self(secret.into())
    }

    /// Returns the secret in plain text.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns the hash that the document stores.
    pub fn hash(&self) -> KeyHash {
        KeyHash::new(&self.0)
    }
}

impl fmt::Debug for KeySecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeySecret(..)")
    }
}

impl fmt::Display for KeySecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("(secret)")
    }
}
