//! Reads request bodies within size, time and memory limits.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use magnoliapin_model::ErrorKind;
use smol::Timer;

use crate::caller::request_error::RequestError;
use crate::EntryLimits;

/// Total size of the request bodies in memory, over all callers.
#[derive(Debug, Default)]
pub(crate) struct BodyBudget {
    buffered_bytes: AtomicU64,
}

/// A request body that was read completely. Its bytes count against the budget until it is
/// dropped.
#[derive(Debug)]
pub(crate) struct BufferedBody<'a> {
    budget: &'a BodyBudget,
    bytes: Vec<u8>,
    buffered_bytes: u64,
}

impl<'a> BufferedBody<'a> {
    /// Reads a complete body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too large, arrives too slowly or is malformed, or if the
    /// bodies of all requests together exceed the entry's limit.
    pub(crate) async fn read(
        body: Incoming,
        budget: &'a BodyBudget,
        limits: &EntryLimits,
    ) -> Result<Self, RequestError> {
        if body.size_hint().lower() > limits.body_bytes {
            return Err(too_large(limits));
        }
        let deadline = Instant::now() + limits.body_timeout;
        let buffered = Self { budget, bytes: Vec::new(), buffered_bytes: 0 };
        let timeout = async {
            Timer::at(deadline).await;
            let message = format!("the body was not received within {:?}", limits.body_timeout);
            Err(RequestError::new(ErrorKind::SlowSender, message))
        };
        buffered.fill(body, limits).or(timeout).await
    }

    /// Takes the bytes. They count against the budget until `self` is dropped.
    pub(crate) fn take_bytes(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }

    async fn fill(
        mut self,
        mut body: Incoming,
        limits: &EntryLimits,
    ) -> Result<Self, RequestError> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| {
                RequestError::new(ErrorKind::BadRequest, "the body is malformed or truncated")
            })?;
            if let Some(data) = frame.data_ref() {
                self.add(data, limits)?;
            }
        }
        Ok(self)
    }

    fn add(&mut self, data: &[u8], limits: &EntryLimits) -> Result<(), RequestError> {
        let length = data.len() as u64;
        if self.buffered_bytes + length > limits.body_bytes {
            return Err(too_large(limits));
        }
        let before = self.budget.buffered_bytes.fetch_add(length, Ordering::SeqCst);
        self.buffered_bytes += length;
        if before + length > limits.all_body_bytes {
            let message = "the request bodies in memory exceed the entry's limit";
            return Err(RequestError::new(ErrorKind::Overloaded, message));
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

impl Drop for BufferedBody<'_> {
    fn drop(&mut self) {
        self.budget.buffered_bytes.fetch_sub(self.buffered_bytes, Ordering::SeqCst);
    }
}

fn too_large(limits: &EntryLimits) -> RequestError {
    let message = format!("the body exceeds the limit of {} bytes", limits.body_bytes);
    RequestError::new(ErrorKind::BodyTooLarge, message)
}
