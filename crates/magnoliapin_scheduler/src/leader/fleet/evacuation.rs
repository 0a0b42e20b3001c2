//! Frees instances of what runs there, within what the jobs allow.

use magnoliapin_model::Moment;
use magnoliapin_site::InstanceName;
use magnoliapin_site::TargetState;
use magnoliapin_site::TaskName;

use crate::leader::job::Job;
use crate::leader::job::TaskState;
use crate::leader::target::RunStage;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;

/// Tries of an order that the scheduler before may have made.
const ORDER_TRIES: u32 = 4;
/// Progress at which a task that lasts is at work.
const AT_WORK: u32 = 100;

impl Leader {
    /// Keeps new work off an instance and moves the tasks that last elsewhere. Returns whether it
    /// can be taken now; `is_urgent` takes it although tasks run that would end by themselves.
    pub(super) fn prepare(
        &mut self,
        name: &InstanceName,
        is_urgent: bool,
        out: &mut Outbox,
    ) -> bool {
        let Some(key) = self.target_of(name) else { return true };
        self.fleet.reserved.insert(key);
        let Some(target) = self.targets.get(&key) else { return true };
        if target.runs.is_empty() {
            return true;
        }
        let lasting: Vec<TaskName> = target
            .runs
            .iter()
            .filter(|(_, run)| run.is_long && run.stage != RunStage::Stopping)
            .map(|(task, _)| *task)
            .collect();
        let has_lasting = target.runs.values().any(|run| run.is_long);
        for task in lasting {
            if self.may_interrupt(key, task, out.now) && self.has_other_place(key, task, out.now) {
                log::info!("event=task_evacuated task={task} instance={name}");
                self.stop_run(key, task);
            }
        }
        is_urgent && !has_lasting
    }

    /// Moves the tasks that last off targets that are leaving.
    pub(super) fn empty_draining(&mut self, out: &mut Outbox) {
        let mut leaving = Vec::new();
        for (key, target) in &self.targets {
            if target.record.state == TargetState::Ready {
                continue;
            }
            let lasting = target.runs.iter().filter(|(_, run)| run.is_long);
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
        let settled_at = self.taken_at + times.stop_grace + times.order_timeout * ORDER_TRIES;
        if self.generation > 1 && now < settled_at {
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
        self.open_places(&job.pool, now)
            .iter()
            .any(|place| place.target != key && self.fits_place(spec, task, place, 0))
    }

    /// Returns whether a target has reported lately enough to say what is at work there.
    fn is_heard(&self, target: &Target, now: Moment) -> bool {
        let times = &self.identity.times;
        let longest = times.hold_wait + times.answer_slack;
        let reported_at = target.clock.map(|reading| reading.read_at);
        target.failed_holds == 0 && reported_at.is_some_and(|at| now.since(at) <= longest)
    }

    /// Counts the other tasks of a step that are not at work.
    fn away(&self, job: &Job, task: TaskName, now: Moment) -> u32 {
        let occurrence = job.occurrence(task.occurrence);
        let step = occurrence.and_then(|open| open.steps.get(usize::from(task.step)));
        let Some(step) = step else { return 0 };
        let is_away = |index: &usize| {
            let TaskState::Placed(target) = step.tasks[*index].state else { return true };
            let name = TaskName { index: *index as u32, ..task };
            let target = self.targets.get(&target);
            let target = target.filter(|target| self.is_heard(target, now));
            let run = target.and_then(|target| target.runs.get(&name));
            run.is_none_or(|run| run.stage != RunStage::Running || run.percent < AT_WORK)
        };
        let others = (0..step.tasks.len()).filter(|index| *index != task.index as usize);
        others.filter(is_away).count() as u32
    }
}
