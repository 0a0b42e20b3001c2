//! Registry of the open caller connections.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;

use crate::caller::stream::StreamMonitor;
use crate::http_connection::ConnectionGauge;
use crate::metrics::EndpointKind;
use crate::EntryMetrics;

/// Registers the open caller connections and limits their number.
#[derive(Debug)]
pub(crate) struct ConnectionRegistry {
    limit: usize,
    metrics: Arc<EntryMetrics>,
    state: Mutex<RegistryState>,
}

#[derive(Debug, Default)]
struct RegistryState {
    last_id: u64,
    /// Monitors by connection identifier, oldest connection first.
    open: IndexMap<u64, Arc<StreamMonitor>>,
}

impl ConnectionRegistry {
    /// Creates a registry for at most `limit` connections.
    pub(crate) fn new(limit: usize, metrics: Arc<EntryMetrics>) -> Self {
        Self { limit, metrics, state: Mutex::default() }
    }

    /// Registers a connection. At the limit, the oldest connection without a request in progress
    /// is evicted. Returns `None` if every connection has one.
    pub(crate) fn register(
        self: &Arc<Self>,
        monitor: &Arc<StreamMonitor>,
    ) -> Option<ConnectionSlot> {
        let mut state = self.lock();
        if state.open.len() >= self.limit {
            let idle = state.open.iter().find(|(_, monitor)| !monitor.is_serving());
            let id = idle.map(|(id, _)| *id)?;
            if let Some(evicted) = state.open.shift_remove(&id) {
                evicted.evict();
                self.metrics.count_evicted_connection();
            }
        }
        state.last_id += 1;
        let id = state.last_id;
        state.open.insert(id, Arc::clone(monitor));
        let gauge = ConnectionGauge::new(EndpointKind::Caller, Arc::clone(&self.metrics));
        Some(ConnectionSlot { registry: Arc::clone(self), id, _gauge: gauge })
    }

    /// Returns whether no connection is open.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().open.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Registration of one open connection; dropping it frees the slot.
#[derive(Debug)]
pub(crate) struct ConnectionSlot {
    registry: Arc<ConnectionRegistry>,
    id: u64,
    _gauge: ConnectionGauge,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.registry.lock().open.shift_remove(&self.id);
    }
}
