//! What the planner of the fleet is told by the entry that runs it.

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

/// A target as the entry knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownTarget {
    /// Its instance, run and address.
    pub target: BoundTarget,
    /// Slots of its executor.
    pub slots: SlotCount,
}

impl EntryMachine {
    /// Returns the document in force, if there is one.
    pub fn document(&self) -> Option<&ConfigDocument> {
        (self.config.version.0 > 0).then_some(&self.config.document)
    }

    /// Finds the team of operators that a key belongs to.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the operator if there is none, or if this entry cannot know.
    pub fn check_operator(
        &mut self,
        now: Moment,
        key: Option<KeyHash>,
    ) -> Result<TeamId, Box<RefusalView>> {
        self.out.now = now.max(self.out.now);
        self.operator_of(key).map_err(|error| Box::new(RefusalView::new(error.kind, error.message)))
    }

    /// Returns a target by its instance.
    pub fn known_target(&self, instance: InstanceId) -> Option<KnownTarget> {
        let entry = self.targets.entries.get(&instance)?;
        Some(KnownTarget { target: entry.bound(), slots: entry.record.slots })
    }

    /// Returns the targets that this entry has set apart because they fail what others run.
    pub fn suspects(&self, now: Moment) -> Vec<BoundTarget> {
        let is_apart = |until: Option<Moment>| until.is_some_and(|until| until > now);
        let entries = self.targets.entries.values();
        let apart = entries.filter(|entry| is_apart(entry.quarantined_until));
        apart.map(TargetEntry::bound).collect()
    }

    /// Returns the slots that each queue wants over all entries, reckoned from this entry's part
    /// of the work, as the balancer deals it out evenly.
    pub fn queue_demand(&self, now: Moment) -> IndexMap<QueueId, f64> {
        let entries = self.peers.ready(now, &self.times).len() + 1;
        let queues = self.config.document.queues.keys();
        let mut demand = queues.map(|queue| (*queue, 0.0)).collect::<IndexMap<_, _>>();
        let wanting = self.work.entries.values().filter(|entry| entry.stage != WorkStage::Ending);
        for entry in wanting {
            *demand.entry(entry.queue).or_default() += entries as f64;
        }
        demand
    }
}
