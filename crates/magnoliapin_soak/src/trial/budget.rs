//! Platform calls that jobs cause, and a long outage of the platform.

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

/// Platform load that jobs cause.
#[derive(Clone, Copy, Debug, Default)]
pub struct BudgetFigures {
    /// Jobs finished per second.
    pub jobs_per_second: f64,
    /// Transactions per second.
    pub transactions_per_second: f64,
    /// Rows written per second.
    pub row_writes_per_second: f64,
    /// Read calls per second.
    pub reads_per_second: f64,
    /// Transactions per job.
    pub transactions_per_job: f64,
    /// Rows written per job.
    pub row_writes_per_job: f64,
    /// Mean number of busy slots.
    pub busy_slots: f64,
    /// Number of broken invariants.
    pub violations: usize,
}

/// Measures a load of jobs that keeps the fraction `load` of the slots busy.
pub fn measure(
    seed: u64,
    load: f64,
    run_time: Duration,
    span: Duration,
    options: PolicyOptions,
) -> BudgetFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed).with_options(options));
    trial.drive(SECOND * 10, |_| job_load(load, run_time));
    let from = trial.now();
    let before = trial.count(|counts| counts.jobs_ended);
    let mut busy = 0;
    while trial.now() < from + span {
        trial.drive(SECOND, |_| job_load(load, run_time));
        busy += trial.running().iter().sum::<u32>();
    }
    let seconds = span.as_secs_f64();
    let finished = trial.count(|counts| counts.jobs_ended) - before;
    let calls = trial.log().platform_between(from, trial.now());
    BudgetFigures {
        jobs_per_second: finished as f64 / seconds,
        transactions_per_second: calls.transactions as f64 / seconds,
        row_writes_per_second: calls.row_writes as f64 / seconds,
        reads_per_second: calls.reads as f64 / seconds,
        transactions_per_job: ratio(calls.transactions, finished),
        row_writes_per_job: ratio(calls.row_writes, finished),
        busy_slots: f64::from(busy) / seconds,
        violations: trial.violations().len(),
    }
}

fn job_load(load: f64, run_time: Duration) -> Vec<TeamDemand> {
    let load = even_load(load, run_time);
    load.into_iter().map(|demand| demand.with_class(WorkClass::Job)).collect()
}

/// Effects of a platform outage.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageFigures {
    /// Jobs accepted before the outage and not finished when it started.
    pub backlog: u64,
    /// Accepted jobs sent before the outage that did not take effect exactly once.
    pub lost_or_doubled: u64,
    /// Accepted jobs sent before the outage that took effect during it.
    pub ran_in_outage: u64,
    /// Most platform calls in one of the last five seconds before the outage.
    pub peak_calls_before: u64,
    /// Most platform calls in one of the first five seconds after the outage.
    pub peak_calls_after: u64,
    /// Time after the outage until as many jobs had finished as were accepted before it.
    pub backlog_finished_after: Duration,
    /// Time after the outage until a job was accepted.
    pub accepting_after: Duration,
    /// Number of broken invariants.
    pub violations: usize,
}

/// Measures an outage of the given length under a load of jobs.
pub fn measure_outage(seed: u64, outage: Duration) -> OutageFigures {
    let run_time = SECOND * 2;
    let mut trial = TrialWorld::new(TrialPlan::new(seed));
    trial.drive(SECOND * 10, |_| job_load(1.1, run_time));
    let outage_start = trial.now();
    trial.world.platform.faults.set_mode(PlatformMode::Down);
    let accepted = trial.count(|counts| counts.jobs_accepted);
    let backlog = accepted - trial.count(|counts| counts.jobs_ended);
    trial.drive(outage, |_| job_load(0.3, run_time));
    let outage_end = trial.now();
    trial.world.platform.faults.set_mode(PlatformMode::Ok);
    let mut backlog_finished_after = SECOND * 60;
    let mut accepting_after = SECOND * 60;
    while trial.now() < outage_end + SECOND * 60 {
        trial.drive(SECOND / 20, |_| job_load(0.3, run_time));
        let since = trial.now().since(outage_end);
        if trial.count(|counts| counts.jobs_ended) >= accepted {
            backlog_finished_after = backlog_finished_after.min(since);
        }
        if trial.count(|counts| counts.jobs_accepted) > accepted {
            accepting_after = accepting_after.min(since);
        }
    }
    let log = trial.log();
    let peak_calls = |first: u64, seconds: u64| {
        let calls = (first..first + seconds).filter_map(|second| log.platform.get(&second));
        calls.map(PlatformSecond::calls).max().unwrap_or(0)
    };
    let earlier_jobs = trial.world.callers.works.iter().zip(&log.sent_work);
    let earlier_jobs =
        earlier_jobs.filter(|(work, sent)| sent.sent_at < outage_start && work.job.is_some());
    let earlier_jobs = earlier_jobs.collect::<Vec<_>>();
    let lost_or_doubled = earlier_jobs.iter().filter(|(work, _)| work.effects != 1).count();
    let ran = earlier_jobs
        .iter()
        .filter(|(_, sent)| sent.effect_at.is_some_and(|at| at >= outage_start && at < outage_end));
    OutageFigures {
        backlog,
        lost_or_doubled: lost_or_doubled as u64,
        ran_in_outage: ran.count() as u64,
        peak_calls_before: peak_calls(outage_start.0 / 1_000_000 - 5, 5),
        peak_calls_after: peak_calls(outage_end.0 / 1_000_000, 5),
        backlog_finished_after,
        accepting_after,
        violations: trial.violations().len(),
    }
}
