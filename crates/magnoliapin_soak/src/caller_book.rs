//! What callers asked for, what they were told, and what targets did.

use indexmap::IndexMap;
use magnoliapin_model::KeyHash;
use magnoliapin_model::Moment;
use magnoliapin_model::QueueId;
use magnoliapin_model::TaskId;
use magnoliapin_model::WorkId;
use magnoliapin_wire::StartTask;

use crate::target_node::CallSource;

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    Run,
    Submit,
    Read,
    Cancel,
    Apply,
}

/// A call that is not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct OpenCall {
    pub(crate) kind: CallKind,
    pub(crate) key: Option<KeyHash>,
    pub(crate) marker: u64,
    /// When the entry took the call.
    pub(crate) taken_at: Moment,
}

/// One piece of work, recognised by a marker in its payload.
#[derive(Clone, Debug)]
pub(crate) struct WorkRecord {
    pub(crate) queue: QueueId,
    pub(crate) payload: Vec<u8>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) idempotent: bool,
    pub(crate) is_job: bool,
    /// Whether every answer so far said that the work did not run.
    pub(crate) only_not_run: bool,
    pub(crate) answers: u32,
    pub(crate) job: Option<WorkId>,
    pub(crate) starts: u32,
    pub(crate) effects: u32,
}

/// Every call and every piece of work.
#[derive(Debug, Default)]
pub(crate) struct CallerBook {
    pub(crate) open: IndexMap<CallSource, OpenCall>,
    pub(crate) works: Vec<WorkRecord>,
    tasks: IndexMap<TaskId, u64>,
}

impl CallerBook {
    pub(crate) fn add(&mut self, record: WorkRecord) -> u64 {
        self.works.push(record);
        self.works.len() as u64 - 1
    }

    pub(crate) fn work_mut(&mut self, marker: u64) -> Option<&mut WorkRecord> {
        self.works.get_mut(usize::try_from(marker).ok()?)
    }

    pub(crate) fn work(&self, marker: u64) -> Option<&WorkRecord> {
        self.works.get(usize::try_from(marker).ok()?)
    }

    /// Notes that a target started a task.
    pub(crate) fn note_start(&mut self, start: &StartTask) {
        let Some(marker) = marker_of(&start.payload) else { return };
        self.tasks.insert(start.task, marker);
        if let Some(work) = self.work_mut(marker) {
            work.starts += 1;
        }
    }

    /// Notes that a task took effect. Returns its work.
    pub(crate) fn note_effect(&mut self, task: TaskId) -> Option<(u64, WorkRecord)> {
        let marker = *self.tasks.get(&task)?;
        let work = self.work_mut(marker)?;
        work.effects += 1;
        Some((marker, work.clone()))
    }

    /// Forgets the calls of a boot that is over; their callers lost their connections.
    pub(crate) fn drop_boot(&mut self, entry: usize, boot: u32) -> u64 {
        let mut dropped = Vec::new();
        self.open.retain(|source, call| {
            let is_over = source.entry == entry && source.boot <= boot;
            if is_over {
                dropped.push(call.marker);
            }
            !is_over
        });
        for marker in &dropped {
            if let Some(work) = self.work_mut(*marker) {
                work.only_not_run = false;
                work.answers += 1;
            }
        }
        dropped.len() as u64
    }
}

/// Reads the marker out of a payload.
pub(crate) fn marker_of(payload: &[u8]) -> Option<u64> {
    let value = serde_json::from_slice::<serde_json::Value>(payload).ok()?;
    value.get("marker")?.as_u64()
}
