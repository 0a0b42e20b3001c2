//! Registry of the open connections, with the totals that they may reach.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use smol::net::TcpStream;
use smol::Timer;

use crate::ClientLimits;
use crate::ConnectionMonitor;
use crate::LimitCounts;
use crate::LimitObserver;
use crate::LimitReason;

#[cfg(test)]
#[path = "registry_tests.rs"]
mod tests;

/// Minimum time between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two summaries in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);
/// Longest time for which accepting waits until evicted connections are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between two checks whether they are closed. Checking without a pause would take all the
/// processor time of a node.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Part of the bytes that a body may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BytePriority {
    /// All bytes, for small bodies and for clients that belong to the system.
    Reserved,
    /// Three quarters of the bytes.
    Shared,
}

/// Registers the open connections and limits their number and the bytes of their bodies.
#[derive(Debug)]
pub struct ClientRegistry {
    counts: LimitCounts,
    observer: Option<Arc<dyn LimitObserver>>,
    /// Maximum size of a body, also while it is being received.
    body_bytes: AtomicU64,
    state: Mutex<RegistryState>,
}

#[derive(Debug)]
struct RegistryState {
    limits: ClientLimits,
    last_id: u64,
    /// Open connections by identifier.
    open: IndexMap<u64, OpenConnection>,
    /// Bytes that the bodies in memory count for.
    used_bytes: u64,
    swept_at: Instant,
    summary_at: Instant,
    summary: String,
}

#[derive(Debug)]
struct OpenConnection {
    monitor: Arc<ConnectionMonitor>,
    /// Bytes that its body counts for.
    used_bytes: u64,
    /// Size of its body as the client has announced it.
    announced_bytes: u64,
}

impl ClientRegistry {
    /// Creates a registry without connections.
    pub fn new(limits: ClientLimits) -> Self {
        let state = RegistryState {
            limits,
            last_id: 0,
            open: IndexMap::new(),
            used_bytes: 0,
            swept_at: Instant::now(),
            summary_at: Instant::now(),
            summary: String::new(),
        };
        Self {
            counts: LimitCounts::default(),
            observer: None,
            body_bytes: AtomicU64::new(limits.body_bytes),
            state: Mutex::new(state),
        }
    }

    /// Sets the observer of the limits.
    #[must_use]
    pub fn with_observer(mut self, observer: Arc<dyn LimitObserver>) -> Self {
        self.observer = Some(observer);
        self
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> ClientLimits {
        self.lock().limits
    }

    /// Returns the maximum size of a body.
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes.load(Ordering::Relaxed)
    }

    /// Returns the counters.
    pub fn counts(&self) -> &LimitCounts {
        &self.counts
    }

    /// Replaces the limits. Incomplete bodies over the new limit are refused; complete ones are
    /// not affected.
    pub fn set_limits(&self, limits: ClientLimits) {
        let mut state = self.lock();
        state.limits = limits;
        self.body_bytes.store(limits.body_bytes, Ordering::Relaxed);
        for connection in state.open.values() {
            let is_large = connection.announced_bytes > limits.body_bytes;
            if is_large && connection.monitor.is_receiving_body() {
                self.end(&connection.monitor, LimitReason::LargeBody);
            }
        }
    }

    /// Registers a connection. At the limit, the connection with the slowest progress is evicted.
    /// Returns `None` if every connection has a request in progress.
    pub fn register(self: &Arc<Self>, stream: TcpStream) -> Option<ConnectionSlot> {
        let mut state = self.lock();
        let is_open = |connection: &&OpenConnection| connection.monitor.end_reason().is_none();
        let mut count = state.open.len();
        if count >= state.limits.connections {
            count = state.open.values().filter(is_open).count();
        }
        if count >= state.limits.connections && !self.evict_slowest_of(&state) {
            drop(state);
            self.record(LimitReason::ConnectionRefused);
            return None;
        }
        state.last_id += 1;
        let id = state.last_id;
        let monitor = Arc::new(ConnectionMonitor::new(stream, state.limits.header_bytes));
        let connection =
            OpenConnection { monitor: Arc::clone(&monitor), used_bytes: 0, announced_bytes: 0 };
        state.open.insert(id, connection);
        Some(ConnectionSlot { registry: Arc::clone(self), id, monitor })
    }

    /// Evicts the connection with the slowest progress, for example when descriptors run out.
    pub fn evict_slowest(&self) {
        self.evict_slowest_of(&self.lock());
    }

    /// Returns whether a connection was evicted.
    fn evict_slowest_of(&self, state: &RegistryState) -> bool {
        let now = Instant::now();
        let ranked = state.open.values().filter_map(|connection| {
            connection.monitor.eviction_rank(now).map(|rank| (rank, connection))
        });
        let slowest = ranked.min_by_key(|(rank, _)| *rank);
        if let Some((_, slowest)) = slowest {
            self.end(&slowest.monitor, LimitReason::EvictedForConnection);
        }
        slowest.is_some()
    }

    /// Waits until the evicted connections are closed, so that no more are accepted than are closed.
    pub async fn settle(&self) {
        let is_over = || {
            let state = self.lock();
            state.open.len() > state.limits.connections
        };
        if !is_over() {
            return;
        }
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        while is_over() && Instant::now() < deadline {
            Timer::after(CLOSE_POLL_INTERVAL).await;
        }
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.lock().open.is_empty()
    }

    /// Ends the connections that exceed a time limit. Does nothing if it was called just before.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        if state.open.is_empty() || now.duration_since(state.swept_at) < SWEEP_INTERVAL {
            return;
        }
        state.swept_at = now;
        let limits = state.limits;
        for connection in state.open.values() {
            if let Some(reason) = connection.monitor.exceeded_limit(now, &limits) {
                self.end(&connection.monitor, reason);
            }
        }
    }

    /// Logs the counters if they have changed, with a pause between two messages.
    pub fn log_summary(&self, address: &str) {
        let mut state = self.lock();
        if state.summary_at.elapsed() < SUMMARY_INTERVAL {
            return;
        }
        state.summary_at = Instant::now();
        let summary = self.counts.summary();
        if summary != state.summary {
            let (open, bytes) = (state.open.len(), state.used_bytes);
            log::info!(
                "event=client_limits address={address} open={open} body_bytes={bytes}{summary}"
            );
            state.summary = summary;
        }
    }

    /// Counts a case.
    pub fn record(&self, reason: LimitReason) {
        self.counts.record(reason);
        if let Some(observer) = &self.observer {
            observer.record_limit(reason);
        }
    }

    fn end(&self, monitor: &ConnectionMonitor, reason: LimitReason) {
        self.record(reason);
        monitor.end(reason);
    }

    /// Counts bytes of a body before they are read. Evicts the slowest bodies where the bytes do
    /// not suffice. Returns whether the bytes are available.
    fn reserve(&self, id: u64, bytes: u64, priority: BytePriority) -> bool {
        let mut state = self.lock();
        let total = state.limits.all_body_bytes;
        let available = match priority {
            BytePriority::Reserved => total,
            BytePriority::Shared => total / 4 * 3,
        };
        let own = state.open.get(&id).map_or(0, |connection| connection.used_bytes);
        let now = Instant::now();
        // A body that is alone is read in any case, as the operator's limit allows it.
        while state.used_bytes + bytes > available && state.used_bytes > own {
            let slow = state.open.values_mut().filter(|connection| connection.used_bytes > 0);
            let slow = slow.filter_map(|connection| {
                connection.monitor.slow_body_rate(now).map(|rate| (rate, connection))
            });
            let Some((_, victim)) = slow.min_by_key(|(rate, _)| *rate) else {
                drop(state);
                self.record(LimitReason::BodiesRefused);
                return false;
            };
            self.end(&victim.monitor, LimitReason::EvictedForBody);
            // Its buffer is freed when its task runs next, before much more has been read.
            let freed = std::mem::take(&mut victim.used_bytes);
            state.used_bytes -= freed;
        }
        let Some(connection) = state.open.get_mut(&id) else { return false };
        connection.used_bytes += bytes;
        state.used_bytes += bytes;
        true
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Registration of one open connection; dropping it frees the slot.
#[derive(Debug)]
pub struct ConnectionSlot {
    registry: Arc<ClientRegistry>,
    id: u64,
    monitor: Arc<ConnectionMonitor>,
}

impl ConnectionSlot {
    /// Returns the monitor of the connection.
    pub fn monitor(&self) -> &Arc<ConnectionMonitor> {
        &self.monitor
    }

    /// Returns the registry.
    pub fn registry(&self) -> &ClientRegistry {
        &self.registry
    }

    /// Returns why the head of a request is to be refused, once the connection is no longer served.
    pub fn head_refusal(&self) -> Option<LimitReason> {
        let reason = self.monitor.end_reason();
        if reason == Some(LimitReason::LargeHead) {
            self.registry.record(LimitReason::LargeHead);
        }
        reason.filter(|reason| matches!(reason, LimitReason::LargeHead | LimitReason::SlowHead))
    }

    /// Counts the refusal of a head if it is why `hyper` has ended the connection.
    pub fn record_error(&self, error: &hyper::Error) {
        if error.is_parse_too_large() {
            self.registry.record(LimitReason::LargeHead);
        }
    }

    /// Counts bytes of a body before they are read. Returns whether they are available.
    #[must_use]
    pub fn reserve(&self, bytes: u64, priority: BytePriority) -> bool {
        self.registry.reserve(self.id, bytes, priority)
    }

    /// Records the size of a body that the client has announced.
    pub(crate) fn announce(&self, bytes: u64) {
        if let Some(connection) = self.registry.lock().open.get_mut(&self.id) {
            connection.announced_bytes = bytes;
        }
    }

    /// Detaches the bytes of a complete body from the connection. They count `factor` times, for
    /// the copies that are made of them, until the result is dropped.
    pub(crate) fn detach(&self, factor: u64) -> ByteCharge {
        let mut state = self.registry.lock();
        let connection = state.open.get_mut(&self.id);
        let own = connection.map_or(0, |open| std::mem::take(&mut open.used_bytes));
        state.used_bytes += own * (factor - 1);
        ByteCharge { registry: Arc::clone(&self.registry), bytes: own * factor }
    }

    /// Stops counting the bytes of the body.
    pub fn release(&self) {
        let mut state = self.registry.lock();
        if let Some(connection) = state.open.get_mut(&self.id) {
            let freed = std::mem::take(&mut connection.used_bytes);
            connection.announced_bytes = 0;
            state.used_bytes -= freed;
        }
    }
}

/// Bytes that count until they are dropped, also after their connection has closed.
#[derive(Debug)]
pub struct ByteCharge {
    registry: Arc<ClientRegistry>,
    bytes: u64,
}

impl Drop for ByteCharge {
    fn drop(&mut self) {
        self.registry.lock().used_bytes -= self.bytes;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.release();
        self.registry.lock().open.swap_remove(&self.id);
    }
}
