//! One day of one deployment under one planner.

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
use crate::deployment::start;
use crate::deployment::SiteModel;
use crate::deployment::SLOTS;
use crate::fleet::FleetModel;
use crate::greedy;
use crate::share::divide;

const STEP_SECONDS: u64 = 5;
const PLAN_SECONDS: u64 = 10;
const DAY_SECONDS: u64 = 86_400;
const WINDOW_SECONDS: u64 = 60;
/// When the document names a new image.
const ROLLOUT_AT_SECONDS: u64 = 14 * 3_600;

/// Who plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlannerKind {
    /// The planner of this crate.
    Planner,
    /// Nothing moves; restarts go by rack without a look at the load.
    Static,
    /// Restarts like the static fleet, and moves at once.
    Greedy,
}

impl PlannerKind {
    /// Every planner, the measured one first.
    pub(crate) const ALL: [Self; 3] = [Self::Planner, Self::Static, Self::Greedy];
}

/// What a day came to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TrialResult {
    /// Instance-hours in the spare pool.
    buffer_hours: f64,
    /// Part of what teams were entitled to that they did not get in the same minute, in percent.
    share_distance: f64,
    /// Moves.
    moves: f64,
    /// From the new document until every instance that is up runs the image, in minutes.
    rollout_minutes: f64,
    /// The four measures by the prices of `[weights]`; shares count by the instance-hours missed.
    price: f64,
}

/// Reads one measure of a result.
pub(crate) type MeasureReader = fn(&TrialResult) -> f64;

impl TrialResult {
    /// Every measure; lower is better.
    pub(crate) const MEASURES: [(&'static str, MeasureReader); 5] = [
        ("buffer, instance-hours held spare", |result| result.buffer_hours),
        ("distance from share, percent", |result| result.share_distance),
        ("moves", |result| result.moves),
        ("roll-out, minutes", |result| result.rollout_minutes),
        ("price of all four by [weights]", |result| result.price),
    ];
}

/// The state of a day.
#[derive(Debug)]
struct TrialDay {
    kind: PlannerKind,
    document: ConfigDocument,
    fleet: FleetModel,
    queues: Vec<QueueModel>,
    team_weights: Vec<f64>,
    /// Work that waits, in instance-seconds, by pool and team.
    waiting: IndexMap<PoolId, Vec<f64>>,
    history: DemandHistory,
    /// What each pool is asked for now, in instances.
    asked: IndexMap<PoolId, f64>,
    busy_parts: IndexMap<PoolId, f64>,
    window: WindowSums,
    entitled_sum: f64,
    missed_sum: f64,
}

/// Sums of one window, by team, in instance-seconds.
#[derive(Clone, Debug, Default)]
struct WindowSums {
    wanted: Vec<f64>,
    served: Vec<f64>,
    capacity: f64,
}

impl WindowSums {
    /// Starts a window with the work that waits.
    fn new(waiting: &IndexMap<PoolId, Vec<f64>>, teams: usize) -> Self {
        let wanted = |team: usize| waiting.values().map(|waiting| waiting[team]).sum();
        let wanted = (0..teams).map(wanted).collect();
        Self { wanted, served: vec![0.0; teams], capacity: 0.0 }
    }
}

/// Runs one day.
pub(crate) fn run(site: &SiteModel, kind: PlannerKind, seed: u64) -> TrialResult {
    // Demand draws from its own generator, so that it is the same for every planner.
    let mut demand_random = Pcg64::seed_from_u64(seed);
    let mut fleet_random = Pcg64::seed_from_u64(seed + 1_000);
    let mut day = TrialDay::new(site, kind, &mut demand_random);
    day.adopt(&mut fleet_random);
    let rollout_minutes = (DAY_SECONDS - ROLLOUT_AT_SECONDS) as f64 / 60.0;
    let mut result = TrialResult { rollout_minutes, ..TrialResult::default() };
    let mut is_rolled_out = false;
    let spare = day.spare();
    for seconds in (0..DAY_SECONDS).step_by(STEP_SECONDS as usize) {
        let now = start().after(seconds);
        if seconds == ROLLOUT_AT_SECONDS {
            day.document.pools.values_mut().for_each(|section| section.image = "two".to_owned());
        }
        if seconds % PLAN_SECONDS == 0 {
            day.plan(now, &mut fleet_random);
        }
        day.serve(seconds, now, &mut demand_random);
        day.fleet.advance(now, STEP_SECONDS, &day.busy_parts, &mut fleet_random);
        if seconds % WINDOW_SECONDS == 0 {
            day.close_window();
        }
        let held = f64::from(day.fleet.snapshot.pool(spare).row.members);
        result.buffer_hours += held * STEP_SECONDS as f64 / 3_600.0;
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
        let queues = QueueModel::all(&document, random);
        let team_weights: Vec<f64> =
            document.teams.values().map(|team| f64::from(team.weight)).collect();
        let waiting = queues.iter().map(|queue| (queue.pool, vec![0.0; team_weights.len()]));
        let waiting = waiting.collect();
        Self {
            kind,
            document,
            fleet: FleetModel::new(site.snapshot()),
            window: WindowSums::new(&waiting, team_weights.len()),
            team_weights,
            queues,
            waiting,
            history: DemandHistory::default(),
            asked: IndexMap::new(),
            busy_parts: IndexMap::new(),
            entitled_sum: 0.0,
            missed_sum: 0.0,
        }
    }

    /// Gives each instance its row, with the last maintenance at some time of the period.
    fn adopt(&mut self, random: &mut Pcg64) {
        let steps = plan(&self.fleet.snapshot, &self.document, &self.history, start());
        self.fleet.carry_out(&steps, &self.document, start(), random);
        let period = u64::from(self.document.maintenance.period_hours) * 3_600;
        for facts in self.fleet.snapshot.instances.values_mut() {
            if let Some(row) = &mut facts.row {
                let age = random.random_range(0..period * 9 / 10);
                row.row.maintained_at = UnixSeconds(start().0 - age);
                row.row.changed_at = row.row.maintained_at;
            }
        }
    }

    fn spare(&self) -> PoolId {
        let spare = self.document.pools.iter().find(|(_, section)| section.spare);
        spare.map(|(pool, _)| *pool).unwrap_or_default()
    }

    fn plan(&mut self, now: UnixSeconds, random: &mut Pcg64) {
        let steps = self.steps(now);
        self.fleet.carry_out(&steps, &self.document, now, random);
    }

    fn steps(&self, now: UnixSeconds) -> Vec<FleetStep> {
        let snapshot = &self.fleet.snapshot;
        if self.kind == PlannerKind::Planner {
            return plan(snapshot, &self.document, &self.history, now);
        }
        let blind = without_loads(snapshot);
        let mut steps = plan(&blind, &self.document, &DemandHistory::default(), now);
        if self.kind == PlannerKind::Greedy {
            steps.extend(greedy::moves(snapshot, &self.document, &self.asked));
        }
        steps
    }

    /// Lets work arrive and be served for one step; inside a pool the shares are exact.
    fn serve(&mut self, seconds: u64, now: UnixSeconds, random: &mut Pcg64) {
        let span = STEP_SECONDS as f64;
        for queue in &mut self.queues {
            let waiting = &mut self.waiting[&queue.pool];
            let asked = queue.asked(seconds as f64, random);
            self.history.observe(queue.queue, asked * f64::from(SLOTS), now);
            for (team, part) in queue.team_parts.iter().enumerate() {
                waiting[team] += asked * part * span;
                self.window.wanted[team] += asked * part * span;
            }
        }
        for (pool, waiting) in &mut self.waiting {
            let wanted: f64 = waiting.iter().sum();
            self.asked.insert(*pool, wanted / span);
            let capacity = self.fleet.serving(*pool) * span;
            let served = divide(capacity, waiting, &self.team_weights);
            for (team, served) in served.iter().enumerate() {
                waiting[team] -= served;
                self.window.served[team] += served;
            }
            let served: f64 = served.iter().sum();
            self.busy_parts.insert(*pool, (served / capacity.max(1e-9)).clamp(0.0, 1.0));
        }
        let pools = self.document.pools.keys();
        self.window.capacity += pools.map(|pool| self.fleet.serving(*pool)).sum::<f64>() * span;
    }

    /// Adds up what teams were entitled to, had the whole fleet been at their service, and missed.
    fn close_window(&mut self) {
        let window = std::mem::replace(
            &mut self.window,
            WindowSums::new(&self.waiting, self.team_weights.len()),
        );
        let entitled = divide(window.capacity, &window.wanted, &self.team_weights);
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

/// Returns the fleet without what serving targets say of their load.
fn without_loads(snapshot: &FleetSnapshot) -> FleetSnapshot {
    let mut blind = snapshot.clone();
    for facts in blind.instances.values_mut() {
        if let Some(load) = facts.load.as_mut().filter(|load| !load.leaving) {
            load.busy = 0;
        }
    }
    blind
}
