//! Connections to many addresses, with bounds for each.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::header;
use hyper::Method;
use hyper::Request;
use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_wire::CallFailure;
use smol::lock::Semaphore;
use smol::lock::SemaphoreGuardArc;
use smol::Timer;

use crate::http_connection::HttpAnswer;
use crate::http_connection::HttpConnection;
use crate::metrics::BorderName;
use crate::EntryMetrics;
use crate::MonotonicClock;
use crate::PoolLimits;
use crate::TaskSpawner;

/// One HTTP call.
#[derive(Debug)]
pub(crate) struct HttpCall {
    /// Address of the other side.
    pub(crate) address: SocketAddr,
    /// Method.
    pub(crate) method: Method,
    /// Path.
    pub(crate) path: String,
    /// Body, as JSON.
    pub(crate) body: Vec<u8>,
    /// Time after which the call has failed.
    pub(crate) timeout: Duration,
    /// Whether the call needs a new connection.
    pub(crate) new_connection: bool,
    /// The call is not sent from then on.
    pub(crate) send_before: Option<Moment>,
    /// Whether the call may use the connections kept for control calls.
    pub(crate) control: bool,
}

/// Connections to many addresses.
#[derive(Debug)]
pub(crate) struct HttpPool {
    border: BorderName,
    limits: PoolLimits,
    clock: Arc<dyn MonotonicClock>,
    metrics: Arc<EntryMetrics>,
    spawner: TaskSpawner,
    lanes: Mutex<IndexMap<SocketAddr, Arc<AddressLane>>>,
}

impl HttpPool {
    /// Makes a pool without connections.
    pub(crate) fn new(
        border: BorderName,
        limits: PoolLimits,
        clock: Arc<dyn MonotonicClock>,
        metrics: Arc<EntryMetrics>,
        spawner: TaskSpawner,
    ) -> Self {
        Self { border, limits, clock, metrics, spawner, lanes: Mutex::default() }
    }

    /// Makes a call and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallFailure::NotSent`] only if no byte of the request has left.
    pub(crate) async fn exchange(&self, call: HttpCall) -> Result<HttpAnswer, CallFailure> {
        let started = Instant::now();
        let deadline = started + call.timeout;
        let lane = self.lane(call.address);
        // A call that waited longer would have too little time left for its answer.
        let permit = within(started + call.timeout / 2, lane.acquire(call.control)).await;
        let _permit = permit.ok_or(CallFailure::NotSent)?;
        let (slot, surplus) = lane.take_slot(call.new_connection, &self.limits);
        close_all(surplus).await;
        let connection = within(deadline, self.connect(&lane, &call)).await;
        let mut connection = connection.flatten().ok_or(CallFailure::NotSent)?;
        let request = make_request(&call).ok_or(CallFailure::NotSent)?;
        let exchange = connection.exchange(request, call.send_before, self.limits.answer_bytes);
        let Some(Ok(answer)) = within(deadline, exchange).await else {
            return Err(connection.close().await);
        };
        if let Some((_slot, surplus)) = lane.give_back(slot, connection, &self.limits) {
            surplus.close().await;
        }
        Ok(answer)
    }

    /// Closes connections that nobody used for a while and forgets addresses without any.
    pub(crate) fn sweep(&self) {
        let mut lanes = lock(&self.lanes);
        lanes.retain(|_, lane| {
            let is_empty = lane.drop_old(self.limits.idle_time);
            !is_empty || Arc::strong_count(lane) > 1
        });
    }

    fn lane(&self, address: SocketAddr) -> Arc<AddressLane> {
        let mut lanes = lock(&self.lanes);
        let lane = lanes.entry(address).or_insert_with(|| Arc::new(AddressLane::new(&self.limits)));
        Arc::clone(lane)
    }

    async fn connect(&self, lane: &AddressLane, call: &HttpCall) -> Option<HttpConnection> {
        if !call.new_connection {
            while let Some(mut connection) = lane.take_idle(self.limits.idle_time) {
                if connection.is_ready().await {
                    return Some(connection);
                }
            }
        }
        let clock = Arc::clone(&self.clock);
        let metrics = Arc::clone(&self.metrics);
        let open = HttpConnection::open(call.address, self.border, clock, metrics, &self.spawner);
        within(Instant::now() + self.limits.connect_timeout, open).await?.ok()
    }
}

/// The connections to one address.
#[derive(Debug)]
struct AddressLane {
    work_permits: Arc<Semaphore>,
    control_permits: Arc<Semaphore>,
    state: Mutex<LaneState>,
}

#[derive(Debug, Default)]
struct LaneState {
    used: usize,
    idle: Vec<HttpConnection>,
}

impl AddressLane {
    fn new(limits: &PoolLimits) -> Self {
        let work = limits.connections.saturating_sub(limits.control_connections).max(1);
        let work_permits = Arc::new(Semaphore::new(work));
        let control_permits = Arc::new(Semaphore::new(limits.control_connections));
        Self { work_permits, control_permits, state: Mutex::default() }
    }

    /// Waits until the address may get one more call. Control calls take what is free first.
    async fn acquire(&self, control: bool) -> SemaphoreGuardArc {
        if !control {
            return self.work_permits.acquire_arc().await;
        }
        let kept = self.control_permits.acquire_arc();
        kept.or(self.work_permits.acquire_arc()).await
    }

    /// Counts one more connection in use. Returns the unused ones that have to be closed first
    /// if it will be a new one.
    fn take_slot(
        self: &Arc<Self>,
        new_connection: bool,
        limits: &PoolLimits,
    ) -> (LaneSlot, Vec<HttpConnection>) {
        let mut state = lock(&self.state);
        state.used += 1;
        let room = limits.connections.saturating_sub(state.used);
        let room = if new_connection { room.min(state.idle.len()) } else { state.idle.len() };
        let surplus = state.idle.split_off(room);
        (LaneSlot { lane: Arc::clone(self), is_counted: true }, surplus)
    }

    fn take_idle(&self, idle_time: Duration) -> Option<HttpConnection> {
        let mut state = lock(&self.state);
        state.drop_old(idle_time);
        state.idle.pop()
    }

    /// Keeps a connection for the next call. Returns it, still counted as in use, if there is no
    /// room for it.
    fn give_back(
        &self,
        mut slot: LaneSlot,
        connection: HttpConnection,
        limits: &PoolLimits,
    ) -> Option<(LaneSlot, HttpConnection)> {
        let mut state = lock(&self.state);
        let others = state.used - 1;
        let room = limits.connections.saturating_sub(others).min(limits.idle_connections);
        if state.idle.len() >= room || connection.is_closed() {
            return Some((slot, connection));
        }
        state.idle.push(connection);
        state.used = others;
        slot.is_counted = false;
        None
    }

    /// Closes old connections; returns whether none is left.
    fn drop_old(&self, idle_time: Duration) -> bool {
        let mut state = lock(&self.state);
        state.drop_old(idle_time);
        state.idle.is_empty() && state.used == 0
    }
}

impl LaneState {
    fn drop_old(&mut self, idle_time: Duration) {
        self.idle.retain(|connection| {
            connection.idle_since().elapsed() < idle_time && !connection.is_closed()
        });
    }
}

/// Counts a connection as in use while it lives.
struct LaneSlot {
    lane: Arc<AddressLane>,
    is_counted: bool,
}

impl Drop for LaneSlot {
    fn drop(&mut self) {
        if self.is_counted {
            lock(&self.lane.state).used -= 1;
        }
    }
}

/// Closes connections and waits until their sockets are gone.
async fn close_all(connections: Vec<HttpConnection>) {
    for connection in connections {
        connection.close().await;
    }
}

fn make_request(call: &HttpCall) -> Option<Request<Full<Bytes>>> {
    Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(header::HOST, call.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(call.body.clone()))
        .ok()
}

/// Waits for `future` until `deadline`; none if it has not ended by then.
async fn within<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        Timer::at(deadline).await;
        None
    };
    async { Some(future.await) }.or(timer).await
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
