//! Authenticated encoding of the datagrams between entries.

use std::fmt;

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use crate::PeerEnvelope;

/// Maximum length of a datagram, in bytes; small enough to avoid fragmentation inside a site.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Length of the truncated HMAC tag at the start of a datagram.
const TAG_BYTES: usize = 16;

/// Encodes and authenticates datagrams with a key shared by all entries of a site.
#[derive(Clone)]
pub struct PeerCodec {
    mac: Hmac<Sha256>,
}

impl PeerCodec {
    /// Creates a codec with the site's shared key.
    ///
    /// # Panics
    ///
    /// Never: HMAC accepts keys of any length.
    pub fn new(key: &[u8]) -> Self {
        Self { mac: Hmac::new_from_slice(key).expect("HMAC accepts keys of any length") }
    }

    /// Encodes an envelope and prefixes its tag.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError::TooLong`] if the datagram would be longer than
    /// [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self, envelope: &PeerEnvelope) -> Result<Vec<u8>, CodecError> {
        let mut datagram = vec![0; TAG_BYTES];
        datagram = postcard::to_extend(envelope, datagram).map_err(|_| CodecError::Malformed)?;
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(CodecError::TooLong);
        }
        let tag = self.mac.clone().chain_update(&datagram[TAG_BYTES..]).finalize().into_bytes();
        datagram[..TAG_BYTES].copy_from_slice(&tag[..TAG_BYTES]);
        Ok(datagram)
    }

    /// Authenticates and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns a [`CodecError`] if the datagram is too long, was not encoded with the same key,
    /// or does not contain a valid envelope.
    pub fn decode(&self, datagram: &[u8]) -> Result<PeerEnvelope, CodecError> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(CodecError::TooLong);
        }
        let Some((tag, body)) = datagram.split_at_checked(TAG_BYTES) else {
            return Err(CodecError::Malformed);
        };
        let mac = self.mac.clone().chain_update(body);
        mac.verify_truncated_left(tag).map_err(|_| CodecError::BadTag)?;
        postcard::from_bytes(body).map_err(|_| CodecError::Malformed)
    }
}

impl fmt::Debug for PeerCodec {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerCodec")
    }
}

/// Why a datagram could not be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CodecError {
    /// It is longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// Its tag was not computed with the site's key.
    BadTag,
    /// It does not contain a valid envelope.
    Malformed,
}

impl fmt::Display for CodecError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLong => "the datagram is too long",
            Self::BadTag => "the tag of the datagram was not computed with the site's key",
            Self::Malformed => "the datagram does not contain a valid envelope",
        })
    }
}

impl std::error::Error for CodecError {}
