//! Faults, drawn from the seed.

use std::collections::BTreeSet;
use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_scheduler::NodeEvent;
use magnoliapin_site::InstanceState;
use magnoliapin_site::TargetState;
use rand::Rng;

use crate::site;
use crate::world::Event;
use crate::world::World;

/// Faults that are injected in one run.
const FAULTS: usize = 8;

/// Faults that are there now.
#[derive(Default)]
pub(crate) struct FaultState {
    pub(crate) store: StoreMode,
    /// When a fault began or ended last.
    pub(crate) changed_at: Moment,
    /// Chance that the answer to a commit is lost.
    pub(crate) lost_answers: f64,
    /// Chance that an order to a target is carried out late and not answered.
    pub(crate) late_orders: f64,
    pub(crate) cut_zone: Option<usize>,
    pub(crate) nodes_off_store: BTreeSet<usize>,
    pub(crate) nodes_off: BTreeSet<usize>,
    pub(crate) targets_off: BTreeSet<usize>,
    /// Target that fails nearly all.
    pub(crate) bad_target: Option<usize>,
}

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StoreMode {
    #[default]
    Up,
    Slow,
    Busy,
    Silent,
}

/// One fault, or its end.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultStep {
    KillNode(usize),
    StartNode(usize),
    StopNode(usize),
    PauseNode(usize, u64),
    Store(StoreMode),
    LoseAnswers(f64),
    LateOrders(f64),
    CutZone(Option<usize>),
    CutFromStore(usize, bool),
    CutNode(usize, bool),
    CutTarget(usize, bool),
    CrashTarget(usize),
    ReviveTarget(usize),
    DrainTarget(usize),
    BadTarget(Option<usize>),
    ForgetHistory,
    KillAll,
}

impl FaultState {
    /// Returns whether nothing is wrong now.
    pub(crate) fn is_calm(&self) -> bool {
        self.store == StoreMode::Up
            && self.lost_answers == 0.0
            && self.late_orders == 0.0
            && self.cut_zone.is_none()
            && self.nodes_off_store.is_empty()
            && self.nodes_off.is_empty()
            && self.targets_off.is_empty()
            && self.bad_target.is_none()
    }

    pub(crate) fn is_cut_from_store(&self, node: usize, zone: usize) -> bool {
        self.nodes_off_store.contains(&node)
            || self.nodes_off.contains(&node)
            || self.is_zone_cut_from_store(zone)
    }

    /// Returns whether a zone is cut off from the store, which is in the first one.
    pub(crate) fn is_zone_cut_from_store(&self, zone: usize) -> bool {
        self.cut_zone.is_some_and(|cut| (cut == zone) != (cut == 0))
    }

    pub(crate) fn is_cut(
        &self,
        node: usize,
        node_zone: usize,
        target: usize,
        target_zone: usize,
    ) -> bool {
        self.nodes_off.contains(&node)
            || self.targets_off.contains(&target)
            || self.cut_zone.is_some_and(|cut| (cut == node_zone) != (cut == target_zone))
    }
}

impl World {
    pub(crate) fn plan_faults(&mut self, longest_ms: u64) {
        for _ in 0..FAULTS {
            let at = Duration::from_millis(self.random.random_range(4_000..28_000));
            let for_ms = self.random.random_range(1_000..longest_ms);
            let (begin, end) = self.draw_fault(for_ms);
            self.at(at, Event::Fault(begin));
            if let Some(end) = end {
                self.at(at + Duration::from_millis(for_ms), Event::Fault(end));
            }
        }
    }

    fn draw_fault(&mut self, for_ms: u64) -> (FaultStep, Option<FaultStep>) {
        let node = self.random.random_range(0..site::NODES);
        let target = self.random.random_range(0..site::POOLS * site::TARGETS_PER_POOL);
        let zone = self.random.random_range(0..site::ZONES);
        match self.random.random_range(0..17) {
            0 | 1 => (FaultStep::KillNode(node), Some(FaultStep::StartNode(node))),
            2 => (FaultStep::StopNode(node), Some(FaultStep::StartNode(node))),
            3 | 4 => (FaultStep::PauseNode(node, for_ms), None),
            5 => (FaultStep::Store(StoreMode::Silent), Some(FaultStep::Store(StoreMode::Up))),
            6 => (FaultStep::Store(StoreMode::Busy), Some(FaultStep::Store(StoreMode::Up))),
            7 => (FaultStep::Store(StoreMode::Slow), Some(FaultStep::Store(StoreMode::Up))),
            8 => (FaultStep::LoseAnswers(0.35), Some(FaultStep::LoseAnswers(0.0))),
            9 => (FaultStep::LateOrders(0.06), Some(FaultStep::LateOrders(0.0))),
            10 => (FaultStep::CutZone(Some(zone)), Some(FaultStep::CutZone(None))),
            11 => (FaultStep::CutFromStore(node, true), Some(FaultStep::CutFromStore(node, false))),
            12 => (FaultStep::CutNode(node, true), Some(FaultStep::CutNode(node, false))),
            13 => (FaultStep::CutTarget(target, true), Some(FaultStep::CutTarget(target, false))),
            14 => (FaultStep::CrashTarget(target), Some(FaultStep::ReviveTarget(target))),
            15 => (FaultStep::BadTarget(Some(target)), Some(FaultStep::BadTarget(None))),
            _ => match self.random.random_range(0..3) {
                0 => (FaultStep::ForgetHistory, None),
                1 => (FaultStep::DrainTarget(target), None),
                _ => (FaultStep::KillAll, None),
            },
        }
    }

    pub(crate) fn fault_step(&mut self, step: FaultStep) {
        self.faults.changed_at = self.now;
        match step {
            FaultStep::KillNode(node) => self.kill_node(node),
            FaultStep::StartNode(node) => {
                if self.nodes[node].machine.is_none() {
                    self.start_node(node);
                }
            }
            FaultStep::StopNode(node) => {
                let life = self.nodes[node].life;
                self.tell_node(node, life, NodeEvent::Stop);
                self.at(Duration::from_millis(600), Event::Fault(FaultStep::KillNode(node)));
            }
            FaultStep::PauseNode(node, for_ms) => {
                self.nodes[node].paused_until = self.now + Duration::from_millis(for_ms);
            }
            FaultStep::Store(mode) => self.faults.store = mode,
            FaultStep::LoseAnswers(chance) => self.faults.lost_answers = chance,
            FaultStep::LateOrders(chance) => self.faults.late_orders = chance,
            FaultStep::CutZone(zone) => self.faults.cut_zone = zone,
            FaultStep::CutFromStore(node, is_cut) => {
                set(&mut self.faults.nodes_off_store, node, is_cut);
            }
            FaultStep::CutNode(node, is_cut) => set(&mut self.faults.nodes_off, node, is_cut),
            FaultStep::CutTarget(target, is_cut) => {
                set(&mut self.faults.targets_off, target, is_cut);
            }
            FaultStep::CrashTarget(target) => self.crash_target(target),
            FaultStep::ReviveTarget(target) => self.revive_target(target),
            FaultStep::DrainTarget(target) => {
                self.targets[target].record.state = TargetState::Draining(Some(2000));
                self.at(Duration::from_secs(4), Event::Fault(FaultStep::CrashTarget(target)));
                self.at(Duration::from_secs(8), Event::Fault(FaultStep::ReviveTarget(target)));
            }
            FaultStep::BadTarget(target) => self.faults.bad_target = target,
            FaultStep::ForgetHistory => self.store.forget_history(),
            FaultStep::KillAll => {
                for node in 0..site::NODES {
                    self.kill_node(node);
                    let after = Duration::from_millis(1200 + node as u64 * 20);
                    self.at(after, Event::Fault(FaultStep::StartNode(node)));
                }
            }
        }
    }

    fn kill_node(&mut self, node: usize) {
        if self.nodes[node].machine.take().is_some() {
            self.nodes[node].paused_until = Moment::START;
            self.lose_requests();
            // Whatever ends the fault that killed it may start it sooner.
            self.at(Duration::from_secs(8), Event::Fault(FaultStep::StartNode(node)));
        }
    }

    fn crash_target(&mut self, target: usize) {
        if !self.targets[target].is_up {
            return;
        }
        self.targets[target].is_up = false;
        if let Some(instance) = self.service.instances.get_mut(target) {
            instance.state = InstanceState::Down;
        }
        let born = self.targets[target].record.born_at.0;
        self.judge.death(self.now, target, born);
        self.at(Duration::from_secs(8), Event::Fault(FaultStep::ReviveTarget(target)));
    }

    fn revive_target(&mut self, target: usize) {
        if self.targets[target].is_up {
            return;
        }
        if let Some(instance) = self.service.instances.get_mut(target) {
            if instance.state != InstanceState::Down {
                return;
            }
            instance.state = InstanceState::Up;
        }
        let wall = self.wall();
        let mut reborn = self.targets[target].reborn(self.now, wall);
        reborn.record.state = TargetState::Ready;
        self.targets[target] = reborn;
    }
}

fn set(cut: &mut BTreeSet<usize>, number: usize, is_cut: bool) {
    if is_cut {
        cut.insert(number);
    } else {
        cut.remove(&number);
    }
}
