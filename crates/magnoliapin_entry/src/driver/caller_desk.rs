//! Hands requests of callers to the driver and waits for their answers.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use async_channel::Sender;
use magnoliapin_fleet::OperatorRequest;
use magnoliapin_model::KeyHash;
use magnoliapin_policy::CallId;
use magnoliapin_policy::EntryEvent;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::CallerRequest;

use crate::driver::lost_answer;
use crate::driver::lost_refusal;
use crate::driver::DriverEvent;
use crate::driver::DriverState;
use crate::driver::OperatorOutcome;

/// Hands requests of callers to the driver and waits for their answers.
#[derive(Clone, Debug)]
pub(crate) struct CallerDesk {
    events: Sender<DriverEvent>,
    state: Arc<DriverState>,
    last_call: Arc<AtomicU64>,
}

impl CallerDesk {
    /// Makes a desk in front of the driver.
    pub(crate) fn new(events: Sender<DriverEvent>, state: Arc<DriverState>) -> Self {
        Self { events, state, last_call: Arc::default() }
    }

    /// Asks for something and waits for the answer. Dropping the future tells the driver that
    /// the caller hung up.
    pub(crate) async fn ask(&self, request: CallerRequest) -> CallerAnswer {
        let call = CallId(self.last_call.fetch_add(1, Ordering::Relaxed) + 1);
        let (sender, receiver) = async_channel::bounded(1);
        // A driver that is gone drops the sender, which ends the wait below.
        let _ = self.events.try_send(DriverEvent::Caller(call, request, sender));
        let mut gone = CallerGuard { events: &self.events, call, has_answer: false };
        let answer = receiver.recv().await;
        gone.has_answer = true;
        // The channel closes without an answer if the machine panicked or started over.
        answer.unwrap_or_else(|_| lost_answer())
    }

    /// Asks the fleet for something on behalf of an operator and waits for the answer.
    pub(crate) async fn operate(
        &self,
        key: Option<KeyHash>,
        request: OperatorRequest,
    ) -> OperatorOutcome {
        let (sender, receiver) = async_channel::bounded(1);
        let _ = self.events.try_send(DriverEvent::Operator(key, request, sender));
        receiver.recv().await.unwrap_or_else(|_| Err(lost_refusal()))
    }

    /// Returns what the driver lets other tasks see.
    pub(crate) fn state(&self) -> &DriverState {
        &self.state
    }
}

/// Tells the driver that a caller hung up, unless the answer came first.
struct CallerGuard<'a> {
    events: &'a Sender<DriverEvent>,
    call: CallId,
    has_answer: bool,
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        if !self.has_answer {
            let event = EntryEvent::CallerGone(self.call);
            // Fails only if the driver is gone.
            let _ = self.events.try_send(DriverEvent::Machine(event));
        }
    }
}
