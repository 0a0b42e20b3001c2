//! Evacuates instances within the availability limits of the jobs.

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
use crate::times::CONFIRMATION_VALIDITY;

/// Waiting time of a long-running task after which no more instances of its pool are evacuated:
/// several times what a stop and a start take.
const STUCK_TIME: Duration = Duration::from_millis(800);
/// Progress, in percent, at which a long-running task is available.
const AVAILABLE_PERCENT: u32 = 100;

/// State of the evacuation of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evacuation {
    /// Nothing runs there, so it can be moved or maintained now.
    Done,
    /// Its tasks are completing or moving elsewhere.
    InProgress,
    /// No task can move now, so it keeps accepting work.
    Postponed,
}

impl Leader {
    /// Evacuates an instance: keeps new work off it and moves its long-running tasks elsewhere.
    ///
    /// With `is_urgent`, other tasks are stopped as well; `is_started` states that the evacuation
    /// is in progress already.
    pub(super) fn evacuate(
        &mut self,
        name: &InstanceName,
        is_urgent: bool,
        is_started: bool,
        out: &mut Outbox,
    ) -> Evacuation {
        if self.is_vacant(name) {
            return Evacuation::Done;
        }
        let found = self.hosted_target(name).and_then(|key| Some((key, self.targets.get(&key)?)));
        let Some((key, target)) = found else { return Evacuation::Postponed };
        let long_running: Vec<(TaskName, bool)> = target
            .runs
            .iter()
            .filter(|(_, run)| run.is_long_running)
            .map(|(task, run)| (*task, run.stage == RunStage::Stopping))
            .collect();
        if self.has_stuck_task(&target.record.pool, out.now) {
            // Any target that is reserved may be the one that the stuck task needs.
            return Evacuation::Postponed;
        }
        if !is_urgent
            && !long_running.is_empty()
            && !self.is_instance_evacuated(name)
            && self.has_tasks_to_move_out(&target.record.pool)
        {
            // Both would use up the budgets of the jobs; the evacuation of the zone goes first.
            return Evacuation::Postponed;
        }
        // While a zone is evacuated, a target that cannot be emptied now is needed by the tasks that move
        // out of the zone.
        let stays_reserved =
            is_started && (!self.has_evacuated_zones() || self.is_instance_evacuated(name));
        let mut is_moving = long_running.is_empty() || stays_reserved;
        for (task, is_stopping) in &long_running {
            is_moving |= *is_stopping;
            if !is_stopping
                && self.may_interrupt(key, *task, out.now)
                && self.has_alternative_target(key, *task, out.now)
            {
                log::info!("event=task_evacuated task={task} instance={name}");
                self.stop_run(key, *task);
                is_moving = true;
            }
        }
        if !is_moving {
            return Evacuation::Postponed;
        }
        self.fleet.reserved.insert(key);
        if is_urgent && long_running.is_empty() {
            // Tasks are stopped before the instance is taken: the completion of one that ended
            // meanwhile would be lost, and the task would run again.
            let remaining: Vec<TaskName> = self.targets[&key].runs.keys().copied().collect();
            for task in remaining {
                self.stop_run(key, task);
            }
        }
        Evacuation::InProgress
    }

    /// Returns whether a long-running task of a pool that may start has waited longer than
    /// [`STUCK_TIME`].
    fn has_stuck_task(&self, pool: &PoolName, now: Moment) -> bool {
        let Some(pool) = self.pools.get(pool) else { return false };
        let long_running = pool
            .jobs
            .iter()
            .filter_map(|key| self.jobs.get(key))
            .filter(|job| job.final_state.is_none() && job.spec.is_long_running());
        for job in long_running {
            let headroom = self.team_headroom(job.team.as_ref());
            for occurrence in &job.occurrences {
                for (spec, step) in job.spec.steps.iter().zip(&occurrence.steps) {
                    let is_stuck = |task: &Task| {
                        let waiting_since = task.unavailable_since.unwrap_or(job.accepted_at);
                        task.state == TaskState::Waiting
                            && !task.is_given_up()
                            && now.since(waiting_since) > STUCK_TIME
                    };
                    let may_run = step.is_open && step.waiting > 0 && spec.demand.fits_in(headroom);
                    if may_run && step.tasks.iter().any(is_stuck) {
                        return true;
                    }
                }
            }
        }
        false
    }

    /// Moves long-running tasks off targets that are draining.
    pub(super) fn evacuate_draining(&mut self, out: &mut Outbox) {
        let mut draining = Vec::new();
        for (key, target) in &self.targets {
            if target.record.state == TargetState::Ready {
                continue;
            }
            let long_running = target.runs.iter().filter(|(_, run)| run.is_long_running);
            draining.extend(long_running.map(|(task, _)| (*key, *task)));
        }
        for (key, task) in draining {
            if self.has_alternative_target(key, task, out.now) {
                self.stop_run(key, task);
            }
        }
    }

    /// Returns whether a long-running task may be stopped without exceeding the number of tasks of
    /// its step that may be unavailable.
    pub(in crate::leader) fn may_interrupt(
        &self,
        key: TargetKey,
        task: TaskName,
        now: Moment,
    ) -> bool {
        // Tasks that the previous leader has ordered to stop may still look available.
        let times = &self.identity.times;
        let settled_at =
            self.acquired_at + CONFIRMATION_VALIDITY + times.stop_grace + times.order_timeout;
        let is_settled = self.generation == 1 || now >= settled_at;
        if !is_settled || !self.is_confirmed(now) {
            return false;
        }
        let job = self.job_keys.get(&task.job).and_then(|job| self.jobs.get(job));
        let Some(job) = job else { return true };
        let Some(spec) = job.step_spec(task) else { return true };
        let Some(limit) = spec.max_unavailable else {
            return true;
        };
        let is_here =
            job.task(task).is_some_and(|task_state| task_state.state == TaskState::Placed(key));
        is_here && self.count_unavailable(job, task, now) < limit.max(1)
    }

    /// Returns whether another target has room for a task, so that it is unavailable only for the
    /// time of its start.
    fn has_alternative_target(&self, key: TargetKey, task: TaskName, now: Moment) -> bool {
        let job = self.job_keys.get(&task.job).and_then(|job| self.jobs.get(job));
        let Some((job, spec)) = job.and_then(|job| Some((job, job.step_spec(task)?))) else {
            return true;
        };
        let candidates = self.candidate_targets(&job.pool, now);
        let fitting = candidates
            .iter()
            .filter(|candidate| {
                candidate.target != key && self.fits_candidate(spec, task, candidate, 0)
            })
            .count();
        // Stopping and waiting tasks need targets too.
        fitting > self.count_displaced(&job.pool)
    }

    /// Returns the number of long-running tasks of a pool that are to start on another target.
    fn count_displaced(&self, pool: &PoolName) -> usize {
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
            .filter(|job| job.final_state.is_none() && job.spec.is_long_running())
            .flat_map(|job| &job.occurrences)
            .flat_map(|occurrence| &occurrence.steps)
            .map(|step| step.waiting)
            .sum();
        stopping + waiting as usize
    }

    /// Returns the number of other tasks of a step that are unavailable.
    fn count_unavailable(&self, job: &Job, task: TaskName, now: Moment) -> u32 {
        let occurrence = job.occurrence(task.occurrence);
        let step = occurrence.and_then(|open| open.steps.get(usize::from(task.step)));
        let Some(step) = step else { return 0 };
        let times = &self.identity.times;
        let is_unavailable = |index: &usize| {
            let TaskState::Placed(target) = step.tasks[*index].state else { return true };
            let name = TaskName { index: *index as u32, ..task };
            let target = self.targets.get(&target);
            let target = target
                .filter(|target| target.failed_heartbeats == 0 && target.is_responsive(now, times));
            let run = target.and_then(|target| target.runs.get(&name));
            run.is_none_or(|run| run.stage != RunStage::Running || run.percent < AVAILABLE_PERCENT)
        };
        let siblings = (0..step.tasks.len()).filter(|index| *index != task.index as usize);
        siblings.filter(is_unavailable).count() as u32
    }
}
