//! Service of a zone that is cut off from its peers, from the platform, or from both.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::Moment;
use magnoliapin_model::SectionName;
use magnoliapin_model::TeamId;
use magnoliapin_wire::ConfigChange;

use crate::trial::figures::ratio;
use crate::trial::log::AnswerKind;
use crate::trial::log::SentWork;
use crate::trial::log::WorkClass;
use crate::trial::spread::send_config_change;
use crate::trial::TeamDemand;
use crate::trial::TrialPlan;
use crate::trial::TrialWorld;
use crate::world::zone;

const SECOND: Duration = Duration::from_secs(1);
const RUN_TIME: Duration = Duration::from_millis(500);
const CUT_ZONE: usize = 0;
const CUT_TIME: Duration = Duration::from_secs(60);
/// Time that entries get to rejoin after the cut is healed.
const REJOIN_TIME: Duration = Duration::from_secs(6);

/// What a zone is cut off from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneCut {
    /// The entries and targets of other zones.
    pub peers: bool,
    /// The platform.
    pub platform: bool,
}

/// Results of one class of work in one phase.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassFigures {
    /// Calls sent.
    pub sent: u64,
    /// Calls that were served or accepted.
    pub served: u64,
    /// Refusals by kind.
    pub refused: IndexMap<ErrorKind, u64>,
}

impl ClassFigures {
    /// Returns the fraction of the calls that was served.
    pub fn goodput(&self) -> f64 {
        ratio(self.served, self.sent)
    }
}

/// Effects of a cut.
#[derive(Clone, Debug, Default)]
pub struct CutFigures {
    /// Figures before, during and from six seconds after the cut, for each class.
    pub classes: Vec<(WorkClass, [ClassFigures; 3])>,
    /// Jobs accepted by the zone before the cut that had not taken effect, and how many of them
    /// took effect before it was healed.
    pub waiting_jobs: (u64, u64),
    /// Accepted jobs that did not take effect exactly once by the end of the trial; all jobs are
    /// sent to the cut zone.
    pub lost_or_doubled: u64,
    /// Requests of the zone that ran when the cut started, and how many of them were answered with
    /// their output.
    pub running: (u64, u64),
    /// Answer to a configuration change sent during the cut; `None` if it was not answered.
    pub change: Option<String>,
    /// Number of broken invariants.
    pub violations: usize,
}

/// Measures a cut of one zone under load.
pub fn measure(seed: u64, cut: ZoneCut) -> CutFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed));
    trial.drive(SECOND * 20, |_| load());
    let cut_at = trial.now();
    let waiting_jobs = waiting_jobs(&trial);
    let running = running_requests(&trial);
    let zone = zone(CUT_ZONE);
    if cut.peers {
        trial.world.links.cut_peers(zone);
    }
    if cut.platform {
        trial.world.links.cut_platform(zone);
    }
    trial.drive(SECOND * 20, |_| load());
    let requested_at = trial.now();
    change_limit(&mut trial);
    trial.drive(CUT_TIME - SECOND * 20, |_| load());
    let healed_at = trial.now();
    if cut.peers {
        trial.world.links.heal_peers(zone);
    }
    if cut.platform {
        trial.world.links.heal_platform(zone);
    }
    trial.drive(REJOIN_TIME, |_| load());
    let rejoined_at = trial.now();
    trial.drive(SECOND * 20, |_| load());
    let load_stopped_at = trial.now();
    trial.run_for(SECOND * 30);
    let phases = [(Moment::START, cut_at), (cut_at, healed_at), (rejoined_at, load_stopped_at)];
    let classes = [WorkClass::Keyed, WorkClass::Open, WorkClass::Job];
    let figures = |class| (class, phases.map(|(from, to)| class_figures(&trial, class, from, to)));
    let is_before_heal = |at: Option<Moment>| at.is_some_and(|at| at < healed_at);
    let items = &trial.log().sent_work;
    let ran =
        waiting_jobs.iter().filter(|marker| is_before_heal(items[**marker].effect_at)).count();
    let answered = running.iter().filter(|marker| items[**marker].latency().is_some()).count();
    CutFigures {
        classes: classes.map(figures).into(),
        waiting_jobs: (waiting_jobs.len() as u64, ran as u64),
        lost_or_doubled: lost_or_doubled_jobs(&trial),
        running: (running.len() as u64, answered as u64),
        change: change_answer(&trial, requested_at),
        violations: trial.violations().len(),
    }
}

/// Returns a load of all three classes in the cut zone and of keyed requests in the others.
fn load() -> Vec<TeamDemand> {
    let cut = |team: usize| TeamDemand::new(team, 30.0, RUN_TIME).with_zone(CUT_ZONE);
    vec![
        cut(0).with_queue(0),
        cut(5).with_class(WorkClass::Open),
        cut(2).with_class(WorkClass::Job).with_queue(1),
        TeamDemand::new(1, 40.0, RUN_TIME).with_zone(1),
        TeamDemand::new(0, 40.0, RUN_TIME).with_zone(2),
    ]
}

fn is_in_cut_zone(trial: &TrialWorld, work: &SentWork) -> bool {
    trial.world.entries[work.entry].zone == zone(CUT_ZONE)
}

fn class_figures(trial: &TrialWorld, class: WorkClass, from: Moment, to: Moment) -> ClassFigures {
    let mut figures = ClassFigures::default();
    let items = trial.log().sent_between(from, to);
    for work in items.filter(|work| work.class == class && is_in_cut_zone(trial, work)) {
        figures.sent += 1;
        match work.answer {
            Some((_, AnswerKind::Output | AnswerKind::Accepted)) => figures.served += 1,
            Some((_, AnswerKind::Refused(kind))) => {
                *figures.refused.entry(kind).or_default() += 1;
            }
            Some((_, AnswerKind::Other)) | None => {}
        }
    }
    figures
}

fn waiting_jobs(trial: &TrialWorld) -> Vec<usize> {
    let items = trial.log().sent_work.iter().enumerate();
    let jobs =
        items.filter(|(_, work)| work.class == WorkClass::Job && is_in_cut_zone(trial, work));
    let accepted = jobs.filter(|(_, work)| matches!(work.answer, Some((_, AnswerKind::Accepted))));
    accepted.filter(|(_, work)| work.effect_at.is_none()).map(|(marker, _)| marker).collect()
}

fn running_requests(trial: &TrialWorld) -> Vec<usize> {
    let items = trial.log().sent_work.iter().enumerate();
    let requests =
        items.filter(|(_, work)| work.class != WorkClass::Job && is_in_cut_zone(trial, work));
    let running = requests.filter(|(_, work)| !work.starts.is_empty() && work.answer.is_none());
    running.map(|(marker, _)| marker).collect()
}

fn lost_or_doubled_jobs(trial: &TrialWorld) -> u64 {
    let items = trial.world.callers.works.iter();
    let jobs = items.filter(|work| work.job.is_some());
    jobs.filter(|work| work.effects != 1).count() as u64
}

fn change_limit(trial: &mut TrialWorld) {
    let team: TeamId = "t3".parse().expect("a short name");
    let Some((_, document)) = trial.world.config_history.newest() else { return };
    let mut document = document.clone();
    let Some(section) = document.teams.get_mut(&team) else { return };
    section.limit.0 += 1;
    let name = SectionName::Team(team);
    let sections = IndexMap::from([(name, document.section_text(name))]);
    send_config_change(trial, CUT_ZONE, ConfigChange { base: None, sections, whole: false });
}

fn change_answer(trial: &TrialWorld, requested_at: Moment) -> Option<String> {
    let answers = trial.log().other_answers.iter();
    let change_answers =
        answers.filter(|(at, marker, _)| *marker == u64::MAX && *at >= requested_at);
    change_answers
        .map(|(at, _, kind)| {
            let span = at.since(requested_at).as_millis();
            match kind {
                AnswerKind::Refused(kind) => format!("{kind} after {span} ms"),
                AnswerKind::Output | AnswerKind::Accepted | AnswerKind::Other => {
                    format!("accepted after {span} ms")
                }
            }
        })
        .next()
}
