//! Encodes the values of rows.

use magnoliapin_site::StoredInput;
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::JobRow;

#[cfg(test)]
#[path = "row_codec_tests.rs"]
mod tests;

/// First byte of every value; another byte means that another version of the program wrote it.
const FORMAT_VERSION: u8 = 1;
/// First byte of a job whose input is stored apart from it. Programs of earlier versions must not run
/// such a job, as they would run it without its input.
const STORED_INPUT_FORMAT: u8 = 2;
/// First byte of a value of which this row holds only the start.
const SPLIT_FORMAT: u8 = 3;
/// Size of the format and the number of further pieces of such a value.
const SPLIT_HEAD_BYTES: usize = 5;

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

/// Encodes a value and an extension, which programs that only decode the value ignore.
pub(crate) fn encode_extended(value: &impl Serialize, extension: &impl Serialize) -> Vec<u8> {
    let encoded = postcard::to_extend(extension, encode(value));
    debug_assert!(encoded.is_ok(), "row extension cannot be encoded");
    encoded.unwrap_or_default()
}

/// Decodes a value and its extension; a value without one has the default. Returns `None` if the
/// value is damaged or in another format.
pub(crate) fn decode_extended<T, E>(value: &[u8]) -> Option<(T, E)>
where
    T: DeserializeOwned,
    E: DeserializeOwned + Default,
{
    let (format, body) = value.split_first()?;
    if *format != FORMAT_VERSION {
        return None;
    }
    let (decoded, rest) = postcard::take_from_bytes(body).ok()?;
    let extension = if rest.is_empty() { E::default() } else { postcard::from_bytes(rest).ok()? };
    Some((decoded, extension))
}

/// Encodes a job whose input may be stored apart from it.
pub(crate) fn encode_job(row: &JobRow, input: Option<&StoredInput>) -> Vec<u8> {
    let Some(input) = input else { return encode(row) };
    let mut encoded = encode_extended(row, input);
    encoded[0] = STORED_INPUT_FORMAT;
    encoded
}

/// Decodes a job and where its input is stored, if that is not in the row. Returns `None` if the row
/// is damaged or in another format.
pub(crate) fn decode_job(value: &[u8]) -> Option<(JobRow, Option<StoredInput>)> {
    let (format, body) = value.split_first()?;
    match *format {
        FORMAT_VERSION => Some((postcard::from_bytes(body).ok()?, None)),
        STORED_INPUT_FORMAT => {
            let (row, rest) = postcard::take_from_bytes(body).ok()?;
            Some((row, Some(postcard::from_bytes(rest).ok()?)))
        }
        _ => None,
    }
}

/// Splits a value that is larger than a row. Returns it as it is if it is not; otherwise the first
/// piece states how many follow.
pub(crate) fn split_value(value: Vec<u8>, max_bytes: usize) -> Vec<Vec<u8>> {
    if value.len() <= max_bytes {
        return vec![value];
    }
    let first_bytes = max_bytes.saturating_sub(SPLIT_HEAD_BYTES).max(1);
    let (first, rest) = value.split_at(first_bytes);
    let rest: Vec<Vec<u8>> = rest.chunks(max_bytes).map(<[u8]>::to_vec).collect();
    let count = u32::try_from(rest.len()).unwrap_or(u32::MAX);
    let head = [&[SPLIT_FORMAT][..], &count.to_le_bytes(), first].concat();
    std::iter::once(head).chain(rest).collect()
}

/// Joins a value and its further pieces, which may be followed by others. Returns the value and the
/// number of its further pieces, or `None` if one is missing.
pub(crate) fn join_pieces(first: &[u8], further: &[&[u8]]) -> Option<(Vec<u8>, u32)> {
    if first.first() != Some(&SPLIT_FORMAT) {
        return Some((first.to_vec(), 0));
    }
    let (head, start) = first.split_at_checked(SPLIT_HEAD_BYTES)?;
    let count = u32::from_le_bytes(head[1..].try_into().ok()?);
    let further = further.get(..count as usize)?;
    Some(([start, &further.concat()].concat(), count))
}
