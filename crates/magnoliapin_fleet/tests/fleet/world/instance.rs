//! Simulated instances that run tasks, drain, restart and crash.

use magnoliapin_fleet::TargetLoad;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::RackId;
use magnoliapin_model::RowVersion;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::ZoneId;
use magnoliapin_wire::InstanceOrder;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;
use magnoliapin_wire::OrderAction;
use rand::Rng;
use rand_pcg::Pcg64;

const REBOOT_MS: u64 = 30_000;
const SLOTS: usize = 8;

/// One simulated instance with its target.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedInstance {
    pub(crate) instance: InstanceId,
    pub(crate) zone: ZoneId,
    pub(crate) rack: RackId,
    pub(crate) pool: PoolId,
    pub(crate) incarnation: TargetIncarnation,
    pub(crate) image: String,
    /// Time from which it is up, in milliseconds.
    pub(crate) up_at_ms: u64,
    /// Whether it refuses new tasks.
    pub(crate) leaving: bool,
    /// End times of the running tasks, in milliseconds.
    pub(crate) task_ends_ms: Vec<u64>,
    /// Epoch of the last accepted order; orders with a lower epoch are refused.
    epoch: RowVersion,
    /// Whether the last health check found it down.
    pub(crate) last_check_failed: bool,
}

impl SimulatedInstance {
    /// Creates an instance that is up and idle.
    pub(crate) fn new(instance: &str, zone: &str, rack: &str, pool: &str) -> Self {
        Self {
            instance: InstanceId::new(instance).unwrap(),
            zone: ZoneId::new(zone).unwrap(),
            rack: RackId::new(rack).unwrap(),
            pool: PoolId::new(pool).unwrap(),
            incarnation: TargetIncarnation(1),
            image: "one".to_owned(),
            up_at_ms: 0,
            leaving: false,
            task_ends_ms: Vec::new(),
            epoch: RowVersion(0),
            last_check_failed: false,
        }
    }

    /// Returns whether it is up and answers requests.
    pub(crate) fn is_up(&self, now_ms: u64) -> bool {
        now_ms >= self.up_at_ms
    }

    /// Finishes tasks whose time is over and starts new ones at random.
    pub(crate) fn advance_tasks(&mut self, now_ms: u64, random: &mut Pcg64) {
        self.task_ends_ms.retain(|end_ms| *end_ms > now_ms);
        let accepts_tasks = self.is_up(now_ms) && !self.leaving && self.task_ends_ms.len() < SLOTS;
        if accepts_tasks && random.random_bool(0.05) {
            let is_long = random.random_bool(0.01);
            let duration_ms = if is_long { 120_000 } else { random.random_range(100..8_000) };
            self.task_ends_ms.push(now_ms + duration_ms);
        }
    }

    /// Loses all tasks and comes back after `down_ms` as a new incarnation.
    pub(crate) fn crash(&mut self, now_ms: u64, down_ms: u64) {
        self.task_ends_ms.clear();
        self.incarnation = TargetIncarnation(self.incarnation.0 + 1);
        self.leaving = false;
        self.up_at_ms = now_ms + down_ms;
    }

    /// Carries out an order and returns whether it was accepted; refuses orders for another
    /// incarnation or with an outdated epoch, and all orders while it is down.
    ///
    /// Asserts that a restart finds the instance draining, and idle unless `may_stop_tasks` is set.
    pub(crate) fn handle_order(
        &mut self,
        now_ms: u64,
        order: &InstanceOrder,
        may_stop_tasks: bool,
    ) -> bool {
        let is_outdated = order.run != self.incarnation || order.epoch < self.epoch;
        if is_outdated || !self.is_up(now_ms) {
            return false;
        }
        self.epoch = order.epoch;
        match &order.act {
            OrderAction::Drain => self.leaving = true,
            OrderAction::Undrain => self.leaving = false,
            OrderAction::Reboot { image } => {
                self.task_ends_ms.retain(|end_ms| *end_ms > now_ms);
                assert!(
                    self.task_ends_ms.is_empty() || may_stop_tasks,
                    "restart of {} stops running tasks",
                    self.instance
                );
                assert!(self.leaving, "{} accepts tasks when it restarts", self.instance);
                self.image.clone_from(image);
                self.crash(now_ms, REBOOT_MS);
            }
        }
        true
    }

    /// Returns the load that the target reports.
    pub(crate) fn load(&self, now_ms: u64) -> TargetLoad {
        let busy = self.task_ends_ms.iter().filter(|end_ms| **end_ms > now_ms).count();
        TargetLoad {
            incarnation: self.incarnation,
            leaving: self.leaving,
            busy: u32::try_from(busy).unwrap(),
        }
    }

    /// Returns its record in the platform's instance list.
    pub(crate) fn record(&self, now_ms: u64) -> InstanceRecord {
        let is_live = self.is_up(now_ms) && !self.leaving;
        InstanceRecord {
            instance: self.instance,
            zone: self.zone,
            rack: self.rack,
            pool: Some(self.pool),
            address: "127.0.0.1:1".parse().unwrap(),
            run: self.incarnation,
            slots: SlotCount(8),
            image: self.image.clone(),
            state: if is_live { ListedState::Live } else { ListedState::Leaving },
        }
    }
}
