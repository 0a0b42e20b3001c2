//! Nodes that restart one after the other, as in a planned rollout, while targets of one pool or zone are lost, or
//! start again under their names.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::faults::FaultChange;
use crate::faults::FaultPlan;
use crate::site;
use crate::world::World;

/// Times at which a rollout begins, in milliseconds.
const ROLLOUTS_MS: [u64; 3] = [5_000, 16_000, 27_000];
/// Time from the stop of a node to its start, in milliseconds.
const NODE_RESTART_MS: u64 = 1_000;
/// Latest fault of targets after the begin of a rollout, in milliseconds.
const LATEST_FAULT_MS: u64 = 5_000;
/// Time from the loss of a target to its replacement, in milliseconds.
const REPLACEMENT_MS: u64 = 20_000;
/// Probability that orders are late during a rollout.
const LATE_ORDERS_CHANCE: f64 = 0.3;
/// Probability that such an order is late.
const LATE_ORDER_CHANCE: f64 = 0.15;

impl World {
    /// Creates a world with long-running tasks in which all nodes restart in turn, several times, while targets
    /// fail.
    pub(crate) fn with_rolling_restarts(seed: u64, has_fleet: bool, has_agents: bool) -> Self {
        let mut world = Self::new(seed, FaultPlan::Restarts, has_fleet, has_agents);
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        world.has_long_runs = true;
        world.faults.restarts_are_planned = true;
        for begin in ROLLOUTS_MS {
            let mut at = begin;
            let first = random.random_range(0..site::NODES);
            for number in 0..site::NODES {
                let node = (first + number) % site::NODES;
                world.schedule_fault(at, FaultChange::StopNode(node));
                world.schedule_fault(at + NODE_RESTART_MS, FaultChange::StartNode(node));
                at += random.random_range(1_000..2_200);
            }
            if random.random_bool(LATE_ORDERS_CHANCE) {
                world.schedule_fault(begin, FaultChange::DelayOrders(LATE_ORDER_CHANCE));
                world.schedule_fault(at, FaultChange::DelayOrders(0.0));
            }
            let fail_at = begin + random.random_range(0..LATEST_FAULT_MS);
            world.schedule_group_fault(fail_at, &mut random);
        }
        world
    }

    /// Lets several targets of a pool or a zone fail at about the same time.
    fn schedule_group_fault(&mut self, at: u64, random: &mut Pcg64Mcg) {
        let targets = 0..site::POOLS * site::TARGETS_PER_POOL;
        let (pool, zone) =
            (random.random_range(0..site::POOLS), random.random_range(0..site::ZONES));
        let is_pool_hit = random.random_bool(0.5);
        let kind = random.random_range(0..4);
        let share = random.random_range(if kind == 0 { 0.2..0.5 } else { 0.3..0.8 });
        let heals_at = at + random.random_range(3_000..6_000);
        for target in targets {
            let is_in_group = match is_pool_hit {
                true => target % site::POOLS == pool,
                false => target % site::ZONES == zone,
            };
            if !is_in_group || !random.random_bool(share) {
                continue;
            }
            let crash_at = at + random.random_range(0..300);
            let restart_at = crash_at + random.random_range(300..1_000);
            match kind {
                // Lost for good, and replaced much later.
                0 => {
                    let is_delisted = random.random_bool(0.5);
                    self.schedule_fault(crash_at, FaultChange::LoseTarget(target, is_delisted));
                    // The names of replacements differ by the time.
                    let replaced_at = at + REPLACEMENT_MS + 10 * target as u64;
                    self.schedule_fault(replaced_at, FaultChange::ReplaceTarget(target));
                }
                // Cut off, and started again behind the cut.
                1 => {
                    self.schedule_fault(at, FaultChange::CutTarget(target, true));
                    self.schedule_fault(crash_at, FaultChange::CrashTarget(target));
                    self.schedule_fault(restart_at, FaultChange::RestartTarget(target));
                    self.schedule_fault(heals_at, FaultChange::CutTarget(target, false));
                }
                // Started again, and cut off soon after.
                _ => {
                    let cut_at = restart_at + random.random_range(0..3_000);
                    self.schedule_fault(crash_at, FaultChange::CrashTarget(target));
                    self.schedule_fault(restart_at, FaultChange::RestartTarget(target));
                    self.schedule_fault(cut_at, FaultChange::CutTarget(target, true));
                    self.schedule_fault(heals_at + 3_000, FaultChange::CutTarget(target, false));
                }
            }
        }
    }
}
