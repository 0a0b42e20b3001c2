//! External effects of the tasks of a target.

use std::collections::VecDeque;

use indexmap::IndexMap;
use magnoliapin_model::plain_data;
use magnoliapin_model::Moment;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;

/// Maximum number of changes of running counts that a ledger retains.
pub const MAX_TEAM_CHANGES: usize = 1_000_000;

/// Counts starts and effects of tasks, and records the history of running tasks by team.
///
/// The ledger represents external state: it survives restarts of its target.
#[derive(Clone, Debug, Default)]
pub struct EffectLedger {
    starts: IndexMap<TaskId, u32>,
    effects: IndexMap<TaskId, u32>,
    counts_by_work: IndexMap<WorkId, WorkCounts>,
    counts_by_marker: IndexMap<u64, WorkCounts>,
    running: IndexMap<TeamId, u32>,
    history: VecDeque<TeamChange>,
}

plain_data! {
    /// Starts and effects of one piece of work, over all attempts.
    #[derive(Copy, Default, Eq)]
    pub struct WorkCounts {
        /// Number of times a task of the work was started.
        pub starts: u32,
        /// Number of times a task of the work took effect.
        pub effects: u32,
    }

    /// A change of the number of running tasks of a team.
    #[derive(Copy, Eq)]
    pub struct TeamChange {
        /// Time of the change.
        pub at: Moment,
        /// The team.
        pub team: TeamId,
        /// Running tasks of the team after the change.
        pub running: u32,
    }
}

impl EffectLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the start of a task whose payload has this marker.
    pub(crate) fn record_start(
        &mut self,
        now: Moment,
        task: TaskId,
        team: TeamId,
        marker: Option<u64>,
    ) {
        *self.starts.entry(task).or_default() += 1;
        self.counts_by_work.entry(task.work).or_default().starts += 1;
        if let Some(marker) = marker {
            self.counts_by_marker.entry(marker).or_default().starts += 1;
        }
        *self.running.entry(team).or_default() += 1;
        self.push_change(now, team);
    }

    /// Records the effect of a task whose payload has this marker.
    pub(crate) fn record_effect(&mut self, task: TaskId, marker: Option<u64>) {
        *self.effects.entry(task).or_default() += 1;
        self.counts_by_work.entry(task.work).or_default().effects += 1;
        if let Some(marker) = marker {
            self.counts_by_marker.entry(marker).or_default().effects += 1;
        }
    }

    /// Records that a task of the team no longer runs.
    pub(crate) fn record_completion(&mut self, now: Moment, team: TeamId) {
        let running = self.running.entry(team).or_default();
        debug_assert!(*running > 0, "a task of team {team} completed but none is running");
        *running = running.saturating_sub(1);
        self.push_change(now, team);
    }

    /// Returns the number of starts of each task.
    pub fn starts(&self) -> &IndexMap<TaskId, u32> {
        &self.starts
    }

    /// Returns the number of effects of each task.
    pub fn effects(&self) -> &IndexMap<TaskId, u32> {
        &self.effects
    }

    /// Returns the counts of each piece of work.
    pub fn counts_by_work(&self) -> &IndexMap<WorkId, WorkCounts> {
        &self.counts_by_work
    }

    /// Returns the counts of each marker, over all identifiers that its work was given.
    pub fn counts_by_marker(&self) -> &IndexMap<u64, WorkCounts> {
        &self.counts_by_marker
    }

    /// Returns the number of running tasks of each team.
    pub fn running_by_team(&self) -> &IndexMap<TeamId, u32> {
        &self.running
    }

    /// Returns the changes of running counts, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &TeamChange> {
        self.history.iter()
    }

    /// Returns the peak number of concurrent tasks of each team over all targets of `ledgers`.
    ///
    /// The targets must share a clock. Of changes at the same time, completions count first.
    pub fn peaks_by_team(ledgers: &[&Self]) -> IndexMap<TeamId, u32> {
        let mut peaks: IndexMap<TeamId, u32> = IndexMap::new();
        for total in Self::team_totals(ledgers) {
            let peak = peaks.entry(total.team).or_default();
            *peak = (*peak).max(total.running);
        }
        peaks
    }

    /// Counts the changes after which a team exceeds its limit over all targets of `ledgers`.
    ///
    /// The targets must share a clock. Of changes at the same time, completions count first. Teams
    /// without a limit have limit 0.
    pub fn limit_violations(ledgers: &[&Self], limits: &IndexMap<TeamId, SlotCount>) -> u64 {
        let limit_of = |team| limits.get(&team).copied().unwrap_or_default();
        let totals = Self::team_totals(ledgers);
        let over = totals.into_iter().filter(|total| total.running > limit_of(total.team).0);
        over.count() as u64
    }

    /// Returns each change of a team's total over all targets, oldest first.
    fn team_totals(ledgers: &[&Self]) -> Vec<TeamChange> {
        let mut deltas = Vec::new();
        for ledger in ledgers {
            deltas.extend(ledger.deltas());
        }
        deltas.sort_by_key(|delta| (delta.at, delta.change));
        let mut running: IndexMap<TeamId, i64> = IndexMap::new();
        let total = |delta: TeamDelta| {
            let count = running.entry(delta.team).or_default();
            *count += delta.change;
            let running = u32::try_from(*count).unwrap_or_default();
            TeamChange { at: delta.at, team: delta.team, running }
        };
        deltas.into_iter().map(total).collect()
    }

    fn push_change(&mut self, now: Moment, team: TeamId) {
        let running = self.running.get(&team).copied().unwrap_or_default();
        if self.history.len() == MAX_TEAM_CHANGES {
            self.history.pop_front();
        }
        self.history.push_back(TeamChange { at: now, team, running });
    }

    fn deltas(&self) -> Vec<TeamDelta> {
        let mut counts: IndexMap<TeamId, i64> = IndexMap::new();
        let delta = |change: &TeamChange| {
            let running = i64::from(change.running);
            let previous = counts.insert(change.team, running).unwrap_or_default();
            TeamDelta { at: change.at, team: change.team, change: running - previous }
        };
        self.history.iter().map(delta).collect()
    }
}

struct TeamDelta {
    at: Moment,
    team: TeamId,
    change: i64,
}
