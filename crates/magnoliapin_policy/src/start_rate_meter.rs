//! Start rates by team, used to refuse requests early that would miss their deadline.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_model::PoolId;
use magnoliapin_model::TeamId;

const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Weight of the newest window in the average.
const NEWEST_WEIGHT: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct RateRecord {
    window_start: Moment,
    started: u32,
    per_second: Option<f64>,
}

/// Starts per second by pool and team, as a moving average over the windows in which work waited.
#[derive(Debug, Default)]
pub(crate) struct StartRateMeter {
    records: IndexMap<(PoolId, TeamId), RateRecord>,
}

impl StartRateMeter {
    /// Counts one start of a team's work.
    pub(crate) fn record_start(&mut self, pool: PoolId, team: TeamId, now: Moment) {
        let new_record = RateRecord { window_start: now, started: 0, per_second: None };
        let record = self.records.entry((pool, team)).or_insert(new_record);
        let span = now.since(record.window_start);
        if span >= RATE_WINDOW {
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

    /// Discards a team's start rate. Without waiting work it reflects the demand instead of the
    /// achievable rate.
    pub(crate) fn reset(&mut self, pool: PoolId, team: TeamId) {
        self.records.swap_remove(&(pool, team));
    }

    /// Returns the expected wait behind `ahead` earlier requests, if the start rate is known.
    pub(crate) fn expected_wait(&self, pool: PoolId, team: TeamId, ahead: u32) -> Option<Duration> {
        let per_second = self.records.get(&(pool, team))?.per_second?;
        Duration::try_from_secs_f64(f64::from(ahead) / per_second.max(0.01)).ok()
    }
}
