//! Reachability between the nodes of a simulation.

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::ZoneId;

/// Network cuts of availability zones, and unresponsive connections.
///
/// Cuts of a zone are counted, since several may overlap.
#[derive(Debug, Default)]
pub(crate) struct LinkState {
    cut_from_peers: IndexMap<ZoneId, u32>,
    cut_from_platform: IndexMap<ZoneId, u32>,
    unresponsive: IndexSet<(usize, usize)>,
}

impl LinkState {
    pub(crate) fn cut_peers(&mut self, zone: ZoneId) {
        *self.cut_from_peers.entry(zone).or_default() += 1;
    }

    pub(crate) fn heal_peers(&mut self, zone: ZoneId) {
        self.cut_from_peers.entry(zone).and_modify(|cuts| *cuts = cuts.saturating_sub(1));
    }

    pub(crate) fn cut_platform(&mut self, zone: ZoneId) {
        *self.cut_from_platform.entry(zone).or_default() += 1;
    }

    pub(crate) fn heal_platform(&mut self, zone: ZoneId) {
        self.cut_from_platform.entry(zone).and_modify(|cuts| *cuts = cuts.saturating_sub(1));
    }

    pub(crate) fn reaches_platform(&self, zone: ZoneId) -> bool {
        self.cut_from_platform.get(&zone).is_none_or(|cuts| *cuts == 0)
    }

    pub(crate) fn reaches(&self, from: ZoneId, to: ZoneId) -> bool {
        let is_uncut = |zone| self.cut_from_peers.get(&zone).is_none_or(|cuts| *cuts == 0);
        from == to || (is_uncut(from) && is_uncut(to))
    }

    pub(crate) fn make_unresponsive(&mut self, entry: usize, target: usize) {
        self.unresponsive.insert((entry, target));
    }

    /// Returns whether the open connection of an entry to a target is unresponsive.
    pub(crate) fn is_unresponsive(&self, entry: usize, target: usize) -> bool {
        self.unresponsive.contains(&(entry, target))
    }

    /// Replaces an unresponsive connection by a new one.
    pub(crate) fn reconnect(&mut self, entry: usize, target: usize) {
        self.unresponsive.swap_remove(&(entry, target));
    }
}
