//! The last report of a target that leader and agent share, and the updates between reports.

use indexmap::IndexMap;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::ReportUpdate;
use magnoliapin_site::RunChange;
use magnoliapin_site::RunId;
use magnoliapin_site::RunReport;
use magnoliapin_site::RunningTask;

#[cfg(test)]
#[path = "known_report_tests.rs"]
mod tests;

/// Progress, in percent, from which on a task is available.
const AVAILABLE_PERCENT: u32 = 100;

/// The last report of a target in a session between the leader and an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct KnownReport {
    /// Its number in the session; 0 before the first.
    number: u64,
    started_at: UnixMillis,
    running: Vec<RunningTask>,
    /// Number of the last completion that it or an earlier one contained.
    last_completion: u64,
}

impl KnownReport {
    /// Returns the number of the report; 0 if there is none.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Replaces the report by a new one and returns the update for the leader, which has the report
    /// with the number `base`.
    pub(crate) fn replace(&mut self, report: &RunReport, base: u64) -> ReportUpdate {
        let is_incremental = base != 0
            && base == self.number
            && (report.started_at == self.started_at || report.started_at.0 == 0);
        let previous = if is_incremental { std::mem::take(&mut self.running) } else { Vec::new() };
        let last_completion = if is_incremental { self.last_completion } else { 0 };
        let mut update = ReportUpdate {
            number: self.number + 1,
            base: if is_incremental { base } else { 0 },
            clock_ms: report.clock_ms,
            started_at: (!is_incremental).then_some(report.started_at),
            ..ReportUpdate::default()
        };
        let mut current: IndexMap<RunId, &RunningTask> =
            report.running.iter().map(|task| (task.run, task)).collect();
        self.running = Vec::with_capacity(report.running.len());
        for (position, mut task) in previous.into_iter().enumerate() {
            let Some(now) = current.swap_remove(&task.run) else {
                update.removed.push(position as u32);
                continue;
            };
            let change = change_between(&task, now);
            apply_change(&mut task, &change);
            if change != RunChange::default() {
                update.changed.push((position as u32, change));
            }
            self.running.push(task);
        }
        // The gauge is not part of a shared report.
        update
            .added
            .extend(current.into_values().map(|task| RunningTask { gauge: None, ..task.clone() }));
        self.running.extend(update.added.iter().cloned());
        update.completions.extend(
            report.completions.iter().filter(|ended| ended.number > last_completion).cloned(),
        );
        let highest = report.completions.iter().map(|ended| ended.number).max();
        self.last_completion = highest.unwrap_or_default().max(last_completion);
        self.number = update.number;
        if !is_incremental {
            self.started_at = report.started_at;
        }
        update
    }

    /// Applies an update. Returns the whole report, except for completions that an earlier one
    /// contained; `None` if the update changes another report than this one.
    pub(crate) fn apply(&mut self, update: ReportUpdate) -> Option<RunReport> {
        let is_incremental = update.base != 0;
        if is_incremental && update.base != self.number {
            return None;
        }
        if !is_incremental {
            self.running.clear();
        }
        for (position, change) in &update.changed {
            apply_change(self.running.get_mut(*position as usize)?, change);
        }
        let mut position = 0;
        self.running.retain(|_| {
            let is_kept = update.removed.binary_search(&position).is_err();
            position += 1;
            is_kept
        });
        self.running.extend(update.added);
        self.number = update.number;
        self.started_at = update.started_at.unwrap_or(self.started_at);
        Some(RunReport {
            clock_ms: update.clock_ms,
            started_at: self.started_at,
            running: self.running.clone(),
            completions: update.completions,
            has_more_completions: false,
        })
    }
}

fn change_between(before: &RunningTask, now: &RunningTask) -> RunChange {
    let is_available = |task: &RunningTask| task.percent >= AVAILABLE_PERCENT;
    RunChange {
        checkpoint: now.checkpoint.clone().filter(|text| before.checkpoint.as_ref() != Some(text)),
        percent: (is_available(before) != is_available(now)).then_some(now.percent),
    }
}

fn apply_change(task: &mut RunningTask, change: &RunChange) {
    if let Some(checkpoint) = &change.checkpoint {
        task.checkpoint = Some(checkpoint.clone());
    }
    task.percent = change.percent.unwrap_or(task.percent);
}
