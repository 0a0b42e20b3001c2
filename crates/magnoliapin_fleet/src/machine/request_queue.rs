//! Operator requests that have not been answered.

use std::collections::VecDeque;
use std::time::Duration;

use magnoliapin_model::Moment;

use super::FleetCallId;
use super::OperatorRequest;

/// Number of times that an operator's step is retried after a conflict.
const MAX_CONFLICT_RETRIES: u32 = 5;

/// Unanswered operator requests, oldest first.
#[derive(Debug, Default)]
pub(super) struct RequestQueue {
    requests: VecDeque<PendingRequest>,
}

/// A request that has not been answered.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    /// The call.
    pub(super) call: FleetCallId,
    /// The request.
    pub(super) request: OperatorRequest,
    received_at: Moment,
    /// Only rows whose read started at or after this time may decide the request.
    min_read_start: Moment,
    conflicts: u32,
}

impl RequestQueue {
    /// Adds a request.
    pub(super) fn push(&mut self, call: FleetCallId, request: OperatorRequest, now: Moment) {
        let (received_at, min_read_start, conflicts) = (now, now, 0);
        self.requests.push_back(PendingRequest {
            call,
            request,
            received_at,
            min_read_start,
            conflicts,
        });
    }

    /// Returns whether the oldest request needs newer rows than those of the read that started at
    /// `read_start`.
    pub(super) fn needs_read(&self, read_start: Option<Moment>) -> bool {
        self.requests.front().is_some_and(|request| !request.is_ready(read_start))
    }

    /// Returns the oldest request if the rows of the read that started at `read_start` are new
    /// enough for it.
    pub(super) fn ready(&self, read_start: Option<Moment>) -> Option<&PendingRequest> {
        self.requests.front().filter(|request| request.is_ready(read_start))
    }

    /// Lets a request be decided again from rows of a read that starts from now on.
    pub(super) fn retry_after_read(&mut self, call: FleetCallId, now: Moment) {
        if let Some(request) = self.find(call) {
            request.min_read_start = now;
        }
    }

    /// Counts a conflict of a request's step and returns whether its retries are used up.
    pub(super) fn record_conflict(&mut self, call: FleetCallId) -> bool {
        let Some(request) = self.find(call) else { return false };
        request.conflicts += 1;
        request.conflicts > MAX_CONFLICT_RETRIES
    }

    /// Returns the oldest request that was received at least `timeout` ago, if any.
    pub(super) fn find_expired(&self, now: Moment, timeout: Duration) -> Option<FleetCallId> {
        let expired =
            self.requests.iter().find(|request| now.since(request.received_at) >= timeout);
        expired.map(|request| request.call)
    }

    /// Removes a request and returns whether it was present.
    pub(super) fn remove(&mut self, call: FleetCallId) -> bool {
        let index = self.requests.iter().position(|request| request.call == call);
        index.and_then(|index| self.requests.remove(index)).is_some()
    }

    fn find(&mut self, call: FleetCallId) -> Option<&mut PendingRequest> {
        self.requests.iter_mut().find(|request| request.call == call)
    }
}

impl PendingRequest {
    fn is_ready(&self, read_start: Option<Moment>) -> bool {
        read_start.is_some_and(|read_start| read_start >= self.min_read_start)
    }
}
