//! Ownership of targets: with [`TargetChoice::Owned`], a target gets work from only one entry of
//! its zone.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use indexmap::IndexSet;
use magnoliapin_model::EntryId;
use magnoliapin_model::InstanceId;

use crate::EntryMachine;
use crate::TargetChoice;

impl EntryMachine {
    /// Closes the targets that other entries own. In a pool in which this entry owns none, all
    /// targets stay open.
    pub(crate) fn assign_targets(&mut self) {
        if self.options.targets == TargetChoice::Direct {
            return;
        }
        let entries = self.ready_entries_in_zone();
        let own = self.identity.entry;
        let zone = self.identity.zone;
        let owned = self.targets.entries.iter().filter(|(instance, target)| {
            target.record.zone == zone && owner(**instance, &entries) == Some(own)
        });
        let owned = owned.map(|(instance, _)| *instance).collect::<IndexSet<_>>();
        let targets = self.targets.entries.values();
        let pools = targets.filter(|target| owned.contains(&target.record.instance));
        let pools = pools.map(|target| target.pool).collect::<IndexSet<_>>();
        for (instance, target) in &mut self.targets.entries {
            target.is_open = owned.contains(instance) || !pools.contains(&target.pool);
        }
    }

    fn ready_entries_in_zone(&self) -> Vec<EntryId> {
        let ready = self.peers.ready(self.out.now, &self.times);
        let is_in_zone = |id: &EntryId| {
            let record = self.peers.records.get(id);
            record.is_some_and(|record| record.zone == self.identity.zone)
        };
        ready.into_iter().filter(is_in_zone).chain([self.identity.entry]).collect()
    }
}

/// Returns the entry with the highest hash for a target (rendezvous hashing).
fn owner(instance: InstanceId, entries: &[EntryId]) -> Option<EntryId> {
    let score = |entry: &&EntryId| {
        let mut hasher = DefaultHasher::new();
        instance.hash(&mut hasher);
        entry.hash(&mut hasher);
        hasher.finish()
    };
    entries.iter().max_by_key(score).copied()
}
