//! How long the store takes to answer.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_site::CallFailure;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;

use crate::CallId;

/// Shortest time after which a call has failed: over a hundred times what one takes.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest time after which a call has failed; no client waits longer.
const LONGEST_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Multiple of the store's time after which a call has failed.
const TIMEOUT_FACTOR: u32 = 4;
/// What is left of the longest time after each later answer.
const FADING: f64 = 0.9;

/// How long the store takes to answer.
#[derive(Debug, Default)]
pub(crate) struct StorePace {
    open: IndexMap<CallId, OpenCall>,
    lag: Duration,
}

/// A call that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    sent_at: Moment,
    /// How long the store may wait before it answers.
    wait: Duration,
    /// Whether it is given up so early that this says nothing of the store.
    is_brief: bool,
}

impl StorePace {
    /// Notes that a call leaves. Returns the time after which it has failed.
    pub(crate) fn begin(&mut self, call: CallId, request: &StoreRequest, now: Moment) -> Duration {
        let wait = wait_of(request);
        self.open.insert(call, OpenCall { sent_at: now, wait, is_brief: false });
        let timeout = (self.lag * TIMEOUT_FACTOR).clamp(SHORTEST_TIMEOUT, LONGEST_TIMEOUT);
        wait + timeout
    }

    /// Notes that a call leaves that is soon given up and made again.
    pub(crate) fn begin_brief(&mut self, call: CallId, now: Moment) {
        self.open.insert(call, OpenCall { sent_at: now, wait: Duration::ZERO, is_brief: true });
    }

    /// Notes the answer to a call.
    pub(crate) fn end(&mut self, call: CallId, reply: &StoreReply, now: Moment) {
        let Some(open) = self.open.swap_remove(&call) else { return };
        match reply {
            // A refusal says nothing of the time that others take.
            StoreReply::Failed(CallFailure::NotDone) => return,
            StoreReply::Failed(CallFailure::Unknown) if open.is_brief => return,
            _ => {}
        }
        // A watch may have been answered at any moment of its wait.
        let taken = now.since(open.sent_at).saturating_sub(open.wait);
        self.lag = self.lag.mul_f64(FADING).max(taken);
    }

    /// Returns the longest time that answers took lately.
    pub(crate) fn lag(&self) -> Duration {
        self.lag
    }
}

/// Returns how long the store may wait before it answers.
fn wait_of(request: &StoreRequest) -> Duration {
    match request {
        StoreRequest::Watch { wait, .. }
        | StoreRequest::WatchSite { wait, .. }
        | StoreRequest::WatchTargets { wait, .. } => *wait,
        _ => Duration::ZERO,
    }
}
