//! The tasks that have ended in one run of a target.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::TaskId;
use magnoliapin_wire::TaskState;

/// Time for which the output of an ended task is kept.
pub const OUTPUT_RETENTION: Duration = Duration::from_secs(600);

/// Most bytes of output that are kept for all ended tasks together.
pub const MAX_RETAINED_BYTES: u64 = 64 * 1024 * 1024;

/// Remembers every ended task, and the outputs of those that ended lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndedTasks {
    /// In the order in which the tasks ended.
    tasks: IndexMap<TaskId, EndedTask>,
    /// Index of the first task that still has its output.
    first_retained: usize,
    retained_bytes: u64,
}

/// Entries that a task belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TaskOwner {
    /// The entry that started the task.
    pub(crate) starter: EntryId,
    /// The entry that holds it now.
    pub(crate) holder: EntryId,
}

#[derive(Clone, Debug)]
pub(crate) struct EndedTask {
    pub(crate) owner: TaskOwner,
    pub(crate) state: TaskState,
    pub(crate) ended_at: Moment,
    pub(crate) output: Vec<u8>,
    pub(crate) output_bytes: u64,
}

impl TaskOwner {
    /// Makes the owner of a task that `entry` starts.
    pub(crate) fn new(entry: EntryId) -> Self {
        Self { starter: entry, holder: entry }
    }

    /// Returns whether the entry started the task or holds it.
    pub(crate) fn includes(self, entry: EntryId) -> bool {
        self.starter == entry || self.holder == entry
    }

    /// Hands the task over if `entry` holds it.
    pub(crate) fn hand_over(&mut self, entry: EntryId, heir: EntryId) {
        if self.holder == entry {
            self.holder = heir;
        }
    }
}

impl EndedTask {
    /// Returns whether the output is still there.
    pub(crate) fn is_whole(&self) -> bool {
        self.output.len() as u64 == self.output_bytes
    }
}

impl EndedTasks {
    /// Adds a task that has just ended.
    pub(crate) fn insert(&mut self, task: TaskId, ended: EndedTask) {
        let now = ended.ended_at;
        self.retained_bytes += ended.output_bytes;
        let earlier = self.tasks.insert(task, ended);
        debug_assert!(earlier.is_none(), "task {task} ended twice in one run");
        self.forget_outputs(now);
    }

    /// Returns an ended task.
    pub(crate) fn get(&self, task: TaskId) -> Option<&EndedTask> {
        self.tasks.get(&task)
    }

    /// Returns the tasks that ended after `since`, newest first.
    pub(crate) fn ended_since(
        &self,
        since: Moment,
    ) -> impl Iterator<Item = (TaskId, &EndedTask)> + '_ {
        self.tasks
            .iter()
            .rev()
            .take_while(move |(_, ended)| ended.ended_at >= since)
            .map(|(task, ended)| (*task, ended))
    }

    /// Hands every task that `entry` holds over to `heir`.
    pub(crate) fn hand_over(&mut self, entry: EntryId, heir: EntryId) {
        for ended in self.tasks.values_mut() {
            ended.owner.hand_over(entry, heir);
        }
    }

    fn forget_outputs(&mut self, now: Moment) {
        while let Some((_, ended)) = self.tasks.get_index_mut(self.first_retained) {
            let is_old = now >= ended.ended_at + OUTPUT_RETENTION;
            if !is_old && self.retained_bytes <= MAX_RETAINED_BYTES {
                return;
            }
            ended.output = Vec::new();
            self.retained_bytes -= ended.output_bytes;
            self.first_retained += 1;
        }
    }
}
