//! Reads the bodies of requests within bounds.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use magnoliapin_model::ErrorKind;
use smol::Timer;

use crate::caller::fault::RequestFault;
use crate::EntryLimits;

/// Bytes of bodies that the entry holds for all callers together.
#[derive(Debug, Default)]
pub(crate) struct BodyBudget {
    held_bytes: AtomicU64,
}

/// A body that was read whole. Its bytes count against the budget while it lives.
#[derive(Debug)]
pub(crate) struct HeldBody<'a> {
    budget: &'a BodyBudget,
    bytes: Vec<u8>,
    held_bytes: u64,
}

impl<'a> HeldBody<'a> {
    /// Reads a body whole.
    ///
    /// # Errors
    ///
    /// Returns a fault if the body is too long, too slow or broken, or if the entry holds too
    /// many bytes for others already.
    pub(crate) async fn read(
        body: Incoming,
        budget: &'a BodyBudget,
        limits: &EntryLimits,
    ) -> Result<Self, RequestFault> {
        if body.size_hint().lower() > limits.body_bytes {
            return Err(too_large(limits));
        }
        let deadline = Instant::now() + limits.body_timeout;
        let held = Self { budget, bytes: Vec::new(), held_bytes: 0 };
        let timeout = async {
            Timer::at(deadline).await;
            let message = format!("the body took longer than {:?}", limits.body_timeout);
            Err(RequestFault::new(ErrorKind::SlowSender, message))
        };
        held.fill(body, limits).or(timeout).await
    }

    /// Takes the bytes, which stay counted until the rest is dropped.
    pub(crate) fn take_bytes(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }

    async fn fill(
        mut self,
        mut body: Incoming,
        limits: &EntryLimits,
    ) -> Result<Self, RequestFault> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| {
                RequestFault::new(ErrorKind::BadRequest, "the body is broken or not whole")
            })?;
            if let Some(data) = frame.data_ref() {
                self.add(data, limits)?;
            }
        }
        Ok(self)
    }

    fn add(&mut self, data: &[u8], limits: &EntryLimits) -> Result<(), RequestFault> {
        let length = data.len() as u64;
        if self.held_bytes + length > limits.body_bytes {
            return Err(too_large(limits));
        }
        let before = self.budget.held_bytes.fetch_add(length, Ordering::SeqCst);
        self.held_bytes += length;
        if before + length > limits.all_body_bytes {
            let message = "the entry holds too many requests";
            return Err(RequestFault::new(ErrorKind::Overloaded, message));
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

impl Drop for HeldBody<'_> {
    fn drop(&mut self) {
        self.budget.held_bytes.fetch_sub(self.held_bytes, Ordering::SeqCst);
    }
}

fn too_large(limits: &EntryLimits) -> RequestFault {
    let message = format!("a body has at most {} bytes", limits.body_bytes);
    RequestFault::new(ErrorKind::BodyTooLarge, message)
}
