//! Shares of teams: which jobs are beyond the share of their team.
//!
//! Load pattern: one team submits four to six times its usual rate beside nineteen others, while the
//! queues peak one after the other. What a team submits beyond its weight is only served with
//! capacity that nobody else can use in time. In a common peak, where every team exceeds its weight,
//! the weight alone would mark jobs of all teams at random; so a team's share is its weight times
//! the load of the median team, if that is over 1. Each team has a bucket of tokens that is filled at
//! the rate of its share. A job that finds none is beyond the share if its team has also submitted
//! more than chance explains.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_site::TeamName;
use magnoliapin_site::TeamWeight;

#[cfg(test)]
#[path = "team_shares_tests.rs"]
mod tests;

/// Time constant of the recent demand.
const DECAY_TIME: Duration = Duration::from_secs(3);
/// Time for which a full bucket suffices at the rate of the share: jobs arrive at random.
const BUCKET_TIME: Duration = Duration::from_millis(1_500);
/// Least number of jobs in a full bucket.
const MIN_BUCKET: f64 = 2.0;
/// Excess of a team's recent jobs over its share that is taken for chance, in standard deviations of
/// their count.
const TOLERATED_DEVIATIONS: f64 = 3.0;
/// Least time between two log messages about teams beyond their shares.
const LOG_PAUSE: Duration = Duration::from_secs(1);

/// Weight, recent demand and bucket of a team.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TeamLoad {
    pub(crate) weight: TeamWeight,
    /// Jobs that arrived recently, a second.
    pub(crate) demand_per_s: f64,
    /// Jobs that may still arrive within the share.
    tokens: f64,
}

impl TeamLoad {
    /// Returns whether the recent jobs are more than the share, which is the weight times `factor`, and
    /// than chance explains.
    fn exceeds_share(&self, factor: f64) -> bool {
        let time = DECAY_TIME.as_secs_f64();
        let expected = self.weight.jobs_per_s() * factor * time;
        self.demand_per_s * time > expected + TOLERATED_DEVIATIONS * expected.sqrt() + 1.0
    }

    /// Returns the demand as a multiple of the weight. A team of weight 0 exceeds it with any job.
    fn load(&self) -> f64 {
        self.demand_per_s / self.weight.jobs_per_s().max(f64::MIN_POSITIVE)
    }
}

/// Returns the load of the median team, where each team counts by its weight.
pub(crate) fn median_load(teams: &[TeamLoad]) -> f64 {
    let mut order: Vec<&TeamLoad> = teams.iter().collect();
    order.sort_by(|left, right| left.load().total_cmp(&right.load()));
    let total: f64 = teams.iter().map(|team| team.weight.jobs_per_s()).sum();
    let mut below = 0.0;
    for team in order {
        below += team.weight.jobs_per_s();
        if below * 2.0 >= total {
            return team.load();
        }
    }
    0.0
}

/// Recent demand of each team, and the jobs that it may submit within its share.
#[derive(Debug, Default)]
pub(crate) struct TeamShares {
    teams: IndexMap<TeamName, TeamLoad>,
    /// Multiple of its weight that each team gets.
    share_factor: f64,
    updated_at: Moment,
    logged_at: Option<Moment>,
}

impl TeamShares {
    /// Sets the teams and their weights. Teams that are no longer listed have no share, so that
    /// their jobs are ordered like those without a team.
    pub(crate) fn set_weights(&mut self, weights: impl Iterator<Item = (TeamName, TeamWeight)>) {
        let weighted = weights.map(|(team, weight)| {
            let full = TeamLoad { weight, demand_per_s: 0.0, tokens: bucket_size(weight, 1.0) };
            let load = self.teams.get(&team).copied().unwrap_or(full);
            (team, TeamLoad { weight, ..load })
        });
        self.teams = weighted.collect();
    }

    /// Adds a job that arrives now. Returns whether it is beyond the share of its team.
    pub(crate) fn add_arrival(&mut self, team: Option<&TeamName>, now: Moment) -> bool {
        self.update(now);
        let Some(load) = team.and_then(|team| self.teams.get_mut(team)) else { return false };
        load.demand_per_s += 1.0 / DECAY_TIME.as_secs_f64();
        let has_token = load.tokens >= 1.0;
        load.tokens -= if has_token { 1.0 } else { 0.0 };
        let is_beyond = !has_token && load.exceeds_share(self.share_factor);
        if is_beyond && self.logged_at.is_none_or(|at| now.since(at) >= LOG_PAUSE) {
            self.logged_at = Some(now);
            log::info!(
                "event=team_over_share team={} weight={} demand_per_s={:.2}",
                team.map_or("", TeamName::as_str),
                load.weight.jobs_per_s(),
                load.demand_per_s
            );
        }
        is_beyond
    }

    /// Lets the demand decay, and fills the buckets, until a moment.
    fn update(&mut self, now: Moment) {
        if now <= self.updated_at {
            return;
        }
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let decay = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        for load in self.teams.values_mut() {
            load.demand_per_s *= decay;
        }
        let loads: Vec<TeamLoad> = self.teams.values().copied().collect();
        let factor = median_load(&loads).max(1.0);
        self.share_factor = factor;
        for load in self.teams.values_mut() {
            let filled = load.tokens + load.weight.jobs_per_s() * factor * elapsed;
            load.tokens = filled.min(bucket_size(load.weight, factor));
        }
        self.updated_at = now;
    }
}

/// Returns the number of jobs in a full bucket. A team of weight 0 has none.
fn bucket_size(weight: TeamWeight, factor: f64) -> f64 {
    let per_s = weight.jobs_per_s() * factor;
    if per_s > 0.0 {
        (per_s * BUCKET_TIME.as_secs_f64()).max(MIN_BUCKET)
    } else {
        0.0
    }
}
