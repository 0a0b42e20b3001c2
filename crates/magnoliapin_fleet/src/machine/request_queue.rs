//! Operators' requests that wait for their answers.

use std::collections::VecDeque;
use std::time::Duration;

use magnoliapin_model::Moment;

use super::FleetCall;
use super::OperatorRequest;

/// How often an operator's step is tried again after a conflict.
const MAX_CONFLICTS: u32 = 5;

/// Operators' requests, oldest first.
#[derive(Debug, Default)]
pub(super) struct RequestQueue {
    requests: VecDeque<PendingRequest>,
}

/// A request that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    /// The call.
    pub(super) call: FleetCall,
    /// The request.
    pub(super) request: OperatorRequest,
    came_at: Moment,
    /// It is judged by rows whose read started later than this.
    asked_at: Moment,
    conflicts: u32,
}

impl RequestQueue {
    /// Adds a request.
    pub(super) fn push(&mut self, call: FleetCall, request: OperatorRequest, now: Moment) {
        let (came_at, asked_at, conflicts) = (now, now, 0);
        self.requests.push_back(PendingRequest { call, request, came_at, asked_at, conflicts });
    }

    /// Returns whether the oldest request needs newer rows than those read from `read_at` on.
    pub(super) fn needs_read(&self, read_at: Option<Moment>) -> bool {
        self.requests.front().is_some_and(|request| !request.is_ready(read_at))
    }

    /// Returns the oldest request if rows read from `read_at` on are new enough for it.
    pub(super) fn ready(&self, read_at: Option<Moment>) -> Option<&PendingRequest> {
        self.requests.front().filter(|request| request.is_ready(read_at))
    }

    /// Lets a request be judged again by rows that are read from now on.
    pub(super) fn put_off(&mut self, call: FleetCall, now: Moment) {
        if let Some(request) = self.find(call) {
            request.asked_at = now;
        }
    }

    /// Counts a conflict of a request's step and returns whether it is not tried again.
    pub(super) fn count_conflict(&mut self, call: FleetCall) -> bool {
        let Some(request) = self.find(call) else { return false };
        request.conflicts += 1;
        request.conflicts > MAX_CONFLICTS
    }

    /// Returns a request that has waited for `deadline`, if there is one.
    pub(super) fn late(&self, now: Moment, deadline: Duration) -> Option<FleetCall> {
        let late = self.requests.iter().find(|request| now.since(request.came_at) >= deadline);
        late.map(|request| request.call)
    }

    /// Takes a request out and returns whether it was there.
    pub(super) fn remove(&mut self, call: FleetCall) -> bool {
        let place = self.requests.iter().position(|request| request.call == call);
        place.and_then(|place| self.requests.remove(place)).is_some()
    }

    fn find(&mut self, call: FleetCall) -> Option<&mut PendingRequest> {
        self.requests.iter_mut().find(|request| request.call == call)
    }
}

impl PendingRequest {
    fn is_ready(&self, read_at: Option<Moment>) -> bool {
        read_at.is_some_and(|read_at| read_at >= self.asked_at)
    }
}
