//! What shows which runs of a target that has ended may be the cause.
//!
//! The suspects are the runs that had just started when the target was last heard from; if there are none, all
//! others are.
//!
//! A target has crashed under a run only if it had begun the run and was still at work on it. Its answer to the
//! start, or a report that lists the run, proves the former, and so does a connection that breaks after the start was
//! sent. A start without an answer proves nothing: a target that was cut off or down before leaves it unanswered as well.
//! Silence between the last answer and the end proves nothing either, as the run may have ended by itself meanwhile.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::RunId;
use magnoliapin_site::TaskName;

use crate::leader::target::Run;
use crate::leader::target::RunStage;
use crate::leader::target::Target;

/// Time after which a long-running task has shown that it does not crash its target.
const PROBATION: Duration = Duration::from_secs(10);
/// Silence after which a run may have ended by itself before its target did. It is longer than a target with runs
/// is silent before the leader notices.
const MAX_SILENCE: Duration = Duration::from_secs(1);
/// Age of an answer up to which a target is certainly up.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(100);
/// Time for which a run must have gone on so that others that have just started are suspected instead.
const SETTLING_TIME: Duration = Duration::from_millis(200);

/// A run on a target that has crashed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashedRun {
    pub(crate) id: RunId,
    /// Whether the target had certainly begun it, or it is in a row of the leader before, which tells no more.
    pub(super) is_begun: bool,
    /// Whether the target was at work on it when it ended, as far as can be told.
    pub(super) was_at_work: bool,
    /// Whether it may be the cause; if not, others that had just started are.
    pub(super) is_suspect: bool,
}

impl Run {
    /// Returns whether the run had gone on for a while when its target was last heard from.
    fn has_settled(&self, last_contact_at: Moment) -> bool {
        self.confirmed_at.is_some_and(|at| last_contact_at.since(at) >= SETTLING_TIME)
    }

    /// Returns whether its target may have begun the run.
    fn may_have_begun(&self) -> bool {
        self.is_sent && (self.confirmed_at.is_some() || self.open_starts > 0)
    }

    /// Returns whether the run had just begun when its target was last heard from.
    fn is_fresh(&self, last_contact_at: Moment) -> bool {
        !self.is_found && !self.has_settled(last_contact_at)
    }

    /// Returns whether the run is long-running and may have lasted under the leader before.
    fn may_have_lasted(&self) -> bool {
        self.is_long_running && self.is_found
    }

    /// Returns whether the run is long-running and has lasted, so that it is not the cause of a crash.
    pub(super) fn has_lasted(&self, now: Moment) -> bool {
        self.is_long_running && now.since(self.placed_at) >= PROBATION
    }
}

impl Target {
    /// Returns the tasks whose runs had gone on for a while when the target was last heard from.
    pub(super) fn settled_tasks(&self) -> Vec<TaskName> {
        let settled = self.runs.iter().filter(|(_, run)| run.has_settled(self.last_contact_at));
        settled.map(|(name, _)| *name).collect()
    }

    /// Returns the runs that may be the cause of an unexpected end of the target. Only those that it had begun are charged
    /// with it.
    pub(super) fn crashed_runs(&self, now: Moment) -> Vec<CrashedRun> {
        let charged = self.runs.iter();
        let charged = charged.filter(|(_, run)| {
            run.may_have_begun() && !run.has_lasted(now) && !run.may_have_lasted()
        });
        let mut charged: Vec<(CrashedRun, &Run)> = charged
            .map(|(task, run)| {
                let id = RunId { task: *task, attempt: run.attempt };
                let (is_begun, was_at_work) = (self.had_begun(run), self.was_at_work(run, now));
                (CrashedRun { id, is_begun, was_at_work, is_suspect: true }, run)
            })
            .collect();
        let mut exonerate = |is_suspect: &dyn Fn(&Run) -> bool| {
            if charged.iter().any(|(_, run)| is_suspect(run)) {
                for (crashed, run) in &mut charged {
                    crashed.is_suspect &= is_suspect(run);
                }
            }
        };
        // A heartbeat waits at the target for longer than a run takes to settle, while others start there.
        let last_start_at = self.runs.values().filter_map(|run| run.confirmed_at).max();
        let last_sign_at = self.last_contact_at.max(last_start_at.unwrap_or_default());
        let is_fresh = |run: &Run| match run.is_long_running {
            true => run.is_fresh(last_sign_at),
            false => run.is_fresh(self.last_contact_at),
        };
        exonerate(&is_fresh);
        exonerate(&|run| run.is_isolated || !run.is_long_running || is_fresh(run));
        // Tasks of services share their targets with many others, crash after crash.
        charged.retain(|(crashed, run)| crashed.is_suspect || !run.is_long_running);
        charged.into_iter().map(|(crashed, _)| crashed).collect()
    }

    /// Returns whether the target, which has ended, had certainly begun a run.
    fn had_begun(&self, run: &Run) -> bool {
        let is_confirmed = run.confirmed_at.is_some() && run.stage == RunStage::Running;
        is_confirmed || run.has_broken_off
    }

    /// Returns whether the target was at work on a run when it ended, as far as can be told. A suspect that runs apart
    /// gets no benefit of the doubt.
    fn was_at_work(&self, run: &Run, now: Moment) -> bool {
        // The answer to another start may be that of the next incarnation.
        let heard_at =
            run.confirmed_at.map_or(self.last_heard_at(), |at| at.max(self.last_heard_at()));
        let is_noticed_soon = now.since(heard_at) < MAX_SILENCE;
        // If an earlier start got no answer, the next incarnation may have answered this one.
        let is_by_other = run.open_starts > 0 && !run.is_listed && !run.has_broken_off;
        self.had_begun(run) && !is_by_other && (is_noticed_soon || run.is_isolated)
    }

    /// Returns whether the target has reported so lately that it is certainly up.
    pub(super) fn has_just_answered(&self, now: Moment) -> bool {
        now.since(self.last_heard_at()) <= MAX_ANSWER_AGE
    }
}
