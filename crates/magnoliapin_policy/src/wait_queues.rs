//! Queues of work that waits for a slot, and the choice of the next one to start.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_model::PoolId;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;

/// Position of a piece of work in its wait queue; the earliest deadline is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    pub(crate) deadline: Moment,
    pub(crate) work: WorkId,
}

/// Running tasks of a team and the weight of its share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TeamLoad {
    /// Running tasks as the dispatch order counts them, in hundredths.
    pub(crate) task_hundredths: u32,
    /// Weight of the team's share.
    pub(crate) weight: u32,
}

impl TeamLoad {
    /// Returns whether this team is further below its weighted share than `other`.
    fn is_further_below_share(self, other: Self) -> bool {
        let own_load = u64::from(self.task_hundredths) * u64::from(other.weight.max(1));
        let other_load = u64::from(other.task_hundredths) * u64::from(self.weight.max(1));
        own_load < other_load
    }
}

/// Waiting work by pool and team.
#[derive(Debug, Default)]
pub(crate) struct WaitQueues {
    pools: IndexMap<PoolId, IndexMap<TeamId, BTreeSet<QueuePosition>>>,
}

impl WaitQueues {
    pub(crate) fn insert(&mut self, pool: PoolId, team: TeamId, position: QueuePosition) {
        self.pools.entry(pool).or_default().entry(team).or_default().insert(position);
    }

    pub(crate) fn remove(&mut self, pool: PoolId, team: TeamId, position: QueuePosition) {
        let Some(teams) = self.pools.get_mut(&pool) else { return };
        let Some(queue) = teams.get_mut(&team) else { return };
        queue.remove(&position);
        if queue.is_empty() {
            teams.swap_remove(&team);
        }
    }

    /// Returns the pools with waiting work.
    pub(crate) fn pools(&self) -> Vec<PoolId> {
        let non_empty = self.pools.iter().filter(|(_, teams)| !teams.is_empty());
        non_empty.map(|(pool, _)| *pool).collect()
    }

    /// Returns the number of waiting requests or jobs of a team over all pools.
    pub(crate) fn team_len(&self, team: TeamId) -> u32 {
        let queues = self.pools.values().filter_map(|teams| teams.get(&team));
        u32::try_from(queues.map(BTreeSet::len).sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// Returns the number of waiting requests or jobs of a team in a pool.
    pub(crate) fn team_len_in_pool(&self, pool: PoolId, team: TeamId) -> u32 {
        let queue = self.pools.get(&pool).and_then(|teams| teams.get(&team));
        queue.map_or(0, |queue| u32::try_from(queue.len()).unwrap_or(u32::MAX))
    }

    /// Returns the number of waiting requests or jobs in a pool.
    pub(crate) fn pool_len(&self, pool: PoolId) -> usize {
        self.pools.get(&pool).map_or(0, |teams| teams.values().map(BTreeSet::len).sum())
    }

    /// Picks the next work in a pool: the earliest deadline of the team furthest below its share.
    ///
    /// `load` returns `None` for a team that may not start work now. Serving the team with the
    /// lowest load per weight first fills all shares evenly, which is weighted max-min fairness.
    pub(crate) fn pick(
        &self,
        pool: PoolId,
        load: impl Fn(TeamId) -> Option<TeamLoad>,
    ) -> Option<(TeamId, QueuePosition)> {
        let mut best: Option<(TeamLoad, TeamId, QueuePosition)> = None;
        for (team, queue) in self.pools.get(&pool)? {
            let Some(first) = queue.first() else { continue };
            let Some(team_load) = load(*team) else { continue };
            let is_better = best.is_none_or(|(best_load, _, position)| {
                team_load.is_further_below_share(best_load)
                    || (!best_load.is_further_below_share(team_load) && *first < position)
            });
            if is_better {
                best = Some((team_load, *team, *first));
            }
        }
        best.map(|(_, team, position)| (team, position))
    }
}
