//! Targets that leave, go silent or fail everything.

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

/// What a leaving target cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaveFigures {
    /// Time until the last start call reached it.
    pub last_start_after: Duration,
    /// Start calls that it refused.
    pub extra_starts: usize,
    /// Requests that were refused in these seconds.
    pub refused: usize,
    /// Broken invariants.
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
    let calls = calls_after(&trial, at);
    LeaveFigures {
        last_start_after: calls.last().map(|call| call.since(at)).unwrap_or_default(),
        extra_starts: calls.len(),
        refused: refused(&trial, at, end, None),
        violations: trial.violations().len(),
    }
}

/// What silent connections cost.
#[derive(Clone, Debug, Default)]
pub struct SilenceFigures {
    /// Time from the silence until each entry dropped its connection, where it used it.
    pub dropped_after: Vec<Duration>,
    /// Work that was started more than once.
    pub second_runs: usize,
    /// Longest wait, over the run time, of a request that was served.
    pub worst_wait: Duration,
    /// Requests whose outcome stayed unknown.
    pub unknown: usize,
    /// Broken invariants.
    pub violations: usize,
}

/// Measures connections of every entry to one target that go silent under load.
pub fn measure_silence(seed: u64) -> SilenceFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed));
    trial.drive(SECOND * 5, |_| even_load(LOAD, RUN_TIME));
    let at = trial.now();
    let entries = trial.world.entries.len();
    (0..entries).for_each(|entry| trial.world.links.silence(entry, TARGET));
    let mut silent = (0..entries).collect::<Vec<_>>();
    let mut figures = SilenceFigures::default();
    while trial.now() < at + SECOND * 10 {
        trial.drive(Duration::from_millis(20), |_| even_load(LOAD, RUN_TIME));
        let since = trial.now().since(at);
        let is_silent = |entry: &usize| trial.world.links.is_silent(*entry, TARGET);
        let before = silent.len();
        silent.retain(is_silent);
        let dropped = before - silent.len();
        figures.dropped_after.extend(std::iter::repeat_n(since, dropped));
    }
    let end = trial.now();
    trial.run_for(SECOND * 4);
    let works = || trial.log().sent_between(at.before(SECOND), end);
    figures.second_runs = works().filter(|work| work.starts.len() > 1).count();
    let waits = works().filter_map(|work| Some(work.latency()?.saturating_sub(work.run_time)));
    figures.worst_wait = waits.max().unwrap_or_default();
    figures.unknown = refused(&trial, at.before(SECOND), end, Some(ErrorKind::OutcomeUnknown));
    figures.violations = trial.violations().len();
    figures
}

/// What a target cost that fails everything.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureFigures {
    /// Time until the first entry set it apart.
    pub first_quarantine: Option<Duration>,
    /// Time until every entry had set it apart.
    pub last_quarantine: Option<Duration>,
    /// Requests that it failed in the first ten seconds.
    pub failed: usize,
    /// Requests sent in the first ten seconds.
    pub sent: usize,
    /// Requests that it failed in the following minute.
    pub failed_later: usize,
    /// Most targets of a pool that were set apart by one entry.
    pub most_apart: u64,
    /// Broken invariants.
    pub violations: usize,
}

/// Measures a target that fails everything under load.
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
        let apart = trial.counts().iter().filter(|counts| counts.quarantines > 0).count();
        if apart > 0 {
            figures.first_quarantine.get_or_insert(since);
        }
        if apart == trial.world.entries.len() {
            figures.last_quarantine.get_or_insert(since);
        }
    }
    trial.drive(SECOND * 60, |_| even_load(LOAD, RUN_TIME));
    let end = trial.now();
    trial.run_for(SECOND * 4);
    figures.failed = refused(&trial, at, later, Some(ErrorKind::WorkFailed));
    figures.sent = trial.log().sent_between(at, later).count();
    figures.failed_later = refused(&trial, later, end, Some(ErrorKind::WorkFailed));
    figures.most_apart = trial.counts().iter().map(|counts| counts.quarantines).max().unwrap_or(0);
    figures.violations = trial.violations().len();
    figures
}

fn calls_after(trial: &TrialWorld, at: Moment) -> Vec<Moment> {
    let calls = trial.log().start_calls.iter();
    let own = calls.filter(|(call, target)| *target == TARGET && *call > at);
    own.map(|(call, _)| *call).collect()
}

/// Counts the refusals of work sent between two moments, of one kind or of any.
fn refused(trial: &TrialWorld, from: Moment, to: Moment, kind: Option<ErrorKind>) -> usize {
    let refusals = trial.log().sent_between(from, to).filter_map(SentWork::refused_after);
    refusals.filter(|(_, refusal)| kind.is_none_or(|kind| kind == *refusal)).count()
}
