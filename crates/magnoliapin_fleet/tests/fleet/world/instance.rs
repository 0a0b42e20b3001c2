//! Instances of the tiny world: work comes and goes, they drain, restart and fail.

use magnoliapin_fleet::TargetLoad;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::RackId;
use magnoliapin_model::RowVersion;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetRun;
use magnoliapin_model::ZoneId;
use magnoliapin_wire::InstanceOrder;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;
use magnoliapin_wire::OrderAct;
use rand::Rng;
use rand_pcg::Pcg64;

const REBOOT_MS: u64 = 30_000;
const SLOTS: usize = 8;

/// One instance with its target.
#[derive(Clone, Debug)]
pub(crate) struct TinyInstance {
    pub(crate) instance: InstanceId,
    pub(crate) zone: ZoneId,
    pub(crate) rack: RackId,
    pub(crate) pool: PoolId,
    pub(crate) run: TargetRun,
    pub(crate) image: String,
    /// When it is up again; it is up if that is over.
    pub(crate) up_at_ms: u64,
    pub(crate) leaving: bool,
    /// Ends of the tasks that run, in milliseconds.
    pub(crate) tasks: Vec<u64>,
    epoch: RowVersion,
    /// Whether it was found dead the last time somebody looked.
    pub(crate) seen_down: bool,
}

impl TinyInstance {
    /// Makes an instance that is up and idle.
    pub(crate) fn new(instance: &str, zone: &str, rack: &str, pool: &str) -> Self {
        Self {
            instance: InstanceId::new(instance).unwrap(),
            zone: ZoneId::new(zone).unwrap(),
            rack: RackId::new(rack).unwrap(),
            pool: PoolId::new(pool).unwrap(),
            run: TargetRun(1),
            image: "one".to_owned(),
            up_at_ms: 0,
            leaving: false,
            tasks: Vec::new(),
            epoch: RowVersion(0),
            seen_down: false,
        }
    }

    /// Returns whether it answers.
    pub(crate) fn is_up(&self, now_ms: u64) -> bool {
        now_ms >= self.up_at_ms
    }

    /// Lets work come and go.
    pub(crate) fn work(&mut self, now_ms: u64, random: &mut Pcg64) {
        self.tasks.retain(|end| *end > now_ms);
        let takes_work = self.is_up(now_ms) && !self.leaving && self.tasks.len() < SLOTS;
        if takes_work && random.random_bool(0.05) {
            let is_long = random.random_bool(0.01);
            let span = if is_long { 120_000 } else { random.random_range(100..8_000) };
            self.tasks.push(now_ms + span);
        }
    }

    /// Cuts everything and comes back after some time with another run.
    pub(crate) fn crash(&mut self, now_ms: u64, down_ms: u64) {
        self.tasks.clear();
        self.run = TargetRun(self.run.0 + 1);
        self.leaving = false;
        self.up_at_ms = now_ms + down_ms;
    }

    /// Takes an order, or refuses it as out of date; a planned restart must find the instance idle unless `may_cut`.
    pub(crate) fn take_order(&mut self, now_ms: u64, order: &InstanceOrder, may_cut: bool) -> bool {
        let is_fenced = order.run != self.run || order.epoch < self.epoch;
        if is_fenced || !self.is_up(now_ms) {
            return false;
        }
        self.epoch = order.epoch;
        match &order.act {
            OrderAct::Drain => self.leaving = true,
            OrderAct::Undrain => self.leaving = false,
            OrderAct::Reboot { image } => {
                self.tasks.retain(|end| *end > now_ms);
                assert!(self.tasks.is_empty() || may_cut, "{} is cut", self.instance);
                assert!(self.leaving, "{} takes work while it restarts", self.instance);
                self.image.clone_from(image);
                self.crash(now_ms, REBOOT_MS);
            }
        }
        true
    }

    /// Returns what the target says of itself.
    pub(crate) fn load(&self, now_ms: u64) -> TargetLoad {
        let busy = self.tasks.iter().filter(|end| **end > now_ms).count();
        TargetLoad { run: self.run, leaving: self.leaving, busy: u32::try_from(busy).unwrap() }
    }

    /// Returns its place in the platform's list.
    pub(crate) fn record(&self, now_ms: u64) -> InstanceRecord {
        let is_live = self.is_up(now_ms) && !self.leaving;
        InstanceRecord {
            instance: self.instance,
            zone: self.zone,
            rack: self.rack,
            pool: Some(self.pool),
            address: "127.0.0.1:1".parse().unwrap(),
            run: self.run,
            slots: SlotCount(8),
            image: self.image.clone(),
            state: if is_live { ListedState::Live } else { ListedState::Leaving },
        }
    }
}
