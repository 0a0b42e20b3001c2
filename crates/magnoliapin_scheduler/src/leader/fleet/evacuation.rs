//! Frees instances of what runs there, within what the jobs allow.

use magnoliapin_site::InstanceName;
use magnoliapin_site::TaskName;

use crate::leader::job::Job;
use crate::leader::job::TaskState;
use crate::leader::target::RunStage;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;

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
            if self.may_interrupt(key, task) {
                log::info!("event=task_evacuated task={task} instance={name}");
                self.stop_run(key, task);
            }
        }
        let _ = out;
        is_urgent && !has_lasting
    }

    /// Returns whether a task that lasts may be stopped: as many others of its step as may be
    /// away must be left to spare.
    fn may_interrupt(&self, key: TargetKey, task: TaskName) -> bool {
        let job = self.job_keys.get(&task.job).and_then(|job| self.jobs.get(job));
        let Some(job) = job else { return true };
        let Some(spec) = job.step_spec(task) else { return true };
        let Some(most) = spec.max_unavailable else {
            return true;
        };
        let is_here = job.task(task).is_some_and(|known| known.state == TaskState::Placed(key));
        is_here && self.away(job, task) < most.max(1)
    }

    /// Counts the other tasks of a step that are not at work.
    fn away(&self, job: &Job, task: TaskName) -> u32 {
        let occurrence = job.occurrence(task.occurrence);
        let step = occurrence.and_then(|open| open.steps.get(usize::from(task.step)));
        let Some(step) = step else { return 0 };
        let is_away = |index: &usize| {
            let TaskState::Placed(target) = step.tasks[*index].state else { return true };
            let name = TaskName { index: *index as u32, ..task };
            let target = self.targets.get(&target);
            let run = target.and_then(|target| target.runs.get(&name));
            run.is_none_or(|run| run.stage != RunStage::Running || run.percent < AT_WORK)
        };
        let others = (0..step.tasks.len()).filter(|index| *index != task.index as usize);
        others.filter(is_away).count() as u32
    }
}
