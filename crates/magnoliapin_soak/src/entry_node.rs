//! A simulated entry, with one state machine for each incarnation.

use std::net::SocketAddr;

use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::ZoneId;
use magnoliapin_policy::EntryIdentity;
use magnoliapin_policy::EntryMachine;
use magnoliapin_policy::PolicyCounts;
use magnoliapin_policy::PolicyOptions;
use magnoliapin_policy::PolicyTimes;

/// A simulated entry.
#[derive(Debug)]
pub(crate) struct EntryNode {
    pub(crate) zone: ZoneId,
    pub(crate) address: SocketAddr,
    pub(crate) id: EntryId,
    /// Number of the current incarnation; replies to earlier ones are dropped.
    pub(crate) incarnation: u32,
    pub(crate) machine: Option<EntryMachine>,
    pub(crate) paused_until: Option<Moment>,
    started_at: Moment,
    /// Time bounds of the entry's state machines.
    pub(crate) times: PolicyTimes,
    /// Counters of earlier incarnations.
    pub(crate) previous_counts: Vec<PolicyCounts>,
}

impl EntryNode {
    pub(crate) fn new(zone: ZoneId, address: SocketAddr) -> Self {
        Self {
            zone,
            address,
            id: EntryId::default(),
            incarnation: 0,
            machine: None,
            paused_until: None,
            started_at: Moment::START,
            previous_counts: Vec::new(),
            times: PolicyTimes::default(),
        }
    }

    /// Replaces the default time bounds.
    pub(crate) fn with_times(mut self, times: PolicyTimes) -> Self {
        self.times = times;
        self
    }

    /// Starts a new incarnation, killing a running one.
    pub(crate) fn start(&mut self, now: Moment, id: EntryId, seed: u64, options: PolicyOptions) {
        self.kill();
        self.id = id;
        self.started_at = now;
        let identity = EntryIdentity {
            entry: id,
            zone: self.zone,
            caller_address: self.address,
            peer_address: self.address,
        };
        self.machine =
            Some(EntryMachine::new(identity, seed).with_options(options).with_times(self.times));
    }

    /// Kills the current incarnation without a shutdown.
    pub(crate) fn kill(&mut self) {
        self.incarnation += 1;
        self.paused_until = None;
        if let Some(machine) = self.machine.take() {
            self.previous_counts.push(machine.counts());
        }
    }

    /// Returns the time on the entry's own clock, which restarts with each incarnation.
    pub(crate) fn clock(&self, now: Moment) -> Moment {
        Moment::START + now.since(self.started_at)
    }

    pub(crate) fn is_up(&self) -> bool {
        self.machine.is_some()
    }

    /// Returns the counters of every incarnation.
    pub(crate) fn all_counts(&self) -> Vec<PolicyCounts> {
        let current = self.machine.as_ref().map(EntryMachine::counts);
        self.previous_counts.iter().copied().chain(current).collect()
    }
}
