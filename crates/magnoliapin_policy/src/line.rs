//! Work that waits for a slot, with the choice of what goes next.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_model::PoolId;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;

/// Place of one piece of work in a line: the earliest deadline goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinePlace {
    pub(crate) deadline: Moment,
    pub(crate) work: WorkId,
}

/// What a team has running, and its weight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TeamLoad {
    /// Hundredths of tasks that run over all entries known.
    pub(crate) task_hundredths: u32,
    /// Weight of the team's share.
    pub(crate) weight: u32,
}

impl TeamLoad {
    /// Returns whether this team is further below its share than `other`.
    fn is_behind(self, other: Self) -> bool {
        let own = u64::from(self.task_hundredths) * u64::from(other.weight.max(1));
        let others = u64::from(other.task_hundredths) * u64::from(self.weight.max(1));
        own < others
    }
}

/// Work that waits, by pool and team.
#[derive(Debug, Default)]
pub(crate) struct WaitingLines {
    pools: IndexMap<PoolId, IndexMap<TeamId, BTreeSet<LinePlace>>>,
}

impl WaitingLines {
    pub(crate) fn insert(&mut self, pool: PoolId, team: TeamId, place: LinePlace) {
        self.pools.entry(pool).or_default().entry(team).or_default().insert(place);
    }

    pub(crate) fn remove(&mut self, pool: PoolId, team: TeamId, place: LinePlace) {
        let Some(teams) = self.pools.get_mut(&pool) else { return };
        let Some(line) = teams.get_mut(&team) else { return };
        line.remove(&place);
        if line.is_empty() {
            teams.swap_remove(&team);
        }
    }

    /// Returns the pools in which work waits.
    pub(crate) fn pools(&self) -> Vec<PoolId> {
        let busy = self.pools.iter().filter(|(_, teams)| !teams.is_empty());
        busy.map(|(pool, _)| *pool).collect()
    }

    /// Returns how much work of a team waits, over all pools.
    pub(crate) fn waiting(&self, team: TeamId) -> u32 {
        let lines = self.pools.values().filter_map(|teams| teams.get(&team));
        u32::try_from(lines.map(BTreeSet::len).sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// Returns how much work of a team waits for a pool.
    pub(crate) fn waiting_at(&self, pool: PoolId, team: TeamId) -> u32 {
        let line = self.pools.get(&pool).and_then(|teams| teams.get(&team));
        line.map_or(0, |line| u32::try_from(line.len()).unwrap_or(u32::MAX))
    }

    /// Returns how much work waits for a pool.
    pub(crate) fn waiting_for(&self, pool: PoolId) -> usize {
        self.pools.get(&pool).map_or(0, |teams| teams.values().map(BTreeSet::len).sum())
    }

    /// Picks what goes next in a pool: the earliest deadline of the team furthest below its share.
    ///
    /// `load` returns none for a team that may not start anything now. Serving the lowest use for
    /// each weight first fills the shares up evenly, which is weighted max-min fairness.
    pub(crate) fn pick(
        &self,
        pool: PoolId,
        load: impl Fn(TeamId) -> Option<TeamLoad>,
    ) -> Option<(TeamId, LinePlace)> {
        let mut best: Option<(TeamLoad, TeamId, LinePlace)> = None;
        for (team, line) in self.pools.get(&pool)? {
            let Some(first) = line.first() else { continue };
            let Some(own) = load(*team) else { continue };
            let is_better = best.is_none_or(|(load, _, place)| {
                own.is_behind(load) || (!load.is_behind(own) && *first < place)
            });
            if is_better {
                best = Some((own, *team, *first));
            }
        }
        best.map(|(_, team, place)| (team, place))
    }
}
