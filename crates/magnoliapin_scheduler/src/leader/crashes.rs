//! Tells tasks that crash their targets from those that ran beside them.
//!
//! When an incarnation of a target ends unexpectedly, the tasks that had just started there may be the
//! cause; if there are none, all others may. Tasks with one such crash are spread over the targets.
//! Tasks with two run apart from all others in small groups, and tasks that crashed a target on their
//! own or have more crashes run alone: a further crash has one cause, and the task is given up. Other
//! tasks are cleared of the crashes that it accounts for.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::InstanceName;
use magnoliapin_site::JobState;
use magnoliapin_site::RunId;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::TargetState;
use magnoliapin_site::TaskName;

use crate::leader::crash_evidence::CrashedRun;
use crate::leader::job::JobKey;
use crate::leader::job::Task;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::rows::TaskCrash;

#[cfg(test)]
#[path = "crashes_tests.rs"]
pub(super) mod tests;

/// Crashes from which on a task runs apart from others.
pub(super) const ISOLATION_CRASHES: usize = 2;
/// Crashes after which a task is given up if no other task may be the cause.
const MAX_OWN_CRASHES: usize = 2;
/// Crashes after which a task is given up if it is the only possible cause of at least one of them.
const MAX_CRASHES_WITH_OWN: usize = 4;
/// Crashes after which a task is given up, whatever the cause.
const MAX_CRASHES: usize = 5;
/// Time for which runs are remembered whose target was silent when their leases ended.
const LAPSE_MEMORY: Duration = Duration::from_secs(60);

/// An incarnation of a target whose runs were taken for lost as their leases were over. Whether it was
/// silent or had crashed shows only once the target or its instance is back.
#[derive(Clone, Debug)]
pub(crate) struct LapsedIncarnation {
    started_at: UnixMillis,
    instance: Option<InstanceName>,
    runs: Vec<CrashedRun>,
    /// Whether their lease was not over yet, so that they were at work.
    is_within_lease: bool,
    lapsed_at: Moment,
}

impl Task {
    /// Returns whether the task must run alone, as targets have crashed under it.
    pub(super) fn needs_isolation(&self) -> bool {
        self.unexplained_crashes() >= ISOLATION_CRASHES
            || self.own_crashes() > 0
            || self.crashes.len() > ISOLATION_CRASHES
    }

    /// Returns whether the task is the cause of so many crashes that it is not started again.
    pub(super) fn is_given_up(&self) -> bool {
        let limit = if self.own_crashes() > 0 { MAX_CRASHES_WITH_OWN } else { MAX_CRASHES };
        self.own_crashes() >= MAX_OWN_CRASHES || self.crashes.len() >= limit
    }

    /// Returns the number of crashes of which no other task may be the cause.
    pub(super) fn own_crashes(&self) -> usize {
        let is_own = |crash: &&TaskCrash| !crash.is_shared && !crash.is_explained;
        self.crashes.iter().filter(is_own).count()
    }

    /// Returns the number of crashes that no task which has been given up accounts for.
    pub(super) fn unexplained_crashes(&self) -> usize {
        self.crashes.iter().filter(|crash| !crash.is_explained).count()
    }
}

impl TaskCrash {
    fn new(attempt: u32, incarnation: UnixMillis) -> Self {
        Self { attempt, incarnation, is_shared: true, is_explained: false }
    }
}

impl Leader {
    /// Records that an incarnation of a target has ended unexpectedly, on each task that it ran.
    ///
    /// The suspects are the tasks that had just started. Those that had gone on for a while are
    /// charged as if another task accounted for the crash, unless nothing had just started.
    pub(super) fn record_crash(&mut self, target: &Target, out: &mut Outbox) {
        if self.is_planned_end(target) {
            return;
        }
        let silence = out.now.since(target.last_contact_at);
        let runs = target.crashed_runs(out.now);
        if !target.runs.is_empty() {
            log::warn!(
                "event=target_crashed target={} runs={} charged={} silent_ms={} silent_beside={}",
                target.record.name,
                target.runs.len(),
                runs.iter().chain(&target.lapsed_runs).filter(|run| run.is_begun).count(),
                silence.as_millis(),
                self.targets.values().filter(|other| other.failed_heartbeats > 0).count()
            );
        }
        for (task, run) in &target.runs {
            // How long the run is known to have been there.
            let lasted = run.confirmed_at.map(|at| target.last_contact_at.since(at).as_millis());
            // How old the last answer of the target was when the start was sent.
            let heard_at = target.last_heard_at();
            let answer_age = run.start_sent_at.map(|at| at.since(heard_at).as_millis());
            log::info!(
                "event=run_crashed task={task} attempt={} stage={:?} lasted_ms={lasted:?} \
                 answer_age_ms={answer_age:?} open_starts={} listed={} long_running={} isolated={}",
                run.attempt,
                run.stage,
                run.open_starts,
                run.is_listed,
                run.is_long_running,
                run.is_isolated
            );
        }
        self.record_survivals(target);
        let suspects = runs.iter().chain(&target.lapsed_runs).filter(|run| run.is_suspect).count();
        // The run has ended with its lease if the target has been silent for longer.
        let is_within_lease = silence < self.identity.times.max_lease;
        for run in runs.iter().chain(&target.lapsed_runs).filter(|run| run.is_begun) {
            let mut crash = TaskCrash::new(run.id.attempt, target.started_at());
            crash.is_shared = !(suspects == 1 && is_within_lease && run.was_at_work);
            crash.is_explained = !run.is_suspect;
            self.add_crash(run.id.task, crash, out);
        }
        for (name, _) in target.runs.iter().filter(|(_, run)| run.has_lasted(out.now)) {
            let job = self.job_keys.get(&name.job).and_then(|key| self.jobs.get_mut(key));
            if let Some(task) = job.and_then(|job| job.open_task_mut(*name)) {
                task.crashes.clear();
            }
        }
    }

    /// Records that the lease of a silent target is over. Its incarnation may have ended, but only
    /// those tasks are charged with it at once under which others have.
    pub(super) fn record_lapse(&mut self, key: TargetKey, tasks: &[TaskName], out: &mut Outbox) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        let started_at = target.started_at();
        let mut lapsed = target.crashed_runs(out.now);
        lapsed.retain(|run| tasks.contains(&run.id.task));
        target.lapsed_runs.extend(&lapsed);
        for name in target.settled_tasks() {
            if tasks.contains(&name) {
                self.record_survival(name);
            }
        }
        for run in lapsed.iter().filter(|run| run.is_begun) {
            let task = run.id.task;
            let job = self.job_keys.get(&task.job).and_then(|key| self.jobs.get(key));
            if job.and_then(|job| job.task(task)).is_some_and(Task::needs_isolation) {
                let crash = TaskCrash::new(run.id.attempt, started_at);
                self.add_crash(task, TaskCrash { is_explained: !run.is_suspect, ..crash }, out);
            }
        }
    }

    /// Remembers the runs of a target that is removed because its lease is over.
    pub(super) fn remember_lapsed_target(&mut self, target: &Target, now: Moment) {
        self.record_survivals(target);
        if self.is_planned_end(target) {
            return;
        }
        let mut runs = target.crashed_runs(now);
        runs.extend(&target.lapsed_runs);
        let instance = target.record.instance.clone();
        let started_at = target.started_at();
        let is_within_lease = false;
        let lapsed =
            LapsedIncarnation { started_at, instance, runs, is_within_lease, lapsed_at: now };
        self.remember_lapsed(target.record.name.clone(), lapsed);
    }

    /// Remembers what to charge if a later incarnation of a target that does not answer proves to live.
    pub(super) fn remember_possible_crash(&mut self, target: &Target, now: Moment) {
        self.remember_lapsed_target(target, now);
        let silence = now.since(target.last_contact_at);
        if let Some(lapsed) = self.lapsed_incarnations.get_mut(&target.record.name) {
            lapsed.is_within_lease = silence < self.identity.times.max_lease;
        }
    }

    /// Remembers the runs of a previous incarnation whose leases are over.
    pub(super) fn remember_lapsed_previous(&mut self, name: &TargetName, now: Moment) {
        let Some(incarnation) = self.previous_incarnations.get(name) else { return };
        let runs = self.unconfirmed_runs.iter();
        let runs = runs.filter(|(task, run)| run.target == *name && !self.is_long_running(**task));
        let runs = runs.map(|(task, run)| CrashedRun {
            id: RunId { task: *task, attempt: run.attempt },
            is_begun: true,
            was_at_work: false,
            is_suspect: false,
        });
        let lapsed = LapsedIncarnation {
            started_at: incarnation.started_at,
            instance: incarnation.instance.clone(),
            runs: runs.collect(),
            is_within_lease: false,
            lapsed_at: now,
        };
        self.remember_lapsed(name.clone(), lapsed);
    }

    fn remember_lapsed(&mut self, name: TargetName, lapsed: LapsedIncarnation) {
        let now = lapsed.lapsed_at;
        self.lapsed_incarnations.retain(|_, known| now.since(known.lapsed_at) < LAPSE_MEMORY);
        if !lapsed.runs.is_empty() {
            self.lapsed_incarnations.insert(name, lapsed);
        }
    }

    /// Charges the runs of lapsed incarnations if a target that has answered shows that these have ended.
    pub(super) fn check_lapsed(&mut self, record: &TargetRecord, out: &mut Outbox) {
        let is_same_place = |name: &TargetName, lapsed: &LapsedIncarnation| {
            *name == record.name
                || (record.instance.is_some() && lapsed.instance == record.instance)
        };
        let known = self.lapsed_incarnations.iter();
        let known = known.filter(|(name, lapsed)| is_same_place(name, lapsed));
        let known: Vec<TargetName> = known.map(|(name, _)| name.clone()).collect();
        for name in known {
            let Some(lapsed) = self.lapsed_incarnations.swap_remove(&name) else { continue };
            let is_ordered = |instance: &InstanceName| self.fleet.was_ordered_before(instance);
            let is_planned = lapsed.instance.as_ref().is_some_and(is_ordered);
            if lapsed.started_at >= record.started_at || is_planned {
                continue;
            }
            let suspects = lapsed.runs.iter().filter(|run| run.is_suspect).count();
            for run in lapsed.runs.iter().filter(|run| run.is_begun) {
                let mut crash = TaskCrash::new(run.id.attempt, lapsed.started_at);
                crash.is_shared = !(suspects == 1 && lapsed.is_within_lease && run.was_at_work);
                crash.is_explained = !run.is_suspect;
                self.add_crash(run.id.task, crash, out);
            }
        }
    }

    /// Returns whether a task runs until its job is cancelled.
    fn is_long_running(&self, task: TaskName) -> bool {
        let job = self.job_keys.get(&task.job).and_then(|key| self.jobs.get(key));
        job.and_then(|job| job.step_spec(task)).is_some_and(|step| step.long_running)
    }

    /// Records that a previous incarnation has ended, on each task that it may have run. Whether it had begun them is not
    /// known, so that they are charged as if others accounted for it.
    pub(super) fn record_previous_crash(&mut self, name: &TargetName, out: &mut Outbox) {
        let Some(incarnation) = self.previous_incarnations.get(name) else { return };
        let instance = incarnation.instance.as_ref();
        if instance.is_some_and(|instance| self.fleet.was_ordered_before(instance)) {
            return;
        }
        let started_at = incarnation.started_at;
        // For how long a long-running task has lasted is not known.
        let runs = self.unconfirmed_runs.iter();
        let runs = runs.filter(|(task, run)| run.target == *name && !self.is_long_running(**task));
        let runs: Vec<(TaskName, u32)> = runs.map(|(task, run)| (*task, run.attempt)).collect();
        for (task, attempt) in runs {
            let crash = TaskCrash::new(attempt, started_at);
            self.add_crash(task, TaskCrash { is_explained: true, ..crash }, out);
        }
    }

    /// Clears a task of earlier crashes, as a run of it went on for a while after its start.
    pub(super) fn record_survival(&mut self, name: TaskName) {
        let job = self.job_keys.get(&name.job).and_then(|key| self.jobs.get_mut(key));
        if let Some(task) = job.and_then(|job| job.open_task_mut(name)) {
            for crash in &mut task.crashes {
                crash.is_explained = true;
            }
        }
    }

    /// Clears the tasks of earlier crashes whose runs on a target went on for a while.
    fn record_survivals(&mut self, target: &Target) {
        for name in target.settled_tasks() {
            self.record_survival(name);
        }
    }

    /// Returns how many tasks on a target have had targets crash under them.
    pub(super) fn count_suspects(&self, target: &Target) -> u32 {
        target.runs.keys().filter(|name| self.crashed_tasks.contains(*name)).count() as u32
    }

    /// Returns whether a run that may have reached the next incarnation of its target must not stay
    /// there: its job is finished, or it must run alone.
    pub(super) fn is_unwanted_here(&self, name: TaskName) -> bool {
        let job = self.job_keys.get(&name.job).and_then(|key| self.jobs.get(key));
        job.is_none_or(|job| {
            job.final_state.is_some()
                || job
                    .task(name)
                    .is_some_and(|task| task.unexplained_crashes() > 0 || task.needs_isolation())
        })
    }

    /// Returns whether a target ended because it was shut down, moved or maintained.
    fn is_planned_end(&self, target: &Target) -> bool {
        let is_draining = matches!(target.record.state, TargetState::Draining(_));
        let instance = target.record.instance.as_ref();
        let is_ordered = |instance| self.fleet.was_ordered_after(instance, target.discovered_at);
        is_draining || instance.is_some_and(is_ordered)
    }

    fn add_crash(&mut self, name: TaskName, crash: TaskCrash, out: &mut Outbox) {
        let Some(job_key) = self.job_keys.get(&name.job).copied() else { return };
        let Some(job) = self.jobs.get_mut(&job_key).filter(|job| job.final_state.is_none()) else {
            return;
        };
        let change = job.changes + 1;
        let is_known = |task: &Task| {
            let mut known = task.crashes.iter().map(|known| (known.attempt, known.incarnation));
            // The rows of the leader before name runs that have ended as well.
            known.any(|known| known == (crash.attempt, crash.incarnation))
                || task.failed.contains(&crash.attempt)
        };
        let Some(task) = job.open_task_mut(name).filter(|task| !is_known(task)) else { return };
        task.crashes.push(crash);
        task.crash_change = change;
        self.crashed_tasks.insert(name);
        let is_given_up = task.is_given_up();
        log::info!(
            "event=task_crashed task={name} attempt={} crashes={} unexplained={} own={} \
             given_up={is_given_up}",
            crash.attempt,
            task.crashes.len(),
            task.unexplained_crashes(),
            task.own_crashes()
        );
        let crashes = if is_given_up { task.crashes.clone() } else { Vec::new() };
        self.mark_job_changed(job_key);
        if is_given_up {
            self.clear_others(name, &crashes);
            self.fail_given_up(job_key, out);
        }
    }

    /// Fails a job of which a task is given up. The other tasks of a service go on: to stop them is a
    /// greater loss than the one task.
    pub(super) fn fail_given_up(&mut self, job_key: JobKey, out: &mut Outbox) {
        let Some(job) = self.jobs.get(&job_key) else { return };
        let mut tasks =
            job.occurrences.iter().flat_map(|open| &open.steps).flat_map(|step| &step.tasks);
        if !job.spec.is_long_running() || tasks.all(Task::is_given_up) {
            self.finish_job(job_key, JobState::Failed, out);
        }
    }

    /// Clears other tasks of the crashes that a task which is given up accounts for.
    fn clear_others(&mut self, culprit: TaskName, crashes: &[TaskCrash]) {
        let is_explained =
            |crash: &TaskCrash| crashes.iter().any(|known| known.incarnation == crash.incarnation);
        for name in self.crashed_tasks.iter().filter(|name| **name != culprit) {
            let Some(key) = self.job_keys.get(&name.job).copied() else { continue };
            let task = self.jobs.get_mut(&key).and_then(|job| job.task_mut(*name));
            if let Some(task) = task {
                for crash in &mut task.crashes {
                    crash.is_explained |= crash.is_shared && is_explained(crash);
                }
            }
        }
    }
}
