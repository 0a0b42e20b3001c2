//! The open connections of callers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;

use crate::caller::stream::StreamWatch;
use crate::http_connection::ConnectionGauge;
use crate::metrics::BorderName;
use crate::EntryMetrics;

/// Knows the open connections of callers and keeps them under a bound.
#[derive(Debug)]
pub(crate) struct ConnectionBoard {
    limit: usize,
    metrics: Arc<EntryMetrics>,
    state: Mutex<BoardState>,
}

#[derive(Debug, Default)]
struct BoardState {
    last_number: u64,
    /// Watches by number, oldest first.
    open: IndexMap<u64, Arc<StreamWatch>>,
}

impl ConnectionBoard {
    /// Makes a board for at most `limit` connections.
    pub(crate) fn new(limit: usize, metrics: Arc<EntryMetrics>) -> Self {
        Self { limit, metrics, state: Mutex::default() }
    }

    /// Takes a place for one more connection. If all are taken, the oldest connection without a
    /// request has to make room; none if every connection has one.
    pub(crate) fn take_place(self: &Arc<Self>, watch: &Arc<StreamWatch>) -> Option<BoardPlace> {
        let mut state = self.lock();
        if state.open.len() >= self.limit {
            let idle = state.open.iter().find(|(_, watch)| !watch.is_serving());
            let number = idle.map(|(number, _)| *number)?;
            if let Some(evicted) = state.open.shift_remove(&number) {
                evicted.evict();
                self.metrics.count_evicted_connection();
            }
        }
        state.last_number += 1;
        let number = state.last_number;
        state.open.insert(number, Arc::clone(watch));
        let gauge = ConnectionGauge::new(BorderName::Caller, Arc::clone(&self.metrics));
        Some(BoardPlace { board: Arc::clone(self), number, _gauge: gauge })
    }

    /// Returns whether no connection is open.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().open.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, BoardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The place of one open connection, which is free again when it is dropped.
#[derive(Debug)]
pub(crate) struct BoardPlace {
    board: Arc<ConnectionBoard>,
    number: u64,
    _gauge: ConnectionGauge,
}

impl Drop for BoardPlace {
    fn drop(&mut self) {
        self.board.lock().open.shift_remove(&self.number);
    }
}
