//! An operator who changes the configuration while the store fails now and then, and the check that
//! nodes apply the changes in time.

use std::time::Duration;

use magnoliapin_model::ConfigVersion;
use magnoliapin_scheduler::NodeMachine;
use rand::Rng;

use crate::faults::FaultChange;
use crate::faults::StoreMode;
use crate::site;
use crate::world::Event;
use crate::world::World;

/// Time after which a confirmed configuration must be in force on nodes in touch.
const CONFIG_TIME: Duration = Duration::from_secs(2);
/// Time between two checks of all nodes.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which the operator repeats a change that the store has not confirmed.
const CHANGE_RETRY_INTERVAL: Duration = Duration::from_millis(125);
/// When the configuration changes and the store fails for the first and for the last time.
const CHANGES_MS: std::ops::Range<u64> = 4_000..40_000;

impl World {
    /// Schedules outages of the store, each of one mode, one after the other.
    pub(crate) fn schedule_store_outages(&mut self) {
        let mut at = CHANGES_MS.start;
        while at < CHANGES_MS.end {
            at += self.random.random_range(500..5_000);
            let mode = match self.random.random_range(0..4) {
                0 => StoreMode::Rejecting,
                1 => StoreMode::Slow,
                _ => StoreMode::Unresponsive,
            };
            self.schedule_fault(at, FaultChange::Store(mode));
            if mode == StoreMode::Unresponsive {
                self.schedule_fault(at, FaultChange::LosePendingWatches);
            }
            at += self.random.random_range(300..7_000);
            self.schedule_fault(at, FaultChange::Store(StoreMode::Up));
        }
    }

    /// Schedules changes of the configuration, and checks of the nodes.
    pub(crate) fn schedule_config_changes(&mut self) {
        let mut at = CHANGES_MS.start;
        while at < CHANGES_MS.end {
            at += self.random.random_range(200..2_500);
            self.schedule_after(Duration::from_millis(at), Event::ConfigChange);
        }
        self.schedule_after(Duration::from_millis(CHANGES_MS.start), Event::CheckConfigs);
    }

    /// Changes the configuration, or tries again later if the store does not answer the operator.
    pub(crate) fn change_config(&mut self) {
        if matches!(self.faults.store, StoreMode::Unresponsive | StoreMode::Rejecting) {
            return self.schedule_after(CHANGE_RETRY_INTERVAL, Event::ConfigChange);
        }
        let version = self.config_changes.len() as u64 + 2;
        self.config_changes.push((self.now, ConfigVersion(version)));
        self.store.set_config(site::config(version, self.has_fleet()));
        self.reply_to_watches();
    }

    /// Checks that each node in touch uses a configuration that is recent enough.
    pub(crate) fn check_configs(&mut self) {
        let due = self.config_changes.iter().rfind(|(at, _)| self.now.since(*at) > CONFIG_TIME);
        if let Some((confirmed_at, due)) = due.copied() {
            let version_of =
                |node: usize| self.nodes[node].machine.as_ref().map(NodeMachine::config_version);
            let late = (0..site::NODES).find(|node| {
                self.is_in_touch(*node) && version_of(*node).is_some_and(|version| version < due)
            });
            if let Some(node) = late {
                let text = format!(
                    "node {node} uses version {:?} of the configuration; version {due} was \
                     confirmed {} ms ago",
                    version_of(node),
                    self.now.since(confirmed_at).as_millis()
                );
                self.checker.report_violation(self.now, &text);
            }
        }
        self.schedule_after(CHECK_INTERVAL, Event::CheckConfigs);
    }
}
