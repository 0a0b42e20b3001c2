//! Frees instances of what runs there, within what the jobs allow.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::InstanceName;
use magnoliapin_site::PoolName;
use magnoliapin_site::TargetState;
use magnoliapin_site::TaskName;

use crate::leader::job::Job;
use crate::leader::job::Task;
use crate::leader::job::TaskState;
use crate::leader::target::RunStage;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::times::TRUST_TIME;

/// How long a task that lasts waits for a place before no more places are taken from its pool:
/// several times what a stop and a start take.
const STUCK_TIME: Duration = Duration::from_millis(800);
/// Progress at which a task that lasts is at work.
const AT_WORK: u32 = 100;

/// How far an instance is from being taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Preparation {
    /// It can be taken now.
    Done,
    /// What runs there ends or moves elsewhere.
    UnderWay,
    /// Nothing can move now, so it goes on as before.
    Postponed,
}

impl Leader {
    /// Keeps new work off an instance and moves the tasks that last elsewhere. `is_urgent` stops
    /// tasks that would end by themselves, too; `is_begun` tells that it was being prepared
    /// already.
    pub(super) fn prepare(
        &mut self,
        name: &InstanceName,
        is_urgent: bool,
        is_begun: bool,
        out: &mut Outbox,
    ) -> Preparation {
        if self.is_vacant(name) {
            return Preparation::Done;
        }
        let found = self.target_of(name).and_then(|key| Some((key, self.targets.get(&key)?)));
        let Some((key, target)) = found else { return Preparation::Postponed };
        let lasting: Vec<(TaskName, bool)> = target
            .runs
            .iter()
            .filter(|(_, run)| run.is_long_running)
            .map(|(task, run)| (*task, run.stage == RunStage::Stopping))
            .collect();
        if self.has_stuck(&target.record.pool, out.now) {
            // Every place that is kept from new work may be the one that is missing.
            return Preparation::Postponed;
        }
        let mut is_moving = lasting.is_empty() || is_begun;
        for (task, is_stopping) in &lasting {
            is_moving |= *is_stopping;
            if !is_stopping
                && self.may_interrupt(key, *task, out.now)
                && self.has_other_place(key, *task, out.now)
            {
                log::info!("event=task_evacuated task={task} instance={name}");
                self.stop_run(key, *task);
                is_moving = true;
            }
        }
        if !is_moving {
            return Preparation::Postponed;
        }
        self.fleet.reserved.insert(key);
        if is_urgent && lasting.is_empty() {
            // They are stopped first: one that ends while its target is taken would run again.
            let others: Vec<TaskName> = self.targets[&key].runs.keys().copied().collect();
            for task in others {
                self.stop_run(key, task);
            }
        }
        Preparation::UnderWay
    }

    /// Returns whether a task that lasts has found no place in a pool for some time.
    fn has_stuck(&self, pool: &PoolName, now: Moment) -> bool {
        let Some(pool) = self.pools.get(pool) else { return false };
        let lasting = pool
            .jobs
            .iter()
            .filter_map(|key| self.jobs.get(key))
            .filter(|job| job.ending.is_none() && job.spec.is_long_running());
        for job in lasting {
            let room = self.team_headroom(job.team.as_ref());
            for occurrence in &job.occurrences {
                for (spec, step) in job.spec.steps.iter().zip(&occurrence.steps) {
                    let is_stuck = |task: &Task| {
                        let since = task.unavailable_since.unwrap_or(job.accepted_at);
                        task.state == TaskState::Waiting && now.since(since) > STUCK_TIME
                    };
                    let may_run = step.is_open && step.waiting > 0 && spec.demand.fits(room);
                    if may_run && step.tasks.iter().any(is_stuck) {
                        return true;
                    }
                }
            }
        }
        false
    }

    /// Moves the tasks that last off targets that are leaving.
    pub(super) fn empty_draining(&mut self, out: &mut Outbox) {
        let mut leaving = Vec::new();
        for (key, target) in &self.targets {
            if target.record.state == TargetState::Ready {
                continue;
            }
            let lasting = target.runs.iter().filter(|(_, run)| run.is_long_running);
            leaving.extend(lasting.map(|(task, _)| (*key, *task)));
        }
        for (key, task) in leaving {
            if self.has_other_place(key, task, out.now) {
                self.stop_run(key, task);
            }
        }
    }

    /// Returns whether a task that lasts may be stopped: as many others of its step as may be
    /// away must be left to spare.
    fn may_interrupt(&self, key: TargetKey, task: TaskName, now: Moment) -> bool {
        // What the scheduler before has ordered to stop may still seem to be at work.
        let times = &self.identity.times;
        let settled_at = self.taken_at + TRUST_TIME + times.stop_grace + times.order_timeout;
        let is_settled = self.generation == 1 || now >= settled_at;
        if !is_settled || now.since(self.confirmed_at) >= TRUST_TIME {
            return false;
        }
        let job = self.job_keys.get(&task.job).and_then(|job| self.jobs.get(job));
        let Some(job) = job else { return true };
        let Some(spec) = job.step_spec(task) else { return true };
        let Some(most) = spec.max_unavailable else {
            return true;
        };
        let is_here = job.task(task).is_some_and(|known| known.state == TaskState::Placed(key));
        is_here && self.away(job, task, now) < most.max(1)
    }

    /// Returns whether another target has room for a task, so that it is not away for longer than
    /// it takes to start.
    fn has_other_place(&self, key: TargetKey, task: TaskName, now: Moment) -> bool {
        let job = self.job_keys.get(&task.job).and_then(|job| self.jobs.get(job));
        let Some((job, spec)) = job.and_then(|job| Some((job, job.step_spec(task)?))) else {
            return true;
        };
        let places = self.candidate_targets(&job.pool, now);
        let fitting = places
            .iter()
            .filter(|place| place.target != key && self.fits_candidate(spec, task, place, 0))
            .count();
        // Others that were stopped or wait take places too.
        fitting > self.displaced(&job.pool)
    }

    /// Counts the tasks that last in a pool and are to start elsewhere.
    fn displaced(&self, pool: &PoolName) -> usize {
        let Some(pool) = self.pools.get(pool) else { return 0 };
        let stopping = pool
            .targets
            .iter()
            .filter_map(|key| self.targets.get(key))
            .flat_map(|target| target.runs.values())
            .filter(|run| run.is_long_running && run.stage == RunStage::Stopping)
            .count();
        let waiting: u32 = pool
            .jobs
            .iter()
            .filter_map(|key| self.jobs.get(key))
            .filter(|job| job.ending.is_none() && job.spec.is_long_running())
            .flat_map(|job| &job.occurrences)
            .flat_map(|occurrence| &occurrence.steps)
            .map(|step| step.waiting)
            .sum();
        stopping + waiting as usize
    }

    /// Counts the other tasks of a step that are not at work.
    fn away(&self, job: &Job, task: TaskName, now: Moment) -> u32 {
        let occurrence = job.occurrence(task.occurrence);
        let step = occurrence.and_then(|open| open.steps.get(usize::from(task.step)));
        let Some(step) = step else { return 0 };
        let times = &self.identity.times;
        let is_away = |index: &usize| {
            let TaskState::Placed(target) = step.tasks[*index].state else { return true };
            let name = TaskName { index: *index as u32, ..task };
            let target = self.targets.get(&target);
            let target = target
                .filter(|target| target.failed_heartbeats == 0 && target.is_responsive(now, times));
            let run = target.and_then(|target| target.runs.get(&name));
            run.is_none_or(|run| run.stage != RunStage::Running || run.percent < AT_WORK)
        };
        let others = (0..step.tasks.len()).filter(|index| *index != task.index as usize);
        others.filter(is_away).count() as u32
    }
}
