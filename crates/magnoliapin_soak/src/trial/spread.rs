//! Propagation of an accepted configuration, and of a revoked key.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::KeyHash;
use magnoliapin_model::Moment;
use magnoliapin_model::SectionName;
use magnoliapin_model::TeamId;
use magnoliapin_standin::PlatformMode;
use magnoliapin_wire::CallerBody;
use magnoliapin_wire::CallerRequest;
use magnoliapin_wire::ConfigChange;

use crate::caller_registry::CallKind;
use crate::load::OPERATOR_SECRET;
use crate::trial::figures::ratio;
use crate::trial::log::AnswerKind;
use crate::trial::TeamDemand;
use crate::trial::TrialPlan;
use crate::trial::TrialWorld;
use crate::world::zone;

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(5);
const RUN_TIME: Duration = Duration::from_millis(50);
const CUT_ZONE: usize = 1;
const TEAM: usize = 1;

/// Results of a configuration change that revokes a key.
#[derive(Clone, Debug, Default)]
pub struct SpreadFigures {
    /// Time from acceptance until the version was in force, for each connected entry.
    pub in_force_after: Vec<Duration>,
    /// Time from acceptance until the last request with the revoked key that was served was sent,
    /// in connected zones.
    pub last_taken_after: Duration,
    /// The same in the zone that is cut off.
    pub last_taken_cut_off: Duration,
    /// Requests to the open queue in the cut-off zone: served, and sent.
    pub open_served: (u64, u64),
    /// Number of broken invariants.
    pub violations: usize,
}

/// Measures a key that is revoked just after a zone is cut off from peers and platform.
pub fn measure(seed: u64) -> SpreadFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed));
    let load = |zone: usize| TeamDemand::new(TEAM, 100.0, RUN_TIME).with_zone(zone).with_queue(0);
    let open = TeamDemand::new(TEAM, 20.0, RUN_TIME).with_zone(CUT_ZONE);
    let open = open.with_class(crate::trial::log::WorkClass::Open);
    let all = || vec![load(0), load(CUT_ZONE), load(2), open];
    trial.drive(SECOND * 3, |_| all());
    let wait = Duration::from_millis(seed % 10 * 100);
    trial.drive(wait, |_| all());
    let cut = zone(CUT_ZONE);
    trial.world.links.cut_peers(cut);
    trial.world.links.cut_platform(cut);
    let from = trial.now();
    revoke_key(&mut trial);
    let mut figures = SpreadFigures::default();
    let mut in_force = IndexMap::new();
    let mut accepted_at = None;
    while trial.now() < from + SECOND * 12 {
        trial.drive(STEP, |_| all());
        accepted_at = accepted_at.or_else(|| acceptance_time(&trial));
        let Some(at) = accepted_at else { continue };
        record_in_force(&trial, at, &mut in_force);
    }
    trial.run_for(SECOND * 3);
    let at = accepted_at.unwrap_or(from);
    figures.in_force_after = in_force.values().copied().collect();
    figures.last_taken_after = last_served_after(&trial, at, false);
    figures.last_taken_cut_off = last_served_after(&trial, at, true);
    figures.open_served = open_served(&trial, at + SECOND * 6);
    figures.violations = trial.violations().len();
    figures
}

fn revoke_key(trial: &mut TrialWorld) {
    let team: TeamId = format!("t{TEAM}").parse().expect("a short name");
    let Some((_, document)) = trial.world.config_history.newest() else { return };
    let mut document = document.clone();
    let Some(section) = document.teams.get_mut(&team) else { return };
    section.keys.clear();
    section.keys.insert("k1".parse().expect("a short name"), KeyHash::new("another"));
    let name = SectionName::Team(team);
    let sections = IndexMap::from([(name, document.section_text(name))]);
    let change = ConfigChange { base: None, sections, whole: false };
    send_config_change(trial, 0, change);
}

/// Sends a configuration change to an entry of a zone.
pub(crate) fn send_config_change(trial: &mut TrialWorld, zone: usize, change: ConfigChange) {
    let key = Some(KeyHash::new(OPERATOR_SECRET));
    let request = CallerRequest { key, body: CallerBody::ApplyConfig(change) };
    let entry = trial.draw_entry(Some(zone));
    trial.call(entry, CallKind::Apply, u64::MAX, request, Duration::ZERO);
}

fn acceptance_time(trial: &TrialWorld) -> Option<Moment> {
    let (version, _) = trial.world.config_history.newest()?;
    (version.0 > 1).then_some(trial.world.now)
}

fn record_in_force(trial: &TrialWorld, at: Moment, in_force: &mut IndexMap<usize, Duration>) {
    let Some((version, _)) = trial.world.config_history.newest() else { return };
    for (index, entry) in trial.world.entries.iter().enumerate() {
        let Some(machine) = &entry.machine else { continue };
        if entry.zone != zone(CUT_ZONE) && machine.config_version() >= version {
            in_force.entry(index).or_insert(trial.now().since(at));
        }
    }
}

/// Returns how long after `at` the last keyed request that was served was sent.
fn last_served_after(trial: &TrialWorld, at: Moment, cut_off: bool) -> Duration {
    let items = trial.log().sent_work.iter().filter(|work| {
        let is_cut_off = trial.world.entries[work.entry].zone == zone(CUT_ZONE);
        work.class == crate::trial::log::WorkClass::Keyed && is_cut_off == cut_off
    });
    let served = items.filter(|work| matches!(work.answer, Some((_, AnswerKind::Output))));
    served.map(|work| work.sent_at.since(at)).max().unwrap_or_default()
}

fn open_served(trial: &TrialWorld, from: Moment) -> (u64, u64) {
    let items =
        trial.log().sent_work.iter().filter(|work| {
            work.class == crate::trial::log::WorkClass::Open && work.sent_at >= from
        });
    let items = items.collect::<Vec<_>>();
    let served = items.iter().filter(|work| work.latency().is_some()).count();
    (served as u64, items.len() as u64)
}

/// Measures the fraction of keyed requests that is served while the platform is down.
///
/// If `peers_connected` is false, the zones do not reach each other and the configuration cannot be
/// confirmed as current, so every keyed request is refused once the freshness period is over, as if
/// only the store could confirm it.
pub fn served_in_outage(seed: u64, outage: Duration, peers_connected: bool) -> f64 {
    let mut trial = TrialWorld::new(TrialPlan::new(seed));
    let load = || vec![TeamDemand::new(TEAM, 100.0, RUN_TIME).with_queue(0)];
    trial.drive(SECOND * 3, |_| load());
    trial.world.platform.faults.set_mode(PlatformMode::Down);
    if !peers_connected {
        (0..3).for_each(|index| trial.world.links.cut_peers(zone(index)));
    }
    let from = trial.now();
    trial.drive(outage, |_| load());
    let to = trial.now();
    trial.run_for(SECOND * 4);
    let sent = trial.log().sent_between(from, to).count();
    let served = trial.log().sent_between(from, to).filter(|work| work.latency().is_some());
    ratio(served.count() as u64, sent as u64)
}
