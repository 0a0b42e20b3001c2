//! Frames between nodes: a length prefix and a message encoded with postcard.

use std::io;

use serde::de::DeserializeOwned;
use serde::Serialize;
use smol::io::AsyncRead;
use smol::io::AsyncReadExt;

/// Maximum length of a message, in bytes; several times that of a job with its input.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Size of the length prefix, in bytes.
const PREFIX_BYTES: usize = 4;

/// Encodes a message with a length prefix.
pub(crate) fn encode(message: &impl Serialize) -> Vec<u8> {
    let encoded = postcard::to_extend(message, vec![0; PREFIX_BYTES]);
    debug_assert!(encoded.is_ok(), "every message type can be encoded with postcard");
    let mut frame = encoded.unwrap_or_default();
    let length = frame.len().saturating_sub(PREFIX_BYTES) as u32;
    frame[..PREFIX_BYTES].copy_from_slice(&length.to_le_bytes());
    frame
}

/// Reads a message.
///
/// # Errors
///
/// Returns the error of the stream, or an error if the data is not a valid message.
pub(crate) async fn read<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
) -> io::Result<T> {
    let mut length = [0; PREFIX_BYTES];
    stream.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    buffer.resize(length, 0);
    stream.read_exact(buffer).await?;
    postcard::from_bytes(buffer).map_err(io::Error::other)
}
