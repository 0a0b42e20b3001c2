//! Findings of this entry about instances, kept until they expire.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::TargetIncarnation;

use super::FleetSettings;
use crate::FleetSnapshot;
use crate::InstanceRow;
use crate::InstanceState;
use crate::VersionedRow;

/// Findings about instances. Each is valid for one incarnation of the target and for a limited
/// time, so that it does not override a later finding of another entry.
#[derive(Debug, Default)]
pub(super) struct InstanceFindings {
    health: IndexMap<InstanceId, TimedFinding>,
    quarantine_proposals: IndexMap<InstanceId, TimedFinding>,
}

#[derive(Clone, Copy, Debug)]
struct TimedFinding {
    incarnation: TargetIncarnation,
    value: bool,
    recorded_at: Moment,
}

impl InstanceFindings {
    /// Records whether an incarnation of an instance's target responds.
    pub(super) fn record_health(
        &mut self,
        now: Moment,
        instance: InstanceId,
        incarnation: TargetIncarnation,
        healthy: bool,
    ) {
        self.health
            .insert(instance, TimedFinding { incarnation, value: healthy, recorded_at: now });
    }

    /// Records whether an instance should be quarantined (true) or released (false).
    pub(super) fn record_quarantine_proposal(
        &mut self,
        now: Moment,
        instance: InstanceId,
        incarnation: TargetIncarnation,
        quarantine: bool,
    ) {
        self.quarantine_proposals
            .insert(instance, TimedFinding { incarnation, value: quarantine, recorded_at: now });
    }

    /// Copies the findings that are still valid into a snapshot and removes expired ones.
    pub(super) fn merge_into(
        &mut self,
        now: Moment,
        settings: &FleetSettings,
        snapshot: &mut FleetSnapshot,
    ) {
        remove_expired(&mut self.health, now, settings.finding_ttl);
        remove_expired(&mut self.quarantine_proposals, now, settings.finding_ttl);
        for (instance, status) in &mut snapshot.instances {
            // A rebooting instance does not respond, which implies nothing about its health after
            // the reboot.
            let is_rebooting =
                |row: &VersionedRow<InstanceRow>| row.row.state == InstanceState::Rebooting;
            if status.row.as_ref().is_some_and(is_rebooting) {
                self.health.shift_remove(instance);
            }
            let listed = status.record.as_ref().map(|record| record.run);
            let current = listed.or(status.row.as_ref().map(|row| row.row.run));
            let Some(incarnation) = current else { continue };
            let valid_value = |findings: &IndexMap<InstanceId, TimedFinding>| {
                findings
                    .get(instance)
                    .filter(|finding| finding.incarnation == incarnation)
                    .map(|finding| finding.value)
            };
            status.healthy = valid_value(&self.health);
            status.quarantine_proposal = valid_value(&self.quarantine_proposals);
        }
    }
}

fn remove_expired(findings: &mut IndexMap<InstanceId, TimedFinding>, now: Moment, ttl: Duration) {
    findings.retain(|_, finding| now.since(finding.recorded_at) < ttl);
}
