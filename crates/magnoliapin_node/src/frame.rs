//! Frames between nodes: a length and a message in postcard.

use std::io;

use serde::de::DeserializeOwned;
use serde::Serialize;
use smol::io::AsyncRead;
use smol::io::AsyncReadExt;

/// Longest message, in bytes: a job with its whole input fits several times.
const LONGEST_FRAME: usize = 4 * 1024 * 1024;
/// Bytes of the length.
const LENGTH_BYTES: usize = 4;

/// Encodes a message with its length before it.
pub(crate) fn encode(message: &impl Serialize) -> Vec<u8> {
    let encoded = postcard::to_extend(message, vec![0; LENGTH_BYTES]);
    debug_assert!(encoded.is_ok(), "messages hold nothing that cannot be encoded");
    let mut frame = encoded.unwrap_or_default();
    let length = frame.len().saturating_sub(LENGTH_BYTES) as u32;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    frame
}

/// Reads a message.
///
/// # Errors
///
/// Returns the error of the stream, or that what came is no message.
pub(crate) async fn read<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
) -> io::Result<T> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > LONGEST_FRAME {
        return Err(io::ErrorKind::InvalidData.into());
    }
    buffer.resize(length, 0);
    stream.read_exact(buffer).await?;
    postcard::from_bytes(buffer).map_err(io::Error::other)
}
