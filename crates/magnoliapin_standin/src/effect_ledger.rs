//! What the tasks of a target did to the outside world.

use std::collections::VecDeque;

use indexmap::IndexMap;
use magnoliapin_model::plain_data;
use magnoliapin_model::Moment;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;

/// Most changes of running counts that a ledger remembers.
pub const MAX_TEAM_CHANGES: usize = 1_000_000;

/// Counts of starts and effects, and a history of running tasks by team.
///
/// The ledger belongs to the outside world: it outlives the runs of its target.
#[derive(Clone, Debug, Default)]
pub struct EffectLedger {
    starts: IndexMap<TaskId, u32>,
    effects: IndexMap<TaskId, u32>,
    works: IndexMap<WorkId, WorkCounts>,
    markers: IndexMap<u64, WorkCounts>,
    running: IndexMap<TeamId, u32>,
    history: VecDeque<TeamChange>,
}

plain_data! {
    /// What the target did for one piece of work, over all attempts.
    #[derive(Copy, Default, Eq)]
    pub struct WorkCounts {
        /// How often a task of it was started.
        pub starts: u32,
        /// How often its effect happened.
        pub effects: u32,
    }

    /// A change of how many tasks of a team a target runs.
    #[derive(Copy, Eq)]
    pub struct TeamChange {
        /// When it changed.
        pub at: Moment,
        /// The team.
        pub team: TeamId,
        /// Tasks of the team that run from then on.
        pub running: u32,
    }
}

impl EffectLedger {
    /// Makes an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the start of a task whose payload has this marker.
    pub(crate) fn start(&mut self, now: Moment, task: TaskId, team: TeamId, marker: Option<u64>) {
        *self.starts.entry(task).or_default() += 1;
        self.works.entry(task.work).or_default().starts += 1;
        if let Some(marker) = marker {
            self.markers.entry(marker).or_default().starts += 1;
        }
        *self.running.entry(team).or_default() += 1;
        self.record(now, team);
    }

    /// Counts the effect of a task whose payload has this marker.
    pub(crate) fn effect(&mut self, task: TaskId, marker: Option<u64>) {
        *self.effects.entry(task).or_default() += 1;
        self.works.entry(task.work).or_default().effects += 1;
        if let Some(marker) = marker {
            self.markers.entry(marker).or_default().effects += 1;
        }
    }

    /// Counts the end of a task.
    pub(crate) fn end(&mut self, now: Moment, team: TeamId) {
        let running = self.running.entry(team).or_default();
        debug_assert!(*running > 0, "a task of team {team} ends but none runs");
        *running = running.saturating_sub(1);
        self.record(now, team);
    }

    /// Returns how often each task was started.
    pub fn starts(&self) -> &IndexMap<TaskId, u32> {
        &self.starts
    }

    /// Returns how often the effect of each task happened.
    pub fn effects(&self) -> &IndexMap<TaskId, u32> {
        &self.effects
    }

    /// Returns what was done for each piece of work.
    pub fn works(&self) -> &IndexMap<WorkId, WorkCounts> {
        &self.works
    }

    /// Returns what was done for the work of each marker, whatever identifiers it was given.
    pub fn markers(&self) -> &IndexMap<u64, WorkCounts> {
        &self.markers
    }

    /// Returns how many tasks of each team run.
    pub fn running_by_team(&self) -> &IndexMap<TeamId, u32> {
        &self.running
    }

    /// Returns the changes of running counts, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &TeamChange> {
        self.history.iter()
    }

    /// Returns the most tasks of each team that ran at once on all targets of `ledgers`.
    ///
    /// The targets must share a clock. Of changes at the same moment, ends count first.
    pub fn peaks_by_team(ledgers: &[&Self]) -> IndexMap<TeamId, u32> {
        let mut peaks: IndexMap<TeamId, u32> = IndexMap::new();
        for total in Self::team_totals(ledgers) {
            let peak = peaks.entry(total.team).or_default();
            *peak = (*peak).max(total.running);
        }
        peaks
    }

    /// Counts the changes after which a team ran more on all targets of `ledgers` than its limit.
    ///
    /// The targets must share a clock. Of changes at the same moment, ends count first. Teams
    /// without a limit may run nothing.
    pub fn moments_over_limit(ledgers: &[&Self], limits: &IndexMap<TeamId, SlotCount>) -> u64 {
        let limit_of = |team| limits.get(&team).copied().unwrap_or_default();
        let totals = Self::team_totals(ledgers);
        let over = totals.into_iter().filter(|total| total.running > limit_of(total.team).0);
        over.count() as u64
    }

    /// Returns each change of a team's running count over all targets, oldest first.
    fn team_totals(ledgers: &[&Self]) -> Vec<TeamChange> {
        let mut steps = Vec::new();
        for ledger in ledgers {
            steps.extend(ledger.steps());
        }
        steps.sort_by_key(|step| (step.at, step.change));
        let mut running: IndexMap<TeamId, i64> = IndexMap::new();
        let total = |step: TeamStep| {
            let count = running.entry(step.team).or_default();
            *count += step.change;
            let running = u32::try_from(*count).unwrap_or_default();
            TeamChange { at: step.at, team: step.team, running }
        };
        steps.into_iter().map(total).collect()
    }

    fn record(&mut self, now: Moment, team: TeamId) {
        let running = self.running.get(&team).copied().unwrap_or_default();
        if self.history.len() == MAX_TEAM_CHANGES {
            self.history.pop_front();
        }
        self.history.push_back(TeamChange { at: now, team, running });
    }

    fn steps(&self) -> Vec<TeamStep> {
        let mut last: IndexMap<TeamId, i64> = IndexMap::new();
        let step = |change: &TeamChange| {
            let running = i64::from(change.running);
            let before = last.insert(change.team, running).unwrap_or_default();
            TeamStep { at: change.at, team: change.team, change: running - before }
        };
        self.history.iter().map(step).collect()
    }
}

struct TeamStep {
    at: Moment,
    team: TeamId,
    change: i64,
}
