//! Shares of teams in the capacity of a site, and the teams that use more than theirs.
//!
//! Load pattern: one team submits six times its weight beside nineteen others, while the demand of
//! all peaks at five times its mean. In such a peak every team exceeds its weight, so that the
//! weight alone tells nothing: a team is over its share only if it gets more than the weighted
//! max-min share of what the site starts, while it demands still more. Jobs of a team arrive one by
//! one and at random, so that a count of a few seconds exceeds the share by chance; one standard
//! deviation is tolerated.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::Moment;
use magnoliapin_site::TeamName;
use magnoliapin_site::TeamWeight;

#[cfg(test)]
#[path = "team_shares_tests.rs"]
mod tests;

/// Time constant of recent use and demand. In the replay, 5 s and 10 s protect the other teams no
/// better, and cost the heavy team more.
const DECAY_TIME: Duration = Duration::from_secs(3);
/// Excess over a share that is taken for chance, in standard deviations of a count of jobs. In the
/// replay, 2 protects the other teams only half as well.
const TOLERATED_DEVIATIONS: f64 = 1.0;
/// Least time between two lists of the teams over their shares in the log.
const LOG_PAUSE: Duration = Duration::from_secs(1);

/// Weight, use and demand of a team.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TeamLoad {
    pub(crate) weight: TeamWeight,
    /// Jobs that were started recently, a second.
    pub(crate) use_per_s: f64,
    /// Jobs that arrived recently, a second.
    pub(crate) demand_per_s: f64,
}

impl TeamLoad {
    /// Returns whether the team uses more than a share of which it demands more.
    fn exceeds(&self, share: f64) -> bool {
        let owed = share.max(self.weight.jobs_per_s());
        let time = DECAY_TIME.as_secs_f64();
        let tolerated = TOLERATED_DEVIATIONS * (owed / time).sqrt() + 1.0 / time;
        self.demand_per_s > share && self.use_per_s > owed + tolerated
    }
}

/// Returns the weighted max-min share of each team, in jobs a second: a team gets what it demands,
/// up to a level for each unit of weight that is the same for all teams and uses up the capacity.
pub(crate) fn max_min_shares(teams: &[TeamLoad], capacity_per_s: f64) -> Vec<f64> {
    // A team of weight 0 gets something only if nobody else is cut.
    let level_of = |team: &TeamLoad| team.demand_per_s / team.weight.jobs_per_s().max(f64::EPSILON);
    let mut order: Vec<usize> = (0..teams.len()).collect();
    order.sort_by(|left, right| level_of(&teams[*left]).total_cmp(&level_of(&teams[*right])));
    // Sums from the back, as a huge weight would absorb the others in a running difference.
    let mut open_weights = vec![0.0; teams.len() + 1];
    for (place, number) in order.iter().enumerate().rev() {
        open_weights[place] = open_weights[place + 1] + teams[*number].weight.jobs_per_s();
    }
    let mut left = capacity_per_s;
    let mut shares = vec![0.0; teams.len()];
    for (number, open_weight) in order.into_iter().zip(open_weights) {
        let team = &teams[number];
        let part = if open_weight > 0.0 { team.weight.jobs_per_s() / open_weight } else { 1.0 };
        shares[number] = team.demand_per_s.min(left * part);
        left = (left - shares[number]).max(0.0);
    }
    shares
}

/// Recent use and demand of each team, which decay with time.
#[derive(Debug, Default)]
pub(crate) struct TeamRates {
    teams: IndexMap<TeamName, TeamLoad>,
    updated_at: Moment,
    /// When the log last listed the teams over their shares.
    logged_at: Moment,
}

impl TeamRates {
    /// Sets the teams and their weights. Teams that are no longer listed have no share, so that
    /// their jobs are ordered like those without a team.
    pub(crate) fn set_weights(&mut self, weights: impl Iterator<Item = (TeamName, TeamWeight)>) {
        let weighted = weights.map(|(team, weight)| {
            let load = self.teams.get(&team).copied().unwrap_or_default();
            (team, TeamLoad { weight, ..load })
        });
        self.teams = weighted.collect();
    }

    /// Adds a job that arrived at a moment, which may be some time ago.
    pub(crate) fn add_arrival(&mut self, team: Option<&TeamName>, at: Moment, now: Moment) {
        let added = self.recent_job(at, now);
        if let Some(load) = team.and_then(|team| self.teams.get_mut(team)) {
            load.demand_per_s += added;
        }
    }

    /// Adds a job whose first task was started at a moment, which may be some time ago.
    pub(crate) fn add_start(&mut self, team: Option<&TeamName>, at: Moment, now: Moment) {
        let added = self.recent_job(at, now);
        if let Some(load) = team.and_then(|team| self.teams.get_mut(team)) {
            load.use_per_s += added;
        }
    }

    /// Returns what a job of a moment adds to a rate now.
    fn recent_job(&mut self, at: Moment, now: Moment) -> f64 {
        self.update(now);
        decay(now.since(at)) / DECAY_TIME.as_secs_f64()
    }

    /// Lets use and demand decay until a moment.
    fn update(&mut self, now: Moment) {
        if now <= self.updated_at {
            return;
        }
        let factor = decay(now.since(self.updated_at));
        for load in self.teams.values_mut() {
            load.use_per_s *= factor;
            load.demand_per_s *= factor;
        }
        self.updated_at = now;
    }

    /// Returns the teams that use more than their share of what the site starts, and logs them
    /// at most once a second.
    pub(crate) fn teams_over_share(&mut self, now: Moment) -> IndexSet<TeamName> {
        self.update(now);
        let loads: Vec<TeamLoad> = self.teams.values().copied().collect();
        let capacity = loads.iter().map(|load| load.use_per_s).sum();
        let shares = max_min_shares(&loads, capacity);
        let is_logged = now.since(self.logged_at) >= LOG_PAUSE;
        let mut over = IndexSet::new();
        for ((team, load), share) in self.teams.iter().zip(shares) {
            if !load.exceeds(share) {
                continue;
            }
            if is_logged {
                self.logged_at = now;
                log::info!(
                    "event=team_over_share team={team} weight={} use_per_s={:.2} \
                     demand_per_s={:.2} share_per_s={share:.2}",
                    load.weight.jobs_per_s(),
                    load.use_per_s,
                    load.demand_per_s
                );
            }
            over.insert(team.clone());
        }
        over
    }
}

fn decay(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
}
