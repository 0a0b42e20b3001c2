//! Checks of what targets did, and of what is left when the world has settled.

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use magnoliapin_wire::rows::AllotmentRow;
use magnoliapin_wire::rows::JobRow;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::JobState;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;

use crate::caller_book::CallKind;
use crate::caller_book::OpenCall;
use crate::entry_node::EntryNode;
use crate::report::CheckKind;
use crate::world::SoakWorld;

impl SoakWorld {
    /// Checks that work which is not idempotent takes effect once.
    pub(crate) fn check_effect(&mut self, task: TaskId) {
        let now = self.now;
        let Some((marker, work)) = self.callers.note_effect(task) else { return };
        if let Some(trial) = &mut self.trial {
            trial.note_effect(now, marker);
        }
        let holds = work.idempotent || work.effects <= 1;
        self.report.check(CheckKind::EffectOnce, holds, || {
            format!("{now:?} marker {marker} took effect {} times, last as {task}", work.effects)
        });
    }

    /// Checks that a team which has just started something keeps its limit.
    ///
    /// The limits in force when the start was sent count: a target that stood still meanwhile
    /// starts what reached it before, and nobody can reach it to take that back.
    pub(crate) fn check_limit(&mut self, team: TeamId, entry: usize, sent_at: Moment) {
        let now = self.now;
        let running = |target: &crate::target_node::TargetNode| {
            target.state.ledger().running_by_team().get(&team).copied().unwrap_or(0)
        };
        let running = self.targets.iter().map(running).sum::<u32>();
        let bound = self.watch.limit_bound(team, sent_at);
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

    /// Checks that the parts of every allotment add up to its limit at most.
    pub(crate) fn check_parts(&mut self) {
        let now = self.now;
        for row in self.scan(RowKey::ALLOTMENT_PREFIX) {
            let Ok(allotment) = AllotmentRow::from_json(&row.value) else { continue };
            let holds = allotment.sum() <= allotment.limit.0;
            self.report.check(CheckKind::PartsAddUp, holds, || {
                format!("{now:?} {}: {}", row.key, row.value)
            });
        }
    }

    /// Checks a refusal that said `not_run` when it is given.
    pub(crate) fn check_not_run(&mut self, open: &OpenCall) {
        if open.kind != CallKind::Run {
            return;
        }
        let now = self.now;
        let Some(work) = self.callers.work(open.marker).cloned() else { return };
        // An attempt may have been started and stopped only where another answer was given.
        self.report.check(CheckKind::NotRunIsTrue, work.starts == 0, || {
            format!("{now:?} marker {} was refused as not run but started", open.marker)
        });
    }

    /// Checks what is left when the world has settled.
    pub(crate) fn check_end(&mut self) {
        self.check_refused();
        self.check_jobs();
        self.check_left();
        let counts = self.entries.iter().flat_map(EntryNode::all_counts).collect::<Vec<_>>();
        for counts in counts {
            self.report.starts.0 += counts.first_starts;
            self.report.starts.1 += counts.repeated_starts;
            self.report.transactions += counts.transactions;
        }
    }

    fn check_refused(&mut self) {
        let works = self.callers.works.clone();
        for (marker, work) in works.iter().enumerate() {
            if work.only_not_run && work.answers > 0 {
                self.report.check(CheckKind::NotRunIsTrue, work.starts == 0, || {
                    format!("marker {marker} was refused as not run but started: {work:?}")
                });
            }
        }
    }

    fn check_jobs(&mut self) {
        let done = self.scan(RowKey::DONE_PREFIX);
        let done = done.iter().filter_map(|row| Some((row.key.clone(), ended(row)?)));
        let done = done.collect::<IndexMap<_, _>>();
        let works = self.callers.works.clone();
        for (marker, work) in works.iter().enumerate() {
            let Some(job) = work.job else { continue };
            let row = done.get(&RowKey::Done(job).to_string());
            self.report.check(CheckKind::JobEnded, row.is_some(), || {
                format!("job {job} of marker {marker} has not ended: {work:?}")
            });
            let Some(row) = row else { continue };
            let state = format!("{:?}", row.state);
            *self.report.ended.entry(state).or_default() += 1;
            let holds = match row.state {
                JobState::Finished => work.effects >= 1 && (work.idempotent || work.effects == 1),
                JobState::Cancelled | JobState::Failed | JobState::Unrunnable => {
                    work.idempotent || work.effects == 0
                }
                JobState::Unknown => !work.idempotent,
                JobState::Accepted => false,
            };
            self.report.check(CheckKind::JobEndIsTrue, holds, || {
                format!("job {job} ended as {:?} ({:?}): {work:?}", row.state, row.reason)
            });
        }
    }

    fn check_left(&mut self) {
        let left = self.scan(RowKey::JOB_PREFIX);
        self.report.check(CheckKind::NothingLeft, left.is_empty(), || {
            let keys = left.iter().map(|row| row.value.clone()).collect::<Vec<_>>();
            format!("jobs are left: {keys:?}")
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
                format!("{} has parts of lost entries: {}", row.key, row.value)
            });
        }
        let open = self.callers.open.len();
        self.report.check(CheckKind::AnsweredOnce, open == 0, || {
            format!("{open} calls were never answered, such as {:?}", self.callers.open.first())
        });
    }

    pub(crate) fn scan(&mut self, prefix: &str) -> Vec<TableRow> {
        let read =
            TableRead::Prefix { prefix: prefix.to_owned(), after: String::new(), limit: u32::MAX };
        self.platform.table.read(&read)
    }
}

fn ended(row: &TableRow) -> Option<JobRow> {
    JobRow::from_json(&row.value).ok()
}
