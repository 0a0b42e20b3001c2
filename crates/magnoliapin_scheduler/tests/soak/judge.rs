//! Judges what targets and clients see.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::JobId;
use magnoliapin_site::JobSpec;
use magnoliapin_site::JobState;
use magnoliapin_site::RunEnd;
use magnoliapin_site::RunId;
use magnoliapin_site::TaskName;

use crate::site;

/// Time after the acknowledgement of a cancel in which tasks may still start.
const CANCEL_TIME: Duration = Duration::from_secs(3);

/// A job as its client submitted it.
pub(crate) struct KnownJob {
    pub(crate) spec: JobSpec,
    pub(crate) team: usize,
    pub(crate) accepted_at: Option<Moment>,
    pub(crate) cancelled_at: Option<Moment>,
    pub(crate) cancel_sent: bool,
    /// Final state that a client was shown.
    pub(crate) shown: Option<JobState>,
    /// Whether every attempt to submit it was refused.
    pub(crate) is_refused: bool,
}

/// One run as its target saw it.
struct JudgedRun {
    target: usize,
    life: u64,
    attempt: u32,
    started: Moment,
    ended: Option<Moment>,
    /// Whether an order ends it.
    is_ordered: bool,
    end: Option<RunEnd>,
    /// Number of the end at the target.
    number: u64,
}

/// Judges what targets and clients see.
#[derive(Default)]
pub(crate) struct Judge {
    pub(crate) jobs: BTreeMap<JobId, KnownJob>,
    runs: BTreeMap<TaskName, Vec<JudgedRun>>,
    /// Lives of targets that are over.
    dead: BTreeSet<(usize, u64)>,
    /// Ends that targets may forget, by life.
    acknowledged: BTreeMap<(usize, u64), u64>,
    pub(crate) broken: Vec<String>,
    pub(crate) starts: usize,
}

impl Judge {
    pub(crate) fn fault(&mut self, now: Moment, text: &str) {
        self.broken.push(format!("at {:.3} s: {text}", now.0 as f64 / 1e6));
    }

    /// Takes a start that a target has carried out.
    pub(crate) fn start(
        &mut self,
        now: Moment,
        target: usize,
        life: u64,
        run: RunId,
        is_exempt: bool,
    ) {
        self.starts += 1;
        let task = run.task;
        let Some(job) = self.jobs.get(&task.job) else {
            return self.fault(now, &format!("{task}: nobody submitted its job"));
        };
        if job.is_refused {
            self.fault(now, &format!("{task}: its job was refused"));
        }
        let job = &self.jobs[&task.job];
        let is_cancelled = job.cancelled_at.is_some_and(|at| now.since(at) > CANCEL_TIME);
        if is_cancelled && !is_exempt {
            self.fault(now, &format!("{task}: started after its job was cancelled"));
        }
        let job = &self.jobs[&task.job];
        let steps = &job.spec.steps;
        let early = steps[usize::from(task.step)]
            .after
            .iter()
            .find(|after| !self.is_step_done(TaskName { step: **after, ..task }));
        if let Some(early) = early {
            self.fault(now, &format!("{task}: started before step {early} was done"));
        }
        self.check_twice(now, run);
        let failures = self
            .runs
            .get(&task)
            .map_or(0, |runs| runs.iter().filter(|run| run.end == Some(RunEnd::Failed)).count());
        if failures >= 3 {
            self.fault(now, &format!("{task}: started after {failures} failures"));
        }
        let judged = JudgedRun {
            target,
            life,
            attempt: run.attempt,
            started: now,
            ended: None,
            is_ordered: false,
            end: None,
            number: 0,
        };
        self.runs.entry(task).or_default().push(judged);
        self.check_cap(now, task);
    }

    fn check_twice(&mut self, now: Moment, run: RunId) {
        let Some(runs) = self.runs.get(&run.task) else { return };
        let mut faults = Vec::new();
        for other in runs {
            let life = (other.target, other.life);
            if other.end.is_none() && !self.dead.contains(&life) {
                faults.push(format!(
                    "{}: run {} beside run {} on target {}",
                    run.task, run.attempt, other.attempt, other.target
                ));
            }
            let acknowledged = self.acknowledged.get(&life).copied().unwrap_or_default();
            if other.end == Some(RunEnd::Done) && other.number <= acknowledged {
                faults.push(format!(
                    "{}: run {} after run {} was done and acknowledged",
                    run.task, run.attempt, other.attempt
                ));
            }
        }
        for fault in faults {
            self.fault(now, &fault);
        }
    }

    fn check_cap(&mut self, now: Moment, task: TaskName) {
        let team = self.jobs[&task.job].team;
        if team != 1 {
            return;
        }
        let mut used = 0;
        let mut largest = 0;
        for (other, runs) in &self.runs {
            let job = &self.jobs[&other.job];
            if job.team != team {
                continue;
            }
            let running = runs
                .iter()
                .filter(|run| run.end.is_none() && !self.dead.contains(&(run.target, run.life)));
            let cpu = job.spec.steps[usize::from(other.step)].demand.cpu_milli;
            let count = running.count() as u32;
            used += cpu * count;
            largest = largest.max(if count > 0 { cpu } else { 0 });
        }
        if used > site::CAP_MILLI * 11 / 10 + largest {
            self.fault(now, &format!("team {team} runs {used} of {}", site::CAP_MILLI));
        }
    }

    /// Takes an end.
    pub(crate) fn end(
        &mut self,
        now: Moment,
        target: usize,
        life: u64,
        run: RunId,
        end: RunEnd,
        number: u64,
    ) {
        let runs = self.runs.entry(run.task).or_default();
        let found = runs.iter_mut().find(|judged| {
            judged.target == target && judged.life == life && judged.attempt == run.attempt
        });
        if let Some(judged) = found {
            judged.end = Some(end);
            judged.ended = Some(now);
            judged.number = number;
        }
    }

    /// Notes up to where a target may forget its ends.
    pub(crate) fn acknowledge(&mut self, target: usize, life: u64, number: u64) {
        self.acknowledged.insert((target, life), number);
    }

    /// Notes that a life of a target is over.
    pub(crate) fn death(&mut self, now: Moment, target: usize, life: u64) {
        self.dead.insert((target, life));
        let of_life = |run: &&mut JudgedRun| run.target == target && run.life == life;
        for run in self.runs.values_mut().flatten().filter(of_life) {
            run.ended.get_or_insert(now);
        }
    }

    /// Notes that an order ends a run.
    pub(crate) fn note_ordered(&mut self, target: usize, life: u64, task: TaskName) {
        let Some(run) = self.runs.get_mut(&task).and_then(|runs| runs.last_mut()) else { return };
        run.is_ordered |= run.target == target && run.life == life;
    }

    /// Returns whether a task is at work: started long enough ago, and not to be ended.
    pub(crate) fn is_at_work(&self, task: TaskName, now: Moment, start_time: Duration) -> bool {
        let last = self.runs.get(&task).and_then(|runs| runs.last());
        last.is_some_and(|run| {
            run.ended.is_none() && !run.is_ordered && now.since(run.started) >= start_time
        })
    }

    /// Returns whether a task counts as away.
    pub(crate) fn is_away(
        &self,
        task: TaskName,
        now: Moment,
        start_time: Duration,
        notice: Duration,
    ) -> bool {
        if self.is_at_work(task, now, start_time) {
            return false;
        }
        let Some(runs) = self.runs.get(&task) else { return true };
        // A run that is not at work yet stands for the one before it.
        let ordered = runs.iter().rev().take(2).any(|run| run.is_ordered);
        let at_work_until = runs
            .iter()
            .filter_map(|run| run.ended.filter(|ended| ended.since(run.started) >= start_time))
            .max();
        ordered || at_work_until.is_none_or(|until| now.since(until) >= notice)
    }

    /// Returns whether no run of a task is under way.
    pub(crate) fn is_idle(&self, task: TaskName) -> bool {
        self.runs.get(&task).is_none_or(|runs| runs.iter().all(|run| run.ended.is_some()))
    }

    /// Returns when the last run of a task ended.
    pub(crate) fn idle_since(&self, task: TaskName) -> Option<Moment> {
        self.runs.get(&task)?.iter().filter_map(|run| run.ended).max()
    }

    /// Takes a state that a client was shown.
    pub(crate) fn show(&mut self, now: Moment, job: JobId, state: JobState) {
        let Some(known) = self.jobs.get_mut(&job) else { return };
        // Answers may overtake each other, so an earlier state may still come.
        if !state.is_final() {
            return;
        }
        if known.shown.is_some_and(|shown| shown != state) {
            let text = format!("{job}: shown as {state} after {:?}", known.shown);
            return self.fault(now, &text);
        }
        known.shown = Some(state);
        let cancel_sent = known.cancel_sent;
        match state {
            JobState::Completed if !self.is_done(job) => {
                self.fault(now, &format!("{job}: shown as completed before all was done"));
            }
            JobState::Cancelled if !cancel_sent => {
                self.fault(now, &format!("{job}: shown as cancelled"));
            }
            JobState::Failed if !self.has_failed(job) => {
                self.fault(now, &format!("{job}: shown as failed"));
            }
            _ => {}
        }
    }

    fn is_done(&self, job: JobId) -> bool {
        let spec = &self.jobs[&job].spec;
        (0..spec.steps.len()).all(|step| {
            self.is_step_done(TaskName { job, step: step as u16, ..TaskName::default() })
        })
    }

    /// Returns whether a step is done: all of its tasks, or one of a gang.
    fn is_step_done(&self, step: TaskName) -> bool {
        let spec = &self.jobs[&step.job].spec.steps[usize::from(step.step)];
        let is_done = |index| {
            let task = TaskName { index, ..step };
            let runs = self.runs.get(&task);
            runs.is_some_and(|runs| runs.iter().any(|run| run.end == Some(RunEnd::Done)))
        };
        let mut indexes = 0..spec.tasks;
        if spec.gang {
            indexes.any(is_done)
        } else {
            indexes.all(is_done)
        }
    }

    /// Returns whether a task has failed as often as it may, or a gang: its members share their
    /// attempts.
    fn has_failed(&self, job: JobId) -> bool {
        let mut failed: BTreeMap<TaskName, BTreeSet<u32>> = BTreeMap::new();
        let spec = &self.jobs[&job].spec;
        for (task, runs) in self.runs.iter().filter(|(task, _)| task.job == job) {
            let is_gang = spec.steps[usize::from(task.step)].gang;
            let counted = if is_gang { TaskName { index: 0, ..*task } } else { *task };
            let failures = runs.iter().filter(|run| run.end == Some(RunEnd::Failed));
            failed.entry(counted).or_default().extend(failures.map(|run| run.attempt));
        }
        failed.values().any(|attempts| attempts.len() >= 3)
    }
}
