//! Targets that leave, whose connections stall, or that fail every task.

use std::time::Duration;

use magnoliapin_model::ErrorKind;
use magnoliapin_model::Moment;
use magnoliapin_standin::TargetMode;

use crate::trial::log::SentWork;
use crate::trial::placement::even_load;
use crate::trial::TrialPlan;
use crate::trial::TrialWorld;

const SECOND: Duration = Duration::from_secs(1);
const RUN_TIME: Duration = Duration::from_millis(200);
const LOAD: f64 = 0.7;
const TARGET: usize = 5;

/// Effects of a target that leaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaveFigures {
    /// Time until the last start call reached the target.
    pub last_start_after: Duration,
    /// Start calls that reached the target after it started to leave.
    pub late_starts: usize,
    /// Refused requests of those sent in the ten seconds after it started to leave.
    pub refused: usize,
    /// Number of broken invariants.
    pub violations: usize,
}

/// Measures a target that leaves under load.
pub fn measure_leave(seed: u64) -> LeaveFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed));
    trial.drive(SECOND * 5, |_| even_load(LOAD, RUN_TIME));
    let at = trial.now();
    let target = &mut trial.world.targets[TARGET];
    target.is_leaving = true;
    target.state.set_mode(TargetMode::Leaving);
    trial.drive(SECOND * 10, |_| even_load(LOAD, RUN_TIME));
    let end = trial.now();
    trial.run_for(SECOND * 4);
    let calls = start_calls_after(&trial, at);
    LeaveFigures {
        last_start_after: calls.last().map(|call| call.since(at)).unwrap_or_default(),
        late_starts: calls.len(),
        refused: count_refusals(&trial, at, end, None),
        violations: trial.violations().len(),
    }
}

/// Effects of stalled connections.
#[derive(Clone, Debug, Default)]
pub struct StallFigures {
    /// Time until each entry replaced its stalled connection; entries that did not are left out.
    pub dropped_after: Vec<Duration>,
    /// Pieces of work that were started more than once.
    pub second_runs: usize,
    /// Longest wait (latency minus run time) of a served request.
    pub worst_wait: Duration,
    /// Requests answered with an unknown outcome.
    pub unknown: usize,
    /// Number of broken invariants.
    pub violations: usize,
}

/// Measures a target to which the connections of all entries stall under load.
pub fn measure_silence(seed: u64) -> StallFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed));
    trial.drive(SECOND * 5, |_| even_load(LOAD, RUN_TIME));
    let at = trial.now();
    let entries = trial.world.entries.len();
    (0..entries).for_each(|entry| trial.world.links.make_unresponsive(entry, TARGET));
    let mut stalled = (0..entries).collect::<Vec<_>>();
    let mut figures = StallFigures::default();
    while trial.now() < at + SECOND * 10 {
        trial.drive(Duration::from_millis(20), |_| even_load(LOAD, RUN_TIME));
        let since = trial.now().since(at);
        let is_stalled = |entry: &usize| trial.world.links.is_unresponsive(*entry, TARGET);
        let before = stalled.len();
        stalled.retain(is_stalled);
        let dropped = before - stalled.len();
        figures.dropped_after.extend(std::iter::repeat_n(since, dropped));
    }
    let end = trial.now();
    trial.run_for(SECOND * 4);
    let works = || trial.log().sent_between(at.before(SECOND), end);
    figures.second_runs = works().filter(|work| work.starts.len() > 1).count();
    let waits = works().filter_map(|work| Some(work.latency()?.saturating_sub(work.run_time)));
    figures.worst_wait = waits.max().unwrap_or_default();
    figures.unknown =
        count_refusals(&trial, at.before(SECOND), end, Some(ErrorKind::OutcomeUnknown));
    figures.violations = trial.violations().len();
    figures
}

/// Effects of a target that fails every task.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureFigures {
    /// Time until the first entry quarantined the target.
    pub first_quarantine: Option<Duration>,
    /// Time until every entry had quarantined the target.
    pub last_quarantine: Option<Duration>,
    /// Failed requests of those sent in the first ten seconds.
    pub failed: usize,
    /// Requests sent in the first ten seconds.
    pub sent: usize,
    /// Failed requests of those sent in the following minute.
    pub failed_later: usize,
    /// Most quarantines imposed by one entry.
    pub most_quarantines: u64,
    /// Number of broken invariants.
    pub violations: usize,
}

/// Measures a target that fails every task under load.
pub fn measure_failure(seed: u64) -> FailureFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed));
    trial.drive(SECOND * 5, |_| even_load(LOAD, RUN_TIME));
    let at = trial.now();
    trial.world.targets[TARGET].state.set_mode(TargetMode::FailAll);
    let mut figures = FailureFigures::default();
    let later = at + SECOND * 10;
    while trial.now() < later {
        trial.drive(Duration::from_millis(20), |_| even_load(LOAD, RUN_TIME));
        let since = trial.now().since(at);
        let quarantining = trial.counts().iter().filter(|counts| counts.quarantines > 0).count();
        if quarantining > 0 {
            figures.first_quarantine.get_or_insert(since);
        }
        if quarantining == trial.world.entries.len() {
            figures.last_quarantine.get_or_insert(since);
        }
    }
    trial.drive(SECOND * 60, |_| even_load(LOAD, RUN_TIME));
    let end = trial.now();
    trial.run_for(SECOND * 4);
    figures.failed = count_refusals(&trial, at, later, Some(ErrorKind::WorkFailed));
    figures.sent = trial.log().sent_between(at, later).count();
    figures.failed_later = count_refusals(&trial, later, end, Some(ErrorKind::WorkFailed));
    figures.most_quarantines =
        trial.counts().iter().map(|counts| counts.quarantines).max().unwrap_or(0);
    figures.violations = trial.violations().len();
    figures
}

fn start_calls_after(trial: &TrialWorld, at: Moment) -> Vec<Moment> {
    let calls = trial.log().start_calls.iter();
    let target_calls = calls.filter(|(call, target)| *target == TARGET && *call > at);
    target_calls.map(|(call, _)| *call).collect()
}

/// Counts the refusals of work sent between two moments, of one kind or, for `None`, of all kinds.
fn count_refusals(trial: &TrialWorld, from: Moment, to: Moment, kind: Option<ErrorKind>) -> usize {
    let refusals = trial.log().sent_between(from, to).filter_map(SentWork::refused_after);
    refusals.filter(|(_, refusal)| kind.is_none_or(|kind| kind == *refusal)).count()
}
