//! Model of a fleet whose drains, restarts, joins and failures last for computed times.

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
use magnoliapin_model::TargetIncarnation;
use magnoliapin_wire::ListedState;
use rand::Rng;
use rand_pcg::Pcg64;

use crate::demand::exponential;
use crate::deployment::SLOTS;

/// Mean remaining time of a task when a drain starts, in seconds.
const TASK_SECONDS: f64 = 12.0;
const JOIN_SECONDS: u64 = 5;
/// Mean time between failures of one instance, in seconds.
const FAILURE_INTERVAL_SECONDS: f64 = 7.0 * 86_400.0;
const REPAIR_SECONDS: u64 = 600;

/// The fleet with the operation in progress on each instance.
#[derive(Clone, Debug)]
pub(crate) struct FleetModel {
    /// Input of the planners.
    pub(crate) snapshot: FleetSnapshot,
    /// Moves whose instance has joined its new pool.
    pub(crate) moves: u32,
    /// When the drain, restart, join or repair in progress on an instance completes.
    completes_at: IndexMap<InstanceId, UnixSeconds>,
}

impl FleetModel {
    /// Creates a fleet without operations in progress.
    pub(crate) fn new(snapshot: FleetSnapshot) -> Self {
        Self { snapshot, moves: 0, completes_at: IndexMap::new() }
    }

    /// Applies steps in order and skips those that the rules refuse.
    pub(crate) fn apply_steps(
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
                self.start_operation(*instance, change, now, random);
            }
        }
    }

    /// Returns the number of serving instances of a pool.
    pub(crate) fn serving_instances(&self, pool: PoolId) -> f64 {
        f64::from(self.snapshot.pool(pool).row.available())
    }

    /// Advances the load, operations and failures of all instances by one time step;
    /// `busy_fractions` has the fraction of busy slots of each pool.
    pub(crate) fn advance(
        &mut self,
        now: UnixSeconds,
        step_seconds: u64,
        busy_fractions: &IndexMap<PoolId, f64>,
        random: &mut Pcg64,
    ) {
        for (instance, status) in &mut self.snapshot.instances {
            let (Some(row), Some(record)) = (&status.row, &mut status.record) else { continue };
            let is_complete =
                self.completes_at.get(instance).is_none_or(|completes_at| now >= *completes_at);
            let failure_probability = step_seconds as f64 / FAILURE_INTERVAL_SECONDS;
            status.healthy = Some(row.row.state != InstanceState::Failed || is_complete);
            match row.row.state {
                InstanceState::Serving => {
                    let busy_fraction = busy_fractions.get(&row.row.pool).copied().unwrap_or(0.0);
                    let busy = (0..SLOTS).filter(|_| random.random_bool(busy_fraction)).count();
                    status.load = Some(load(record.run, false, busy));
                    record.state = ListedState::Live;
                    if random.random_bool(failure_probability) {
                        status.healthy = Some(false);
                        self.completes_at.insert(*instance, now.after(REPAIR_SECONDS));
                    }
                }
                InstanceState::Draining => {
                    status.load = Some(load(record.run, true, usize::from(!is_complete)));
                }
                InstanceState::Rebooting if is_complete && record.run == row.row.run => {
                    record.run = TargetIncarnation(record.run.0 + 1);
                    if let Some(StepGoal::Reboot { image }) = &row.row.goal {
                        record.image.clone_from(image);
                    }
                }
                InstanceState::Joining => {
                    status.load = Some(load(record.run, !is_complete, 0));
                }
                _ => {}
            }
            status.load_epoch = row.version;
        }
    }

    /// Schedules the completion of a change that takes time.
    fn start_operation(
        &mut self,
        instance: InstanceId,
        change: &InstanceChange,
        now: UnixSeconds,
        random: &mut Pcg64,
    ) {
        let seconds = match change {
            InstanceChange::Drain { .. } => {
                let busy = self.snapshot.instances[&instance].busy();
                let remaining_seconds = (0..busy).map(|_| exponential(TASK_SECONDS, random));
                remaining_seconds.fold(0.0, f64::max) as u64
            }
            InstanceChange::Reboot => random.random_range(60..120),
            InstanceChange::Join => {
                let row = self.snapshot.row(instance);
                self.moves += u32::from(row.is_some_and(magnoliapin_fleet::InstanceRow::is_moving));
                JOIN_SECONDS
            }
            _ => return,
        };
        self.completes_at.insert(instance, now.after(seconds));
    }
}

fn load(incarnation: TargetIncarnation, leaving: bool, busy: usize) -> TargetLoad {
    TargetLoad { incarnation, leaving, busy: u32::try_from(busy).unwrap_or(u32::MAX) }
}
