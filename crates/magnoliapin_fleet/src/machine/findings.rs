//! What this entry found out about instances, for as long as it counts.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::TargetRun;

use super::FleetTimes;
use crate::FleetSnapshot;
use crate::InstanceRow;
use crate::InstanceState;
use crate::VersionedRow;

/// Findings about instances. Each holds for one run and for a limited time, so that what another
/// entry found out later is not overruled.
#[derive(Debug, Default)]
pub(super) struct InstanceFindings {
    health: IndexMap<InstanceId, HeardFinding>,
    suspects: IndexMap<InstanceId, HeardFinding>,
}

#[derive(Clone, Copy, Debug)]
struct HeardFinding {
    run: TargetRun,
    value: bool,
    at: Moment,
}

impl InstanceFindings {
    /// Takes down whether a run of an instance answers.
    pub(super) fn note_health(
        &mut self,
        now: Moment,
        instance: InstanceId,
        run: TargetRun,
        healthy: bool,
    ) {
        self.health.insert(instance, HeardFinding { run, value: healthy, at: now });
    }

    /// Takes down whether a run of an instance should be set apart.
    pub(super) fn note_suspect(
        &mut self,
        now: Moment,
        instance: InstanceId,
        run: TargetRun,
        suspect: bool,
    ) {
        self.suspects.insert(instance, HeardFinding { run, value: suspect, at: now });
    }

    /// Fills what still counts into a snapshot and forgets the rest.
    pub(super) fn fill(&mut self, now: Moment, times: &FleetTimes, snapshot: &mut FleetSnapshot) {
        forget_old(&mut self.health, now, times.finding_span);
        forget_old(&mut self.suspects, now, times.finding_span);
        for (instance, facts) in &mut snapshot.instances {
            // An instance that restarts does not answer, and that says nothing of what follows.
            let is_rebooting =
                |row: &VersionedRow<InstanceRow>| row.row.state == InstanceState::Rebooting;
            if facts.row.as_ref().is_some_and(is_rebooting) {
                self.health.shift_remove(instance);
            }
            let listed = facts.record.as_ref().map(|record| record.run);
            let known = listed.or(facts.row.as_ref().map(|row| row.row.run));
            let Some(run) = known else { continue };
            let value = |heard: &IndexMap<InstanceId, HeardFinding>| {
                heard.get(instance).filter(|heard| heard.run == run).map(|heard| heard.value)
            };
            facts.healthy = value(&self.health);
            facts.suspect = value(&self.suspects);
        }
    }
}

fn forget_old(heard: &mut IndexMap<InstanceId, HeardFinding>, now: Moment, span: Duration) {
    heard.retain(|_, heard| now.since(heard.at) < span);
}
