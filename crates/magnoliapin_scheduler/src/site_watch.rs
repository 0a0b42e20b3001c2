//! Watches the rows that the operator writes: the configuration, the maintenance waves and the
//! evacuations of zones.

use std::rc::Rc;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::MaintenanceWave;
use magnoliapin_site::SiteChange;
use magnoliapin_site::SiteConfig;
use magnoliapin_site::StoreReply;
use magnoliapin_site::ZoneName;

use crate::outbox::Outbox;
use crate::watch::Watch;
use crate::watch::WatchKind;
use crate::watch::WatchUpdate;
use crate::CallId;
use crate::NodeTimes;

#[cfg(test)]
#[path = "site_watch_tests.rs"]
mod tests;

/// Watches the configuration, the maintenance waves and the evacuations of zones.
#[derive(Debug)]
pub(crate) struct SiteWatch {
    watch: Watch,
    config: Option<Rc<SiteConfig>>,
    waves: IndexMap<u64, RequestedWave>,
    evacuated: EvacuatedZones,
}

/// Zones that are evacuated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EvacuatedZones {
    pub(crate) zones: IndexSet<ZoneName>,
    /// Every evacuation that was acknowledged before this moment is known; `None` before the first read.
    pub(crate) known_at: Option<Moment>,
}

/// A maintenance wave, and when this node first saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestedWave {
    pub(crate) wave: MaintenanceWave,
    pub(crate) first_seen_at: UnixMillis,
}

impl SiteWatch {
    /// Creates a watch that has not read anything.
    pub(crate) fn new() -> Self {
        Self {
            watch: Watch::new(WatchKind::Site),
            config: None,
            waves: IndexMap::new(),
            evacuated: EvacuatedZones::default(),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<&Rc<SiteConfig>> {
        self.config.as_ref()
    }

    /// Returns the waves that the operator has requested.
    pub(crate) fn waves(&self) -> &IndexMap<u64, RequestedWave> {
        &self.waves
    }

    /// Returns the zones that are evacuated.
    pub(crate) fn evacuated_zones(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// Returns when the last answered call was sent.
    pub(crate) fn last_contact_at(&self) -> Option<Moment> {
        self.watch.last_contact_at()
    }

    /// Makes the next call if one is due.
    pub(crate) fn poll(&mut self, times: &NodeTimes, out: &mut Outbox) {
        self.watch.poll(times, out);
    }

    /// Handles a reply of the store. Returns whether the configuration changed, or `None` if the
    /// call was not made by this watch.
    pub(crate) fn handle_reply(
        &mut self,
        call: CallId,
        reply: &StoreReply,
        out: &Outbox,
    ) -> Option<bool> {
        let update = self.watch.handle_reply(call, reply, out)?;
        let is_read = matches!(update, WatchUpdate::Read(_));
        let changes = match update {
            WatchUpdate::Read(StoreReply::Site { changes, .. })
            | WatchUpdate::Changed(StoreReply::Site { changes, .. }) => changes,
            WatchUpdate::Unchanged => Vec::new(),
            // The reply does not show the state of the rows.
            _ => return Some(false),
        };
        self.evacuated.known_at = self.watch.last_contact_at();
        if is_read {
            self.restore_unlisted_zones(&changes);
        }
        let mut has_new_config = false;
        for change in changes {
            has_new_config |= self.apply_change(change, out.wall_now());
        }
        Some(has_new_config)
    }

    fn apply_change(&mut self, change: SiteChange, now: UnixMillis) -> bool {
        match change {
            SiteChange::Config(config) => return self.apply_config(*config),
            SiteChange::Wave(wave) => {
                let requested = self.waves.get(&wave.wave);
                if requested.is_none_or(|requested| requested.wave != wave) {
                    log::info!(
                        "event=wave_requested wave={} instances={} max_down={} duration_ms={}",
                        wave.wave,
                        wave.instances.len(),
                        wave.max_down,
                        wave.duration.as_millis()
                    );
                    let first_seen_at = requested.map_or(now, |requested| requested.first_seen_at);
                    self.waves.insert(wave.wave, RequestedWave { wave, first_seen_at });
                }
            }
            SiteChange::WaveRemoved(wave) => {
                if self.waves.shift_remove(&wave).is_some() {
                    log::info!("event=wave_withdrawn wave={wave}");
                }
            }
            SiteChange::ZoneEvacuated(zone) => {
                if self.evacuated.zones.insert(zone.clone()) {
                    log::info!("event=zone_evacuated zone={zone}");
                }
            }
            SiteChange::ZoneRestored(zone) => self.restore_zone(&zone),
            SiteChange::Unreadable(why) => log::error!("event=site_row_unreadable why={why:?}"),
        }
        false
    }

    /// Ends the evacuations that a full read does not contain: their rows were removed while changes
    /// were missed.
    fn restore_unlisted_zones(&mut self, changes: &[SiteChange]) {
        let is_listed = |zone: &ZoneName| {
            changes
                .iter()
                .any(|change| matches!(change, SiteChange::ZoneEvacuated(listed) if listed == zone))
        };
        let unlisted = self.evacuated.zones.iter().filter(|zone| !is_listed(zone));
        for zone in unlisted.cloned().collect::<Vec<_>>() {
            self.restore_zone(&zone);
        }
    }

    fn restore_zone(&mut self, zone: &ZoneName) {
        if self.evacuated.zones.shift_remove(zone) {
            log::info!("event=zone_restored zone={zone}");
        }
    }

    /// Applies a configuration if it is newer than the current one. Returns whether it was applied.
    fn apply_config(&mut self, mut config: SiteConfig) -> bool {
        let current = self.config.as_ref().map(|config| config.version);
        if current.is_some_and(|current| config.version <= current) {
            return false;
        }
        self.complete_weights(&mut config);
        log::info!(
            "event=config_in_force version={} queues={} pools={} teams={}",
            config.version,
            config.queues.len(),
            config.pools.len(),
            config.teams.len()
        );
        self.config = Some(Rc::new(config));
        true
    }

    /// Replaces invalid weights of teams with their last valid ones.
    fn complete_weights(&self, config: &mut SiteConfig) {
        for team in config.teams.iter_mut().filter(|team| team.weight.is_none()) {
            let teams = self.config.iter().flat_map(|config| &config.teams);
            let last = teams.filter(|last| last.name == team.name).find_map(|last| last.weight);
            let weight = last.unwrap_or_default();
            log::error!(
                "event=team_weight_invalid team={} used={}",
                team.name,
                weight.jobs_per_s()
            );
            team.weight = Some(weight);
        }
    }
}
