//! The whole of an entry's decisions as one state machine.

use magnoliapin_model::ErrorKind;
use magnoliapin_model::Moment;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::RefusalView;

use crate::EntryAction;
use crate::EntryEvent;
use crate::EntryIdentity;
use crate::PolicyTimes;

/// Decides everything that an entry does. It does no I/O and reads no clock.
#[derive(Debug)]
pub struct EntryMachine {
    identity: EntryIdentity,
    times: PolicyTimes,
    seed: u64,
}

impl EntryMachine {
    /// Makes the machine of an entry that has just started.
    pub fn new(identity: EntryIdentity, seed: u64) -> Self {
        Self { identity, times: PolicyTimes::default(), seed }
    }

    /// Sets other time bounds.
    #[must_use]
    pub fn with_times(mut self, times: PolicyTimes) -> Self {
        self.times = times;
        self
    }

    /// Returns what the entry knows of itself.
    pub fn identity(&self) -> &EntryIdentity {
        &self.identity
    }

    /// Returns the seed of the machine's random numbers.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Returns whether the entry takes new work, for `/readyz`.
    pub fn is_ready(&self) -> bool {
        false
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, _now: Moment, event: EntryEvent, actions: &mut Vec<EntryAction>) {
        if let EntryEvent::Caller { call, request } = event {
            drop(request);
            let kind = ErrorKind::NotReady;
            let refusal = RefusalView::new(kind, "the entry has no configuration yet");
            actions.push(EntryAction::Answer { call, answer: CallerAnswer::Refused(refusal) });
        }
    }
}
