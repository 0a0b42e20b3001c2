//! Sends requests of callers to the driver and waits for the answers.

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

use crate::driver::unknown_outcome_answer;
use crate::driver::unknown_outcome_refusal;
use crate::driver::DriverEvent;
use crate::driver::DriverState;
use crate::driver::OperatorOutcome;

/// Sends requests of callers to the driver and waits for the answers.
#[derive(Clone, Debug)]
pub(crate) struct DriverHandle {
    events: Sender<DriverEvent>,
    state: Arc<DriverState>,
    last_call: Arc<AtomicU64>,
}

impl DriverHandle {
    /// Creates a handle that sends to the driver's event channel.
    pub(crate) fn new(events: Sender<DriverEvent>, state: Arc<DriverState>) -> Self {
        Self { events, state, last_call: Arc::default() }
    }

    /// Sends a request and waits for the answer. Dropping the future notifies the driver that the
    /// caller disconnected.
    pub(crate) async fn request(&self, request: CallerRequest) -> CallerAnswer {
        let call = CallId(self.last_call.fetch_add(1, Ordering::Relaxed) + 1);
        let (sender, receiver) = async_channel::bounded(1);
        // If the event channel is closed, the sender is dropped and the wait below ends.
        let _ = self.events.try_send(DriverEvent::Caller(call, request, sender));
        let mut guard = CallerGuard { events: &self.events, call, has_answer: false };
        let answer = receiver.recv().await;
        guard.has_answer = true;
        // The channel closes without an answer if the machine panicked or restarted.
        answer.unwrap_or_else(|_| unknown_outcome_answer())
    }

    /// Sends a request of an operator to the fleet machine and waits for the answer.
    pub(crate) async fn request_operation(
        &self,
        key: Option<KeyHash>,
        request: OperatorRequest,
    ) -> OperatorOutcome {
        let (sender, receiver) = async_channel::bounded(1);
        let _ = self.events.try_send(DriverEvent::Operator(key, request, sender));
        receiver.recv().await.unwrap_or_else(|_| Err(unknown_outcome_refusal()))
    }

    /// Returns the state that the driver shares with other tasks.
    pub(crate) fn state(&self) -> &DriverState {
        &self.state
    }
}

/// Notifies the driver on drop that the caller disconnected, unless it was answered.
struct CallerGuard<'a> {
    events: &'a Sender<DriverEvent>,
    call: CallId,
    has_answer: bool,
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        if !self.has_answer {
            let event = EntryEvent::CallerDisconnected(self.call);
            // Fails only if the event channel is closed.
            let _ = self.events.try_send(DriverEvent::Machine(event));
        }
    }
}
