//! What becomes of the calls between nodes, store and targets.

use std::time::Duration;

use magnoliapin_scheduler::CallId;
use magnoliapin_scheduler::NodeEvent;
use magnoliapin_scheduler::PeerId;
use magnoliapin_site::CallFailure;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;
use magnoliapin_site::StartRefusal;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::TargetReply;
use magnoliapin_site::TargetRequest;
use magnoliapin_site::WaveState;
use rand::Rng;

use crate::faults::StoreMode;
use crate::world::Event;
use crate::world::WaitingHold;
use crate::world::WaitingWatch;
use crate::world::World;
use crate::world::TICK;

impl World {
    pub(crate) fn peer_call(
        &mut self,
        node: usize,
        life: u64,
        call: CallId,
        to: usize,
        request: PeerRequest,
    ) {
        if self.is_peer_cut(node, to) {
            return;
        }
        if self.nodes[to].machine.is_none() {
            let refused = PeerReply::Failed(CallFailure::NotDone);
            return self.tell_node(node, life, NodeEvent::Peer(call, refused));
        }
        self.last_event += 1;
        let peer = PeerId(self.last_event);
        self.peers.insert(peer, (node, life, call, to));
        let to_life = self.nodes[to].life;
        self.tell_node(to, to_life, NodeEvent::PeerRequest(peer, request));
    }

    pub(crate) fn peer_answer(&mut self, peer: PeerId, reply: PeerReply) {
        let Some((node, life, call, to)) = self.peers.remove(&peer) else { return };
        if !self.is_peer_cut(node, to) {
            self.tell_node(node, life, NodeEvent::Peer(call, reply));
        }
    }

    fn is_peer_cut(&self, one: usize, other: usize) -> bool {
        let zones = (self.nodes[one].zone, self.nodes[other].zone);
        let cut_zone = self.faults.cut_zone;
        self.faults.nodes_off.contains(&one)
            || self.faults.nodes_off.contains(&other)
            || cut_zone.is_some_and(|cut| (cut == zones.0) != (cut == zones.1))
    }

    pub(crate) fn delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(500..4000))
    }

    pub(crate) fn store_delay(&mut self) -> Duration {
        let delay = self.delay();
        match self.faults.store {
            StoreMode::Slow => delay + Duration::from_millis(240),
            _ => delay,
        }
    }

    pub(crate) fn store_call(
        &mut self,
        node: usize,
        life: u64,
        call: CallId,
        request: StoreRequest,
    ) {
        if self.faults.is_cut_from_store(node, self.nodes[node].zone) {
            return;
        }
        match self.faults.store {
            StoreMode::Silent => return,
            StoreMode::Busy => {
                return self.store_answer(
                    node,
                    life,
                    call,
                    StoreReply::Failed(CallFailure::NotDone),
                );
            }
            StoreMode::Up | StoreMode::Slow => {}
        }
        let is_commit = matches!(request, StoreRequest::Commit(_));
        if is_commit && self.random.random_bool(self.faults.lost_answers) {
            if self.random.random_bool(0.5) {
                let late = Duration::from_millis(self.random.random_range(1000..6000));
                let stray = Event::StoreCall(node, u64::MAX, call, request);
                return self.at(late, stray);
            }
            let _ = self.store.call(&request);
            return self.answer_watches();
        }
        let wait = match &request {
            StoreRequest::Watch { wait, .. }
            | StoreRequest::WatchSite { wait, .. }
            | StoreRequest::WatchTargets { wait, .. } => Some(*wait),
            _ => None,
        };
        if let StoreRequest::ReportWave { wave, state: WaveState::Completed } = &request {
            self.take_completed_wave(*wave);
        }
        match self.store.call(&request) {
            Some(reply) => self.store_answer(node, life, call, reply),
            None => {
                self.last_event += 1;
                let number = self.last_event;
                self.watches.insert(number, WaitingWatch { node, life, call, request });
                self.at(wait.unwrap_or(TICK), Event::StoreWaitOver(number));
            }
        }
        if is_commit {
            self.answer_watches();
        }
    }

    fn store_answer(&mut self, node: usize, life: u64, call: CallId, reply: StoreReply) {
        let delay = self.delay() + Duration::from_millis(4);
        self.at(delay, Event::ToNode(node, life, NodeEvent::Store(call, reply)));
    }

    pub(crate) fn answer_watches(&mut self) {
        let mut ready = Vec::new();
        for (number, watch) in &self.watches {
            if let Some(reply) = self.store.call(&watch.request) {
                ready.push((*number, reply));
            }
        }
        for (number, reply) in ready {
            let Some(watch) = self.watches.remove(&number) else { continue };
            let is_cut = self.faults.is_cut_from_store(watch.node, self.nodes[watch.node].zone);
            if !is_cut {
                self.store_answer(watch.node, watch.life, watch.call, reply);
            }
        }
    }

    pub(crate) fn end_watch(&mut self, number: u64) {
        let Some(watch) = self.watches.remove(&number) else { return };
        if !self.faults.is_cut_from_store(watch.node, self.nodes[watch.node].zone) {
            let reply = self.store.nothing_new(&watch.request);
            self.store_answer(watch.node, watch.life, watch.call, reply);
        }
    }

    #[allow(clippy::too_many_arguments, reason = "the parts of one event")]
    pub(crate) fn target_call(
        &mut self,
        node: usize,
        life: u64,
        call: CallId,
        number: usize,
        target_life: u64,
        request: &TargetRequest,
        is_late: bool,
    ) {
        let node_zone = self.nodes[node].zone;
        let target = &mut self.targets[number];
        if self.faults.is_cut(node, node_zone, number, target.zone) {
            return;
        }
        if !target.is_up {
            // Some targets die with their machine, the others leave it to refuse connections.
            if number.is_multiple_of(2) {
                let refused = TargetReply::Failed(CallFailure::NotDone);
                self.target_answer(node, life, call, number, refused);
            }
            return;
        }
        let now = self.now;
        let born = target.record.born_at.0;
        if born != target_life {
            return self.target_answer(node, life, call, number, TargetReply::OtherLife);
        }
        let reply = match request {
            TargetRequest::Start { run, .. } => {
                let plan = self.plan(run.task, number);
                let (reply, began) = self.targets[number].start(request, &plan, now);
                if began {
                    let is_exempt = is_late || !self.is_in_touch(node);
                    self.judge.start(now, number, born, *run, is_exempt);
                }
                reply
            }
            TargetRequest::Stop { run, fence } => {
                let is_exempt = is_late || !self.is_in_touch(node);
                if self.has_fleet() && self.targets[number].would_stop(*run, *fence) && !is_exempt {
                    self.judge_order(number, Some(run.task));
                }
                self.targets[number].stop(*run, *fence, now)
            }
            TargetRequest::Hold { wait, .. } => {
                if let Some(refusal) = target.take_hold(request, now) {
                    refusal
                } else {
                    let acknowledged = target.acknowledged;
                    self.judge.acknowledge(number, born, acknowledged);
                    if !self.targets[number].has_ends() && !wait.is_zero() {
                        self.last_event += 1;
                        let hold =
                            WaitingHold { node, life, call, target: number, target_life: born };
                        self.holds.insert(self.last_event, hold);
                        return self.at(*wait, Event::TargetWaitOver(self.last_event));
                    }
                    self.targets[number].report(now)
                }
            }
            TargetRequest::Pace { .. } => {
                TargetReply::Refused { clock_ms: None, reason: StartRefusal::Malformed }
            }
        };
        if !is_late {
            self.target_answer(node, life, call, number, reply);
        }
    }

    fn target_answer(
        &mut self,
        node: usize,
        life: u64,
        call: CallId,
        target: usize,
        reply: TargetReply,
    ) {
        let zones = (self.nodes[node].zone, self.targets[target].zone);
        if self.faults.is_cut(node, zones.0, target, zones.1) {
            return;
        }
        let delay = self.delay();
        self.at(delay, Event::ToNode(node, life, NodeEvent::Target(call, reply)));
    }

    pub(crate) fn end_hold(&mut self, number: u64) {
        let Some(hold) = self.holds.remove(&number) else { return };
        let target = &self.targets[hold.target];
        if target.is_up && target.record.born_at.0 == hold.target_life {
            let report = target.report(self.now);
            self.target_answer(hold.node, hold.life, hold.call, hold.target, report);
        }
    }
}
