//! Reads request bodies within the limits.

use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use crate::ByteCharge;
use crate::BytePriority;
use crate::ConnectionSlot;
use crate::LimitReason;

/// Size of the body of an ordinary client, which may use the reserved bytes.
const SMALL_BODY_BYTES: u64 = 64 * 1024;
/// First size of the buffer of a body without an announced size.
const FIRST_STEP_BYTES: u64 = 4 * 1024;

/// How often a decoded request counts: as itself and as the row that is written to the store.
const DECODED_FACTOR: u64 = 2;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// A limit refuses it.
    Limited(LimitReason),
    /// It is malformed or truncated.
    Malformed,
}

/// A request body that was read completely. Its bytes count against the total until it is dropped.
#[derive(Debug)]
pub struct BufferedBody<'a> {
    slot: &'a ConnectionSlot,
    bytes: Vec<u8>,
}

impl BufferedBody<'_> {
    /// Returns the bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Takes the bytes. They count against the total until `self` is dropped.
    pub fn take_bytes(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }

    /// Drops the bytes after they were decoded. The result counts for the decoded request and its
    /// copies, also if the client disconnects.
    pub fn into_charge(self) -> ByteCharge {
        self.slot.detach(DECODED_FACTOR)
    }

    /// Makes room for a number of bytes, which count before they are read.
    fn grow(&mut self, capacity: u64, priority: BytePriority) -> Result<(), BodyError> {
        let more = capacity - self.bytes.capacity() as u64;
        if !self.slot.reserve(more, priority) {
            return Err(BodyError::Limited(LimitReason::BodiesRefused));
        }
        self.bytes.reserve_exact(capacity as usize - self.bytes.len());
        Ok(())
    }
}

impl Drop for BufferedBody<'_> {
    fn drop(&mut self) {
        self.bytes = Vec::new();
        self.slot.release();
    }
}

/// Reads a complete body into one buffer.
///
/// # Errors
///
/// Returns an error if a limit refuses the body or it is malformed.
pub async fn read_body(
    body: Incoming,
    slot: &ConnectionSlot,
) -> Result<BufferedBody<'_>, BodyError> {
    let mut buffered = BufferedBody { slot, bytes: Vec::new() };
    // A request without a body costs nothing.
    if body.is_end_stream() {
        return Ok(buffered);
    }
    slot.monitor().start_body();
    let result = fill(&mut buffered, body).await;
    // A connection that a limit has ended also reads a truncated body.
    let ended = slot.monitor().end_reason();
    match result {
        Ok(()) => {
            slot.monitor().start_request();
            Ok(buffered)
        }
        Err(BodyError::Malformed) => Err(ended.map_or(BodyError::Malformed, BodyError::Limited)),
        Err(error) => Err(error),
    }
}

async fn fill(buffered: &mut BufferedBody<'_>, mut body: Incoming) -> Result<(), BodyError> {
    let registry = buffered.slot.registry();
    let too_large = || {
        registry.record(LimitReason::LargeBody);
        BodyError::Limited(LimitReason::LargeBody)
    };
    let announced = body.size_hint().exact();
    let mut priority = BytePriority::Shared;
    if let Some(length) = announced {
        if length > registry.body_bytes() {
            return Err(too_large());
        }
        if length <= SMALL_BODY_BYTES {
            priority = BytePriority::Reserved;
        }
        buffered.slot.announce(length);
        buffered.grow(length, priority)?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Malformed)?;
        let Some(data) = frame.data_ref() else { continue };
        let length = (buffered.bytes.len() + data.len()) as u64;
        if length > registry.body_bytes() {
            return Err(too_large());
        }
        let capacity = buffered.bytes.capacity() as u64;
        if length > capacity {
            let step = (capacity * 2).max(FIRST_STEP_BYTES).min(registry.body_bytes());
            buffered.grow(step.max(length), priority)?;
        }
        buffered.bytes.extend_from_slice(data);
    }
    Ok(())
}
