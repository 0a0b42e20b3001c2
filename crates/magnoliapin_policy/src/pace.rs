//! How fast work of each team gets through, to refuse early what cannot be met.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_model::PoolId;
use magnoliapin_model::TeamId;

const WINDOW: Duration = Duration::from_millis(500);
/// Weight of the newest window in the average.
const NEWEST_WEIGHT: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct PaceRecord {
    window_start: Moment,
    started: u32,
    per_second: Option<f64>,
}

/// Starts for each second, by pool and team, averaged over the last windows in which work waited.
#[derive(Debug, Default)]
pub(crate) struct PaceMeter {
    records: IndexMap<(PoolId, TeamId), PaceRecord>,
}

impl PaceMeter {
    /// Notes that work was started.
    pub(crate) fn note_start(&mut self, pool: PoolId, team: TeamId, now: Moment) {
        let fresh = PaceRecord { window_start: now, started: 0, per_second: None };
        let record = self.records.entry((pool, team)).or_insert(fresh);
        let span = now.since(record.window_start);
        if span >= WINDOW {
            let newest = f64::from(record.started) / span.as_secs_f64();
            let average = record.per_second.map_or(newest, |per_second| {
                newest * NEWEST_WEIGHT + per_second * (1.0 - NEWEST_WEIGHT)
            });
            record.per_second = Some(average);
            record.window_start = now;
            record.started = 0;
        }
        record.started += 1;
    }

    /// Forgets a team's pace, as nothing of it waits and the pace says nothing of what is possible.
    pub(crate) fn reset(&mut self, pool: PoolId, team: TeamId) {
        self.records.swap_remove(&(pool, team));
    }

    /// Returns how long work behind `ahead` others waits, if that can be told.
    pub(crate) fn expected_wait(&self, pool: PoolId, team: TeamId, ahead: u32) -> Option<Duration> {
        let per_second = self.records.get(&(pool, team))?.per_second?;
        Duration::try_from_secs_f64(f64::from(ahead) / per_second.max(0.01)).ok()
    }
}
