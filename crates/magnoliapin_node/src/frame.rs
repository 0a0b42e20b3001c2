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

/// Size of the buffer that is kept for the next message.
const KEPT_BUFFER_BYTES: usize = 64 * 1024;
/// First size of the buffer of a message.
const FIRST_STEP_BYTES: usize = 16 * 1024;

/// Admits the bytes of a message before they are read.
pub(crate) trait FrameGate {
    /// Records that a message has begun to arrive.
    fn start(&self);

    /// Records the number of bytes that have arrived.
    fn record(&self, bytes: usize);

    /// Waits until more bytes may be held.
    ///
    /// # Errors
    ///
    /// Returns an error if they may not be held.
    async fn admit(&self, bytes: usize) -> io::Result<()>;
}

/// A gate without limits, for connections that this node has opened.
struct OpenGate;

impl FrameGate for OpenGate {
    fn start(&self) {}

    fn record(&self, _bytes: usize) {}

    async fn admit(&self, _bytes: usize) -> io::Result<()> {
        Ok(())
    }
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
    read_gated(stream, buffer, &OpenGate).await
}

/// Reads a message whose bytes are admitted by a gate. The buffer grows with the bytes that have
/// arrived, whatever the length prefix says.
///
/// # Errors
///
/// Returns the error of the stream or of the gate, or an error if the data is not a valid message.
pub(crate) async fn read_gated<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut Vec<u8>,
    gate: &impl FrameGate,
) -> io::Result<T> {
    let mut length = [0; PREFIX_BYTES];
    let mut filled = 0;
    while filled < PREFIX_BYTES {
        filled += read_some(stream, &mut length[filled..]).await?;
        gate.start();
    }
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    buffer.clear();
    while buffer.len() < length {
        let mut filled = buffer.len();
        let step = (filled * 2).max(FIRST_STEP_BYTES).min(length);
        gate.admit(step - filled).await?;
        buffer.reserve_exact(step - filled);
        buffer.resize(step, 0);
        while filled < step {
            let read = read_some(stream, &mut buffer[filled..]).await?;
            filled += read;
            gate.record(read);
        }
    }
    let message = postcard::from_bytes(buffer).map_err(io::Error::other);
    if buffer.capacity() > KEPT_BUFFER_BYTES {
        *buffer = Vec::new();
    }
    message
}

/// Reads at least one byte.
async fn read_some(stream: &mut (impl AsyncRead + Unpin), bytes: &mut [u8]) -> io::Result<usize> {
    match stream.read(bytes).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        read => Ok(read),
    }
}
