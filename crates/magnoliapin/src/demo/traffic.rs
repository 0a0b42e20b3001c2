//! When work arrives: each queue has its moment by turns and is nearly idle in between.

use std::time::Duration;

use magnoliapin_model::TeamId;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use crate::demo::deployment::QueueProfile;
use crate::demo::deployment::TeamProfile;
use crate::demo::deployment::WorkKind;
use crate::demo::deployment::QUEUES;
use crate::demo::deployment::TEAMS;

/// Mean arrivals of one queue, a second.
const MEAN_RATE: f64 = 26.0;

/// Rate in a queue's moment, as a multiple of the mean.
const PEAK_FACTOR: f64 = 5.0;

/// Rate between its moments, as a multiple of the mean.
const QUIET_FACTOR: f64 = 0.05;

/// Turns of a cycle: four queues have one each, and one is quiet for all.
const TURNS_IN_CYCLE: u64 = 5;

/// Cycles in a whole run.
const CYCLES: u64 = 2;

/// Most arrivals of a whole run.
const MAX_ARRIVALS: usize = 200_000;

/// Part of the jobs that fail at their end, and part that no worker can run.
const FAULTY_FRACTION: f64 = 0.01;

/// One piece of work that a caller hands in.
#[derive(Clone, Debug)]
pub(crate) struct WorkArrival {
    /// Tells the work from all other; a part of its payload.
    pub(crate) marker: u64,
    /// When it arrives, from the start of the load.
    pub(crate) at: Duration,
    /// Its queue.
    pub(crate) queue: &'static QueueProfile,
    /// Team whose key comes with it; none if no key comes.
    pub(crate) team: Option<TeamId>,
    /// Input of the work.
    pub(crate) payload: String,
}

/// Draws the arrivals of a run of this many seconds, in order.
pub(crate) fn draw_arrivals(seconds: u64, seed: u64) -> Vec<WorkArrival> {
    let mut generator = Pcg64Mcg::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (index, queue) in QUEUES.iter().enumerate() {
        let turn = index as u64 % (TURNS_IN_CYCLE - 1);
        let mut at = 0.0;
        while arrivals.len() < MAX_ARRIVALS {
            let rate = MEAN_RATE * demand_factor(at, seconds, turn);
            // The longest step is a fraction of a turn, so that no moment is stepped over.
            let step = -generator.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
            let longest = turn_seconds(seconds) / 4.0;
            at += step.min(longest);
            if at >= seconds as f64 {
                break;
            }
            if step <= longest {
                arrivals.push(draw_work(&mut generator, Duration::from_secs_f64(at), queue));
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    for (marker, arrival) in (1..).zip(&mut arrivals) {
        arrival.marker = marker;
        arrival.payload =
            arrival.payload.replacen("\"marker\":0", &format!("\"marker\":{marker}"), 1);
    }
    arrivals
}

fn turn_seconds(seconds: u64) -> f64 {
    seconds as f64 / (TURNS_IN_CYCLE * CYCLES) as f64
}

/// Returns the rate at a time as a multiple of the mean.
fn demand_factor(at: f64, seconds: u64, turn: u64) -> f64 {
    let current = (at / turn_seconds(seconds)) as u64 % TURNS_IN_CYCLE;
    if current == turn {
        PEAK_FACTOR
    } else {
        QUIET_FACTOR
    }
}

fn draw_work(generator: &mut Pcg64Mcg, at: Duration, queue: &'static QueueProfile) -> WorkArrival {
    let run_ms = generator.random_range(queue.run_ms / 2..=queue.run_ms * 3 / 2);
    let is_job = queue.kind == WorkKind::Job;
    let fail = is_job && generator.random_bool(FAULTY_FRACTION);
    let unfit = is_job && generator.random_bool(FAULTY_FRACTION);
    let payload = json!({ "marker": 0, "run_ms": run_ms, "fail": fail, "unfit": unfit });
    let team = if queue.open { None } else { draw_team(generator, queue.deployment) };
    WorkArrival { marker: 0, at, queue, team, payload: payload.to_string() }
}

fn draw_team(generator: &mut Pcg64Mcg, deployment: &str) -> Option<TeamId> {
    let teams: Vec<&TeamProfile> =
        TEAMS.iter().filter(|team| team.deployment == deployment).collect();
    let weights: u32 = teams.iter().map(|team| team.weight).sum();
    let mut drawn = generator.random_range(0..weights.max(1));
    for team in teams {
        if drawn < team.weight {
            return team.id().ok();
        }
        drawn -= team.weight;
    }
    None
}
