//! Checks of the targets' actions, and of the state left after the simulation has settled.

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use magnoliapin_wire::rows::AllotmentRow;
use magnoliapin_wire::rows::JobRow;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::JobState;
use magnoliapin_wire::StartTask;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;

use crate::caller_registry::CallKind;
use crate::caller_registry::PendingCall;
use crate::entry_node::EntryNode;
use crate::report::CheckKind;
use crate::world::SoakWorld;

/// Maximum number of starts of idempotent work that crashes each target.
const MAX_CRASHING_STARTS: u32 = 3;

impl SoakWorld {
    /// Checks that work which crashes its targets is not started on one target after another.
    pub(crate) fn check_start(&mut self, start: &StartTask) {
        let now = self.now;
        let Some(work) = self.callers.record_start(start) else { return };
        let bound = if work.idempotent { MAX_CRASHING_STARTS } else { 1 };
        let holds = !work.crash || work.starts <= bound;
        self.report.check(CheckKind::CrashesBounded, holds, || {
            format!("{now:?} {} is started again: {work:?}", start.task)
        });
    }

    /// Checks that non-idempotent work takes effect at most once.
    pub(crate) fn check_effect(&mut self, task: TaskId) {
        let now = self.now;
        let Some((marker, work)) = self.callers.record_effect(task) else { return };
        if let Some(trial) = &mut self.trial {
            trial.record_effect(now, marker);
        }
        let holds = work.idempotent || work.effects <= 1;
        self.report.check(CheckKind::EffectOnce, holds, || {
            format!("{now:?} marker {marker} took effect {} times, last as {task}", work.effects)
        });
    }

    /// Checks that a team stays within its limit after a task has started.
    ///
    /// Limits in force since the start request was sent count: a target that was paused meanwhile
    /// starts the tasks that reached it before, and no entry can reach it to revoke them.
    pub(crate) fn check_limit(&mut self, team: TeamId, entry: usize, sent_at: Moment) {
        let now = self.now;
        let running = |target: &crate::target_node::TargetNode| {
            target.state.ledger().running_by_team().get(&team).copied().unwrap_or(0)
        };
        let running = self.targets.iter().map(running).sum::<u32>();
        let bound = self.config_history.limit_bound(team, sent_at);
        let node = &self.entries[entry];
        let (clock, zone) = (node.clock(now), node.zone);
        let is_fresh = node.machine.as_ref().is_some_and(|machine| machine.is_fresh(clock));
        self.report.check(CheckKind::LimitHolds, running <= bound, || {
            format!(
                "{now:?} team {team} runs {running} with a limit of {bound} after a start by \
                 entry {entry} of {zone}, fresh: {is_fresh}"
            )
        });
    }

    /// Checks that the slices of every quota allotment add up to at most its limit.
    pub(crate) fn check_quota_slices(&mut self) {
        let now = self.now;
        for row in self.scan(RowKey::ALLOTMENT_PREFIX) {
            let Ok(allotment) = AllotmentRow::from_json(&row.value) else { continue };
            let holds = allotment.sum() <= allotment.limit.0;
            self.report.check(CheckKind::PartsAddUp, holds, || {
                format!("{now:?} {}: {}", row.key, row.value)
            });
        }
    }

    /// Checks that the work of a run request refused with `not_run` has not started.
    pub(crate) fn check_not_run(&mut self, pending: &PendingCall) {
        if pending.kind != CallKind::Run {
            return;
        }
        let now = self.now;
        let Some(work) = self.callers.work(pending.marker).cloned() else { return };
        // A refusal with `not_run` excludes even an attempt that was started and then stopped.
        self.report.check(CheckKind::NotRunIsTrue, work.starts == 0, || {
            format!("{now:?} marker {} was refused as not run but started", pending.marker)
        });
    }

    /// Checks the state after the simulation has settled, and sums up the entries' counters.
    pub(crate) fn check_final_state(&mut self) {
        self.check_refusals();
        self.check_jobs();
        self.check_leftovers();
        let counts = self.entries.iter().flat_map(EntryNode::all_counts).collect::<Vec<_>>();
        for counts in counts {
            self.report.starts.0 += counts.first_starts;
            self.report.starts.1 += counts.repeated_starts;
            self.report.transactions += counts.transactions;
        }
    }

    fn check_refusals(&mut self) {
        let works = self.callers.works.clone();
        for (marker, work) in works.iter().enumerate() {
            if work.is_always_not_run && work.answers > 0 {
                self.report.check(CheckKind::NotRunIsTrue, work.starts == 0, || {
                    format!("marker {marker} was refused as not run but started: {work:?}")
                });
            }
        }
    }

    fn check_jobs(&mut self) {
        let done = self.scan(RowKey::DONE_PREFIX);
        let done = done.iter().filter_map(|row| Some((row.key.clone(), parse_job(row)?)));
        let done = done.collect::<IndexMap<_, _>>();
        let works = self.callers.works.clone();
        for (marker, work) in works.iter().enumerate() {
            let Some(job) = work.job else { continue };
            let row = done.get(&RowKey::Done(job).to_string());
            self.report.check(CheckKind::JobEnded, row.is_some(), || {
                format!("job {job} of marker {marker} has not finished: {work:?}")
            });
            let Some(row) = row else { continue };
            let reason = row.reason.as_deref().unwrap_or_default();
            if reason.contains("crashed while") {
                let (crashing, others) = &mut self.report.given_up;
                *(if work.crash { crashing } else { others }) += 1;
            }
            let state = format!("{:?}", row.state);
            *self.report.finished_jobs.entry(state).or_default() += 1;
            let holds = match row.state {
                JobState::Finished => work.effects >= 1 && (work.idempotent || work.effects == 1),
                JobState::Cancelled | JobState::Failed | JobState::Unrunnable => {
                    work.idempotent || work.effects == 0
                }
                JobState::Unknown => !work.idempotent,
                JobState::Accepted => false,
            };
            self.report.check(CheckKind::JobEndIsTrue, holds, || {
                format!("job {job} finished as {:?} ({:?}): {work:?}", row.state, row.reason)
            });
        }
    }

    fn check_leftovers(&mut self) {
        let left = self.scan(RowKey::JOB_PREFIX);
        self.report.check(CheckKind::NothingLeft, left.is_empty(), || {
            let rows = left.iter().map(|row| row.value.clone()).collect::<Vec<_>>();
            format!("jobs are left: {rows:?}")
        });
        let live = self.entries.iter().map(|entry| entry.id).collect::<Vec<_>>();
        for row in self.scan(RowKey::ENTRY_PREFIX) {
            let is_live = live.iter().any(|id| row.key == RowKey::Entry(*id).to_string());
            self.report.check(CheckKind::NothingLeft, is_live, || format!("{} is left", row.key));
        }
        for row in self.scan(RowKey::ALLOTMENT_PREFIX) {
            let Ok(allotment) = AllotmentRow::from_json(&row.value) else { continue };
            let holds = allotment.parts.keys().all(|id| live.contains(id));
            self.report.check(CheckKind::NothingLeft, holds, || {
                format!("{} has quota slices of lost entries: {}", row.key, row.value)
            });
        }
        let pending = self.callers.pending.len();
        self.report.check(CheckKind::AnsweredOnce, pending == 0, || {
            format!(
                "{pending} calls were never answered, such as {:?}",
                self.callers.pending.first()
            )
        });
    }

    pub(crate) fn scan(&mut self, prefix: &str) -> Vec<TableRow> {
        let read =
            TableRead::Prefix { prefix: prefix.to_owned(), after: String::new(), limit: u32::MAX };
        self.platform.table.read(&read)
    }
}

fn parse_job(row: &TableRow) -> Option<JobRow> {
    JobRow::from_json(&row.value).ok()
}
