//! Index of the targets by the instance that hosts them.

use indexmap::IndexMap;
use magnoliapin_site::InstanceName;

use crate::leader::target::TargetKey;

/// The targets of each instance: the current one, and earlier ones that are not removed yet.
#[derive(Debug, Default)]
pub(super) struct HostIndex {
    targets: IndexMap<InstanceName, Vec<TargetKey>>,
}

impl HostIndex {
    /// Adds a target; does nothing if its instance is not known.
    pub(super) fn add(&mut self, instance: Option<&InstanceName>, key: TargetKey) {
        let Some(instance) = instance else { return };
        let targets = self.targets.entry(instance.clone()).or_default();
        if !targets.contains(&key) {
            targets.push(key);
        }
    }

    /// Removes a target.
    pub(super) fn remove(&mut self, instance: Option<&InstanceName>, key: TargetKey) {
        let Some(instance) = instance else { return };
        let Some(targets) = self.targets.get_mut(instance) else { return };
        targets.retain(|target| *target != key);
        if targets.is_empty() {
            self.targets.swap_remove(instance);
        }
    }

    /// Returns the targets of an instance.
    pub(super) fn targets_of(&self, instance: &InstanceName) -> &[TargetKey] {
        self.targets.get(instance).map_or(&[], Vec::as_slice)
    }
}
