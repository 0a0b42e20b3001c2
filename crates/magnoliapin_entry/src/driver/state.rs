//! What the driver lets other tasks see.

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

/// What the driver lets other tasks see.
#[derive(Debug)]
pub(crate) struct DriverState {
    entry: AtomicU64,
    is_ready: AtomicBool,
    is_stopping: AtomicBool,
    stopped: StopSignal,
    machines: AtomicU64,
    timeline: Mutex<TimelineRing>,
}

impl DriverState {
    /// Makes the state before the first machine starts.
    pub(crate) fn new(timeline_events: usize) -> Self {
        Self {
            entry: AtomicU64::new(0),
            is_ready: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            stopped: StopSignal::new(),
            machines: AtomicU64::new(0),
            timeline: Mutex::new(TimelineRing::new(timeline_events)),
        }
    }

    /// Returns the entry's identifier, which changes when the machine starts over.
    pub(crate) fn entry(&self) -> EntryId {
        EntryId(self.entry.load(Ordering::SeqCst))
    }

    /// Returns whether the machine takes new work.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::SeqCst) && !self.is_stopping()
    }

    /// Returns whether a planned stop was asked for.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Returns the number of the next machine.
    pub(crate) fn next_machine(&self) -> MachineNumber {
        MachineNumber(self.machines.fetch_add(1, Ordering::SeqCst) + 1)
    }

    /// Notes that a machine with this identifier starts.
    pub(crate) fn begin_machine(&self, entry: EntryId) {
        self.entry.store(entry.0, Ordering::SeqCst);
        self.set_ready(false);
    }

    /// Notes whether the machine takes new work.
    pub(crate) fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::SeqCst);
    }

    /// Notes that a planned stop was asked for; returns whether it is the first time.
    pub(crate) fn begin_stop(&self) -> bool {
        !self.is_stopping.swap(true, Ordering::SeqCst)
    }

    /// Returns the signal that the planned stop has ended.
    pub(crate) fn stopped(&self) -> &StopSignal {
        &self.stopped
    }

    /// Returns the latest events.
    pub(crate) fn timeline(&self) -> MutexGuard<'_, TimelineRing> {
        self.timeline.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
