//! What shows which runs of a target that has ended may be the cause.
//!
//! The suspects are the runs that had just started when the target was last heard from; if there are none, all
//! others are.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::RunId;
use magnoliapin_site::TaskName;

use crate::leader::target::Run;
use crate::leader::target::RunStage;
use crate::leader::target::Target;

/// Time after which a long-running task has shown that it does not crash its target.
const PROBATION: Duration = Duration::from_secs(10);
/// Time after a start within which its target must be known to have crashed for the crash to be the effect
/// of the start even if it was not confirmed.
const SUDDEN_CRASH: Duration = Duration::from_millis(500);
/// Time for which a run must have gone on so that others that have just started are suspected instead.
const SETTLING_TIME: Duration = Duration::from_millis(200);

/// A run on a target that has crashed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashedRun {
    pub(crate) id: RunId,
    /// Whether the target had certainly begun it.
    pub(super) is_certain: bool,
    /// Whether it may be the cause; if not, others that had just started are.
    pub(super) is_suspect: bool,
}

impl Run {
    /// Returns whether the run had gone on for a while when its target was last heard from.
    fn has_settled(&self, last_contact_at: Moment) -> bool {
        self.confirmed_at.is_some_and(|at| last_contact_at.since(at) >= SETTLING_TIME)
    }

    /// Returns whether the run is long-running and has lasted, so that it is not the cause of a crash.
    pub(super) fn is_proven(&self, now: Moment) -> bool {
        self.is_long_running && now.since(self.placed_at) >= PROBATION
    }
}

impl Target {
    /// Returns the tasks whose runs had gone on for a while when the target was last heard from.
    pub(super) fn settled_tasks(&self) -> Vec<TaskName> {
        let settled = self.runs.iter().filter(|(_, run)| run.has_settled(self.last_contact_at));
        settled.map(|(name, _)| *name).collect()
    }

    /// Returns the runs that an unexpected end of the target is charged to.
    pub(super) fn crashed_runs(&self, now: Moment) -> Vec<CrashedRun> {
        let charged = self.runs.iter();
        let charged = charged.filter(|(_, run)| run.is_sent && !run.is_proven(now));
        let mut charged: Vec<(CrashedRun, &Run)> = charged
            .map(|(task, run)| {
                let id = RunId { task: *task, attempt: run.attempt };
                let is_confirmed = run.confirmed_at.is_some() && run.stage == RunStage::Running;
                let is_certain = is_confirmed || now.since(run.placed_at) < SUDDEN_CRASH;
                (CrashedRun { id, is_certain, is_suspect: true }, run)
            })
            .collect();
        let mut exonerate = |is_suspect: &dyn Fn(&Run) -> bool| {
            if charged.iter().any(|(_, run)| is_suspect(run)) {
                for (crashed, run) in &mut charged {
                    crashed.is_suspect &= is_suspect(run);
                }
            }
        };
        let is_fresh = |run: &Run| !run.has_settled(self.last_contact_at);
        exonerate(&is_fresh);
        exonerate(&|run| run.is_isolated || !run.is_long_running || is_fresh(run));
        // Tasks of services share their targets with many others, crash after crash.
        charged.retain(|(crashed, run)| crashed.is_suspect || !run.is_long_running);
        charged.into_iter().map(|(crashed, _)| crashed).collect()
    }
}
