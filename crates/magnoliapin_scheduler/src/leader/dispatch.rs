//! Decides which tasks start next.
//!
//! Jobs that can still be in time go first, by what they are worth for the work that is left of
//! them; jobs that are late take what remains.

use std::cmp::Ordering;
use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::JobSpec;
use magnoliapin_site::PoolName;

use crate::leader::job::Job;
use crate::leader::job::JobKey;
use crate::leader::job::Occurrence;
use crate::leader::queue_facts::QueueFacts;
use crate::leader::target::Run;
use crate::leader::Leader;
use crate::outbox::Outbox;

/// Order in which jobs get their tasks started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct JobRank {
    /// Rank of the queue.
    priority: u32,
    class: RankClass,
    /// Worth for the work left.
    density: f64,
    accepted_at: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RankClass {
    /// Its tasks run until it is cancelled.
    LongRunning,
    /// It can still be in time.
    InTime,
    /// It is late.
    Late,
    /// It is so late that it is worth nothing more.
    Worthless,
}

/// Lateness up to which a job is worth something, as a multiple of its time.
const LATE_FACTOR: u32 = 3;

impl JobRank {
    fn compare(&self, other: &Self) -> Ordering {
        let density = other.density.total_cmp(&self.density);
        self.priority
            .cmp(&other.priority)
            .then(self.class.cmp(&other.class))
            .then(density)
            .then(self.accepted_at.cmp(&other.accepted_at))
    }
}

impl Leader {
    /// Starts what can start in the pools in which something has changed.
    pub(super) fn dispatch(&mut self, out: &mut Outbox) {
        let stirred: Vec<PoolName> = self
            .pools
            .iter_mut()
            .filter_map(|(name, pool)| std::mem::take(&mut pool.is_stirred).then(|| name.clone()))
            .collect();
        for pool in stirred {
            self.dispatch_pool(&pool, out);
        }
    }

    fn dispatch_pool(&mut self, pool: &PoolName, out: &mut Outbox) {
        let Some(state) = self.pools.get(pool) else { return };
        let now = out.now;
        let mut ranked: Vec<(JobRank, JobKey)> = Vec::new();
        for key in &state.jobs {
            let Some(job) = self.jobs.get(key) else { continue };
            let is_blocked = job.is_inherited && self.has_unrecorded();
            if !is_blocked && job.has_waiting() {
                ranked.push((self.rank(job, now), *key));
            }
        }
        if ranked.is_empty() {
            return;
        }
        ranked.sort_by(|(one, _), (other, _)| one.compare(other));
        let mut places = self.open_places(pool, now);
        for (_, key) in ranked {
            if places.is_empty() {
                break;
            }
            self.place_job(key, &mut places, out);
        }
    }

    fn rank(&self, job: &Job, now: Moment) -> JobRank {
        let facts = self.queue_facts.get(&job.queue).copied().unwrap_or_default();
        let mut rank = JobRank {
            priority: job.rule.priority,
            class: RankClass::LongRunning,
            density: 0.0,
            accepted_at: job.accepted_at,
        };
        if job.spec.is_long_running() {
            return rank;
        }
        let mut class = RankClass::Worthless;
        let mut left = 0.0;
        for occurrence in &job.occurrences {
            class = class.min(rank_occurrence(job, occurrence, &facts, now));
            left += work_left(job, occurrence, &facts);
        }
        let work = facts.work_of(job.spec.steps.iter());
        rank.class = class;
        rank.density = facts.worth(work) / left.max(0.001);
        rank
    }

    /// Learns from a run that did its work.
    pub(super) fn note_run_time(&mut self, run: &Run, out: &Outbox) {
        let Some(started_at) = run.confirmed_at else { return };
        let Some(queue) = run.job.and_then(|key| self.jobs.get(&key)).map(|job| job.queue.clone())
        else {
            return;
        };
        let facts = self.queue_facts.entry(queue).or_default();
        facts.note_run(run.estimate_ms, out.now.since(started_at));
    }
}

fn rank_occurrence(
    job: &Job,
    occurrence: &Occurrence,
    facts: &QueueFacts,
    now: Moment,
) -> RankClass {
    let ideal = chain(&job.spec, facts, |_| true);
    let allowed =
        ideal.mul_f64(job.rule.stretch_factor) + Duration::from_millis(job.rule.target_latency_ms);
    let left = chain(&job.spec, facts, |step| !occurrence.steps[step].is_done());
    let end = now + left;
    if end <= occurrence.due_at + allowed {
        RankClass::InTime
    } else if end <= occurrence.due_at + allowed * LATE_FACTOR {
        RankClass::Late
    } else {
        RankClass::Worthless
    }
}

/// Returns the length of the longest chain of the steps that count.
pub(super) fn chain(
    spec: &JobSpec,
    facts: &QueueFacts,
    counts: impl Fn(usize) -> bool,
) -> Duration {
    let mut ends: Vec<Duration> = Vec::with_capacity(spec.steps.len());
    for (number, step) in spec.steps.iter().enumerate() {
        let begin = step.after.iter().map(|after| ends[usize::from(*after)]).max();
        let length = if counts(number) { facts.run_time(step) } else { Duration::ZERO };
        ends.push(begin.unwrap_or_default() + length);
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the work that is left of an occurrence, in core-seconds.
fn work_left(job: &Job, occurrence: &Occurrence, facts: &QueueFacts) -> f64 {
    let steps = job.spec.steps.iter().zip(&occurrence.steps);
    let left = |(spec, step): (&magnoliapin_site::StepSpec, &crate::leader::job::Step)| {
        let share = 1.0 - f64::from(step.done) / f64::from(spec.tasks.max(1));
        facts.work_of(std::iter::once(spec)) * share
    };
    steps.map(left).sum()
}
