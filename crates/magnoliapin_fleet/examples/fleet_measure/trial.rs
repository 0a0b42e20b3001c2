//! Simulates one day of one site under one planner.

use indexmap::IndexMap;
use magnoliapin_fleet::plan;
use magnoliapin_fleet::DemandHistory;
use magnoliapin_fleet::FleetSnapshot;
use magnoliapin_fleet::FleetStep;
use magnoliapin_fleet::InstanceState;
use magnoliapin_fleet::UnixSeconds;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::PoolId;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::demand::QueueModel;
use crate::deployment::trial_start;
use crate::deployment::SiteModel;
use crate::deployment::SLOTS;
use crate::fleet::FleetModel;
use crate::greedy;
use crate::share::divide;

const STEP_SECONDS: u64 = 5;
const PLAN_INTERVAL_SECONDS: u64 = 10;
const DAY_SECONDS: u64 = 86_400;
const WINDOW_SECONDS: u64 = 60;
/// Time of the day at which the document gets a new image.
const ROLLOUT_AT_SECONDS: u64 = 14 * 3_600;

/// Planner that a trial runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlannerKind {
    /// The planner of this crate.
    Planner,
    /// No moves; restarts are ordered by rack and ignore the load.
    Static,
    /// Restarts like [`Static`](Self::Static), and moves instances as soon as demand changes.
    Greedy,
}

impl PlannerKind {
    /// Every planner, the measured one first.
    pub(crate) const ALL: [Self; 3] = [Self::Planner, Self::Static, Self::Greedy];
}

/// Measures of one simulated day.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TrialResult {
    /// Instance-hours in the spare pool.
    buffer_hours: f64,
    /// Work that teams were entitled to but did not get in the same minute, as a percentage of all
    /// that they were entitled to.
    share_distance: f64,
    /// Completed moves between pools.
    moves: f64,
    /// From the new document until every instance that has not failed runs the image, in minutes.
    rollout_minutes: f64,
    /// Sum of the four measures priced by `[weights]`; the distance from the share counts in
    /// instance-hours missed.
    price: f64,
}

/// Reads one measure of a result.
pub(crate) type MeasureReader = fn(&TrialResult) -> f64;

impl TrialResult {
    /// Every measure with its printed name; lower is better.
    pub(crate) const MEASURES: [(&'static str, MeasureReader); 5] = [
        ("buffer, instance-hours held spare", |result| result.buffer_hours),
        ("distance from share, percent", |result| result.share_distance),
        ("moves", |result| result.moves),
        ("roll-out, minutes", |result| result.rollout_minutes),
        ("price of all four by [weights]", |result| result.price),
    ];
}

/// State of one simulated day.
#[derive(Debug)]
struct TrialDay {
    kind: PlannerKind,
    document: ConfigDocument,
    fleet: FleetModel,
    queues: Vec<QueueModel>,
    team_weights: Vec<f64>,
    /// Work that has arrived and is not served, in instance-seconds, by pool and team.
    backlog: IndexMap<PoolId, Vec<f64>>,
    history: DemandHistory,
    /// Backlog and arrivals of each pool in the current step, in instances.
    demand: IndexMap<PoolId, f64>,
    /// Fraction of each pool's capacity that is in use.
    busy_fractions: IndexMap<PoolId, f64>,
    window: WindowSums,
    /// Instance-seconds that teams were entitled to so far.
    entitled_sum: f64,
    /// Instance-seconds that teams were entitled to and did not get in the same window.
    missed_sum: f64,
}

/// Sums over one window, in instance-seconds; demand and served work are by team.
#[derive(Clone, Debug, Default)]
struct WindowSums {
    demand: Vec<f64>,
    served: Vec<f64>,
    capacity: f64,
}

impl WindowSums {
    /// Starts a window whose demand is the present backlog.
    fn new(backlog: &IndexMap<PoolId, Vec<f64>>, teams: usize) -> Self {
        let team_demand = |team: usize| backlog.values().map(|backlog| backlog[team]).sum();
        let demand = (0..teams).map(team_demand).collect();
        Self { demand, served: vec![0.0; teams], capacity: 0.0 }
    }
}

/// Simulates one day.
pub(crate) fn run(site: &SiteModel, kind: PlannerKind, seed: u64) -> TrialResult {
    // Demand has its own random generator, so that it is the same for every planner.
    let mut demand_random = Pcg64::seed_from_u64(seed);
    let mut fleet_random = Pcg64::seed_from_u64(seed + 1_000);
    let mut day = TrialDay::new(site, kind, &mut demand_random);
    day.adopt_instances(&mut fleet_random);
    let rollout_minutes = (DAY_SECONDS - ROLLOUT_AT_SECONDS) as f64 / 60.0;
    let mut result = TrialResult { rollout_minutes, ..TrialResult::default() };
    let mut is_rolled_out = false;
    let spare = day.spare_pool();
    for seconds in (0..DAY_SECONDS).step_by(STEP_SECONDS as usize) {
        let now = trial_start().after(seconds);
        if seconds == ROLLOUT_AT_SECONDS {
            day.document.pools.values_mut().for_each(|section| section.image = "two".to_owned());
        }
        if seconds % PLAN_INTERVAL_SECONDS == 0 {
            day.run_planner(now, &mut fleet_random);
        }
        day.serve(seconds, now, &mut demand_random);
        day.fleet.advance(now, STEP_SECONDS, &day.busy_fractions, &mut fleet_random);
        if seconds % WINDOW_SECONDS == 0 {
            day.close_window();
        }
        let spare_instances = f64::from(day.fleet.snapshot.pool(spare).row.members);
        result.buffer_hours += spare_instances * STEP_SECONDS as f64 / 3_600.0;
        if !is_rolled_out && seconds > ROLLOUT_AT_SECONDS && day.is_rolled_out() {
            is_rolled_out = true;
            result.rollout_minutes = (seconds - ROLLOUT_AT_SECONDS) as f64 / 60.0;
        }
    }
    result.share_distance = 100.0 * day.missed_sum / day.entitled_sum;
    result.moves = f64::from(day.fleet.moves);
    let weights = &day.document.weights;
    result.price = weights.buffer * result.buffer_hours
        + weights.share * day.missed_sum / 3_600.0
        + weights.moves * result.moves
        + weights.rollout * result.rollout_minutes / 60.0;
    result
}

impl TrialDay {
    fn new(site: &SiteModel, kind: PlannerKind, random: &mut Pcg64) -> Self {
        let document = site.document.clone();
        let queues = QueueModel::for_document(&document, random);
        let team_weights: Vec<f64> =
            document.teams.values().map(|team| f64::from(team.weight)).collect();
        let backlog = queues.iter().map(|queue| (queue.pool, vec![0.0; team_weights.len()]));
        let backlog = backlog.collect();
        Self {
            kind,
            document,
            fleet: FleetModel::new(site.snapshot()),
            window: WindowSums::new(&backlog, team_weights.len()),
            team_weights,
            queues,
            backlog,
            history: DemandHistory::default(),
            demand: IndexMap::new(),
            busy_fractions: IndexMap::new(),
            entitled_sum: 0.0,
            missed_sum: 0.0,
        }
    }

    /// Creates the row of each instance; the age of its last maintenance is random, below nine
    /// tenths of the period.
    fn adopt_instances(&mut self, random: &mut Pcg64) {
        let steps = plan(&self.fleet.snapshot, &self.document, &self.history, trial_start());
        self.fleet.apply_steps(&steps, &self.document, trial_start(), random);
        let period = u64::from(self.document.maintenance.period_hours) * 3_600;
        for status in self.fleet.snapshot.instances.values_mut() {
            if let Some(row) = &mut status.row {
                let age = random.random_range(0..period * 9 / 10);
                row.row.maintained_at = UnixSeconds(trial_start().0 - age);
                row.row.changed_at = row.row.maintained_at;
            }
        }
    }

    fn spare_pool(&self) -> PoolId {
        let spare = self.document.pools.iter().find(|(_, section)| section.spare);
        spare.map(|(pool, _)| *pool).unwrap_or_default()
    }

    fn run_planner(&mut self, now: UnixSeconds, random: &mut Pcg64) {
        let steps = self.plan_steps(now);
        self.fleet.apply_steps(&steps, &self.document, now, random);
    }

    fn plan_steps(&self, now: UnixSeconds) -> Vec<FleetStep> {
        let snapshot = &self.fleet.snapshot;
        if self.kind == PlannerKind::Planner {
            return plan(snapshot, &self.document, &self.history, now);
        }
        let unloaded = without_loads(snapshot);
        let mut steps = plan(&unloaded, &self.document, &DemandHistory::default(), now);
        if self.kind == PlannerKind::Greedy {
            steps.extend(greedy::moves(snapshot, &self.document, &self.demand));
        }
        steps
    }

    /// Adds the work that arrives in one step and serves it together with the backlog; the capacity
    /// of a pool is divided exactly by the teams' weights.
    fn serve(&mut self, seconds: u64, now: UnixSeconds, random: &mut Pcg64) {
        let step_seconds = STEP_SECONDS as f64;
        for queue in &mut self.queues {
            let backlog = &mut self.backlog[&queue.pool];
            let queue_demand = queue.demand_at(seconds as f64, random);
            self.history.observe(queue.queue, queue_demand * f64::from(SLOTS), now);
            for (team, fraction) in queue.team_fractions.iter().enumerate() {
                backlog[team] += queue_demand * fraction * step_seconds;
                self.window.demand[team] += queue_demand * fraction * step_seconds;
            }
        }
        for (pool, backlog) in &mut self.backlog {
            let pool_backlog: f64 = backlog.iter().sum();
            self.demand.insert(*pool, pool_backlog / step_seconds);
            let capacity = self.fleet.serving_instances(*pool) * step_seconds;
            let served = divide(capacity, backlog, &self.team_weights);
            for (team, served) in served.iter().enumerate() {
                backlog[team] -= served;
                self.window.served[team] += served;
            }
            let served: f64 = served.iter().sum();
            self.busy_fractions.insert(*pool, (served / capacity.max(1e-9)).clamp(0.0, 1.0));
        }
        let pools = self.document.pools.keys();
        self.window.capacity +=
            pools.map(|pool| self.fleet.serving_instances(*pool)).sum::<f64>() * step_seconds;
    }

    /// Ends the window and adds the work that teams were entitled to and missed to the totals. The
    /// entitlement divides the capacity of the whole fleet, regardless of pools.
    fn close_window(&mut self) {
        let window = std::mem::replace(
            &mut self.window,
            WindowSums::new(&self.backlog, self.team_weights.len()),
        );
        let entitled = divide(window.capacity, &window.demand, &self.team_weights);
        for (entitled, served) in entitled.iter().zip(&window.served) {
            self.entitled_sum += entitled;
            self.missed_sum += (entitled - served).max(0.0);
        }
    }

    fn is_rolled_out(&self) -> bool {
        let rows = self.fleet.snapshot.rows();
        rows.filter(|(_, _, row)| row.state != InstanceState::Failed)
            .all(|(_, _, row)| row.image == "two" && row.state != InstanceState::Joining)
    }
}

/// Returns the fleet with no running tasks on targets that accept new work.
fn without_loads(snapshot: &FleetSnapshot) -> FleetSnapshot {
    let mut unloaded = snapshot.clone();
    for status in unloaded.instances.values_mut() {
        if let Some(load) = status.load.as_mut().filter(|load| !load.leaving) {
            load.busy = 0;
        }
    }
    unloaded
}
