//! Deals with runs that have ended, and with those that are lost.

use indexmap::IndexSet;
use magnoliapin_site::EndedRun;
use magnoliapin_site::JobId;
use magnoliapin_site::JobState;
use magnoliapin_site::RunEnd;
use magnoliapin_site::RunId;
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
    /// Takes an end that a target lists. Returns the change of the job that must be stored before
    /// the target may forget it, if there is one.
    pub(super) fn take_end(
        &mut self,
        key: TargetKey,
        ended: &EndedRun,
        out: &mut Outbox,
    ) -> Option<(JobId, u64)> {
        let task = ended.run.task;
        let target = self.targets.get_mut(&key)?;
        let is_known = target.runs.get(&task).is_some_and(|run| run.attempt == ended.run.attempt);
        let run = if is_known { target.remove_run(task) } else { None };
        if let Some(run) = &run {
            self.release_team(run);
            self.note_health(key, run, ended, out);
        }
        log::info!(
            "event=run_ended task={task} attempt={} target={} how={:?} ms={}",
            ended.run.attempt,
            self.target_name(key),
            ended.end,
            run.as_ref().map_or(0, |run| out.now.since(run.since).as_millis())
        );
        let job_key = *self.job_keys.get(&task.job)?;
        let job = self.jobs.get_mut(&job_key)?;
        let is_long = job.step_spec(task).is_some_and(|step| step.long_running);
        let is_done = job.task(task).is_none_or(|task| task.state == TaskState::Done);
        if job.ending.is_none() && !is_done {
            if let Some(checkpoint) = &ended.checkpoint {
                self.keep_checkpoint(task, checkpoint);
            }
            match ended.end {
                RunEnd::Done if !is_long => self.take_done(job_key, key, task, out),
                RunEnd::Failed if !is_long => {
                    self.take_failed(job_key, key, ended.run, out);
                    self.free_task(job_key, key, ended, out);
                }
                _ => self.free_task(job_key, key, ended, out),
            }
        }
        // An end that changes nothing may do so because of a change that is not stored yet, such
        // as the end of another member of its gang.
        let job = self.jobs.get(&job_key)?;
        Some((task.job, job.changes))
    }

    /// Notes that a task has done its work.
    fn take_done(&mut self, job_key: JobKey, key: TargetKey, task: TaskName, out: &mut Outbox) {
        let Some(job) = self.jobs.get_mut(&job_key) else { return };
        let is_gang = job.step_spec(task).is_some_and(|step| step.gang);
        let mut others = Vec::new();
        if let Some(step) = job.step_mut(task) {
            // One member of a gang stands for all.
            let whole = 0..step.tasks.len() as u32;
            let indexes = if is_gang { whole } else { task.index..task.index + 1 };
            for index in indexes {
                if let TaskState::Placed(other) = step.tasks[index as usize].state {
                    others.push((other, TaskName { index, ..task }));
                }
                step.set_state(index, TaskState::Done);
            }
        }
        for (other, task) in others {
            if other != key && !is_gang {
                self.stop_run(other, task);
            }
        }
        self.change_job(job_key);
        self.finish_occurrence(job_key, task.occurrence, out);
    }

    fn finish_occurrence(&mut self, job_key: JobKey, number: u32, out: &mut Outbox) {
        let Some(job) = self.jobs.get_mut(&job_key) else { return };
        let Some(place) = job.occurrences.iter().position(|occurrence| occurrence.number == number)
        else {
            return;
        };
        let pool = job.pool.clone();
        if job.occurrences[place].is_done() {
            job.occurrences.swap_remove(place);
            job.done_occurrences += 1;
            if job.is_done() {
                self.end_job(job_key, JobState::Completed, out);
            }
        } else {
            let spec = std::mem::take(&mut job.spec);
            job.occurrences[place].open_steps(&spec);
            job.spec = spec;
        }
        self.stir(&pool);
    }

    /// Counts a failure of a task, which may be one too many for the job.
    fn take_failed(&mut self, job_key: JobKey, key: TargetKey, failed: RunId, out: &mut Outbox) {
        let mut is_over = false;
        if let Some(job) = self.jobs.get_mut(&job_key) {
            let max_attempts = job.rule.max_attempts;
            let known = job.task_mut(failed.task);
            if let Some(known) = known.filter(|known| !known.failed.contains(&failed.attempt)) {
                known.failed.push(failed.attempt);
                known.avoid = Some(key);
                is_over = known.failed.len() >= max_attempts as usize;
            }
            // The members of a gang share their attempts, and one that fails ends the others.
            let is_gang = job.step_spec(failed.task).is_some_and(|step| step.gang);
            if let Some(step) = job.step_mut(failed.task).filter(|_| is_gang) {
                let attempts: IndexSet<u32> =
                    step.tasks.iter().flat_map(|task| &task.failed).copied().collect();
                is_over = attempts.len() >= max_attempts as usize;
            }
        }
        self.change_job(job_key);
        if is_over {
            self.end_job(job_key, JobState::Failed, out);
        }
    }

    /// Lets a task wait again whose run has ended without doing its work.
    fn free_task(&mut self, job_key: JobKey, key: TargetKey, ended: &EndedRun, out: &mut Outbox) {
        let Some(job) = self.jobs.get_mut(&job_key) else { return };
        let task = ended.run.task;
        let is_current = job.task(task).is_some_and(|known| {
            known.state == TaskState::Placed(key) && known.attempt == ended.run.attempt
        });
        if is_current {
            self.make_wait(job_key, task, out);
        }
    }

    fn make_wait(&mut self, job_key: JobKey, task: TaskName, out: &mut Outbox) {
        let Some(job) = self.jobs.get_mut(&job_key) else { return };
        let is_gang = job.step_spec(task).is_some_and(|step| step.gang);
        if let Some(step) = job.step_mut(task) {
            step.set_state(task.index, TaskState::Waiting);
        }
        if let Some(known) = job.task_mut(task) {
            known.away_since = Some(out.now);
        }
        let pool = job.pool.clone();
        if is_gang {
            self.stop_gang(job_key, task);
        }
        self.stir(&pool);
    }

    /// Stops the other members of a gang that has lost one.
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

    /// Has a run stopped.
    pub(super) fn stop_run(&mut self, key: TargetKey, task: TaskName) {
        let run = self.targets.get_mut(&key).and_then(|target| target.runs.get_mut(&task));
        if let Some(run) = run.filter(|run| run.stage != RunStage::Stopping) {
            run.stage = RunStage::Stopping;
            run.unanswered = 0;
            self.due_orders.push((key, task));
        }
    }

    /// Removes a run that cannot be there any more, so that its task can start elsewhere.
    pub(super) fn drop_run(&mut self, key: TargetKey, task: TaskName, out: &mut Outbox) {
        let run = self.targets.get_mut(&key).and_then(|target| target.remove_run(task));
        if let Some(run) = run {
            self.release_team(&run);
            self.lose_run(key, task, run.attempt, out);
        }
    }

    /// Lets a task wait again whose run is lost.
    pub(super) fn lose_run(
        &mut self,
        key: TargetKey,
        task: TaskName,
        attempt: u32,
        out: &mut Outbox,
    ) {
        let Some(job_key) = self.job_keys.get(&task.job).copied() else { return };
        let Some(job) = self.jobs.get(&job_key) else { return };
        let is_current = job.ending.is_none()
            && job.task(task).is_some_and(|known| {
                known.state == TaskState::Placed(key) && known.attempt == attempt
            });
        if is_current {
            self.make_wait(job_key, task, out);
            self.unsure.insert(task);
            let known = self.jobs.get_mut(&job_key).and_then(|job| job.task_mut(task));
            if let Some(known) = known {
                known.lost_at = Some(out.now);
            }
        }
    }

    /// Ends a job: stops what runs of it, and stores its final state.
    pub(super) fn end_job(&mut self, job_key: JobKey, state: JobState, out: &mut Outbox) {
        let Some(job) = self.jobs.get_mut(&job_key) else { return };
        log::info!(
            "event=job_ending job={} state={state} age_ms={}",
            job.id,
            out.now.since(job.accepted_at).as_millis()
        );
        job.ending = Some(state);
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
            // The next scheduler cannot ask the job what its runs take.
            self.unrecorded.insert(target);
        }
        if let Some(pool) = self.pools.get_mut(&pool) {
            pool.jobs.swap_remove(&job_key);
        }
        self.change_job(job_key);
    }

    /// Remembers saved progress of a task.
    pub(super) fn keep_checkpoint(&mut self, task: TaskName, checkpoint: &str) {
        let job = self.job_keys.get(&task.job).and_then(|key| self.jobs.get_mut(key));
        if let Some(known) = job.and_then(|job| job.task_mut(task)) {
            if known.checkpoint.as_deref() != Some(checkpoint) {
                known.checkpoint = Some(checkpoint.to_owned());
            }
        }
    }

    /// Returns the name of a target, for the log.
    pub(super) fn target_name(&self, key: TargetKey) -> TargetName {
        self.targets.get(&key).map(|target| target.record.name.clone()).unwrap_or_default()
    }

    /// Counts what a run takes against its team's cap.
    pub(super) fn charge_team(&mut self, run: &Run) {
        if let Some(team) = &run.team {
            *self.team_use.entry(team.clone()).or_default() += run.demand;
        }
    }

    /// Takes what a run took off its team's use.
    pub(super) fn release_team(&mut self, run: &Run) {
        let used = run.team.as_ref().and_then(|team| self.team_use.get_mut(team));
        if let Some(used) = used {
            *used = used.less(run.demand);
        }
    }

    /// Learns from an end how healthy a target is.
    fn note_health(&mut self, key: TargetKey, run: &Run, ended: &EndedRun, out: &Outbox) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        if run.is_long {
            return;
        }
        match ended.end {
            RunEnd::Done => {
                target.health.failures_in_row = 0;
                self.note_run_time(run, out);
            }
            RunEnd::Failed => target.health.failures_in_row += 1,
            _ => {}
        }
    }
}
