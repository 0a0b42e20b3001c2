//! Instances that drain, restart, join and fail, in arithmetic.

use indexmap::IndexMap;
use magnoliapin_fleet::FleetSnapshot;
use magnoliapin_fleet::FleetStep;
use magnoliapin_fleet::InstanceChange;
use magnoliapin_fleet::InstanceState;
use magnoliapin_fleet::StepGoal;
use magnoliapin_fleet::StepWrites;
use magnoliapin_fleet::TargetLoad;
use magnoliapin_fleet::UnixSeconds;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::TargetRun;
use magnoliapin_wire::ListedState;
use rand::Rng;
use rand_pcg::Pcg64;

use crate::demand::exponential;
use crate::deployment::SLOTS;

/// Mean time that a task has left when a drain begins, in seconds.
const TASK_SECONDS: f64 = 12.0;
const JOIN_SECONDS: u64 = 5;
/// Mean time between two failures of one instance, in seconds.
const FAILURE_SECONDS: f64 = 7.0 * 86_400.0;
const REPAIR_SECONDS: u64 = 600;

/// The fleet with what is under way on each instance.
#[derive(Clone, Debug)]
pub(crate) struct FleetModel {
    /// The fleet as a planner sees it.
    pub(crate) snapshot: FleetSnapshot,
    /// Moves that reached their pool.
    pub(crate) moves: u32,
    /// When what is under way on an instance is done.
    done_at: IndexMap<InstanceId, UnixSeconds>,
}

impl FleetModel {
    /// Makes a fleet of which nothing is under way.
    pub(crate) fn new(snapshot: FleetSnapshot) -> Self {
        Self { snapshot, moves: 0, done_at: IndexMap::new() }
    }

    /// Carries steps out, each as far as the rules allow it.
    pub(crate) fn carry_out(
        &mut self,
        steps: &[FleetStep],
        document: &ConfigDocument,
        now: UnixSeconds,
        random: &mut Pcg64,
    ) {
        for step in steps {
            let Ok(writes) = StepWrites::new(&self.snapshot, document, step, now) else { continue };
            writes.apply_to(&mut self.snapshot, &[]);
            if let FleetStep::Instance { instance, change } = step {
                self.start(*instance, change, now, random);
            }
        }
    }

    /// Returns the serving instances of a pool.
    pub(crate) fn serving(&self, pool: PoolId) -> f64 {
        f64::from(self.snapshot.pool(pool).row.available())
    }

    /// Lets work, drains, restarts and failures go on; `busy_parts` says how busy each pool is.
    pub(crate) fn advance(
        &mut self,
        now: UnixSeconds,
        step_seconds: u64,
        busy_parts: &IndexMap<PoolId, f64>,
        random: &mut Pcg64,
    ) {
        for (instance, facts) in &mut self.snapshot.instances {
            let (Some(row), Some(record)) = (&facts.row, &mut facts.record) else { continue };
            let is_done = self.done_at.get(instance).is_none_or(|done_at| now >= *done_at);
            let chance = step_seconds as f64 / FAILURE_SECONDS;
            facts.healthy = Some(row.row.state != InstanceState::Failed || is_done);
            match row.row.state {
                InstanceState::Serving => {
                    let part = busy_parts.get(&row.row.pool).copied().unwrap_or(0.0);
                    let busy = (0..SLOTS).filter(|_| random.random_bool(part)).count();
                    facts.load = Some(load(record.run, false, busy));
                    record.state = ListedState::Live;
                    if random.random_bool(chance) {
                        facts.healthy = Some(false);
                        self.done_at.insert(*instance, now.after(REPAIR_SECONDS));
                    }
                }
                InstanceState::Draining => {
                    facts.load = Some(load(record.run, true, usize::from(!is_done)));
                }
                InstanceState::Rebooting if is_done && record.run == row.row.run => {
                    record.run = TargetRun(record.run.0 + 1);
                    if let Some(StepGoal::Reboot { image }) = &row.row.goal {
                        record.image.clone_from(image);
                    }
                }
                InstanceState::Joining => {
                    facts.load = Some(load(record.run, !is_done, 0));
                }
                _ => {}
            }
            facts.load_epoch = row.version;
        }
    }

    fn start(
        &mut self,
        instance: InstanceId,
        change: &InstanceChange,
        now: UnixSeconds,
        random: &mut Pcg64,
    ) {
        let seconds = match change {
            InstanceChange::Drain { .. } => {
                let busy = self.snapshot.instances[&instance].busy();
                let ends = (0..busy).map(|_| exponential(TASK_SECONDS, random));
                ends.fold(0.0, f64::max) as u64
            }
            InstanceChange::Reboot => random.random_range(60..120),
            InstanceChange::Join => {
                let row = self.snapshot.row(instance);
                self.moves += u32::from(row.is_some_and(magnoliapin_fleet::InstanceRow::is_moving));
                JOIN_SECONDS
            }
            _ => return,
        };
        self.done_at.insert(instance, now.after(seconds));
    }
}

fn load(run: TargetRun, leaving: bool, busy: usize) -> TargetLoad {
    TargetLoad { run, leaving, busy: u32::try_from(busy).unwrap_or(u32::MAX) }
}
