//! Handles completed and lost runs, and finishes jobs.

use indexmap::IndexSet;
use magnoliapin_model::Moment;
use magnoliapin_site::JobId;
use magnoliapin_site::JobState;
use magnoliapin_site::RunCompletion;
use magnoliapin_site::RunId;
use magnoliapin_site::RunOutcome;
use magnoliapin_site::TargetName;
use magnoliapin_site::TaskName;

use crate::leader::job::JobKey;
use crate::leader::job::TaskState;
use crate::leader::target::Run;
use crate::leader::target::RunStage;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;

impl Leader {
    /// Handles a completion that a target reports. Returns the change of the job that must be
    /// stored before the completion is acknowledged; `None` if there is none.
    pub(super) fn handle_completion(
        &mut self,
        key: TargetKey,
        completion: &RunCompletion,
        out: &mut Outbox,
    ) -> Option<(JobId, u64)> {
        let task = completion.run.task;
        let target = self.targets.get_mut(&key)?;
        let is_known =
            target.runs.get(&task).is_some_and(|run| run.attempt == completion.run.attempt);
        let run = if is_known { target.remove_run(task) } else { None };
        if let Some(run) = &run {
            self.release_team(run);
            self.record_health(key, run, completion, out);
        }
        log::info!(
            "event=run_ended task={task} attempt={} target={} how={:?} ms={}",
            completion.run.attempt,
            self.target_name(key),
            completion.outcome,
            run.as_ref().map_or(0, |run| out.now.since(run.placed_at).as_millis())
        );
        let job_key = *self.job_keys.get(&task.job)?;
        let job = self.jobs.get_mut(&job_key)?;
        let is_long_running = job.step_spec(task).is_some_and(|step| step.long_running);
        let is_done = job.task(task).is_none_or(|task| task.state == TaskState::Done);
        if job.final_state.is_none() && !is_done {
            if let Some(checkpoint) = &completion.checkpoint {
                self.set_checkpoint(task, checkpoint);
            }
            if run.is_some_and(|run| run.confirmed_at.is_some()) {
                self.record_survival(task);
            }
            match completion.outcome {
                RunOutcome::Done if !is_long_running => self.complete_task(job_key, task, out),
                RunOutcome::Failed if !is_long_running => {
                    self.handle_failure(job_key, key, completion.run, out);
                    self.requeue_if_current(job_key, key, completion, out);
                }
                _ => self.requeue_if_current(job_key, key, completion, out),
            }
        }
        // The completion may be without effect because of an earlier change that is not stored yet,
        // such as the completion of another member of its gang.
        let job = self.jobs.get(&job_key)?;
        Some((task.job, job.changes))
    }

    /// Marks a task as done, and all tasks of its step if it is a gang.
    fn complete_task(&mut self, job_key: JobKey, task: TaskName, out: &mut Outbox) {
        let Some(job) = self.jobs.get_mut(&job_key) else { return };
        let is_gang = job.step_spec(task).is_some_and(|step| step.gang);
        let mut placements = Vec::new();
        if let Some(step) = job.step_mut(task) {
            // One completed member of a gang completes all of it.
            let all = 0..step.tasks.len() as u32;
            let indexes = if is_gang { all } else { task.index..task.index + 1 };
            for index in indexes {
                if let TaskState::Placed(placed_on) = step.tasks[index as usize].state {
                    placements.push((placed_on, TaskName { index, ..task }));
                }
                step.set_state(index, TaskState::Done);
            }
        }
        for (placed_on, task) in placements {
            // Another run than the completed one may be placed on the same target.
            if !is_gang {
                self.stop_run(placed_on, task);
            }
        }
        self.mark_job_changed(job_key);
        self.finish_occurrence(job_key, task.occurrence, out);
    }

    fn finish_occurrence(&mut self, job_key: JobKey, number: u32, out: &mut Outbox) {
        let Some(job) = self.jobs.get_mut(&job_key) else { return };
        let Some(occurrence_index) =
            job.occurrences.iter().position(|occurrence| occurrence.number == number)
        else {
            return;
        };
        let pool = job.pool.clone();
        if job.occurrences[occurrence_index].is_done() {
            job.occurrences.swap_remove(occurrence_index);
            job.done_occurrences += 1;
            if job.is_done() {
                self.finish_job(job_key, JobState::Completed, out);
            }
        } else {
            let spec = std::mem::take(&mut job.spec);
            job.occurrences[occurrence_index].open_steps(&spec);
            job.spec = spec;
        }
        self.mark_for_dispatch(&pool);
    }

    /// Counts a failure of a task, and fails the job when the task has used up its attempts.
    fn handle_failure(&mut self, job_key: JobKey, key: TargetKey, failed: RunId, out: &mut Outbox) {
        let mut is_exhausted = false;
        if let Some(job) = self.jobs.get_mut(&job_key) {
            let max_attempts = job.rule.max_attempts;
            let task = job.task_mut(failed.task);
            if let Some(task) = task.filter(|task| !task.failed.contains(&failed.attempt)) {
                task.failed.push(failed.attempt);
                task.avoided_target = Some(key);
                is_exhausted = task.failed.len() >= max_attempts as usize;
            }
            // The members of a gang share their attempts: one failure ends the runs of the others.
            let is_gang = job.step_spec(failed.task).is_some_and(|step| step.gang);
            if let Some(step) = job.step_mut(failed.task).filter(|_| is_gang) {
                let attempts: IndexSet<u32> =
                    step.tasks.iter().flat_map(|task| &task.failed).copied().collect();
                is_exhausted = attempts.len() >= max_attempts as usize;
            }
        }
        self.mark_job_changed(job_key);
        if is_exhausted {
            self.finish_job(job_key, JobState::Failed, out);
        }
    }

    /// Requeues a task whose run completed without doing its work, if that run is still its current
    /// one.
    fn requeue_if_current(
        &mut self,
        job_key: JobKey,
        key: TargetKey,
        completion: &RunCompletion,
        out: &mut Outbox,
    ) {
        let Some(job) = self.jobs.get_mut(&job_key) else { return };
        let task = completion.run.task;
        let is_current = job.task(task).is_some_and(|task_state| {
            task_state.state == TaskState::Placed(key)
                && task_state.attempt == completion.run.attempt
        });
        if is_current {
            self.requeue_task(job_key, task, out);
        }
    }

    fn requeue_task(&mut self, job_key: JobKey, task: TaskName, out: &mut Outbox) {
        let Some(job) = self.jobs.get_mut(&job_key) else { return };
        let is_gang = job.step_spec(task).is_some_and(|step| step.gang);
        if let Some(step) = job.step_mut(task) {
            step.set_state(task.index, TaskState::Waiting);
        }
        if let Some(task_state) = job.task_mut(task) {
            task_state.unavailable_since = Some(out.now);
        }
        let pool = job.pool.clone();
        if is_gang {
            self.stop_gang(job_key, task);
        }
        self.mark_for_dispatch(&pool);
    }

    /// Stops the other members of a gang after the run of one has failed, stopped or been lost.
    fn stop_gang(&mut self, job_key: JobKey, task: TaskName) {
        let Some(job) = self.jobs.get_mut(&job_key) else { return };
        let Some(step) = job.step_mut(task) else { return };
        let placed = step.tasks.iter().enumerate().filter_map(|(index, member)| {
            let TaskState::Placed(target) = member.state else { return None };
            Some((target, TaskName { index: index as u32, ..task }))
        });
        let placed: Vec<_> = placed.collect();
        for (target, member) in placed {
            self.stop_run(target, member);
        }
    }

    /// Marks a run as stopping; the stop is sent at the end of the current batch of events.
    pub(super) fn stop_run(&mut self, key: TargetKey, task: TaskName) {
        let run = self.targets.get_mut(&key).and_then(|target| target.runs.get_mut(&task));
        if let Some(run) = run.filter(|run| run.stage != RunStage::Stopping) {
            run.stage = RunStage::Stopping;
            run.unconfirmed_starts = 0;
            self.due_orders.push((key, task));
        }
    }

    /// Removes a run that can no longer be on a target, so that its task can start elsewhere.
    pub(super) fn drop_run(&mut self, key: TargetKey, task: TaskName, out: &mut Outbox) {
        let run = self.targets.get_mut(&key).and_then(|target| target.remove_run(task));
        if let Some(run) = run {
            self.release_team(&run);
            self.requeue_lost_run(key, task, run.attempt, out.now, out);
        }
    }

    /// Removes a run that can no longer be on a target. Its task waits until a moment, as a start of it may
    /// begin it on a later incarnation.
    pub(super) fn drop_run_until(
        &mut self,
        key: TargetKey,
        task: TaskName,
        until: Moment,
        out: &mut Outbox,
    ) {
        let target = self.target_name(key);
        let run = self.targets.get_mut(&key).and_then(|target| target.remove_run(task));
        if let Some(run) = run {
            self.release_team(&run);
            self.late_starts.add_awaited(task, target, until, out.now);
            self.requeue_lost_run(key, task, run.attempt, until.max(out.now), out);
        }
    }

    /// Requeues a task whose run is lost from a moment on.
    pub(super) fn requeue_lost_run(
        &mut self,
        key: TargetKey,
        task: TaskName,
        attempt: u32,
        lost_at: Moment,
        out: &mut Outbox,
    ) {
        let Some(job_key) = self.job_keys.get(&task.job).copied() else { return };
        let Some(job) = self.jobs.get(&job_key) else { return };
        let is_current = job.final_state.is_none()
            && job.task(task).is_some_and(|task_state| {
                task_state.state == TaskState::Placed(key) && task_state.attempt == attempt
            });
        if is_current {
            let failures = job.task(task).map_or(0, |task_state| task_state.failed.len());
            log::info!(
                "event=run_lost task={task} attempt={attempt} failures={failures} wait_ms={}",
                lost_at.since(out.now).as_millis()
            );
            self.requeue_task(job_key, task, out);
            self.unconfirmed_losses.insert(task);
            let task_state = self.jobs.get_mut(&job_key).and_then(|job| job.task_mut(task));
            if let Some(task_state) = task_state {
                task_state.lost_at = Some(lost_at);
            }
        }
    }

    /// Finishes a job: stops its runs and stores its final state.
    pub(super) fn finish_job(&mut self, job_key: JobKey, state: JobState, out: &mut Outbox) {
        let Some(job) = self.jobs.get_mut(&job_key) else { return };
        log::info!(
            "event=job_ending job={} state={state} age_ms={}",
            job.id,
            out.now.since(job.accepted_at).as_millis()
        );
        job.final_state = Some(state);
        let pool = job.pool.clone();
        let mut placed = Vec::new();
        for occurrence in &job.occurrences {
            for (step, tasks) in occurrence.steps.iter().enumerate() {
                for (index, task) in tasks.tasks.iter().enumerate() {
                    if let TaskState::Placed(target) = task.state {
                        let name = TaskName {
                            job: job.id,
                            occurrence: occurrence.number,
                            step: step as u16,
                            index: index as u32,
                        };
                        placed.push((target, name));
                    }
                }
            }
        }
        for (target, task) in placed {
            self.stop_run(target, task);
            // The assignment row must include the demand of these runs, as the next leader cannot
            // look it up in the job.
            self.unrecorded.insert(target);
        }
        if let Some(pool) = self.pools.get_mut(&pool) {
            pool.jobs.swap_remove(&job_key);
        }
        self.mark_job_changed(job_key);
    }

    /// Keeps the latest checkpoint of a task.
    pub(super) fn set_checkpoint(&mut self, task: TaskName, checkpoint: &str) {
        let job = self.job_keys.get(&task.job).and_then(|key| self.jobs.get_mut(key));
        if let Some(task_state) = job.and_then(|job| job.task_mut(task)) {
            if task_state.checkpoint.as_deref() != Some(checkpoint) {
                task_state.checkpoint = Some(checkpoint.to_owned());
            }
        }
    }

    /// Returns the name of a target for log messages; empty if it is not known.
    pub(super) fn target_name(&self, key: TargetKey) -> TargetName {
        self.targets.get(&key).map(|target| target.record.name.clone()).unwrap_or_default()
    }

    /// Adds the resources of a run to its team's usage.
    pub(super) fn charge_team(&mut self, run: &Run) {
        if let Some(team) = &run.team {
            *self.team_use.entry(team.clone()).or_default() += run.demand;
        }
    }

    /// Subtracts the resources of a run from its team's usage.
    pub(super) fn release_team(&mut self, run: &Run) {
        let used = run.team.as_ref().and_then(|team| self.team_use.get_mut(team));
        if let Some(used) = used {
            *used = used.saturating_sub(run.demand);
        }
    }

    /// Updates the health of a target and the run time estimates from a completion. Long-running
    /// tasks do not count.
    fn record_health(
        &mut self,
        key: TargetKey,
        run: &Run,
        completion: &RunCompletion,
        out: &Outbox,
    ) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        if run.is_long_running {
            return;
        }
        match completion.outcome {
            RunOutcome::Done => {
                target.health.consecutive_failures = 0;
                self.record_run_time(run, out);
            }
            RunOutcome::Failed => target.health.consecutive_failures += 1,
            _ => {}
        }
    }
}
