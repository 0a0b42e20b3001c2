//! An entry of a run: one machine for each boot.

use std::net::SocketAddr;

use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::ZoneId;
use magnoliapin_policy::EntryIdentity;
use magnoliapin_policy::EntryMachine;
use magnoliapin_policy::PolicyCounts;
use magnoliapin_policy::PolicyOptions;
use magnoliapin_policy::PolicyTimes;

/// An entry.
#[derive(Debug)]
pub(crate) struct EntryNode {
    pub(crate) zone: ZoneId,
    pub(crate) address: SocketAddr,
    pub(crate) id: EntryId,
    /// Number of the current boot; answers to earlier ones are dropped.
    pub(crate) boot: u32,
    pub(crate) machine: Option<EntryMachine>,
    pub(crate) paused_until: Option<Moment>,
    booted_at: Moment,
    /// Time bounds of its machines.
    pub(crate) times: PolicyTimes,
    /// Counters of earlier boots.
    pub(crate) past: Vec<PolicyCounts>,
}

impl EntryNode {
    pub(crate) fn new(zone: ZoneId, address: SocketAddr) -> Self {
        Self {
            zone,
            address,
            id: EntryId::default(),
            boot: 0,
            machine: None,
            paused_until: None,
            booted_at: Moment::START,
            past: Vec::new(),
            times: PolicyTimes::default(),
        }
    }

    /// Sets other time bounds.
    pub(crate) fn with_times(mut self, times: PolicyTimes) -> Self {
        self.times = times;
        self
    }

    /// Starts a new run of the entry.
    pub(crate) fn start(&mut self, now: Moment, id: EntryId, seed: u64, options: PolicyOptions) {
        self.kill();
        self.id = id;
        self.booted_at = now;
        let identity = EntryIdentity {
            entry: id,
            zone: self.zone,
            caller_address: self.address,
            peer_address: self.address,
        };
        self.machine =
            Some(EntryMachine::new(identity, seed).with_options(options).with_times(self.times));
    }

    /// Ends the current run at once.
    pub(crate) fn kill(&mut self) {
        self.boot += 1;
        self.paused_until = None;
        if let Some(machine) = self.machine.take() {
            self.past.push(machine.counts());
        }
    }

    /// Returns the entry's own clock, which starts at each boot.
    pub(crate) fn clock(&self, now: Moment) -> Moment {
        Moment::START + now.since(self.booted_at)
    }

    pub(crate) fn is_up(&self) -> bool {
        self.machine.is_some()
    }

    /// Returns the counters of every boot.
    pub(crate) fn all_counts(&self) -> Vec<PolicyCounts> {
        let current = self.machine.as_ref().map(EntryMachine::counts);
        self.past.iter().copied().chain(current).collect()
    }
}
