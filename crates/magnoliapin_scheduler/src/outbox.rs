//! Collects the actions of a node's components.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::ClientReply;
use magnoliapin_site::JobId;
use magnoliapin_site::PeerRequest;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoredInput;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRequest;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::input_loader::PendingStart;
use crate::store_latency::StoreLatency;
use crate::CallId;
use crate::ClientId;
use crate::ConnectionChoice;
use crate::NodeAction;

/// A call to a target.
#[derive(Debug)]
pub(crate) struct TargetCallAction {
    pub(crate) call: CallId,
    pub(crate) target: TargetName,
    pub(crate) address: SocketAddr,
    pub(crate) request: TargetRequest,
    /// Time after which the call fails.
    pub(crate) timeout: Duration,
    /// Job and place of the input of a start, if the request lacks it.
    pub(crate) input: Option<(JobId, StoredInput)>,
}

/// Pending actions, with the time, random numbers and the latency of the store.
#[derive(Debug)]
pub(crate) struct Outbox {
    /// Time of the event that is being handled.
    pub(crate) now: Moment,
    /// Wall clock as last reported.
    pub(crate) wall_clock: UnixMillis,
    /// When the wall clock was last reported.
    wall_clock_set_at: Moment,
    /// Source of random numbers.
    pub(crate) random: Pcg64Mcg,
    /// Recent latency of the store.
    pub(crate) store_latency: StoreLatency,
    actions: Vec<NodeAction>,
    /// Starts whose inputs must be read from the store.
    stored_starts: Vec<PendingStart>,
    last_call: u64,
}

impl Outbox {
    /// Creates an empty outbox.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            now: Moment::START,
            wall_clock: UnixMillis(0),
            wall_clock_set_at: Moment::START,
            random: Pcg64Mcg::seed_from_u64(seed),
            store_latency: StoreLatency::default(),
            actions: Vec::new(),
            stored_starts: Vec::new(),
            last_call: 0,
        }
    }

    /// Sets the wall clock.
    pub(crate) fn set_wall_clock(&mut self, wall_clock: UnixMillis) {
        self.wall_clock = wall_clock;
        self.wall_clock_set_at = self.now;
    }

    /// Returns the current time of the wall clock.
    pub(crate) fn wall_now(&self) -> UnixMillis {
        let passed = self.now.since(self.wall_clock_set_at).as_millis();
        UnixMillis(self.wall_clock.0 + u64::try_from(passed).unwrap_or(u64::MAX))
    }

    /// Converts a wall clock time to a moment; a time before the process started becomes
    /// [`Moment::START`].
    pub(crate) fn moment_of(&self, time: UnixMillis) -> Moment {
        let wall = self.wall_now();
        if time.0 >= wall.0 {
            self.now + Duration::from_millis(time.0 - wall.0)
        } else {
            self.now.before(Duration::from_millis(wall.0 - time.0))
        }
    }

    /// Returns the identifier of a new call.
    pub(crate) fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    /// Adds an action.
    pub(crate) fn push(&mut self, action: NodeAction) {
        self.actions.push(action);
    }

    /// Calls the store, with a timeout derived from its latency.
    pub(crate) fn call_store(&mut self, request: StoreRequest) -> CallId {
        let call = self.next_call();
        let timeout = self.store_latency.record_call(call, &request, self.now);
        let connection = ConnectionChoice::Pooled;
        self.push(NodeAction::Store { call, request, timeout, connection });
        call
    }

    /// Calls the store with the given timeout, which may be too short to measure its latency.
    pub(crate) fn call_store_with_timeout(
        &mut self,
        request: StoreRequest,
        timeout: Duration,
    ) -> CallId {
        self.call_store_briefly(request, timeout, ConnectionChoice::Pooled)
    }

    /// The same on a new connection, to learn whether the store answers although other calls get no
    /// reply.
    pub(crate) fn probe_store(&mut self, request: StoreRequest, timeout: Duration) -> CallId {
        self.call_store_briefly(request, timeout, ConnectionChoice::New)
    }

    fn call_store_briefly(
        &mut self,
        request: StoreRequest,
        timeout: Duration,
        connection: ConnectionChoice,
    ) -> CallId {
        let call = self.next_call();
        self.store_latency.record_brief_call(call, self.now);
        self.push(NodeAction::Store { call, request, timeout, connection });
        call
    }

    /// Calls the leader on another node.
    pub(crate) fn call_peer(
        &mut self,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> CallId {
        let call = self.next_call();
        self.push(NodeAction::Peer { call, address, request, timeout });
        call
    }

    /// Replies to a client.
    pub(crate) fn reply(&mut self, client: ClientId, reply: ClientReply) {
        self.push(NodeAction::ReplyToClient(client, reply));
    }

    /// Calls a target. `input` is where the input of a start is stored, if the request lacks it.
    pub(crate) fn call_target(&mut self, target_call: TargetCallAction) {
        let TargetCallAction { call, target, address, request, timeout, input } = target_call;
        match input {
            Some((job, input)) => self.stored_starts.push(PendingStart {
                call,
                target,
                address,
                request,
                timeout,
                job,
                input,
            }),
            None => self.push(NodeAction::Target { call, target, address, request, timeout }),
        }
    }

    /// Removes and returns the starts whose inputs must be read from the store.
    pub(crate) fn take_stored_starts(&mut self) -> Vec<PendingStart> {
        std::mem::take(&mut self.stored_starts)
    }

    /// Moves the pending actions to `actions`.
    pub(crate) fn take_actions(&mut self, actions: &mut Vec<NodeAction>) {
        actions.append(&mut self.actions);
    }
}
