//! What goes on in a zone that is cut off from its peers, from the platform, or from both.

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
use crate::trial::spread::apply;
use crate::trial::TeamDemand;
use crate::trial::TrialPlan;
use crate::trial::TrialWorld;
use crate::world::zone;

const SECOND: Duration = Duration::from_secs(1);
const RUN_TIME: Duration = Duration::from_millis(500);
const CUT_ZONE: usize = 0;
const CUT_TIME: Duration = Duration::from_secs(60);
/// Time given to entries that are in touch again.
const REJOIN_TIME: Duration = Duration::from_secs(6);

/// What a zone is cut off from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneCut {
    /// From the entries and targets of other zones.
    pub peers: bool,
    /// From the platform.
    pub platform: bool,
}

/// How one class of work fared in one phase.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassFigures {
    /// Calls.
    pub sent: u64,
    /// Calls that were served or accepted.
    pub served: u64,
    /// Refusals by kind.
    pub refused: IndexMap<ErrorKind, u64>,
}

impl ClassFigures {
    /// Returns the part of the calls that was served.
    pub fn goodput(&self) -> f64 {
        ratio(self.served, self.sent)
    }
}

/// What a cut did.
#[derive(Clone, Debug, Default)]
pub struct CutFigures {
    /// Before, during and from six seconds after the cut, for each class.
    pub classes: Vec<(WorkClass, [ClassFigures; 3])>,
    /// Jobs accepted by the zone before the cut that had not taken effect, and those of them that
    /// took effect while it lasted.
    pub old_jobs: (u64, u64),
    /// Jobs accepted by the zone before or during the cut that have not taken effect once by the
    /// end.
    pub lost_or_doubled: u64,
    /// Requests that ran when the cut came, and those of them that were answered with their output.
    pub running: (u64, u64),
    /// How a change of the configuration was answered during the cut.
    pub change: Option<String>,
    /// Broken invariants.
    pub violations: usize,
}

/// Measures a cut of one zone under load.
pub fn measure(seed: u64, cut: ZoneCut) -> CutFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed));
    trial.drive(SECOND * 20, |_| load());
    let begin = trial.now();
    let old_jobs = waiting_jobs(&trial);
    let running = running_requests(&trial);
    let zone = zone(CUT_ZONE);
    if cut.peers {
        trial.world.links.cut_peers(zone);
    }
    if cut.platform {
        trial.world.links.cut_platform(zone);
    }
    trial.drive(SECOND * 20, |_| load());
    let asked_at = trial.now();
    change_limit(&mut trial);
    trial.drive(CUT_TIME - SECOND * 20, |_| load());
    let end = trial.now();
    if cut.peers {
        trial.world.links.heal_peers(zone);
    }
    if cut.platform {
        trial.world.links.heal_platform(zone);
    }
    trial.drive(REJOIN_TIME, |_| load());
    let after = trial.now();
    trial.drive(SECOND * 20, |_| load());
    let last = trial.now();
    trial.run_for(SECOND * 30);
    let phases = [(Moment::START, begin), (begin, end), (after, last)];
    let classes = [WorkClass::Keyed, WorkClass::Open, WorkClass::Job];
    let figures = |class| (class, phases.map(|(from, to)| class_figures(&trial, class, from, to)));
    let is_in_cut = |at: Option<Moment>| at.is_some_and(|at| at < end);
    let works = &trial.log().works;
    let ran = old_jobs.iter().filter(|marker| is_in_cut(works[**marker].effect_at)).count();
    let answered = running.iter().filter(|marker| works[**marker].latency().is_some()).count();
    CutFigures {
        classes: classes.map(figures).into(),
        old_jobs: (old_jobs.len() as u64, ran as u64),
        lost_or_doubled: broken_jobs(&trial),
        running: (running.len() as u64, answered as u64),
        change: change_answer(&trial, asked_at),
        violations: trial.violations().len(),
    }
}

/// Offers the three classes to the zone that is cut, and keyed requests to the others.
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

fn is_near(trial: &TrialWorld, work: &SentWork) -> bool {
    trial.world.entries[work.entry].zone == zone(CUT_ZONE)
}

fn class_figures(trial: &TrialWorld, class: WorkClass, from: Moment, to: Moment) -> ClassFigures {
    let mut figures = ClassFigures::default();
    let works = trial.log().sent_between(from, to);
    for work in works.filter(|work| work.class == class && is_near(trial, work)) {
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
    let works = trial.log().works.iter().enumerate();
    let jobs = works.filter(|(_, work)| work.class == WorkClass::Job && is_near(trial, work));
    let accepted = jobs.filter(|(_, work)| matches!(work.answer, Some((_, AnswerKind::Accepted))));
    accepted.filter(|(_, work)| work.effect_at.is_none()).map(|(marker, _)| marker).collect()
}

fn running_requests(trial: &TrialWorld) -> Vec<usize> {
    let works = trial.log().works.iter().enumerate();
    let requests = works.filter(|(_, work)| work.class != WorkClass::Job && is_near(trial, work));
    let running = requests.filter(|(_, work)| !work.starts.is_empty() && work.answer.is_none());
    running.map(|(marker, _)| marker).collect()
}

fn broken_jobs(trial: &TrialWorld) -> u64 {
    let works = trial.world.callers.works.iter();
    let jobs = works.filter(|work| work.job.is_some());
    jobs.filter(|work| work.effects != 1).count() as u64
}

fn change_limit(trial: &mut TrialWorld) {
    let team: TeamId = "t3".parse().expect("a short name");
    let Some((_, document)) = trial.world.watch.newest() else { return };
    let mut document = document.clone();
    let Some(section) = document.teams.get_mut(&team) else { return };
    section.limit.0 += 1;
    let name = SectionName::Team(team);
    let sections = IndexMap::from([(name, document.section_text(name))]);
    apply(trial, CUT_ZONE, ConfigChange { base: None, sections, whole: false });
}

fn change_answer(trial: &TrialWorld, asked_at: Moment) -> Option<String> {
    let answers = trial.log().other_answers.iter();
    let own = answers.filter(|(at, marker, _)| *marker == u64::MAX && *at >= asked_at);
    own.map(|(at, _, kind)| {
        let span = at.since(asked_at).as_millis();
        match kind {
            AnswerKind::Refused(kind) => format!("{kind} after {span} ms"),
            AnswerKind::Output | AnswerKind::Accepted | AnswerKind::Other => {
                format!("accepted after {span} ms")
            }
        }
    })
    .next()
}
