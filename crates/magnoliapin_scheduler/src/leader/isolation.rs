//! Places the tasks that must run apart from others, as targets have crashed under them.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::PoolName;
use magnoliapin_site::TaskName;

use crate::leader::crashes::ISOLATION_CRASHES;
use crate::leader::job::JobKey;
use crate::leader::job::Task;
use crate::leader::job::TaskState;
use crate::leader::placement::Candidate;
use crate::leader::target::Run;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;

#[cfg(test)]
#[path = "isolation_tests.rs"]
mod tests;

/// Time for which nothing is started beside a long-running task that runs apart from others.
const LONG_RUNNING_ISOLATION: Duration = Duration::from_secs(2);
/// Maximum number of tasks with this many crashes that share a target.
const ISOLATION_GROUP: usize = 4;
/// One in this many targets of a pool may run such tasks at the same time.
const ISOLATION_TARGET_DIVISOR: usize = 2;
/// One in this many targets of a pool gets no other work so that it becomes empty for such a task.
const RESERVED_TARGET_DIVISOR: usize = 8;

impl Leader {
    /// Starts tasks that must run apart from others, and keeps targets free for those that wait.
    pub(super) fn place_isolated(
        &mut self,
        pool: &PoolName,
        candidates: &mut Vec<Candidate>,
        out: &mut Outbox,
    ) {
        if self.crashed_tasks.is_empty() {
            return;
        }
        self.forget_finished_tasks();
        let count = candidates.len();
        let now = out.now;
        let isolating =
            candidates.iter().filter(|candidate| self.is_isolating(candidate.target, now));
        let mut limit =
            usize::max(count / ISOLATION_TARGET_DIVISOR, 1).saturating_sub(isolating.count());
        // Other tasks need the last targets more.
        let mut reserved = match count {
            0..=2 => 0,
            _ => usize::max(count / RESERVED_TARGET_DIVISOR, 1),
        };
        let mut waiting: Vec<(JobKey, TaskName)> = self
            .crashed_tasks
            .iter()
            .filter_map(|name| Some((*self.job_keys.get(&name.job)?, *name)))
            .filter(|(key, name)| self.waits_for_isolation(*key, *name, pool, out.now))
            .collect();
        // The cause of several crashes has been there each time.
        waiting.sort_by_key(|(_, name)| std::cmp::Reverse(self.crash_count(*name)));
        for (job, task) in waiting {
            // The tasks started before may have used up the cap of the team.
            if !self.waits_for_isolation(job, task, pool, now) {
                continue;
            }
            // A start to a target that is cut off or down would be lost, and a crash there says nothing of the task.
            if let Some(index) = self.group_candidate(job, task, candidates) {
                if !self.is_certainly_up(candidates[index].target, out) {
                    continue;
                }
                self.start_task(job, task, candidates[index].target, out);
                self.refresh_candidate(&mut candidates[index]);
                continue;
            }
            let Some(index) = self.emptiest_candidate(job, task, candidates, now) else { continue };
            // Tasks without a crash of their own are only kept apart from other starts.
            let is_suspect = self.crash_count(task) > 0;
            let has_room = self.is_empty(candidates[index].target)
                || (!is_suspect && self.fits(job, task, &candidates[index]));
            if has_room {
                if limit > 0 {
                    // One that must answer first is kept for it.
                    limit -= 1;
                    if self.is_certainly_up(candidates[index].target, out) {
                        self.start_task(job, task, candidates[index].target, out);
                        self.refresh_candidate(&mut candidates[index]);
                    }
                }
            } else if reserved > 0 {
                reserved -= 1;
                candidates.swap_remove(index);
            }
        }
    }

    /// Returns the number of crashes that count against a task.
    fn crash_count(&self, name: TaskName) -> usize {
        let job = self.job_keys.get(&name.job).and_then(|key| self.jobs.get(key));
        job.and_then(|job| job.task(name)).map_or(0, Task::unexplained_crashes)
    }

    /// Returns whether a target runs tasks that must run apart from others.
    pub(super) fn is_isolating(&self, key: TargetKey, now: Moment) -> bool {
        let has_lasted =
            |run: &Run| run.confirmed_at.is_some_and(|at| now.since(at) >= LONG_RUNNING_ISOLATION);
        let is_isolated = |run: &Run| run.is_isolated && !(run.is_long_running && has_lasted(run));
        self.targets.get(&key).is_some_and(|target| target.runs.values().any(is_isolated))
    }

    /// Returns whether a task may share a target with others under which targets have crashed. The
    /// crashes that another task accounts for count too, so that no task is in groups again and again.
    pub(super) fn may_join_group(&self, name: TaskName) -> bool {
        let job = self.job_keys.get(&name.job).and_then(|key| self.jobs.get(key));
        let task = job.and_then(|job| job.task(name));
        task.is_some_and(|task| task.crashes.len() <= ISOLATION_CRASHES && task.own_crashes() == 0)
    }

    /// Returns a candidate on which a task can join others with as few crashes. Those that have been asked for an answer
    /// are left out until they give it.
    fn group_candidate(
        &self,
        job: JobKey,
        task: TaskName,
        candidates: &[Candidate],
    ) -> Option<usize> {
        if !self.may_join_group(task) {
            return None;
        }
        let spec = self.jobs.get(&job)?.step_spec(task)?;
        let is_group = |candidate: &Candidate| {
            let target = &self.targets[&candidate.target];
            let runs = &target.runs;
            let others = runs.iter().filter(|(_, run)| !run.is_long_running);
            !target.must_answer_now
                && others.clone().count() < ISOLATION_GROUP
                && others.clone().any(|(_, run)| run.is_isolated)
                && others
                    .into_iter()
                    .all(|(name, run)| run.is_isolated && self.may_join_group(*name))
                && self.fits_candidate(spec, task, candidate, 0)
        };
        candidates.iter().position(is_group)
    }

    /// Returns whether a target runs no tasks that end by themselves.
    pub(super) fn is_empty(&self, key: TargetKey) -> bool {
        let target = self.targets.get(&key);
        target.is_some_and(|target| target.runs.values().all(|run| run.is_long_running))
    }

    /// Returns whether a task of a job in the pool must run alone and may start now.
    fn waits_for_isolation(
        &self,
        key: JobKey,
        name: TaskName,
        pool: &PoolName,
        now: Moment,
    ) -> bool {
        let Some(job) = self.jobs.get(&key).filter(|job| job.pool == *pool) else { return false };
        let Some((task, spec)) = job.task(name).zip(job.step_spec(name)) else { return false };
        task.needs_isolation()
            && !spec.gang
            && job.final_state.is_none()
            && !self.is_blocked(job)
            && job.is_open_waiting(name)
            && spec.demand.fits_in(self.team_headroom(job.team.as_ref()))
            && self.is_startable(job, name, task, now)
    }

    /// Removes the tasks that are done from those under which targets have crashed.
    fn forget_finished_tasks(&mut self) {
        self.crashed_tasks.retain(|name| {
            let job = self.job_keys.get(&name.job).and_then(|key| self.jobs.get(key));
            job.and_then(|job| job.task(*name)).is_some_and(|task| task.state != TaskState::Done)
        });
    }

    /// Returns whether a task fits on a candidate as it is.
    fn fits(&self, job: JobKey, task: TaskName, candidate: &Candidate) -> bool {
        let spec = self.jobs.get(&job).and_then(|job| job.step_spec(task));
        spec.is_some_and(|spec| self.fits_candidate(spec, task, candidate, 0))
    }

    /// Returns the candidate with the fewest runs that fits a task once it is empty, and that runs no
    /// isolated tasks. Targets with long-running tasks come last, as they will not be empty soon; those that have been
    /// asked for an answer are left out until they give it.
    fn emptiest_candidate(
        &self,
        job: JobKey,
        task: TaskName,
        candidates: &[Candidate],
        now: Moment,
    ) -> Option<usize> {
        let spec = self.jobs.get(&job)?.step_spec(task)?;
        let runs_of = |candidate: &Candidate| {
            let runs = &self.targets[&candidate.target].runs;
            (runs.values().filter(|run| run.is_long_running).count(), runs.len())
        };
        let rank = |candidate: &Candidate| (candidate.is_cold(), runs_of(candidate));
        let fitting = candidates.iter().enumerate().filter(|(_, candidate)| {
            let has_long_running = runs_of(candidate).0 > 0;
            let empty = if has_long_running { **candidate } else { candidate.emptied() };
            !self.targets[&candidate.target].must_answer_now
                && !self.is_isolating(candidate.target, now)
                && self.fits_candidate(spec, task, &empty, 0)
        });
        fitting.min_by_key(|(_, candidate)| rank(candidate)).map(|(index, _)| index)
    }
}
