//! Spread of an accepted configuration, and keys that are withdrawn.

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

use crate::caller_book::CallKind;
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

/// What a change of the configuration took.
#[derive(Clone, Debug, Default)]
pub struct SpreadFigures {
    /// Time until the version was in force, for each connected entry.
    pub in_force_after: Vec<Duration>,
    /// Time from acceptance until the last request with the withdrawn key was taken, in connected
    /// zones.
    pub last_taken_after: Duration,
    /// The same in the zone that is cut off.
    pub last_taken_cut_off: Duration,
    /// Requests to the open queue that were served in the cut-off zone, and those sent.
    pub open_served: (u64, u64),
    /// Broken invariants.
    pub violations: usize,
}

/// Measures a key that is withdrawn just after a zone was cut off from peers and platform.
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
    withdraw_key(&mut trial);
    let mut figures = SpreadFigures::default();
    let mut in_force = IndexMap::new();
    let mut accepted_at = None;
    while trial.now() < from + SECOND * 12 {
        trial.drive(STEP, |_| all());
        accepted_at = accepted_at.or_else(|| accepted(&trial));
        let Some(at) = accepted_at else { continue };
        note_in_force(&trial, at, &mut in_force);
    }
    trial.run_for(SECOND * 3);
    let at = accepted_at.unwrap_or(from);
    figures.in_force_after = in_force.values().copied().collect();
    figures.last_taken_after = last_taken(&trial, at, false);
    figures.last_taken_cut_off = last_taken(&trial, at, true);
    figures.open_served = open_served(&trial, at + SECOND * 6);
    figures.violations = trial.violations().len();
    figures
}

fn withdraw_key(trial: &mut TrialWorld) {
    let team: TeamId = format!("t{TEAM}").parse().expect("a short name");
    let Some((_, document)) = trial.world.watch.newest() else { return };
    let mut document = document.clone();
    let Some(section) = document.teams.get_mut(&team) else { return };
    section.keys.clear();
    section.keys.insert("k1".parse().expect("a short name"), KeyHash::new("another"));
    let name = SectionName::Team(team);
    let sections = IndexMap::from([(name, document.section_text(name))]);
    let change = ConfigChange { base: None, sections, whole: false };
    apply(trial, 0, change);
}

/// Hands a change of the configuration to an entry.
pub(crate) fn apply(trial: &mut TrialWorld, zone: usize, change: ConfigChange) {
    let key = Some(KeyHash::new(OPERATOR_SECRET));
    let request = CallerRequest { key, body: CallerBody::ApplyConfig(change) };
    let entry = trial.draw_entry(Some(zone));
    trial.call(entry, CallKind::Apply, u64::MAX, request, Duration::ZERO);
}

fn accepted(trial: &TrialWorld) -> Option<Moment> {
    let (version, _) = trial.world.watch.newest()?;
    (version.0 > 1).then_some(trial.world.now)
}

fn note_in_force(trial: &TrialWorld, at: Moment, in_force: &mut IndexMap<usize, Duration>) {
    let Some((version, _)) = trial.world.watch.newest() else { return };
    for (index, entry) in trial.world.entries.iter().enumerate() {
        let Some(machine) = &entry.machine else { continue };
        if entry.zone != zone(CUT_ZONE) && machine.config_version() >= version {
            in_force.entry(index).or_insert(trial.now().since(at));
        }
    }
}

/// Returns how long after `at` the last keyed request was sent that was still taken.
fn last_taken(trial: &TrialWorld, at: Moment, cut_off: bool) -> Duration {
    let works = trial.log().works.iter().filter(|work| {
        let is_cut_off = trial.world.entries[work.entry].zone == zone(CUT_ZONE);
        work.class == crate::trial::log::WorkClass::Keyed && is_cut_off == cut_off
    });
    let taken = works.filter(|work| matches!(work.answer, Some((_, AnswerKind::Output))));
    taken.map(|work| work.sent_at.since(at)).max().unwrap_or_default()
}

fn open_served(trial: &TrialWorld, from: Moment) -> (u64, u64) {
    let works =
        trial.log().works.iter().filter(|work| {
            work.class == crate::trial::log::WorkClass::Open && work.sent_at >= from
        });
    let works = works.collect::<Vec<_>>();
    let served = works.iter().filter(|work| work.latency().is_some()).count();
    (served as u64, works.len() as u64)
}

/// Measures the part of keyed requests that is served while the platform is down.
///
/// Where the entries are out of touch, nobody can vouch for the configuration, so every keyed
/// request is refused once the freshness is over, as if the store alone counted.
pub fn served_in_outage(seed: u64, outage: Duration, in_touch: bool) -> f64 {
    let mut trial = TrialWorld::new(TrialPlan::new(seed));
    let load = || vec![TeamDemand::new(TEAM, 100.0, RUN_TIME).with_queue(0)];
    trial.drive(SECOND * 3, |_| load());
    trial.world.platform.faults.set_mode(PlatformMode::Down);
    if !in_touch {
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
