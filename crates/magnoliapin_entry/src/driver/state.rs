//! State of the driver that is shared with other tasks.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use magnoliapin_model::EntryId;

use crate::driver::MachineNumber;
use crate::stop_signal::StopSignal;
use crate::timeline::TimelineRing;

/// State of the driver that is shared with other tasks.
#[derive(Debug)]
pub(crate) struct DriverState {
    entry: AtomicU64,
    is_ready: AtomicBool,
    is_stopping: AtomicBool,
    stopped: StopSignal,
    last_machine: AtomicU64,
    timeline: Mutex<TimelineRing>,
}

impl DriverState {
    /// Creates the state before the first machine starts.
    pub(crate) fn new(timeline_events: usize) -> Self {
        Self {
            entry: AtomicU64::new(0),
            is_ready: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            stopped: StopSignal::new(),
            last_machine: AtomicU64::new(0),
            timeline: Mutex::new(TimelineRing::new(timeline_events)),
        }
    }

    /// Returns the entry's identifier, which changes when the machine restarts.
    pub(crate) fn entry(&self) -> EntryId {
        EntryId(self.entry.load(Ordering::SeqCst))
    }

    /// Returns whether the machine accepts new work.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::SeqCst) && !self.is_stopping()
    }

    /// Returns whether a planned stop was requested.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Allocates the number of the next machine.
    pub(crate) fn next_machine_number(&self) -> MachineNumber {
        MachineNumber(self.last_machine.fetch_add(1, Ordering::SeqCst) + 1)
    }

    /// Records the start of a machine with this identifier; it is not ready yet.
    pub(crate) fn start_machine(&self, entry: EntryId) {
        self.entry.store(entry.0, Ordering::SeqCst);
        self.set_ready(false);
    }

    /// Sets whether the machine accepts new work.
    pub(crate) fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::SeqCst);
    }

    /// Records the request for a planned stop; returns whether it is the first one.
    pub(crate) fn request_stop(&self) -> bool {
        !self.is_stopping.swap(true, Ordering::SeqCst)
    }

    /// Returns the signal that is raised when the planned stop is complete.
    pub(crate) fn stopped(&self) -> &StopSignal {
        &self.stopped
    }

    /// Locks and returns the latest events.
    pub(crate) fn timeline(&self) -> MutexGuard<'_, TimelineRing> {
        self.timeline.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
