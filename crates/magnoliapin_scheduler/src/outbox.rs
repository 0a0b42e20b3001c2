//! Gathers what the parts of a node want done.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::ClientAnswer;
use magnoliapin_site::PeerRequest;
use magnoliapin_site::StoreRequest;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::store_pace::StorePace;
use crate::CallId;
use crate::ClientId;
use crate::NodeAction;

/// Actions, the time, and random numbers.
#[derive(Debug)]
pub(crate) struct Outbox {
    /// Time of the event that is being handled.
    pub(crate) now: Moment,
    /// Wall clock as it was told last.
    pub(crate) wall: UnixMillis,
    /// When it was told.
    wall_told_at: Moment,
    /// Source of random numbers.
    pub(crate) random: Pcg64Mcg,
    /// How long the store takes to answer.
    pub(crate) store_pace: StorePace,
    actions: Vec<NodeAction>,
    last_call: u64,
}

impl Outbox {
    /// Makes an empty outbox.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            now: Moment::START,
            wall: UnixMillis(0),
            wall_told_at: Moment::START,
            random: Pcg64Mcg::seed_from_u64(seed),
            store_pace: StorePace::default(),
            actions: Vec::new(),
            last_call: 0,
        }
    }

    /// Notes the wall clock.
    pub(crate) fn set_wall(&mut self, wall: UnixMillis) {
        self.wall = wall;
        self.wall_told_at = self.now;
    }

    /// Returns the wall clock now.
    pub(crate) fn wall_now(&self) -> UnixMillis {
        let passed = self.now.since(self.wall_told_at).as_millis();
        UnixMillis(self.wall.0 + u64::try_from(passed).unwrap_or(u64::MAX))
    }

    /// Returns the moment at which the wall clock shows `time`; the start if that is long ago.
    pub(crate) fn moment_of(&self, time: UnixMillis) -> Moment {
        let wall = self.wall_now();
        if time.0 >= wall.0 {
            self.now + Duration::from_millis(time.0 - wall.0)
        } else {
            self.now.before(Duration::from_millis(wall.0 - time.0))
        }
    }

    /// Numbers a new call.
    pub(crate) fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    /// Adds an action.
    pub(crate) fn push(&mut self, action: NodeAction) {
        self.actions.push(action);
    }

    /// Calls the store.
    pub(crate) fn call_store(&mut self, request: StoreRequest) -> CallId {
        let call = self.next_call();
        let timeout = self.store_pace.begin(call, &request, self.now);
        self.push(NodeAction::Store { call, request, timeout });
        call
    }

    /// Calls the store, and takes the call for failed after a time of its own.
    pub(crate) fn call_store_within(&mut self, request: StoreRequest, timeout: Duration) -> CallId {
        let call = self.next_call();
        self.store_pace.begin_brief(call, self.now);
        self.push(NodeAction::Store { call, request, timeout });
        call
    }

    /// Calls the node that schedules.
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

    /// Answers a client.
    pub(crate) fn answer(&mut self, client: ClientId, answer: ClientAnswer) {
        self.push(NodeAction::Answer(client, answer));
    }

    /// Hands the actions out.
    pub(crate) fn take_actions(&mut self, actions: &mut Vec<NodeAction>) {
        actions.append(&mut self.actions);
    }
}
