//! Encodes the values of rows.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// First byte of every value; another one was written by another version of the program.
const FORMAT: u8 = 1;

/// Encodes a value.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    let encoded = postcard::to_extend(value, vec![FORMAT]);
    debug_assert!(encoded.is_ok(), "rows hold nothing that cannot be encoded");
    encoded.unwrap_or_default()
}

/// Decodes a value; none if it is damaged or of another format.
pub(crate) fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    let (format, body) = value.split_first()?;
    (*format == FORMAT).then(|| postcard::from_bytes(body).ok()).flatten()
}
