//! An unfinished job, with the state of each of its tasks.

use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::JobId;
use magnoliapin_site::JobSpec;
use magnoliapin_site::JobState;
use magnoliapin_site::PoolName;
use magnoliapin_site::QueueName;
use magnoliapin_site::Resources;
use magnoliapin_site::StepSpec;
use magnoliapin_site::StoredInput;
use magnoliapin_site::TaskName;
use magnoliapin_site::TeamName;

use crate::job_size::JobSize;
use crate::job_size::MAX_OPEN_TASKS;
use crate::leader::target::TargetKey;
use crate::rows::JobRule;
use crate::rows::OccurrenceProgress;
use crate::rows::ProgressRow;
use crate::rows::TaskCrash;
use crate::rows::TaskCrashes;
use crate::rows::TaskFailures;

/// Key of a job in the leader's map; unique within one leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct JobKey(pub(crate) u64);

/// An unfinished job.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) partition: u32,
    pub(crate) queue: QueueName,
    pub(crate) pool: PoolName,
    pub(crate) team: Option<TeamName>,
    pub(crate) spec: JobSpec,
    /// Where its input is stored, if that is not in the specification.
    pub(crate) input: Option<StoredInput>,
    /// What it takes until it has finished.
    pub(crate) size: JobSize,
    /// When it was accepted, on this process's clock.
    pub(crate) accepted_at: Moment,
    /// Whether it was accepted before this leader took over.
    pub(crate) is_inherited: bool,
    /// Whether it arrived beyond the share of its team. A leader does not know this of the jobs that it
    /// inherits.
    pub(crate) is_over_share: bool,
    /// Occurrences that have started and are not done.
    pub(crate) occurrences: Vec<Occurrence>,
    /// Number of the next occurrence to start.
    pub(crate) next_occurrence: u32,
    /// Occurrences that are done.
    pub(crate) done_occurrences: u32,
    /// Version of the row of its progress; 0 if there is none.
    pub(crate) progress_version: RowVersion,
    /// Number of further rows that its progress takes at most, as it is larger than a row.
    pub(crate) progress_pieces: u32,
    /// Whether the store has a cancellation request for it.
    pub(crate) has_cancel_row: bool,
    /// Final state, which waits to be stored; `None` while the job is open.
    pub(crate) final_state: Option<JobState>,
    /// Whether a task has started.
    pub(crate) has_started: bool,
    /// Counts changes that must be stored.
    pub(crate) changes: u64,
    /// Changes that are stored.
    pub(crate) stored_changes: u64,
    /// Scheduling parameters of its queue when it was accepted.
    pub(crate) rule: JobRule,
}

/// One execution of the steps of a job; a scheduled job has several.
#[derive(Debug)]
pub(crate) struct Occurrence {
    pub(crate) number: u32,
    /// When it is due, on this process's clock.
    pub(crate) due_at: Moment,
    pub(crate) steps: Vec<Step>,
}

/// One step of an occurrence.
#[derive(Debug, Default)]
pub(crate) struct Step {
    pub(crate) tasks: Vec<Task>,
    pub(crate) done: u32,
    pub(crate) waiting: u32,
    /// Whether every step that it depends on is done.
    pub(crate) is_open: bool,
}

/// One task.
#[derive(Debug, Default)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    /// Highest attempt number so far.
    pub(crate) attempt: u32,
    /// Numbers of the failed attempts. They are kept one by one because targets report completions
    /// in any order, and repeat them until they are acknowledged.
    pub(crate) failed: Vec<u32>,
    pub(crate) checkpoint: Option<String>,
    /// Unexpected ends of targets that ran it.
    pub(crate) crashes: Vec<TaskCrash>,
    /// Number of the job's change that includes the last of them.
    pub(crate) crash_change: u64,
    /// Target on which it last failed.
    pub(crate) avoided_target: Option<TargetKey>,
    /// When its last run stopped or was lost; `None` if there was no such run. It is used only for
    /// long-running tasks that wait.
    pub(crate) unavailable_since: Option<Moment>,
    /// When its run was taken for lost without a report from its target. Another leader may have
    /// taken over and keep the run alive, so the task starts again only after the store has
    /// confirmed this leader.
    pub(crate) lost_at: Option<Moment>,
}

/// State of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// It waits to be placed on a target.
    #[default]
    Waiting,
    /// It has a run on a target, whose start may not be sent yet.
    Placed(TargetKey),
    /// It has completed its work.
    Done,
}

impl Step {
    fn new(spec: &StepSpec) -> Self {
        let tasks = (0..spec.tasks).map(|_| Task::default()).collect();
        Self { tasks, done: 0, waiting: spec.tasks, is_open: false }
    }

    /// Returns whether all tasks have completed their work.
    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Sets the state of a task and updates the counts.
    pub(crate) fn set_state(&mut self, index: u32, state: TaskState) {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return;
        };
        let previous = std::mem::replace(&mut task.state, state);
        match previous {
            TaskState::Waiting => self.waiting -= 1,
            TaskState::Done => self.done -= 1,
            TaskState::Placed(_) => {}
        }
        match state {
            TaskState::Waiting => self.waiting += 1,
            TaskState::Done => self.done += 1,
            TaskState::Placed(_) => {}
        }
    }
}

impl Occurrence {
    /// Creates an occurrence with all tasks waiting.
    pub(crate) fn new(number: u32, due_at: Moment, spec: &JobSpec) -> Self {
        let steps = spec.steps.iter().map(Step::new).collect();
        let mut occurrence = Self { number, due_at, steps };
        occurrence.open_steps(spec);
        occurrence
    }

    /// Opens the steps whose dependencies are done.
    pub(crate) fn open_steps(&mut self, spec: &JobSpec) {
        for (number, step) in spec.steps.iter().enumerate() {
            let is_open = step.after.iter().all(|after| self.steps[usize::from(*after)].is_done());
            self.steps[number].is_open = is_open;
        }
    }

    /// Returns whether all steps are done.
    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(Step::is_done)
    }

    /// Restores the stored progress of the occurrence.
    fn restore(&mut self, progress: &OccurrenceProgress, spec: &JobSpec) {
        for (number, bits) in progress.done.iter().enumerate() {
            let Some(step) = self.steps.get_mut(number) else { continue };
            for index in 0..step.tasks.len() {
                if bits.get(index / 8).is_some_and(|byte| byte & (1 << (index % 8)) != 0) {
                    step.set_state(index as u32, TaskState::Done);
                }
            }
        }
        for failed in &progress.failures {
            if let Some(task) = self.task_mut(failed.step, failed.index) {
                task.failed.clone_from(&failed.attempts);
                let highest = failed.attempts.iter().copied().max().unwrap_or_default();
                task.attempt = task.attempt.max(highest);
            }
        }
        for (step, index, checkpoint) in &progress.checkpoints {
            if let Some(task) = self.task_mut(*step, *index) {
                task.checkpoint = Some(checkpoint.clone());
            }
        }
        self.open_steps(spec);
    }

    fn task_mut(&mut self, step: u16, index: u32) -> Option<&mut Task> {
        self.steps.get_mut(usize::from(step))?.tasks.get_mut(index as usize)
    }

    fn progress(&self) -> OccurrenceProgress {
        let mut progress = OccurrenceProgress { number: self.number, ..Default::default() };
        for (number, step) in self.steps.iter().enumerate() {
            let mut bits = vec![0_u8; step.tasks.len().div_ceil(8)];
            for (index, task) in step.tasks.iter().enumerate() {
                if task.state == TaskState::Done {
                    bits[index / 8] |= 1 << (index % 8);
                    continue;
                }
                let (step, index) = (number as u16, index as u32);
                if !task.failed.is_empty() {
                    let attempts = task.failed.clone();
                    progress.failures.push(TaskFailures { step, index, attempts });
                }
                if let Some(checkpoint) = &task.checkpoint {
                    progress.checkpoints.push((step, index, checkpoint.clone()));
                }
            }
            progress.done.push(bits);
        }
        progress
    }
}

impl Job {
    /// Returns an occurrence; `None` if it is done or has not started.
    pub(crate) fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences.iter().find(|occurrence| occurrence.number == number)
    }

    /// Returns an occurrence for modification; `None` if it is done or has not started.
    pub(crate) fn occurrence_mut(&mut self, number: u32) -> Option<&mut Occurrence> {
        self.occurrences.iter_mut().find(|occurrence| occurrence.number == number)
    }

    /// Returns the step of a task for modification.
    pub(crate) fn step_mut(&mut self, task: TaskName) -> Option<&mut Step> {
        self.occurrence_mut(task.occurrence)?.steps.get_mut(usize::from(task.step))
    }

    /// Returns a task; `None` if its occurrence is done or has not started.
    pub(crate) fn task(&self, task: TaskName) -> Option<&Task> {
        let step = self.occurrence(task.occurrence)?.steps.get(usize::from(task.step))?;
        step.tasks.get(task.index as usize)
    }

    /// Returns a task for modification.
    pub(crate) fn task_mut(&mut self, task: TaskName) -> Option<&mut Task> {
        self.step_mut(task)?.tasks.get_mut(task.index as usize)
    }

    /// Returns a task for modification, unless it is done.
    pub(crate) fn open_task_mut(&mut self, name: TaskName) -> Option<&mut Task> {
        self.task_mut(name).filter(|task| task.state != TaskState::Done)
    }

    /// Returns whether a task waits in an open step.
    pub(crate) fn is_open_waiting(&self, name: TaskName) -> bool {
        let step = self.occurrence(name.occurrence);
        let step = step.and_then(|occurrence| occurrence.steps.get(usize::from(name.step)));
        step.is_some_and(|step| step.is_open)
            && self.task(name).is_some_and(|task| task.state == TaskState::Waiting)
    }

    /// Returns the crashes of targets under unfinished tasks, as they are stored.
    pub(crate) fn crashes(&self) -> Vec<TaskCrashes> {
        let mut crashes = Vec::new();
        for occurrence in &self.occurrences {
            for (step, number) in occurrence.steps.iter().zip(0..) {
                let crashed =
                    step.tasks.iter().zip(0..).filter(|(task, _)| {
                        task.state != TaskState::Done && !task.crashes.is_empty()
                    });
                crashes.extend(crashed.map(|(task, index)| TaskCrashes {
                    occurrence: occurrence.number,
                    step: number,
                    index,
                    crashes: task.crashes.clone(),
                }));
            }
        }
        crashes
    }

    /// Restores the stored crashes of targets under its tasks. Returns these tasks.
    pub(crate) fn restore_crashes(&mut self, stored: &[TaskCrashes]) -> Vec<TaskName> {
        let mut restored = Vec::new();
        for crashed in stored {
            let (occurrence, step, index) = (crashed.occurrence, crashed.step, crashed.index);
            let name = TaskName { job: self.id, occurrence, step, index };
            if let Some(task) = self.open_task_mut(name) {
                task.crashes.clone_from(&crashed.crashes);
                restored.push(name);
            }
        }
        restored
    }

    /// Returns the specification of a task's step.
    pub(crate) fn step_spec(&self, task: TaskName) -> Option<&StepSpec> {
        self.spec.steps.get(usize::from(task.step))
    }

    /// Returns whether another occurrence may start beside those that are open.
    pub(crate) fn may_open_occurrence(&self) -> bool {
        let tasks: u64 = self.spec.steps.iter().map(|step| u64::from(step.tasks)).sum();
        let open = self.occurrences.len() as u64;
        open == 0 || tasks.saturating_mul(open + 1) <= MAX_OPEN_TASKS
    }

    /// Returns whether all occurrences are done.
    pub(crate) fn is_done(&self) -> bool {
        self.occurrences.is_empty() && self.done_occurrences >= self.spec.occurrences()
    }

    /// Returns an upper bound of the resources that tasks which are taken for waiting may use, as
    /// the previous leader may have started them.
    pub(crate) fn max_unresolved_use(&self) -> Resources {
        let mut bound = Resources::NONE;
        for occurrence in &self.occurrences {
            let steps = self.spec.steps.iter().zip(&occurrence.steps);
            let demands = steps.map(|(spec, step)| spec.demand.saturating_mul(step.waiting));
            // Steps of a chain never run at the same time.
            let of_occurrence = demands.reduce(|sum, demand| match self.spec.is_chain() {
                true => sum.component_max(demand),
                false => sum + demand,
            });
            bound += of_occurrence.unwrap_or_default();
        }
        bound
    }

    /// Returns whether a task waits in an open step.
    pub(crate) fn has_waiting(&self) -> bool {
        self.final_state.is_none()
            && self.occurrences.iter().any(|occurrence| {
                occurrence.steps.iter().any(|step| step.is_open && step.waiting > 0)
            })
    }

    /// Restores the stored progress of the job.
    pub(crate) fn restore(&mut self, row: &ProgressRow, due_at: impl Fn(u32) -> Moment) {
        for progress in &row.occurrences {
            self.next_occurrence = self.next_occurrence.max(progress.number + 1);
            if progress.is_done {
                self.done_occurrences += 1;
                continue;
            }
            let due_at = due_at(progress.number);
            let mut occurrence = Occurrence::new(progress.number, due_at, &self.spec);
            occurrence.restore(progress, &self.spec);
            if occurrence.is_done() {
                self.done_occurrences += 1;
            } else {
                self.occurrences.push(occurrence);
            }
        }
    }

    /// Returns the progress of the job as it is stored.
    pub(crate) fn progress(&self) -> ProgressRow {
        let open: Vec<u32> = self.occurrences.iter().map(|open| open.number).collect();
        let done = (0..self.next_occurrence).filter(|number| !open.contains(number));
        let done = done.map(|number| OccurrenceProgress {
            number,
            is_done: true,
            ..OccurrenceProgress::default()
        });
        let mut occurrences: Vec<_> = done.collect();
        occurrences.extend(self.occurrences.iter().map(Occurrence::progress));
        ProgressRow { occurrences }
    }
}
