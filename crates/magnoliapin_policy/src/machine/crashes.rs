//! Work under which targets crash.
//!
//! A target runs several tasks, and its crash does not show which of them caused it. Work is
//! therefore given up only when targets crash under it repeatedly, and the jobs that one crash has hit
//! are retried at different times, so that they do not meet on the next target as well.

use std::time::Duration;

use indexmap::IndexSet;
use magnoliapin_model::WorkId;

use crate::tasks::CompletedTask;
use crate::tasks::TaskOutcome;
use crate::EntryMachine;

/// Number of different instances whose crash under the same work ends it.
const MAX_CRASHED_INSTANCES: usize = 2;
/// Number of crashes that end work even if they were all on one instance.
const MAX_CRASHES: usize = 3;
/// Time over which the jobs that one crash has hit are retried.
const RETRY_SPREAD: Duration = Duration::from_secs(4);

impl EntryMachine {
    /// Records that a target crashed under an attempt. The end of a target that announced it is not
    /// a crash.
    pub(crate) fn record_crash(&mut self, completed: &CompletedTask) {
        let target = completed.entry.target;
        let is_crash = completed.outcome == TaskOutcome::Lost
            && !self.targets.has_announced_end(target.instance, target.run);
        if let Some(entry) = self.work.get_mut(completed.task.work).filter(|_| is_crash) {
            entry.crashed.push(target);
        }
    }

    /// Returns whether so many targets crashed under work that it is not run again.
    pub(crate) fn is_crashing_targets(&self, work: WorkId) -> bool {
        let Some(entry) = self.work.get(work) else { return false };
        let instances = entry.crashed.iter().map(|target| target.instance);
        instances.collect::<IndexSet<_>>().len() >= MAX_CRASHED_INSTANCES
            || entry.crashed.len() >= MAX_CRASHES
    }

    /// Describes the crashes under work for its caller.
    pub(crate) fn crash_reason(&self, work: WorkId) -> String {
        let crashed = self.work.get(work).map_or(&[][..], |entry| &entry.crashed);
        let instances = crashed.iter().map(|target| target.instance.to_string());
        let instances = instances.collect::<IndexSet<_>>().into_iter().collect::<Vec<_>>();
        format!("targets crashed while they ran it: instances {}", instances.join(", "))
    }

    /// Retries idempotent work whose attempt was lost or stopped.
    pub(crate) fn retry_interrupted(&mut self, work: WorkId) {
        self.retry_after_backoff(work);
        let Some(entry) = self.work.get_mut(work) else { return };
        entry.may_have_run = true;
        if !entry.crashed.is_empty() && !entry.is_request() {
            entry.stage_time = entry.stage_time + self.out.random_span(RETRY_SPREAD);
        }
    }
}
