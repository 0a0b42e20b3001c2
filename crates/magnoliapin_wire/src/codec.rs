//! Authenticated encoding of the datagrams between entries.

use std::fmt;

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

use crate::PeerEnvelope;

/// Longest datagram, in bytes; keeps clear of fragmentation inside a site.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

const TAG_BYTES: usize = 16;

/// Encodes and checks datagrams with a key that all entries of a site share.
#[derive(Clone)]
pub struct PeerCodec {
    mac: Hmac<Sha256>,
}

impl PeerCodec {
    /// Makes a codec with the site's shared key.
    ///
    /// # Panics
    ///
    /// Never: the keyed hash takes keys of every length.
    pub fn new(key: &[u8]) -> Self {
        Self { mac: Hmac::new_from_slice(key).expect("a keyed hash takes keys of every length") }
    }

    /// Encodes an envelope.
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

    /// Checks and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns a [`CodecError`] if the datagram is too long, was not made with the same key, or
    /// holds no envelope.
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

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CodecError {
    /// It is longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// It was not made with the site's key.
    BadTag,
    /// It holds no envelope.
    Malformed,
}

impl fmt::Display for CodecError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::TooLong => "the datagram is too long",
            Self::BadTag => "the datagram was not made with the site's key",
            Self::Malformed => "the datagram holds no envelope",
        })
    }
}

impl std::error::Error for CodecError {}
