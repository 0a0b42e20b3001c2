//! Calls and datagrams between the nodes of a simulation.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::EntryId;
use magnoliapin_policy::EntryEvent;
use magnoliapin_standin::CallOutcome;
use magnoliapin_wire::CallFailure;
use magnoliapin_wire::PeerMessage;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::TargetReply;
use magnoliapin_wire::TargetRequest;
use magnoliapin_wire::TaskState;
use rand::Rng;

use crate::target_node::CallSource;
use crate::target_node::TargetNode;
use crate::world::FaultRecovery;
use crate::world::SoakWorld;
use crate::world::TargetCall;
use crate::world::WorldEvent;
use crate::world::FIRST_PORT;
use crate::world::FIRST_TARGET_PORT;

/// Time from a crash of a target by a task until it is back as a new incarnation.
const CRASH_DOWNTIME: Duration = Duration::from_secs(3);

impl SoakWorld {
    pub(crate) fn call_platform(
        &mut self,
        source: CallSource,
        request: PlatformRequest,
        timeout: Duration,
    ) {
        self.open_calls.insert(source);
        let expiry = WorldEvent::Timeout { source, is_platform: true, target: None };
        self.schedule_after(timeout, expiry);
        if !self.links.reaches_platform(self.entries[source.entry].zone) {
            return;
        }
        let outcome = self.platform.faults.select_outcome();
        let wait = match outcome {
            CallOutcome::Delayed { before, .. } => before,
            CallOutcome::Answered | CallOutcome::Dropped | CallOutcome::Lost => Duration::ZERO,
        };
        let wait = wait + self.latency();
        let request = Box::new(request);
        self.schedule_after(wait, WorldEvent::AtPlatform { source, request, outcome });
    }

    pub(crate) fn handle_platform_call(
        &mut self,
        source: CallSource,
        request: PlatformRequest,
        outcome: CallOutcome,
    ) {
        if outcome == CallOutcome::Dropped {
            return;
        }
        let now = self.now;
        if let Some(trial) = &mut self.trial {
            trial.record_platform_call(now, &request);
        }
        let reply = self.platform.execute(now, request);
        if matches!(reply, PlatformReply::Transaction(_)) {
            self.config_history.record_change(self.now, &mut self.platform.table);
            self.check_quota_slices();
        }
        let wait = match outcome {
            CallOutcome::Lost => return,
            CallOutcome::Delayed { after, .. } => after,
            CallOutcome::Answered | CallOutcome::Dropped => Duration::ZERO,
        };
        let wait = wait + self.latency();
        let event = EntryEvent::Platform { call: source.call, reply };
        self.schedule_after(
            wait,
            WorldEvent::Deliver(source.entry, source.incarnation, Box::new(event)),
        );
    }

    pub(crate) fn call_target(
        &mut self,
        source: CallSource,
        address: SocketAddr,
        request: TargetRequest,
        timeout: Duration,
        new_connection: bool,
    ) {
        self.open_calls.insert(source);
        let target = usize::from(address.port() - FIRST_TARGET_PORT);
        let expiry = WorldEvent::Timeout { source, is_platform: false, target: Some(target) };
        self.schedule_after(timeout, expiry);
        let is_unresponsive = !new_connection && self.links.is_unresponsive(source.entry, target);
        let is_reachable =
            self.links.reaches(self.entries[source.entry].zone, self.targets[target].zone);
        if !is_reachable || (is_unresponsive && self.random.random_bool(0.5)) {
            return;
        }
        let wait = self.latency();
        let is_answered = !is_unresponsive && !self.random.random_bool(0.002);
        let call = TargetCall { source, target, request, is_answered, sent_at: self.now };
        self.schedule_after(wait, WorldEvent::AtTarget(Box::new(call)));
    }

    pub(crate) fn handle_target_call(&mut self, call: TargetCall) {
        let target = &mut self.targets[call.target];
        if !target.is_up {
            let reply = TargetReply::Failed(CallFailure::NotSent);
            self.send_target_reply(call.source, reply);
            return;
        }
        if let Some(until) = target.paused_until.filter(|until| *until > self.now) {
            let wait = until.since(self.now);
            self.schedule_after(wait, WorldEvent::AtTarget(Box::new(call)));
            return;
        }
        let TargetCall { source, target: index, request, is_answered, sent_at } = call;
        let start = match &request {
            TargetRequest::Start(start) => Some(start.clone()),
            _ => None,
        };
        if let Some(trial) = self.trial.as_mut().filter(|_| start.is_some()) {
            trial.record_start_call(self.now, index);
        }
        let starts = |target: &TargetNode| match &start {
            Some(start) => target.state.ledger().starts().get(&start.task).copied().unwrap_or(0),
            None => 0,
        };
        let before = starts(target);
        let reply = target.handle_request(self.now, source, request);
        let after = starts(target);
        if let Some(start) = start.filter(|_| after > before) {
            self.check_start(&start);
            if let Some(trial) = &mut self.trial {
                trial.record_start(self.now, index, &start);
            }
            self.check_limit(start.team, source.entry, sent_at);
        }
        if let Some(reply) = reply.filter(|_| is_answered) {
            self.send_target_reply(source, reply);
        }
        self.crash_if_due(index);
        self.poll_target(index);
        self.schedule_poll(index);
    }

    /// Crashes a target on which a task has just been started that crashes it.
    fn crash_if_due(&mut self, index: usize) {
        if self.targets[index].state.has_crashed() {
            self.targets[index].crash(self.now);
            let restart = WorldEvent::Recover(FaultRecovery::RestartTarget(index));
            self.schedule_after(CRASH_DOWNTIME, restart);
        }
    }

    /// Schedules a poll of a target for when its next task finishes.
    fn schedule_poll(&mut self, index: usize) {
        let Some(due) = self.targets[index].state.next_event_at() else { return };
        let now = self.now;
        let is_new_due =
            self.trial.as_mut().is_none_or(|trial| trial.schedule_poll(now, index, due));
        if is_new_due {
            self.schedule_after(due.since(now), WorldEvent::TargetDue(index));
        }
    }

    /// Polls a target for finished tasks. A trial then schedules the next poll, so it sees each
    /// completion when it occurs; a soak sees it at the next call at the latest.
    pub(crate) fn handle_target_due(&mut self, index: usize) {
        self.poll_target(index);
        if self.trial.is_some() {
            self.schedule_poll(index);
        }
    }

    pub(crate) fn poll_target(&mut self, index: usize) {
        let target = &mut self.targets[index];
        if !target.is_up || target.paused_until.is_some_and(|until| until > self.now) {
            return;
        }
        for (reply, sources) in target.poll(self.now) {
            if reply.state == TaskState::Finished {
                self.check_effect(reply.task);
            }
            for source in sources {
                self.send_target_reply(source, TargetReply::Task(reply.clone()));
            }
        }
    }

    fn send_target_reply(&mut self, source: CallSource, reply: TargetReply) {
        let wait = self.latency();
        let event = EntryEvent::Target { call: source.call, reply };
        self.schedule_after(
            wait,
            WorldEvent::Deliver(source.entry, source.incarnation, Box::new(event)),
        );
    }

    pub(crate) fn send(
        &mut self,
        from: usize,
        to: SocketAddr,
        id: Option<EntryId>,
        message: PeerMessage,
    ) {
        let index = usize::from(to.port() - FIRST_PORT);
        let receiver = &self.entries[index];
        let is_addressed = id.is_none_or(|id| id == receiver.id);
        let is_reachable = self.links.reaches(self.entries[from].zone, receiver.zone);
        if !is_addressed || !is_reachable || !receiver.is_up() || self.random.random_bool(0.01) {
            return;
        }
        let incarnation = receiver.incarnation;
        let sender = &self.entries[from];
        let event = EntryEvent::Peer { from: sender.id, address: sender.address, message };
        let wait = self.latency();
        self.schedule_after(wait, WorldEvent::Deliver(index, incarnation, Box::new(event)));
    }

    pub(crate) fn handle_timeout(
        &mut self,
        source: CallSource,
        is_platform: bool,
        target: Option<usize>,
    ) {
        if !self.open_calls.contains(&source) {
            return;
        }
        if let Some(target) = target {
            self.links.reconnect(source.entry, target);
        }
        let call = source.call;
        let event = if is_platform {
            EntryEvent::Platform { call, reply: PlatformReply::Failed(CallFailure::Unknown) }
        } else {
            EntryEvent::Target { call, reply: TargetReply::Failed(CallFailure::Unknown) }
        };
        self.deliver(source.entry, source.incarnation, event);
    }
}
