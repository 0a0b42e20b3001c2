//! Measures the latency of the store and derives call timeouts from it.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_site::CallFailure;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;

use crate::CallId;

/// Minimum timeout of a call; more than a hundred times its usual duration.
const MIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum timeout of a call; no client waits longer.
const MAX_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Timeout of a call as a multiple of the store's latency.
const TIMEOUT_FACTOR: u32 = 4;
/// Factor by which the latency decays with each reply.
const LATENCY_DECAY: f64 = 0.9;

/// Maximum latency of recent calls of the store.
#[derive(Debug, Default)]
pub(crate) struct StoreLatency {
    pending_calls: IndexMap<CallId, PendingCall>,
    /// Calls without a reply count as long as they were waited for.
    latency: Duration,
    /// The same without them.
    answered_latency: Duration,
}

/// A call without a reply so far.
#[derive(Clone, Copy, Debug)]
struct PendingCall {
    sent_at: Moment,
    /// How long the store may wait before it replies.
    wait: Duration,
    /// Whether its timeout is so short that a timeout does not indicate the store's latency.
    is_brief: bool,
}

impl StoreLatency {
    /// Records that a call is sent. Returns its timeout.
    pub(crate) fn record_call(
        &mut self,
        call: CallId,
        request: &StoreRequest,
        now: Moment,
    ) -> Duration {
        let wait = wait_of(request);
        self.pending_calls.insert(call, PendingCall { sent_at: now, wait, is_brief: false });
        let timeout = (self.latency * TIMEOUT_FACTOR).clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        wait + timeout
    }

    /// Records that a call is sent that has a short timeout and is then retried.
    pub(crate) fn record_brief_call(&mut self, call: CallId, now: Moment) {
        self.pending_calls
            .insert(call, PendingCall { sent_at: now, wait: Duration::ZERO, is_brief: true });
    }

    /// Records the reply to a call.
    pub(crate) fn record_reply(&mut self, call: CallId, reply: &StoreReply, now: Moment) {
        let Some(pending) = self.pending_calls.swap_remove(&call) else { return };
        match reply {
            // The duration of a call that was not carried out does not indicate that of other calls.
            StoreReply::Failed(CallFailure::NotDone) => return,
            StoreReply::Failed(CallFailure::Unknown) if pending.is_brief => return,
            _ => {}
        }
        // A watch may be answered at any time during its wait, so the whole wait is subtracted.
        let elapsed = now.since(pending.sent_at).saturating_sub(pending.wait);
        self.latency = self.latency.mul_f64(LATENCY_DECAY).max(elapsed);
        if !matches!(reply, StoreReply::Failed(_)) {
            self.answered_latency = self.answered_latency.mul_f64(LATENCY_DECAY).max(elapsed);
        }
    }

    /// Returns the maximum latency of recent calls; it decays with each reply.
    pub(crate) fn recent_max(&self) -> Duration {
        self.latency
    }

    /// Returns the maximum latency of recent calls that were answered, which an outage does not
    /// change.
    pub(crate) fn recent_answered_max(&self) -> Duration {
        self.answered_latency
    }
}

/// Returns how long the store may wait before it replies to a request.
fn wait_of(request: &StoreRequest) -> Duration {
    match request {
        StoreRequest::Watch { wait, .. }
        | StoreRequest::WatchSite { wait, .. }
        | StoreRequest::WatchTargets { wait, .. } => *wait,
        _ => Duration::ZERO,
    }
}
