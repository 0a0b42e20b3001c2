//! Starts without a reply, which a later incarnation of their target may carry out seconds late.
//!
//! A task that has lost its run waits for them before it starts elsewhere. Only the leader that sent them
//! knows of them, so it lists them in the row of the last batch; the next leader waits for the rest of
//! the time. A start that has been in progress for less than its timeout is not listed yet.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_site::TargetName;
use magnoliapin_site::TaskName;

use crate::leader::job::TaskState;
use crate::leader::target::Run;
use crate::leader::Leader;
use crate::rows::LateStartRow;
use crate::times::MAX_INHERITED_SERVICE_WAIT;
use crate::times::MAX_ORDER_DELAY;

#[cfg(test)]
#[path = "late_starts_tests.rs"]
mod tests;

/// Time between two records while a task waits, so that the next leader does not wait much longer.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a start without a reply waits for a batch that is sent anyway.
const MAX_RECORD_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of starts that are recorded, as they share a row of limited size.
const MAX_RECORDED: usize = 400;

/// A start of a task that a later incarnation of a target may carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LateStart {
    target: TargetName,
    /// When it must have arrived, or when the task no longer waits for it.
    until: Moment,
    /// Whether the task has lost its run and waits.
    is_awaited: bool,
}

/// The last such start of each task.
#[derive(Debug)]
pub(super) struct LateStarts {
    starts: IndexMap<TaskName, LateStart>,
    /// When they must be listed in a batch at the latest; `None` while the last one lists all of them.
    record_by: Option<Moment>,
    recorded_at: Moment,
}

impl LateStarts {
    /// Creates an empty list.
    pub(super) fn new(now: Moment) -> Self {
        Self { starts: IndexMap::new(), record_by: None, recorded_at: now }
    }

    /// Adds a start that has no reply.
    pub(super) fn add_unanswered(
        &mut self,
        task: TaskName,
        target: TargetName,
        until: Moment,
        now: Moment,
    ) {
        self.starts.insert(task, LateStart { target, until, is_awaited: false });
        self.record_by.get_or_insert(now + MAX_RECORD_DELAY);
    }

    /// Adds a start that a task waits for, as it has lost its run.
    pub(super) fn add_awaited(
        &mut self,
        task: TaskName,
        target: TargetName,
        until: Moment,
        now: Moment,
    ) {
        self.starts.insert(task, LateStart { target, until, is_awaited: true });
        self.record_by = Some(now);
    }

    /// Has them listed at once, as a target that they were sent to is silent.
    pub(super) fn record_soon(&mut self, now: Moment) {
        self.record_by = self.record_by.map(|at| at.min(now));
    }

    /// Returns whether the row of the last batch must be written again.
    pub(super) fn must_record(&self, now: Moment) -> bool {
        let is_awaited = |start: &LateStart| start.is_awaited && now < start.until;
        self.record_by.is_some_and(|at| now >= at)
            || (now.since(self.recorded_at) >= RECORD_INTERVAL
                && self.starts.values().any(is_awaited))
    }

    /// Lists the starts for the row of a batch that is sent now, those that tasks wait for first.
    pub(super) fn record(&mut self, now: Moment) -> Vec<LateStartRow> {
        self.starts.retain(|_, start| now < start.until);
        self.record_by = None;
        self.recorded_at = now;
        if self.starts.len() > MAX_RECORDED {
            log::warn!("event=late_starts_unrecorded count={}", self.starts.len() - MAX_RECORDED);
        }
        let awaited = self.starts.iter().filter(|(_, start)| start.is_awaited);
        let unanswered = self.starts.iter().filter(|(_, start)| !start.is_awaited);
        let recorded = awaited.chain(unanswered).take(MAX_RECORDED);
        recorded
            .map(|(task, start)| LateStartRow {
                task: *task,
                target: start.target.clone(),
                wait_ms: u64::try_from(start.until.since(now).as_millis()).unwrap_or_default(),
            })
            .collect()
    }

    /// Notes that the last batch may not have been stored.
    pub(super) fn record_again(&mut self, now: Moment) {
        if !self.starts.is_empty() {
            self.record_by = Some(now);
        }
    }
}

impl Leader {
    /// Adds the starts whose replies this leader may not wait for.
    pub(super) fn add_open_starts(&mut self, now: Moment) {
        for target in self.targets.values() {
            for (task, until) in target.open_starts() {
                let name = target.record.name.clone();
                self.late_starts.add_unanswered(task, name, until, now);
            }
        }
    }

    /// Lets the tasks wait for starts of the leader before. Whether their runs are lost is not known yet.
    pub(super) fn inherit_late_starts(&mut self, now: Moment) {
        for row in std::mem::take(&mut self.inherited_late_starts) {
            let Some(job_key) = self.job_keys.get(&row.task.job).copied() else { continue };
            let Some(job) = self.jobs.get_mut(&job_key) else { continue };
            let is_long_running = job.step_spec(row.task).is_some_and(|step| step.long_running);
            let wait = Duration::from_millis(row.wait_ms).min(MAX_ORDER_DELAY);
            let wait = if is_long_running { wait.min(MAX_INHERITED_SERVICE_WAIT) } else { wait };
            let Some(task) = job.task_mut(row.task) else { continue };
            let target = self.target_keys.get(&row.target).and_then(|key| self.targets.get(key));
            let has_reported = target.is_some_and(|target| target.has_reported);
            if task.state != TaskState::Waiting || has_reported {
                continue;
            }
            let until = self.acquired_at + wait;
            log::info!(
                "event=late_start_inherited task={} target={} wait_ms={}",
                row.task,
                row.target,
                wait.as_millis()
            );
            task.lost_at = Some(until);
            self.unconfirmed_losses.insert(row.task);
            self.late_starts.add_awaited(row.task, row.target, until, now);
        }
    }

    /// Ends the wait for starts on a target that has reported under this leader's fence, if its incarnation is
    /// the one that the leader before has recorded: it refuses them from now on. One that has restarted may
    /// do so again, and its next incarnation carries them out.
    pub(super) fn end_wait_for_late_starts(&mut self, target: &TargetName, now: Moment) {
        let starts = self.late_starts.starts.iter_mut();
        let awaited = starts.filter(|(_, start)| start.is_awaited && start.target == *target);
        for (name, start) in awaited {
            start.is_awaited = false;
            let job = self.job_keys.get(&name.job).and_then(|key| self.jobs.get_mut(key));
            if let Some(task) = job.and_then(|job| job.task_mut(*name)) {
                task.lost_at = task.lost_at.map(|at| at.min(now));
            }
        }
    }

    /// Lets a run that a target has reported count as one of which a start has no reply, if the leader
    /// before has listed such a start.
    pub(super) fn inherit_open_start(&self, target: &TargetName, task: TaskName, run: &mut Run) {
        let start = self.late_starts.starts.get(&task).filter(|start| start.target == *target);
        if let Some(start) = start {
            run.open_starts = 1;
            run.start_sent_at = Some(start.until.before(MAX_ORDER_DELAY));
        }
    }
}
