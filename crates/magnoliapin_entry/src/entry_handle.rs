//! Handle to a running entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use async_channel::Sender;
use magnoliapin_model::EntryId;
use magnoliapin_policy::EntryEvent;

use crate::driver::DriverEvent;
use crate::driver::DriverState;
use crate::stop_signal::StopSignal;
use crate::EntryMetrics;
use crate::TaskRuntime;
use crate::TimelineView;

/// Owns a running entry. Dropping the handle kills the entry.
#[derive(Debug)]
pub struct EntryHandle {
    pub(crate) caller_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    pub(crate) metrics: Arc<EntryMetrics>,
    pub(crate) state: Arc<DriverState>,
    pub(crate) events: Sender<DriverEvent>,
    pub(crate) finished: StopSignal,
    pub(crate) runtime: Mutex<Option<TaskRuntime>>,
}

impl EntryHandle {
    /// Returns the address for callers and operators.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for datagrams of peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the entry's identifier, which changes when its state machine restarts.
    pub fn entry(&self) -> EntryId {
        self.state.entry()
    }

    /// Returns whether the entry accepts new work.
    pub fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    /// Returns the metrics in the OpenMetrics text format.
    pub fn metrics_text(&self) -> String {
        self.metrics.text()
    }

    /// Returns the latest events of the entry.
    pub fn timeline(&self) -> TimelineView {
        self.state.timeline().view()
    }

    /// Starts a planned stop; [`finished`](Self::finished) waits for its completion. Later calls
    /// have no effect.
    pub fn stop(&self) {
        if self.state.request_stop() {
            // Fails only if the entry was killed.
            let _ = self.events.try_send(DriverEvent::Machine(EntryEvent::Stop));
        }
    }

    /// Waits until a planned stop is complete or the entry was killed.
    pub async fn finished(&self) {
        self.finished.wait().await;
    }

    /// Drops every task and socket of the entry at once.
    pub fn kill(&self) {
        let runtime = self.runtime.lock().unwrap_or_else(PoisonError::into_inner).take();
        drop(runtime);
        self.finished.raise();
    }
}
