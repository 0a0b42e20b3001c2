//! A wave of cancellations.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_wire::rows::JobRow;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::CallerBody;
use magnoliapin_wire::CallerRequest;
use magnoliapin_wire::TableRead;
use rand::Rng;

use crate::caller_registry::CallKind;
use crate::trial::demand::team_key;
use crate::trial::log::WorkClass;
use crate::trial::site::TEAMS;
use crate::trial::TeamDemand;
use crate::trial::TrialPlan;
use crate::trial::TrialWorld;

const SECOND: Duration = Duration::from_secs(1);
const RUN_TIME: Duration = Duration::from_secs(60);
/// Span over which the cancellations are spread at random.
const WAVE_TIME: Duration = Duration::from_millis(200);

/// Effects of a wave of cancellations.
#[derive(Clone, Debug, Default)]
pub struct WaveFigures {
    /// Jobs accepted.
    pub accepted: u64,
    /// Jobs running when the wave started.
    pub running: u32,
    /// Finished jobs by final state.
    pub finished_jobs: IndexMap<String, u64>,
    /// Time until the last job finished.
    pub finished_after: Duration,
    /// Time until the last of the answers counted by `answered`.
    pub last_answer_after: Duration,
    /// Answers to cancellations and to the other calls that carry no work.
    pub answered: usize,
    /// Transactions until the last job finished.
    pub transactions: u64,
    /// Jobs that took effect.
    pub effects: usize,
    /// Number of broken invariants.
    pub violations: usize,
}

/// Measures the cancellation of `jobs` jobs within 200 ms.
pub fn measure(seed: u64, jobs: usize) -> WaveFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed));
    for index in 0..jobs {
        let demand = TeamDemand::new(index % TEAMS.len(), 0.0, RUN_TIME);
        let wait = Duration::from_millis(index as u64 * 5);
        trial.send(&demand.with_class(WorkClass::Job), wait);
    }
    trial.run_for(SECOND * 15);
    let accepted = trial.count(|counts| counts.jobs_accepted);
    let running = trial.running().iter().sum();
    let transactions = trial.count(|counts| counts.transactions);
    let at = trial.now();
    cancel_all(&mut trial);
    let mut figures = WaveFigures { accepted, running, ..WaveFigures::default() };
    while trial.now() < at + SECOND * 30 {
        trial.run_for(Duration::from_millis(20));
        let finished = finished_by_state(&mut trial).values().sum::<u64>();
        if finished < accepted {
            figures.finished_after = trial.now().since(at);
            figures.transactions = trial.count(|counts| counts.transactions) - transactions;
        }
    }
    let answers = &trial.log().other_answers;
    figures.answered = answers.len();
    figures.last_answer_after = answers.last().map(|(last, ..)| last.since(at)).unwrap_or_default();
    figures.effects = trial.log().sent_work.iter().filter(|work| work.effect_at.is_some()).count();
    figures.violations = trial.violations().len();
    figures.finished_jobs = finished_by_state(&mut trial);
    figures
}

fn cancel_all(trial: &mut TrialWorld) {
    let jobs = trial.world.callers.works.iter().enumerate();
    let jobs = jobs.filter_map(|(marker, work)| Some((marker, work.job?))).collect::<Vec<_>>();
    for (marker, job) in jobs {
        let key = Some(team_key(marker % TEAMS.len()));
        let request = CallerRequest { key, body: CallerBody::CancelJob(job) };
        let entry = trial.draw_entry(None);
        let wait = WAVE_TIME.mul_f64(trial.world.random.random_range(0.0..1.0));
        trial.call(entry, CallKind::Cancel, marker as u64, request, wait);
    }
}

fn finished_by_state(trial: &mut TrialWorld) -> IndexMap<String, u64> {
    let prefix = RowKey::DONE_PREFIX.to_owned();
    let read = TableRead::Prefix { prefix, after: String::new(), limit: u32::MAX };
    let mut finished = IndexMap::new();
    for row in trial.world.platform.table.read(&read) {
        let Ok(row) = JobRow::from_json(&row.value) else { continue };
        *finished.entry(format!("{:?}", row.state)).or_default() += 1;
    }
    finished
}
