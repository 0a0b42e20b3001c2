//! Calls of the simulated callers, their answers, and the starts and effects of their work.

use indexmap::IndexMap;
use magnoliapin_model::KeyHash;
use magnoliapin_model::Moment;
use magnoliapin_model::QueueId;
use magnoliapin_model::TaskId;
use magnoliapin_model::WorkId;
use magnoliapin_wire::StartTask;

use crate::target_node::CallSource;

/// Kind of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    Run,
    Submit,
    Read,
    Cancel,
    Apply,
}

/// A call without an answer yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    pub(crate) kind: CallKind,
    pub(crate) key: Option<KeyHash>,
    pub(crate) marker: u64,
    /// When the entry received the call.
    pub(crate) received_at: Moment,
}

/// One piece of work, identified by the marker in its payload.
#[derive(Clone, Debug)]
pub(crate) struct WorkRecord {
    pub(crate) queue: QueueId,
    pub(crate) payload: Vec<u8>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) idempotent: bool,
    pub(crate) is_job: bool,
    /// Whether it crashes each target that starts it.
    pub(crate) crash: bool,
    /// Whether every answer so far stated that the work did not run.
    pub(crate) is_always_not_run: bool,
    pub(crate) answers: u32,
    pub(crate) job: Option<WorkId>,
    pub(crate) starts: u32,
    pub(crate) effects: u32,
}

/// Unanswered calls and all work sent.
#[derive(Debug, Default)]
pub(crate) struct CallerRegistry {
    pub(crate) pending: IndexMap<CallSource, PendingCall>,
    pub(crate) works: Vec<WorkRecord>,
    tasks: IndexMap<TaskId, u64>,
}

impl CallerRegistry {
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

    /// Records that a target started a task. Returns its work.
    pub(crate) fn record_start(&mut self, start: &StartTask) -> Option<&WorkRecord> {
        let marker = marker_of(&start.payload)?;
        self.tasks.insert(start.task, marker);
        let work = self.work_mut(marker)?;
        work.starts += 1;
        Some(work)
    }

    /// Records that a task took effect. Returns its marker and work.
    pub(crate) fn record_effect(&mut self, task: TaskId) -> Option<(u64, WorkRecord)> {
        let marker = *self.tasks.get(&task)?;
        let work = self.work_mut(marker)?;
        work.effects += 1;
        Some((marker, work.clone()))
    }

    /// Drops the unanswered calls of an entry up to an incarnation; their callers lost their
    /// connections. Returns how many there were.
    pub(crate) fn drop_calls(&mut self, entry: usize, incarnation: u32) -> u64 {
        let mut dropped = Vec::new();
        self.pending.retain(|source, call| {
            let is_lost = source.entry == entry && source.incarnation <= incarnation;
            if is_lost {
                dropped.push(call.marker);
            }
            !is_lost
        });
        for marker in &dropped {
            if let Some(work) = self.work_mut(*marker) {
                work.is_always_not_run = false;
                work.answers += 1;
            }
        }
        dropped.len() as u64
    }
}

/// Parses the marker in a payload.
pub(crate) fn marker_of(payload: &[u8]) -> Option<u64> {
    let value = serde_json::from_slice::<serde_json::Value>(payload).ok()?;
    value.get("marker")?.as_u64()
}
