//! Calls of the platform by jobs, and a long outage of it.

use std::time::Duration;

use magnoliapin_policy::PolicyOptions;
use magnoliapin_standin::PlatformMode;

use crate::trial::figures::ratio;
use crate::trial::log::PlatformSecond;
use crate::trial::log::WorkClass;
use crate::trial::placement::even_load;
use crate::trial::TeamDemand;
use crate::trial::TrialPlan;
use crate::trial::TrialWorld;

const SECOND: Duration = Duration::from_secs(1);

/// What jobs cost at the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct BudgetFigures {
    /// Jobs ended for each second.
    pub jobs_per_second: f64,
    /// Transactions for each second.
    pub transactions_per_second: f64,
    /// Rows written for each second.
    pub row_writes_per_second: f64,
    /// Read calls for each second.
    pub reads_per_second: f64,
    /// Transactions for each job.
    pub transactions_per_job: f64,
    /// Rows written for each job.
    pub row_writes_per_job: f64,
    /// Slots taken.
    pub slots_taken: f64,
    /// Broken invariants.
    pub violations: usize,
}

/// Measures jobs that keep the given part of the slots busy.
pub fn measure(
    seed: u64,
    load: f64,
    run_time: Duration,
    span: Duration,
    options: PolicyOptions,
) -> BudgetFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed).with_options(options));
    trial.drive(SECOND * 10, |_| jobs(load, run_time));
    let from = trial.now();
    let before = trial.count(|counts| counts.jobs_ended);
    let mut taken = 0;
    while trial.now() < from + span {
        trial.drive(SECOND, |_| jobs(load, run_time));
        taken += trial.running().iter().sum::<u32>();
    }
    let seconds = span.as_secs_f64();
    let ended = trial.count(|counts| counts.jobs_ended) - before;
    let calls = trial.log().platform_between(from, trial.now());
    BudgetFigures {
        jobs_per_second: ended as f64 / seconds,
        transactions_per_second: calls.transactions as f64 / seconds,
        row_writes_per_second: calls.row_writes as f64 / seconds,
        reads_per_second: calls.reads as f64 / seconds,
        transactions_per_job: ratio(calls.transactions, ended),
        row_writes_per_job: ratio(calls.row_writes, ended),
        slots_taken: f64::from(taken) / seconds,
        violations: trial.violations().len(),
    }
}

fn jobs(load: f64, run_time: Duration) -> Vec<TeamDemand> {
    let load = even_load(load, run_time);
    load.into_iter().map(|demand| demand.with_class(WorkClass::Job)).collect()
}

/// What an outage of the platform did.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageFigures {
    /// Jobs accepted before the outage and not ended at its begin.
    pub backlog: u64,
    /// Jobs accepted before it that never took effect, or more than once.
    pub lost_or_doubled: u64,
    /// Jobs that took effect in the outage.
    pub ran_in_outage: u64,
    /// Most calls of the platform in one second before the outage.
    pub calls_before: u64,
    /// Most calls of the platform in one of the first five seconds after it.
    pub calls_after: u64,
    /// Time after the outage until every job accepted before it had ended.
    pub through_after: Duration,
    /// Time after the outage until a job was accepted again.
    pub accepts_after: Duration,
    /// Broken invariants.
    pub violations: usize,
}

/// Measures an outage of the given length under a load of jobs.
pub fn measure_outage(seed: u64, outage: Duration) -> OutageFigures {
    let run_time = SECOND * 2;
    let mut trial = TrialWorld::new(TrialPlan::new(seed));
    trial.drive(SECOND * 10, |_| jobs(1.1, run_time));
    let from = trial.now();
    trial.world.platform.faults.set_mode(PlatformMode::Down);
    let accepted = trial.count(|counts| counts.jobs_accepted);
    let backlog = accepted - trial.count(|counts| counts.jobs_ended);
    trial.drive(outage, |_| jobs(0.3, run_time));
    let to = trial.now();
    trial.world.platform.faults.set_mode(PlatformMode::Ok);
    let mut through_after = SECOND * 60;
    let mut accepts_after = SECOND * 60;
    while trial.now() < to + SECOND * 60 {
        trial.drive(SECOND / 20, |_| jobs(0.3, run_time));
        let since = trial.now().since(to);
        if trial.count(|counts| counts.jobs_ended) >= accepted {
            through_after = through_after.min(since);
        }
        if trial.count(|counts| counts.jobs_accepted) > accepted {
            accepts_after = accepts_after.min(since);
        }
    }
    let log = trial.log();
    let most = |from: u64, seconds: u64| {
        let calls = (from..from + seconds).filter_map(|second| log.platform.get(&second));
        calls.map(PlatformSecond::calls).max().unwrap_or(0)
    };
    let old = trial.world.callers.works.iter().zip(&log.works);
    let old = old.filter(|(work, sent)| sent.sent_at < from && work.job.is_some());
    let old = old.collect::<Vec<_>>();
    let broken = old.iter().filter(|(work, _)| work.effects != 1).count();
    let ran = old.iter().filter(|(_, sent)| sent.effect_at.is_some_and(|at| at >= from && at < to));
    OutageFigures {
        backlog,
        lost_or_doubled: broken as u64,
        ran_in_outage: ran.count() as u64,
        calls_before: most(from.0 / 1_000_000 - 5, 5),
        calls_after: most(to.0 / 1_000_000, 5),
        through_after,
        accepts_after,
        violations: trial.violations().len(),
    }
}
