//! Reconciles the runs that targets report with those that the leader knows.
//!
//! A run has ended on a target that answers only if the target lists its completion, or omits it from a
//! report that lists all completions. A list of many completions is cut.

use indexmap::IndexSet;
use magnoliapin_model::Moment;
use magnoliapin_site::Resources;
use magnoliapin_site::RunId;
use magnoliapin_site::RunReport;
use magnoliapin_site::RunningTask;
use magnoliapin_site::TargetName;
use magnoliapin_site::TaskName;

use crate::leader::job::Task;
use crate::leader::job::TaskState;
use crate::leader::target::Run;
use crate::leader::target::RunStage;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;

#[cfg(test)]
#[path = "reconciliation_tests.rs"]
mod tests;

impl Leader {
    /// Reconciles the runs that a target reports with those that the leader placed on it.
    pub(super) fn reconcile(
        &mut self,
        key: TargetKey,
        sent_at: Moment,
        report: &RunReport,
        out: &mut Outbox,
    ) {
        let mut present = IndexSet::with_capacity(report.running.len());
        for reported in &report.running {
            present.insert(reported.run.task);
            let run = self.targets.get_mut(&key).and_then(|target| {
                let run = target.runs.get_mut(&reported.run.task)?;
                (run.attempt == reported.run.attempt).then_some(run)
            });
            match run {
                Some(run) => {
                    run.update_progress(reported, out.now);
                    if let Some(checkpoint) = &reported.checkpoint {
                        self.set_checkpoint(reported.run.task, checkpoint);
                    }
                }
                None => self.handle_unknown_run(key, reported, out),
            }
        }
        if report.has_more_completions {
            // A run that is not in it may have ended.
            return;
        }
        let Some(target) = self.targets.get(&key) else { return };
        // A run that was confirmed before the report was requested must be in it, and one that was sent
        // to an earlier incarnation can no longer begin.
        let late_until = |run: &Run| {
            // On this incarnation the run cannot begin any more.
            run.awaits_report.then(|| self.late_until(target, run)).flatten()
        };
        let vanished: Vec<(TaskName, u32, Option<Moment>)> = target
            .runs
            .iter()
            .filter(|(task, run)| {
                let is_due = run.awaits_report || run.confirmed_at.is_some_and(|at| at < sent_at);
                is_due && !present.contains(*task)
            })
            .map(|(task, run)| (*task, run.attempt, late_until(run)))
            .collect();
        for (task, attempt, late_until) in vanished {
            let id = RunId { task, attempt };
            if self.run_mut(key, id).is_some_and(Run::may_start_again) {
                // This incarnation has not begun it, and no earlier start can arrive any more.
                self.plan_again(key, id);
                continue;
            }
            log::warn!("event=run_vanished task={task} attempt={attempt}");
            match late_until {
                Some(until) => self.drop_run_until(key, task, until, out),
                None => self.drop_run(key, task, out),
            }
        }
    }

    /// Handles a run that this leader has not started: adopts it if its task is waiting, and stops
    /// it otherwise.
    fn handle_unknown_run(&mut self, key: TargetKey, reported: &RunningTask, out: &mut Outbox) {
        let task = reported.run.task;
        let mut run = Run::from_report(reported, out.now);
        // The demand of an unknown job is unknown too, so the run counts as filling the target and
        // nothing is started beside it.
        run.demand =
            self.targets.get(&key).map_or(Resources::NONE, |target| target.record.capacity);
        let is_adopted = self.adopt_run(key, task, &mut run);
        if is_adopted {
            self.inherit_open_start(&self.target_name(key), task, &mut run);
        } else {
            run.stage = RunStage::Stopping;
            self.due_orders.push((key, task));
        }
        log::info!(
            "event=run_found task={task} attempt={} target={} kept={is_adopted}",
            reported.run.attempt,
            self.target_name(key)
        );
        if self.records.has_unrecorded_runs() {
            self.unrecorded.insert(key);
        }
        self.charge_team(&run);
        if let Some(target) = self.targets.get_mut(&key) {
            target.add_run(task, run);
        }
    }

    /// Completes a run that this leader has not started with what its job states, and assigns it to
    /// its task if that is waiting. Returns whether it was.
    fn adopt_run(&mut self, key: TargetKey, task: TaskName, run: &mut Run) -> bool {
        let job_key = self.job_keys.get(&task.job).copied();
        let Some(job) = job_key.and_then(|job_key| self.jobs.get_mut(&job_key)) else {
            return false;
        };
        run.demand = job.step_spec(task).map_or(run.demand, |step| step.demand);
        run.is_long_running = job.step_spec(task).is_some_and(|step| step.long_running);
        run.is_isolated = job.task(task).is_some_and(Task::needs_isolation);
        run.team.clone_from(&job.team);
        run.has_unknown_job = false;
        let is_waiting = job.final_state.is_none()
            && job.task(task).is_some_and(|task_state| task_state.state == TaskState::Waiting);
        if is_waiting {
            job.has_started = true;
            run.job = job_key;
            if let Some(step) = job.step_mut(task) {
                step.set_state(task.index, TaskState::Placed(key));
            }
            if let Some(task_state) = job.task_mut(task) {
                task_state.attempt = task_state.attempt.max(run.attempt);
                task_state.lost_at = None;
                task_state.unavailable_since = None;
            }
        }
        is_waiting
    }

    /// Returns the runs of the previous leader that may have ended on a target without being listed
    /// in its report. If this is that of a later incarnation than the recorded one, a start that the
    /// previous leader sent late may have reached it.
    pub(super) fn unlisted_previous_runs(
        &self,
        name: &TargetName,
        report: &RunReport,
    ) -> Vec<RunId> {
        let incarnation = self.previous_incarnations.get(name);
        let Some(incarnation) = incarnation.filter(|_| report.has_more_completions) else {
            return Vec::new();
        };
        let running = report.running.iter().map(|reported| reported.run);
        let ended = report.completions.iter().map(|completion| completion.run);
        let listed: IndexSet<RunId> = running.chain(ended).collect();
        let is_unlisted = |run: &&RunId| {
            let latest = self.unconfirmed_runs.get(&run.task);
            let is_latest = latest
                .is_some_and(|latest| latest.target == *name && latest.attempt == run.attempt);
            is_latest && !listed.contains(*run)
        };
        incarnation.runs.iter().filter(is_unlisted).copied().collect()
    }

    /// Adopts runs that may have ended on a target without being listed. Later reports list their
    /// completions, or show that there are none.
    pub(super) fn adopt_unlisted_runs(&mut self, key: TargetKey, runs: &[RunId], out: &Outbox) {
        if runs.is_empty() {
            return;
        }
        log::info!("event=runs_unlisted target={} runs={}", self.target_name(key), runs.len());
        for id in runs {
            let reported = RunningTask { run: *id, ..RunningTask::default() };
            let mut run = Run::from_report(&reported, out.now);
            if !self.adopt_run(key, id.task, &mut run) {
                continue;
            }
            // It is not in progress: it takes no resources, a crash is not its effect, and how long it
            // has run is not known.
            run.demand = Resources::NONE;
            run.team = None;
            run.job = None;
            run.is_sent = false;
            run.is_listed = false;
            if let Some(target) = self.targets.get_mut(&key) {
                target.add_run(id.task, run);
            }
        }
    }
}

impl Target {
    /// Records whether a report lists all completions.
    pub(super) fn record_listing(&mut self, report: &RunReport) {
        let has_more = report.has_more_completions;
        self.has_listed_all |= !has_more;
        if std::mem::replace(&mut self.has_more_completions, has_more) != has_more {
            log::info!(
                "event=completions_cut target={} cut={has_more} unstored={} runs={}",
                self.record.name,
                self.unstored.len(),
                self.runs.len()
            );
        }
    }
}

impl Run {
    /// Creates a run that a target reported and that this leader has not started.
    fn from_report(reported: &RunningTask, now: Moment) -> Self {
        Self {
            attempt: reported.run.attempt,
            job: None,
            team: None,
            demand: Resources::NONE,
            is_long_running: false,
            is_isolated: false,
            has_unknown_job: true,
            stage: RunStage::Running,
            is_sent: true,
            placed_at: now,
            is_found: true,
            confirmed_at: Some(now),
            percent: reported.percent,
            unconfirmed_starts: 0,
            open_starts: 0,
            start_sent_at: None,
            has_broken_off: false,
            is_listed: true,
            awaits_report: false,
            estimate_ms: 0,
        }
    }

    /// Updates the run from a report.
    fn update_progress(&mut self, reported: &RunningTask, now: Moment) {
        if self.stage == RunStage::Starting {
            self.stage = RunStage::Running;
        }
        self.confirmed_at.get_or_insert(now);
        self.is_sent = true;
        self.is_listed = true;
        self.awaits_report = false;
        self.percent = reported.percent;
    }
}
