//! Replays loads on the slots of one pool, with the decisions of this folder.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::TeamName;
use magnoliapin_site::TeamWeight;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::job_order::Deadline;
use super::job_order::JobOutlook;
use super::job_order::JobRank;
use super::job_order::RankClass;
use super::team_shares::TeamShares;

pub(super) const TEAMS: usize = 20;
const SLOTS: u32 = 100;
/// Time between two dispatches, in milliseconds.
const TICK_MS: u64 = 20;
/// Time in which jobs arrive, in seconds: three peaks of 3.2 s at five times the mean.
const LOAD_S: f64 = 60.0;

/// What arrives.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    /// Mean work as a part of the slots, without the excess of the heavy team.
    pub(super) utilization: f64,
    /// Multiple of its weight that team 0 submits.
    pub(super) heavy_factor: f64,
    /// Most steps of a job.
    pub(super) max_steps: usize,
    /// Part of the steps that have 10 to 49 tasks; the others have 1 to 3.
    pub(super) wide_part: f64,
    pub(super) seed: u64,
}

/// How jobs of teams are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TeamRule {
    /// Not at all.
    Equal,
    /// By `TeamShares`.
    Shares,
    /// By a bucket of two seconds of the team's weight at the arrival of each job. It is the
    /// alternative that was considered.
    Bucket,
}

/// A job of a replay. Each task takes one core; times are in seconds.
#[derive(Clone, Debug)]
pub(super) struct ReplayJob {
    pub(super) team: usize,
    pub(super) arrived_at: f64,
    /// Tasks, run time and estimated run time of each step.
    steps: Vec<(u32, f64, f64)>,
    allowed: f64,
    pub(super) work: f64,
    step: usize,
    waiting: u32,
    running: u32,
    is_beyond_bucket: bool,
    is_over_share: bool,
    finished_at: f64,
}

impl ReplayJob {
    /// Returns the part of its value that it has by the time at which it finished.
    pub(super) fn outcome(&self) -> f64 {
        let latency = self.finished_at - self.arrived_at;
        if latency <= self.allowed {
            1.0
        } else if latency <= 3.0 * self.allowed {
            1.0 / 14.0
        } else {
            0.0
        }
    }

    /// Returns its estimated work without the first steps.
    fn estimated_work(&self, first_step: usize) -> f64 {
        let steps = self.steps.iter().enumerate().skip(first_step);
        let tasks =
            |step, tasks| if step == self.step { self.waiting + self.running } else { tasks };
        steps.map(|(step, (count, _, time))| f64::from(tasks(step, *count)) * time).sum()
    }

    /// Returns its rank; `mean_work` is the work of the average job.
    fn rank(&self, mean_work: f64, is_over_share: bool, now: Moment) -> JobRank {
        let whole: f64 = self.steps.iter().map(|(tasks, _, time)| f64::from(*tasks) * time).sum();
        let deadline = Deadline {
            due_at: moment(self.arrived_at),
            allowed: Duration::from_secs_f64(self.allowed),
            remaining: Duration::from_secs_f64(
                self.steps[self.step..].iter().map(|(_, _, time)| time).sum(),
            ),
        };
        let mut outlook = JobOutlook {
            priority: 0,
            class: RankClass::Worthless,
            is_over_share,
            value: (0.3 + 0.7 * whole / mean_work).min(4.0),
            remaining_work: 0.0,
            accepted_at: deadline.due_at,
        };
        outlook.add_occurrence(&deadline, self.estimated_work(self.step), now);
        outlook.rank()
    }
}

fn moment(seconds: f64) -> Moment {
    Moment::START + Duration::from_secs_f64(seconds)
}

fn team_name(team: usize) -> TeamName {
    TeamName::new(&format!("team-{team}"))
}

/// Draws a log-normal factor around 1.
fn factor(random: &mut Pcg64Mcg, deviation: f64) -> f64 {
    let (size, angle): (f64, f64) = (random.random_range(1e-9..1.0), random.random());
    (deviation * (-2.0 * size.ln()).sqrt() * (std::f64::consts::TAU * angle).cos()).exp()
}

/// Draws the jobs of a load, at a total rate in jobs a second.
fn jobs_at_rate(load: &Load, rate: f64) -> Vec<ReplayJob> {
    let mut random = Pcg64Mcg::seed_from_u64(load.seed);
    let mut jobs = Vec::new();
    for team in 0..TEAMS {
        let heavy = if team == 0 { load.heavy_factor } else { 1.0 };
        let peak_rate = 5.0 * rate / TEAMS as f64 * heavy;
        let mut arrived_at = 0.0;
        loop {
            arrived_at -= random.random_range(1e-9_f64..1.0).ln() / peak_rate;
            if arrived_at > LOAD_S {
                break;
            }
            let is_peak = (4.0..7.2).contains(&(arrived_at % 20.0));
            if !is_peak && random.random::<f64>() > 0.238 / 5.0 {
                continue;
            }
            let steps: Vec<(u32, f64, f64)> = (0..random.random_range(1..=load.max_steps))
                .map(|_| {
                    let is_wide = random.random::<f64>() < load.wide_part;
                    let tasks = random.random_range(if is_wide { 10..50 } else { 1..4 });
                    let run_time = factor(&mut random, 0.6);
                    (tasks, run_time, run_time * factor(&mut random, 0.4))
                })
                .collect();
            jobs.push(ReplayJob {
                team,
                arrived_at,
                allowed: 0.6 + 1.6 * steps.iter().map(|(_, time, _)| time).sum::<f64>(),
                work: steps.iter().map(|(tasks, time, _)| f64::from(*tasks) * time).sum(),
                step: 0,
                waiting: steps[0].0,
                running: 0,
                steps,
                is_beyond_bucket: false,
                is_over_share: false,
                finished_at: f64::INFINITY,
            });
        }
    }
    jobs.sort_by(|left, right| left.arrived_at.total_cmp(&right.arrived_at));
    jobs
}

fn mean_work(jobs: &[ReplayJob]) -> f64 {
    jobs.iter().map(|job| job.work).sum::<f64>() / jobs.len() as f64
}

/// Marks the jobs for which the buckets of their teams have no token.
fn mark_beyond_buckets(jobs: &mut [ReplayJob], weight: f64) {
    let depth = (2.0 * weight).max(1.0);
    let mut buckets = [(depth, 0.0); TEAMS];
    for job in jobs {
        let (tokens, filled_at) = &mut buckets[job.team];
        *tokens = (*tokens + (job.arrived_at - *filled_at) * weight).min(depth);
        *filled_at = job.arrived_at;
        job.is_beyond_bucket = *tokens < 1.0;
        *tokens -= if job.is_beyond_bucket { 0.0 } else { 1.0 };
    }
}

/// Replays a load, and returns the finished jobs.
pub(super) fn replay(load: &Load, rule: TeamRule) -> Vec<ReplayJob> {
    let mean = mean_work(&jobs_at_rate(&Load { heavy_factor: 1.0, ..*load }, 20.0));
    let rate = load.utilization * f64::from(SLOTS) / mean;
    let mut jobs = jobs_at_rate(load, rate);
    let weight = rate / TEAMS as f64;
    mark_beyond_buckets(&mut jobs, weight);
    let mut shares = TeamShares::default();
    let team_weight = TeamWeight::new(weight).expect("it is positive");
    shares.set_weights((0..TEAMS).map(|team| (team_name(team), team_weight)));
    let (mut open, mut arrived, mut free) = (Vec::new(), 0, SLOTS);
    let mut runs: Vec<(f64, usize)> = Vec::new();
    let mut tick = 0;
    while arrived < jobs.len() || !open.is_empty() {
        tick += 1;
        let now = Moment::from_millis(tick * TICK_MS);
        let now_s = (tick * TICK_MS) as f64 / 1000.0;
        while jobs.get(arrived).is_some_and(|job| job.arrived_at <= now_s) {
            let job = &jobs[arrived];
            let is_over = shares.add_arrival(Some(&team_name(job.team)), now);
            jobs[arrived].is_over_share = is_over;
            open.push(arrived);
            arrived += 1;
        }
        for (_, number) in runs.extract_if(.., |(end, _)| *end <= now_s) {
            free += 1;
            finish_task(&mut jobs[number], now_s);
        }
        open.retain(|number| jobs[*number].step < jobs[*number].steps.len());
        for number in ranked(&jobs, &open, free, rule, mean, now) {
            let job = &mut jobs[number];
            let started = free.min(job.waiting);
            if started == 0 {
                break;
            }
            job.waiting -= started;
            job.running += started;
            free -= started;
            let end = now_s + job.steps[job.step].1;
            runs.extend((0..started).map(|_| (end, number)));
        }
    }
    jobs
}

/// Ends a task of a job, and opens the next step after the last one.
fn finish_task(job: &mut ReplayJob, now: f64) {
    job.running -= 1;
    if job.running + job.waiting == 0 {
        job.step += 1;
        job.finished_at = now;
        job.waiting = job.steps.get(job.step).map_or(0, |(tasks, ..)| *tasks);
    }
}

/// Returns the jobs with waiting tasks in their order.
fn ranked(
    jobs: &[ReplayJob],
    open: &[usize],
    free: u32,
    rule: TeamRule,
    mean_work: f64,
    now: Moment,
) -> Vec<usize> {
    let waiting: Vec<usize> =
        open.iter().copied().filter(|number| jobs[*number].waiting > 0).collect();
    if free == 0 {
        return Vec::new();
    }
    let is_contended = waiting.iter().map(|number| jobs[*number].waiting).sum::<u32>() > free;
    let rank = |number: usize| {
        let job = &jobs[number];
        let is_over = match rule {
            TeamRule::Equal => false,
            TeamRule::Shares => job.is_over_share,
            TeamRule::Bucket => job.is_beyond_bucket,
        };
        (job.rank(mean_work, is_over && is_contended, now), number)
    };
    let mut ranks: Vec<(JobRank, usize)> = waiting.into_iter().map(rank).collect();
    ranks.sort_by(|(left, _), (right, _)| left.compare(right));
    ranks.into_iter().map(|(_, number)| number).collect()
}
