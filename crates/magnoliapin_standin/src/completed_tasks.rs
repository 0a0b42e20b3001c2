//! The tasks that have completed in one incarnation of a target.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::TaskId;
use magnoliapin_wire::TaskState;

/// Time for which the output of a completed task is retained.
pub const OUTPUT_RETENTION: Duration = Duration::from_secs(600);

/// Maximum size of the retained outputs of all completed tasks, in bytes.
pub const MAX_RETAINED_BYTES: u64 = 64 * 1024 * 1024;

/// Every completed task, with the outputs of the most recent ones.
///
/// A completed task has finished, failed or been stopped.
#[derive(Clone, Debug, Default)]
pub(crate) struct CompletedTasks {
    /// In order of completion.
    tasks: IndexMap<TaskId, CompletedTask>,
    /// Index of the oldest task whose output is retained.
    first_retained: usize,
    retained_bytes: u64,
}

/// The entries that started a task and hold it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TaskOwner {
    pub(crate) starter: EntryId,
    /// Differs from the starter after a transfer to an heir.
    pub(crate) holder: EntryId,
}

#[derive(Clone, Debug)]
pub(crate) struct CompletedTask {
    pub(crate) owner: TaskOwner,
    pub(crate) state: TaskState,
    pub(crate) completed_at: Moment,
    pub(crate) output: Vec<u8>,
    pub(crate) output_bytes: u64,
}

impl TaskOwner {
    /// Creates the owner of a task that `entry` starts.
    pub(crate) fn new(entry: EntryId) -> Self {
        Self { starter: entry, holder: entry }
    }

    /// Returns whether the entry started the task or holds it.
    pub(crate) fn includes(self, entry: EntryId) -> bool {
        self.starter == entry || self.holder == entry
    }

    /// Transfers the task to `heir` if `entry` holds it.
    pub(crate) fn transfer(&mut self, entry: EntryId, heir: EntryId) {
        if self.holder == entry {
            self.holder = heir;
        }
    }
}

impl CompletedTask {
    /// Returns whether the output is still retained.
    pub(crate) fn has_full_output(&self) -> bool {
        self.output.len() as u64 == self.output_bytes
    }
}

impl CompletedTasks {
    /// Adds a task that has just completed, and drops outputs beyond the limits.
    pub(crate) fn insert(&mut self, task: TaskId, completed: CompletedTask) {
        let now = completed.completed_at;
        self.retained_bytes += completed.output_bytes;
        let previous = self.tasks.insert(task, completed);
        debug_assert!(previous.is_none(), "task {task} completed twice in one incarnation");
        self.drop_excess_outputs(now);
    }

    pub(crate) fn get(&self, task: TaskId) -> Option<&CompletedTask> {
        self.tasks.get(&task)
    }

    /// Returns the tasks that completed at or after `since`, newest first.
    pub(crate) fn completed_since(
        &self,
        since: Moment,
    ) -> impl Iterator<Item = (TaskId, &CompletedTask)> + '_ {
        self.tasks
            .iter()
            .rev()
            .take_while(move |(_, completed)| completed.completed_at >= since)
            .map(|(task, completed)| (*task, completed))
    }

    /// Transfers every task that `entry` holds to `heir`.
    pub(crate) fn transfer(&mut self, entry: EntryId, heir: EntryId) {
        for completed in self.tasks.values_mut() {
            completed.owner.transfer(entry, heir);
        }
    }

    fn drop_excess_outputs(&mut self, now: Moment) {
        while let Some((_, completed)) = self.tasks.get_index_mut(self.first_retained) {
            let is_expired = now >= completed.completed_at + OUTPUT_RETENTION;
            if !is_expired && self.retained_bytes <= MAX_RETAINED_BYTES {
                return;
            }
            completed.output = Vec::new();
            self.retained_bytes -= completed.output_bytes;
            self.first_retained += 1;
        }
    }
}
