//! State of an entry as seen by the fleet planner that runs in the same process.

use indexmap::IndexMap;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::KeyHash;
use magnoliapin_model::Moment;
use magnoliapin_model::QueueId;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TeamId;
use magnoliapin_wire::rows::BoundTarget;
use magnoliapin_wire::RefusalView;

use crate::targets::TargetEntry;
use crate::work::WorkStage;
use crate::EntryMachine;

/// Location and size of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownTarget {
    /// Its instance, incarnation and address.
    pub target: BoundTarget,
    /// Number of slots of its executor.
    pub slots: SlotCount,
}

impl EntryMachine {
    /// Returns the configuration document in force, if there is one.
    pub fn document(&self) -> Option<&ConfigDocument> {
        (self.config.version.0 > 0).then_some(&self.config.document)
    }

    /// Returns the team of operators that a key belongs to.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the operator if the key is missing or belongs to no team of
    /// operators, or if the configuration of this entry is stale.
    pub fn check_operator(
        &mut self,
        now: Moment,
        key: Option<KeyHash>,
    ) -> Result<TeamId, Box<RefusalView>> {
        self.out.now = now.max(self.out.now);
        self.operator_team(key)
            .map_err(|error| Box::new(RefusalView::new(error.kind, error.message)))
    }

    /// Returns the target on an instance.
    pub fn known_target(&self, instance: InstanceId) -> Option<KnownTarget> {
        let entry = self.targets.entries.get(&instance)?;
        Some(KnownTarget { target: entry.bound_target(), slots: entry.record.slots })
    }

    /// Returns the targets that this entry has quarantined because they failed work that other
    /// targets ran, or too many tasks in a row.
    pub fn quarantined_targets(&self, now: Moment) -> Vec<BoundTarget> {
        let is_quarantined = |until: Option<Moment>| until.is_some_and(|until| until > now);
        let entries = self.targets.entries.values();
        let quarantined = entries.filter(|entry| is_quarantined(entry.quarantined_until));
        quarantined.map(TargetEntry::bound_target).collect()
    }

    /// Returns the slots that each queue needs over all entries.
    ///
    /// Extrapolated from the work at this entry, as the balancer spreads work evenly.
    pub fn queue_demand(&self, now: Moment) -> IndexMap<QueueId, f64> {
        let entries = self.peers.ready(now, &self.times).len() + 1;
        let queues = self.config.document.queues.keys();
        let mut demand = queues.map(|queue| (*queue, 0.0)).collect::<IndexMap<_, _>>();
        let active = self.work.entries.values().filter(|entry| entry.stage != WorkStage::Finishing);
        for entry in active {
            *demand.entry(entry.queue).or_default() += entries as f64;
        }
        demand
    }
}
