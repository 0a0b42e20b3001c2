//! Arrival times of the demo's work: the queues peak in turn and are nearly idle in between.

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

/// Approximate mean arrival rate of one queue.
const MEAN_ARRIVALS_PER_SECOND: f64 = 26.0;

/// Arrival rate during a queue's peak, as a multiple of the mean.
const PEAK_FACTOR: f64 = 5.0;

/// Arrival rate outside its peaks, as a multiple of the mean.
const QUIET_FACTOR: f64 = 0.05;

/// Phases of a cycle: each queue peaks in one of the first four; no queue peaks in the last.
const PHASES_PER_CYCLE: u64 = 5;

/// Cycles in a run.
const CYCLES: u64 = 2;

/// Most arrivals in a run.
const MAX_ARRIVALS: usize = 200_000;

/// Fraction of jobs that fail after their run time, and fraction that every target refuses as unfit.
const FAULTY_FRACTION: f64 = 0.01;

/// One request or job that a client sends.
#[derive(Clone, Debug)]
pub(crate) struct WorkArrival {
    /// Unique number of the work, included in its payload.
    pub(crate) marker: u64,
    /// Time of arrival since the start of the load.
    pub(crate) at: Duration,
    /// Its queue.
    pub(crate) queue: &'static QueueProfile,
    /// Team whose key is sent; `None` for calls without a key.
    pub(crate) team: Option<TeamId>,
    /// Input of the work, as JSON.
    pub(crate) payload: String,
}

/// Generates the arrivals of a run of `seconds`, sorted by time. The same seed gives the same load.
pub(crate) fn draw_arrivals(seconds: u64, seed: u64) -> Vec<WorkArrival> {
    let mut generator = Pcg64Mcg::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (index, queue) in QUEUES.iter().enumerate() {
        let peak_phase = index as u64 % (PHASES_PER_CYCLE - 1);
        let mut at = 0.0;
        while arrivals.len() < MAX_ARRIVALS {
            let rate = MEAN_ARRIVALS_PER_SECOND * demand_factor(at, seconds, peak_phase);
            // Steps are capped at a fraction of a phase: one drawn at the low rate could otherwise
            // skip a whole peak.
            let step = -generator.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
            let max_step = phase_seconds(seconds) / 4.0;
            at += step.min(max_step);
            if at >= seconds as f64 {
                break;
            }
            if step <= max_step {
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

fn phase_seconds(seconds: u64) -> f64 {
    seconds as f64 / (PHASES_PER_CYCLE * CYCLES) as f64
}

/// Returns a queue's arrival rate at a time, as a multiple of the mean.
fn demand_factor(at: f64, seconds: u64, peak_phase: u64) -> f64 {
    let current_phase = (at / phase_seconds(seconds)) as u64 % PHASES_PER_CYCLE;
    if current_phase == peak_phase {
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
