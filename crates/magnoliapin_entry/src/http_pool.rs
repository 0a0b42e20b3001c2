//! Pool of HTTP connections with limits for each address.

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

use crate::http_connection::HttpConnection;
use crate::http_connection::HttpResponse;
use crate::metrics::EndpointKind;
use crate::EntryMetrics;
use crate::MonotonicClock;
use crate::PoolLimits;
use crate::TaskSpawner;

/// One HTTP call.
#[derive(Debug)]
pub(crate) struct HttpCall {
    /// Address of the server.
    pub(crate) address: SocketAddr,
    /// HTTP method.
    pub(crate) method: Method,
    /// Path of the URI.
    pub(crate) path: String,
    /// Body, as JSON.
    pub(crate) body: Vec<u8>,
    /// Time after which the call fails.
    pub(crate) timeout: Duration,
    /// Whether the call requires a new connection.
    pub(crate) new_connection: bool,
    /// Deadline for sending. The call is not sent at or after it.
    pub(crate) send_before: Option<Moment>,
    /// Whether the call may use the connections reserved for control calls.
    pub(crate) control: bool,
}

/// Pool of HTTP connections to any number of addresses.
#[derive(Debug)]
pub(crate) struct HttpPool {
    endpoint: EndpointKind,
    limits: PoolLimits,
    clock: Arc<dyn MonotonicClock>,
    metrics: Arc<EntryMetrics>,
    spawner: TaskSpawner,
    pools: Mutex<IndexMap<SocketAddr, Arc<AddressPool>>>,
}

impl HttpPool {
    /// Creates a pool without connections.
    pub(crate) fn new(
        endpoint: EndpointKind,
        limits: PoolLimits,
        clock: Arc<dyn MonotonicClock>,
        metrics: Arc<EntryMetrics>,
        spawner: TaskSpawner,
    ) -> Self {
        Self { endpoint, limits, clock, metrics, spawner, pools: Mutex::default() }
    }

    /// Makes a call and reads its complete response.
    ///
    /// # Errors
    ///
    /// Returns [`CallFailure::NotSent`] only if no byte of the request was sent.
    pub(crate) async fn exchange(&self, call: HttpCall) -> Result<HttpResponse, CallFailure> {
        let started = Instant::now();
        let deadline = started + call.timeout;
        let pool = self.address_pool(call.address);
        // A longer wait would leave too little time for the response.
        let permit = with_deadline(started + call.timeout / 2, pool.acquire(call.control)).await;
        let _permit = permit.ok_or(CallFailure::NotSent)?;
        let (slot, surplus) = pool.reserve_slot(call.new_connection, &self.limits);
        close_all(surplus).await;
        let connection = with_deadline(deadline, self.connect(&pool, &call)).await;
        let mut connection = connection.flatten().ok_or(CallFailure::NotSent)?;
        let request = build_request(&call).ok_or(CallFailure::NotSent)?;
        let exchange =
            connection.exchange(request, call.send_before, self.limits.max_response_bytes);
        let Some(Ok(response)) = with_deadline(deadline, exchange).await else {
            return Err(connection.close().await);
        };
        if let Some((_slot, surplus)) = pool.release(slot, connection, &self.limits) {
            surplus.close().await;
        }
        Ok(response)
    }

    /// Closes idle connections after their idle time and removes addresses without connections.
    pub(crate) fn sweep(&self) {
        let mut pools = lock(&self.pools);
        pools.retain(|_, pool| {
            let is_empty = pool.close_expired(self.limits.idle_timeout);
            !is_empty || Arc::strong_count(pool) > 1
        });
    }

    fn address_pool(&self, address: SocketAddr) -> Arc<AddressPool> {
        let mut pools = lock(&self.pools);
        let pool = pools.entry(address).or_insert_with(|| Arc::new(AddressPool::new(&self.limits)));
        Arc::clone(pool)
    }

    async fn connect(&self, pool: &AddressPool, call: &HttpCall) -> Option<HttpConnection> {
        if !call.new_connection {
            while let Some(mut connection) = pool.take_idle(self.limits.idle_timeout) {
                if connection.is_ready().await {
                    return Some(connection);
                }
            }
        }
        let clock = Arc::clone(&self.clock);
        let metrics = Arc::clone(&self.metrics);
        let open = HttpConnection::open(call.address, self.endpoint, clock, metrics, &self.spawner);
        with_deadline(Instant::now() + self.limits.connect_timeout, open).await?.ok()
    }
}

/// Connections to one address.
#[derive(Debug)]
struct AddressPool {
    work_permits: Arc<Semaphore>,
    control_permits: Arc<Semaphore>,
    state: Mutex<AddressState>,
}

#[derive(Debug, Default)]
struct AddressState {
    /// Number of connections that are reserved or used by a call.
    in_use: usize,
    idle: Vec<HttpConnection>,
}

impl AddressPool {
    fn new(limits: &PoolLimits) -> Self {
        let work = limits.connections.saturating_sub(limits.control_connections).max(1);
        let work_permits = Arc::new(Semaphore::new(work));
        let control_permits = Arc::new(Semaphore::new(limits.control_connections));
        Self { work_permits, control_permits, state: Mutex::default() }
    }

    /// Waits until one more call to the address is permitted. Control calls accept either kind
    /// of permit and prefer a control permit.
    async fn acquire(&self, control: bool) -> SemaphoreGuardArc {
        if !control {
            return self.work_permits.acquire_arc().await;
        }
        let reserved = self.control_permits.acquire_arc();
        reserved.or(self.work_permits.acquire_arc()).await
    }

    /// Counts one more connection in use. If it will be a new one, returns the idle connections
    /// that must be closed first.
    fn reserve_slot(
        self: &Arc<Self>,
        new_connection: bool,
        limits: &PoolLimits,
    ) -> (AddressSlot, Vec<HttpConnection>) {
        let mut state = lock(&self.state);
        state.in_use += 1;
        let max_idle = limits.connections.saturating_sub(state.in_use);
        let max_idle =
            if new_connection { max_idle.min(state.idle.len()) } else { state.idle.len() };
        let surplus = state.idle.split_off(max_idle);
        (AddressSlot { pool: Arc::clone(self), is_counted: true }, surplus)
    }

    fn take_idle(&self, idle_timeout: Duration) -> Option<HttpConnection> {
        let mut state = lock(&self.state);
        state.close_expired(idle_timeout);
        state.idle.pop()
    }

    /// Keeps a connection for the next call. Returns it, still counted as in use, if it is closed
    /// or too many connections are idle.
    fn release(
        &self,
        mut slot: AddressSlot,
        connection: HttpConnection,
        limits: &PoolLimits,
    ) -> Option<(AddressSlot, HttpConnection)> {
        let mut state = lock(&self.state);
        let remaining = state.in_use - 1;
        let max_idle = limits.connections.saturating_sub(remaining).min(limits.idle_connections);
        if state.idle.len() >= max_idle || connection.is_closed() {
            return Some((slot, connection));
        }
        state.idle.push(connection);
        state.in_use = remaining;
        slot.is_counted = false;
        None
    }

    /// Closes connections that have been idle for too long; returns whether no connection is left.
    fn close_expired(&self, idle_timeout: Duration) -> bool {
        let mut state = lock(&self.state);
        state.close_expired(idle_timeout);
        state.idle.is_empty() && state.in_use == 0
    }
}

impl AddressState {
    fn close_expired(&mut self, idle_timeout: Duration) {
        self.idle.retain(|connection| {
            connection.idle_since().elapsed() < idle_timeout && !connection.is_closed()
        });
    }
}

/// Counts a connection as in use until the slot is dropped or the connection becomes idle.
struct AddressSlot {
    pool: Arc<AddressPool>,
    is_counted: bool,
}

impl Drop for AddressSlot {
    fn drop(&mut self) {
        if self.is_counted {
            lock(&self.pool.state).in_use -= 1;
        }
    }
}

/// Closes connections and waits until their sockets are closed.
async fn close_all(connections: Vec<HttpConnection>) {
    for connection in connections {
        connection.close().await;
    }
}

fn build_request(call: &HttpCall) -> Option<Request<Full<Bytes>>> {
    Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(header::HOST, call.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(call.body.clone()))
        .ok()
}

/// Waits for `future` until `deadline`. Returns `None` if it has not completed by then.
async fn with_deadline<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        Timer::at(deadline).await;
        None
    };
    async { Some(future.await) }.or(timer).await
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
