//! Encodes the values of rows.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// First byte of every value; another byte means that another version of the program wrote it.
const FORMAT_VERSION: u8 = 1;

/// Encodes a value.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    let encoded = postcard::to_extend(value, vec![FORMAT_VERSION]);
    debug_assert!(encoded.is_ok(), "row value cannot be encoded");
    encoded.unwrap_or_default()
}

/// Decodes a value; returns `None` if it is damaged or in another format.
pub(crate) fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    let (format, body) = value.split_first()?;
    (*format == FORMAT_VERSION).then(|| postcard::from_bytes(body).ok()).flatten()
}
