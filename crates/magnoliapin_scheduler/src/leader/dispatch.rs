//! Starts the waiting tasks of pools, in the order of `decisions/job_order.rs`.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::JobSpec;
use magnoliapin_site::PoolName;

use crate::decisions::amount::Amount;
use crate::decisions::job_order::Deadline;
use crate::decisions::job_order::JobOutlook;
use crate::decisions::job_order::JobRank;
use crate::decisions::job_order::RankClass;
use crate::leader::job::Job;
use crate::leader::job::JobKey;
use crate::leader::job::Occurrence;
use crate::leader::placement::Candidate;
use crate::leader::queue_statistics::QueueStatistics;
use crate::leader::target::Run;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::rows::JobRule;

#[cfg(test)]
#[path = "dispatch_tests.rs"]
mod tests;

impl Leader {
    /// Starts tasks in the pools that have been marked for dispatch. A pool whose capacities are not
    /// known stays marked.
    pub(super) fn dispatch(&mut self, out: &mut Outbox) {
        let marked = self.pools.iter().filter(|(_, pool)| pool.needs_dispatch);
        let pending: Vec<PoolName> = marked
            .filter(|(name, _)| !self.awaits_capacities(name, out.now))
            .map(|(name, _)| name.clone())
            .collect();
        for pool in pending {
            if let Some(state) = self.pools.get_mut(&pool) {
                state.needs_dispatch = false;
            }
            self.dispatch_pool(&pool, out);
        }
    }

    fn dispatch_pool(&mut self, pool: &PoolName, out: &mut Outbox) {
        let Some(state) = self.pools.get(pool) else { return };
        let now = out.now;
        let mut waiting: Vec<JobKey> = Vec::new();
        for key in &state.jobs {
            let Some(job) = self.jobs.get(key) else { continue };
            if !self.is_blocked(job) && job.has_waiting() {
                waiting.push(*key);
            }
        }
        if waiting.is_empty() {
            return;
        }
        let mut candidates = self.candidate_targets(pool, now);
        self.place_isolated(pool, &mut candidates, out);
        candidates.retain(|candidate| !self.is_isolating(candidate.target, now));
        if candidates.is_empty() {
            return;
        }
        let is_contended = self.is_contended(&waiting, &candidates);
        let mut ranked: Vec<(JobRank, JobKey)> = Vec::with_capacity(waiting.len());
        for key in waiting {
            let Some(job) = self.jobs.get(&key) else { continue };
            let mut outlook = self.outlook(job, now);
            outlook.is_over_share = is_contended && job.is_over_share;
            ranked.push((outlook.rank(), key));
        }
        ranked.sort_by(|(rank, _), (next_rank, _)| rank.compare(next_rank));
        for (_, key) in ranked {
            if candidates.is_empty() {
                break;
            }
            self.place_job(key, &mut candidates, out);
        }
    }

    /// Returns whether waiting jobs need more than the candidates have left.
    fn is_contended(&self, waiting: &[JobKey], candidates: &[Candidate]) -> bool {
        let mut free = Amount::default();
        for candidate in candidates {
            free.add(candidate.free, 1.0);
        }
        let mut needed = Amount::default();
        for job in waiting.iter().filter_map(|key| self.jobs.get(key)) {
            for occurrence in &job.occurrences {
                for (spec, step) in job.spec.steps.iter().zip(&occurrence.steps) {
                    if step.is_open {
                        needed.add(spec.demand, f64::from(step.waiting));
                    }
                }
            }
        }
        needed.cpu_milli > free.cpu_milli || needed.memory_mb > free.memory_mb
    }

    /// Returns whether the tasks of a job may still run somewhere without a record.
    pub(super) fn is_blocked(&self, job: &Job) -> bool {
        job.is_inherited && self.may_have_unrecorded_runs()
    }

    fn outlook(&self, job: &Job, now: Moment) -> JobOutlook {
        let priority = job.rule.priority;
        if job.spec.is_long_running() {
            return JobOutlook::long_running(priority, job.accepted_at);
        }
        let statistics = self.queue_statistics.get(&job.queue).copied().unwrap_or_default();
        let work = statistics.work_of(job.spec.steps.iter());
        let mut outlook = JobOutlook {
            priority,
            class: RankClass::Worthless,
            is_over_share: false,
            value: statistics.relative_value(work),
            remaining_work: 0.0,
            accepted_at: job.accepted_at,
        };
        for occurrence in &job.occurrences {
            let deadline = deadline_of(job, occurrence, &statistics);
            let work = remaining_work(job, occurrence, &statistics);
            outlook.add_occurrence(&deadline, work, now);
        }
        outlook
    }

    /// Returns whether a job can still finish in time, or is long-running.
    pub(super) fn can_be_in_time(&self, job: &Job, now: Moment) -> bool {
        self.outlook(job, now).class <= RankClass::InTime
    }

    /// Updates the run time estimate of a queue from a successful run.
    pub(super) fn record_run_time(&mut self, run: &Run, out: &Outbox) {
        let Some(started_at) = run.confirmed_at else { return };
        let Some(queue) = run.job.and_then(|key| self.jobs.get(&key)).map(|job| job.queue.clone())
        else {
            return;
        };
        let statistics = self.queue_statistics.entry(queue).or_default();
        statistics.record_run(run.estimate_ms, out.now.since(started_at));
    }
}

fn deadline_of(job: &Job, occurrence: &Occurrence, statistics: &QueueStatistics) -> Deadline {
    let ideal = critical_path(&job.spec, statistics, |_| true);
    let is_open = |step: usize| !occurrence.steps[step].is_done();
    Deadline {
        due_at: occurrence.due_at,
        allowed: allowed_time(ideal, &job.rule),
        remaining: critical_path(&job.spec, statistics, is_open),
    }
}

/// Returns the time within which a job with this ideal run time is on time.
fn allowed_time(ideal: Duration, rule: &JobRule) -> Duration {
    let stretched = Duration::try_from_secs_f64(ideal.as_secs_f64() * rule.stretch_factor);
    let target_latency = Duration::from_millis(rule.target_latency_ms);
    stretched.unwrap_or(Duration::MAX).saturating_add(target_latency)
}

/// Returns the length of the critical path through the steps of a job. Steps for which
/// `is_included` returns false take no time.
pub(super) fn critical_path(
    spec: &JobSpec,
    statistics: &QueueStatistics,
    is_included: impl Fn(usize) -> bool,
) -> Duration {
    let mut finish_times: Vec<Duration> = Vec::with_capacity(spec.steps.len());
    for (number, step) in spec.steps.iter().enumerate() {
        let start = step.after.iter().map(|after| finish_times[usize::from(*after)]).max();
        let length = if is_included(number) { statistics.run_time(step) } else { Duration::ZERO };
        finish_times.push(start.unwrap_or_default() + length);
    }
    finish_times.into_iter().max().unwrap_or_default()
}

/// Returns the remaining work of an occurrence, in core-seconds.
fn remaining_work(job: &Job, occurrence: &Occurrence, statistics: &QueueStatistics) -> f64 {
    let steps = job.spec.steps.iter().zip(&occurrence.steps);
    let remaining = |(spec, step): (&magnoliapin_site::StepSpec, &crate::leader::job::Step)| {
        let share = 1.0 - f64::from(step.done) / f64::from(spec.tasks.max(1));
        statistics.work_of(std::iter::once(spec)) * share
    };
    steps.map(remaining).sum()
}
