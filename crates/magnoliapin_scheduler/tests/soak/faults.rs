//! Random faults, derived from the seed.

use std::collections::BTreeSet;
use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_scheduler::NodeEvent;
use magnoliapin_scheduler::NodeMachine;
use magnoliapin_site::InstanceState;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetState;
use rand::Rng;

use crate::log_printer;
use crate::site;
use crate::world::Event;
use crate::world::World;

/// Number of independent faults that are injected in one simulation.
const FAULT_COUNT: usize = 8;
/// The same in a simulation in which leaders fail one after the other.
const SERIES_FAULT_COUNT: usize = 2;
/// Upper bound of the duration of their faults, in milliseconds.
const SERIES_LONGEST_MS: u64 = 4_000;
/// Time between two attempts to find the leader.
const LEADER_SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which no further leader fails.
const SERIES_END: Duration = Duration::from_secs(26);

/// Kinds of faults that are injected in a simulation.
#[derive(Clone, Copy)]
pub(crate) enum FaultPlan {
    /// Independent faults of up to this duration, in milliseconds.
    Independent(u64),
    /// Leaders that fail one after the other, while targets are lost for good and commits are
    /// applied late.
    LeaderSeries,
    /// Only those that [`World::with_restarts`] adds.
    Restarts,
    /// Outages of the store only, while the configuration changes.
    StoreOutages,
}

/// Faults that are active now.
#[derive(Default)]
pub(crate) struct FaultState {
    pub(crate) store: StoreMode,
    /// When a fault last started or stopped.
    pub(crate) changed_at: Moment,
    /// The same for faults of the store, of nodes and of links to nodes.
    pub(crate) nodes_affected_at: Moment,
    /// Probability that the reply to a commit is lost. Half of these commits are executed late.
    pub(crate) lost_reply_chance: f64,
    /// Probability that an order to a target is executed late and its reply lost.
    pub(crate) late_order_chance: f64,
    /// Zone that is cut off from the other zones.
    pub(crate) cut_zone: Option<usize>,
    pub(crate) nodes_cut_from_store: BTreeSet<usize>,
    /// Nodes that are cut off from store, targets and other nodes.
    pub(crate) cut_nodes: BTreeSet<usize>,
    pub(crate) cut_targets: BTreeSet<usize>,
    /// Target on which nearly all runs fail.
    pub(crate) failing_target: Option<usize>,
    /// Whether nodes stop and start only as planned work, which counts as no fault.
    pub(crate) restarts_are_planned: bool,
}

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StoreMode {
    #[default]
    Up,
    Slow,
    /// Refuses every call.
    Rejecting,
    /// Does not reply.
    Unresponsive,
}

/// Start or stop of a fault.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FaultChange {
    KillNode(usize),
    StartNode(usize),
    StopNode(usize),
    PauseNode(usize, u64),
    Store(StoreMode),
    /// Loses the watches that wait for changes; they get no reply.
    LosePendingWatches,
    LoseCommitReplies(f64),
    DelayOrders(f64),
    CutZone(Option<usize>),
    CutNodeFromStore(usize, bool),
    CutNode(usize, bool),
    CutTarget(usize, bool),
    CrashTarget(usize),
    RestartTarget(usize),
    DrainTarget(usize),
    FailingTarget(Option<usize>),
    DropStoreHistory,
    KillAllNodes,
    /// Ends a target for good. Its instance is listed as down, or not listed any more.
    LoseTarget(usize, bool),
    /// Starts another target at the address of a lost one.
    ReplaceTarget(usize),
}

impl FaultChange {
    fn restarts_node(self) -> bool {
        matches!(self, Self::KillNode(_) | Self::StartNode(_) | Self::StopNode(_))
    }

    fn affects_only_targets(self) -> bool {
        matches!(
            self,
            Self::DelayOrders(_)
                | Self::CutTarget(..)
                | Self::CrashTarget(_)
                | Self::RestartTarget(_)
                | Self::DrainTarget(_)
                | Self::FailingTarget(_)
        )
    }
}

impl FaultState {
    /// Returns whether no fault is active.
    pub(crate) fn is_fault_free(&self) -> bool {
        self.store == StoreMode::Up
            && self.lost_reply_chance == 0.0
            && self.late_order_chance == 0.0
            && self.cut_zone.is_none()
            && self.nodes_cut_from_store.is_empty()
            && self.cut_nodes.is_empty()
            && self.cut_targets.is_empty()
            && self.failing_target.is_none()
    }

    pub(crate) fn is_cut_from_store(&self, node: usize, zone: usize) -> bool {
        self.nodes_cut_from_store.contains(&node)
            || self.cut_nodes.contains(&node)
            || self.is_zone_cut_from_store(zone)
    }

    /// Returns whether a zone is cut off from the store, which is in zone 0.
    pub(crate) fn is_zone_cut_from_store(&self, zone: usize) -> bool {
        self.cut_zone.is_some_and(|cut| (cut == zone) != (cut == 0))
    }

    pub(crate) fn is_target_cut(
        &self,
        node: usize,
        node_zone: usize,
        target: usize,
        target_zone: usize,
    ) -> bool {
        self.cut_nodes.contains(&node)
            || self.cut_targets.contains(&target)
            || self.cut_zone.is_some_and(|cut| (cut == node_zone) != (cut == target_zone))
    }
}

impl World {
    pub(crate) fn schedule_faults(&mut self, plan: FaultPlan) {
        match plan {
            FaultPlan::Independent(longest_ms) => {
                self.schedule_independent_faults(FAULT_COUNT, 28_000, longest_ms);
            }
            FaultPlan::LeaderSeries => {
                self.schedule_independent_faults(SERIES_FAULT_COUNT, 20_000, SERIES_LONGEST_MS);
                self.schedule_leader_series();
            }
            FaultPlan::Restarts => {}
            FaultPlan::StoreOutages => self.schedule_store_outages(),
        }
    }

    fn schedule_leader_series(&mut self) {
        for _ in 0..self.random.random_range(1..3) {
            let target = self.random.random_range(0..site::POOLS * site::TARGETS_PER_POOL);
            let at = self.random.random_range(6_000..18_000);
            let is_delisted = self.random.random_bool(0.5);
            self.schedule_fault(at, FaultChange::LoseTarget(target, is_delisted));
            if self.random.random_bool(0.4) {
                let delay = self.random.random_range(2_000..20_000);
                self.schedule_fault(at + delay, FaultChange::ReplaceTarget(target));
            }
        }
        let at = self.random.random_range(6_000..18_000);
        let chance = self.random.random_range(0.1..0.6);
        self.schedule_fault(at, FaultChange::LoseCommitReplies(chance));
        let duration = self.random.random_range(1_000..6_000);
        self.schedule_fault(at + duration, FaultChange::LoseCommitReplies(0.0));
        for _ in 0..self.random.random_range(1..3) {
            let mut at = self.random.random_range(6_000..18_000);
            for _ in 0..self.random.random_range(2..5) {
                let duration = self.random.random_range(200..SERIES_LONGEST_MS);
                self.schedule_after(Duration::from_millis(at), Event::FailLeader(duration));
                at += self.random.random_range(1_000..4_000);
            }
        }
        if self.random.random_bool(0.2) {
            let at = self.random.random_range(6_000..24_000);
            self.schedule_fault(at, FaultChange::KillAllNodes);
        }
    }

    pub(crate) fn schedule_fault(&mut self, delay_ms: u64, change: FaultChange) {
        self.schedule_after(Duration::from_millis(delay_ms), Event::Fault(change));
    }

    fn schedule_independent_faults(&mut self, count: usize, last_ms: u64, longest_ms: u64) {
        for _ in 0..count {
            let at = Duration::from_millis(self.random.random_range(4_000..last_ms));
            let duration_ms = self.random.random_range(1_000..longest_ms);
            let (start, stop) = self.random_fault(duration_ms);
            self.schedule_after(at, Event::Fault(start));
            if let Some(stop) = stop {
                self.schedule_after(at + Duration::from_millis(duration_ms), Event::Fault(stop));
            }
        }
    }

    fn random_fault(&mut self, duration_ms: u64) -> (FaultChange, Option<FaultChange>) {
        let node = self.random.random_range(0..site::NODES);
        let target = self.random.random_range(0..site::POOLS * site::TARGETS_PER_POOL);
        let zone = self.random.random_range(0..site::ZONES);
        match self.random.random_range(0..17) {
            0 | 1 => (FaultChange::KillNode(node), Some(FaultChange::StartNode(node))),
            2 => (FaultChange::StopNode(node), Some(FaultChange::StartNode(node))),
            3 | 4 => (FaultChange::PauseNode(node, duration_ms), None),
            5 => (
                FaultChange::Store(StoreMode::Unresponsive),
                Some(FaultChange::Store(StoreMode::Up)),
            ),
            6 => {
                (FaultChange::Store(StoreMode::Rejecting), Some(FaultChange::Store(StoreMode::Up)))
            }
            7 => (FaultChange::Store(StoreMode::Slow), Some(FaultChange::Store(StoreMode::Up))),
            8 => (FaultChange::LoseCommitReplies(0.35), Some(FaultChange::LoseCommitReplies(0.0))),
            9 => (FaultChange::DelayOrders(0.06), Some(FaultChange::DelayOrders(0.0))),
            10 => (FaultChange::CutZone(Some(zone)), Some(FaultChange::CutZone(None))),
            11 => (
                FaultChange::CutNodeFromStore(node, true),
                Some(FaultChange::CutNodeFromStore(node, false)),
            ),
            12 => (FaultChange::CutNode(node, true), Some(FaultChange::CutNode(node, false))),
            13 => {
                (FaultChange::CutTarget(target, true), Some(FaultChange::CutTarget(target, false)))
            }
            14 => (FaultChange::CrashTarget(target), Some(FaultChange::RestartTarget(target))),
            15 => {
                (FaultChange::FailingTarget(Some(target)), Some(FaultChange::FailingTarget(None)))
            }
            _ => match self.random.random_range(0..3) {
                0 => (FaultChange::DropStoreHistory, None),
                1 => (FaultChange::DrainTarget(target), None),
                _ => (FaultChange::KillAllNodes, None),
            },
        }
    }

    pub(crate) fn apply_fault_change(&mut self, change: FaultChange) {
        let is_effective = match change {
            FaultChange::KillNode(node) => self.nodes[node].machine.is_some(),
            FaultChange::StartNode(node) => self.nodes[node].machine.is_none(),
            FaultChange::CrashTarget(target) | FaultChange::LoseTarget(target, _) => {
                self.targets[target].is_up
            }
            FaultChange::RestartTarget(target) => self.can_restart(target),
            FaultChange::ReplaceTarget(target) => self.targets[target].is_lost,
            _ => true,
        };
        if !is_effective {
            return;
        }
        if !(self.faults.restarts_are_planned && change.restarts_node()) {
            self.faults.changed_at = self.now;
        }
        log_printer::set_context(self.now.0, site::NODES);
        log::info!("event=fault change={change:?}");
        if !change.affects_only_targets() {
            self.faults.nodes_affected_at = self.now;
        }
        match change {
            FaultChange::KillNode(node) => self.kill_node(node),
            FaultChange::StartNode(node) => self.start_node(node),
            FaultChange::StopNode(node) => {
                let incarnation = self.nodes[node].incarnation;
                self.deliver_to_node(node, incarnation, NodeEvent::Stop);
                self.schedule_after(
                    Duration::from_millis(600),
                    Event::Fault(FaultChange::KillNode(node)),
                );
            }
            FaultChange::PauseNode(node, duration_ms) => {
                self.nodes[node].paused_until = self.now + Duration::from_millis(duration_ms);
            }
            FaultChange::Store(mode) => self.faults.store = mode,
            FaultChange::LosePendingWatches => self.pending_watches.clear(),
            FaultChange::LoseCommitReplies(chance) => self.faults.lost_reply_chance = chance,
            FaultChange::DelayOrders(chance) => self.faults.late_order_chance = chance,
            FaultChange::CutZone(zone) => self.faults.cut_zone = zone,
            FaultChange::CutNodeFromStore(node, is_cut) => {
                set_cut(&mut self.faults.nodes_cut_from_store, node, is_cut);
            }
            FaultChange::CutNode(node, is_cut) => set_cut(&mut self.faults.cut_nodes, node, is_cut),
            FaultChange::CutTarget(target, is_cut) => {
                set_cut(&mut self.faults.cut_targets, target, is_cut);
            }
            FaultChange::CrashTarget(target) => self.crash_target(target),
            FaultChange::RestartTarget(target) => self.restart_target(target),
            FaultChange::DrainTarget(target) => {
                self.targets[target].record.state = TargetState::Draining(Some(2000));
                self.schedule_after(
                    Duration::from_secs(4),
                    Event::Fault(FaultChange::CrashTarget(target)),
                );
                self.schedule_after(
                    Duration::from_secs(8),
                    Event::Fault(FaultChange::RestartTarget(target)),
                );
            }
            FaultChange::FailingTarget(target) => self.faults.failing_target = target,
            FaultChange::LoseTarget(target, is_delisted) => self.lose_target(target, is_delisted),
            FaultChange::ReplaceTarget(target) => self.replace_target(target),
            FaultChange::DropStoreHistory => self.store.drop_history(),
            FaultChange::KillAllNodes => {
                for node in 0..site::NODES {
                    self.kill_node(node);
                    let delay = Duration::from_millis(1200 + node as u64 * 20);
                    self.schedule_after(delay, Event::Fault(FaultChange::StartNode(node)));
                }
            }
        }
    }

    fn kill_node(&mut self, node: usize) {
        if self.nodes[node].machine.take().is_some() {
            self.nodes[node].paused_until = Moment::START;
            self.retry_pending_requests();
            // The stop of the fault may restart the node sooner.
            self.schedule_after(Duration::from_secs(8), Event::Fault(FaultChange::StartNode(node)));
        }
    }

    /// Kills, pauses or cuts off a node that acts as the leader, for a duration in milliseconds.
    pub(crate) fn fail_leader(&mut self, duration_ms: u64) {
        let leader = self.nodes.iter().position(|node| {
            node.machine.as_ref().is_some_and(NodeMachine::is_leader)
                && self.now >= node.paused_until
        });
        let Some(node) = leader else {
            if self.now < Moment::START + SERIES_END {
                self.schedule_after(LEADER_SEARCH_INTERVAL, Event::FailLeader(duration_ms));
            }
            return;
        };
        let (start, stop) = match self.random.random_range(0..4) {
            0 => (FaultChange::KillNode(node), Some(FaultChange::StartNode(node))),
            1 => (FaultChange::PauseNode(node, duration_ms), None),
            2 => (
                FaultChange::CutNodeFromStore(node, true),
                Some(FaultChange::CutNodeFromStore(node, false)),
            ),
            _ => (FaultChange::CutNode(node, true), Some(FaultChange::CutNode(node, false))),
        };
        self.apply_fault_change(start);
        if let Some(stop) = stop {
            self.schedule_fault(duration_ms, stop);
        }
    }

    fn lose_target(&mut self, target: usize, is_delisted: bool) {
        self.crash_target(target);
        self.targets[target].is_lost = true;
        if is_delisted {
            self.delist_instance(target);
        }
    }

    fn replace_target(&mut self, target: usize) {
        self.store.unregister(&self.targets[target].record.name);
        self.targets[target].is_lost = false;
        if let Some(instance) = self.instance_service.instances.get_mut(target) {
            instance.is_listed = true;
        }
        self.restart_target(target);
        self.targets[target].record.name = TargetName::new(&format!("i-{}", 1000 + self.last_id));
    }

    fn can_restart(&self, target: usize) -> bool {
        let instance = self.instance_service.instances.get(target);
        !self.targets[target].is_up
            && !self.targets[target].is_lost
            && instance.is_none_or(|instance| instance.state == InstanceState::Down)
    }

    fn crash_target(&mut self, target: usize) {
        if self.targets[target].is_up {
            self.take_target_down(target);
            self.schedule_after(
                Duration::from_secs(8),
                Event::Fault(FaultChange::RestartTarget(target)),
            );
        }
    }

    /// Ends the incarnation of a target and its runs.
    pub(crate) fn take_target_down(&mut self, target: usize) {
        self.count_crash(target);
        self.targets[target].is_up = false;
        if let Some(instance) = self.instance_service.instances.get_mut(target) {
            instance.state = InstanceState::Down;
        }
        let current_incarnation = self.targets[target].record.started_at.0;
        self.checker.record_incarnation_stop(self.now, target, current_incarnation);
    }

    pub(crate) fn restart_target(&mut self, target: usize) {
        if !self.can_restart(target) || self.now < self.targets[target].down_until {
            return;
        }
        if let Some(instance) = self.instance_service.instances.get_mut(target) {
            instance.state = InstanceState::Up;
        }
        let wall_clock = self.wall_clock();
        let mut restarted = self.targets[target].next_incarnation(self.now, wall_clock);
        restarted.record.state = TargetState::Ready;
        self.targets[target] = restarted;
    }
}

fn set_cut(cut: &mut BTreeSet<usize>, number: usize, is_cut: bool) {
    if is_cut {
        cut.insert(number);
    } else {
        cut.remove(&number);
    }
}
