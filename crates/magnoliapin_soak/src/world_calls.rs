//! Calls and datagrams on their way between the parts of a world.

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
use crate::world::SoakWorld;
use crate::world::TargetCall;
use crate::world::WorldEvent;
use crate::world::FIRST_PORT;
use crate::world::FIRST_TARGET_PORT;

impl SoakWorld {
    pub(crate) fn call_platform(
        &mut self,
        source: CallSource,
        request: PlatformRequest,
        timeout: Duration,
    ) {
        self.open_calls.insert(source);
        let expiry = WorldEvent::Timeout { source, is_platform: true, target: None };
        self.after(timeout, expiry);
        if !self.links.reaches_platform(self.entries[source.entry].zone) {
            return;
        }
        let fate = self.platform.faults.select_outcome();
        let wait = match fate {
            CallOutcome::Delayed { before, .. } => before,
            CallOutcome::Answered | CallOutcome::Dropped | CallOutcome::Lost => Duration::ZERO,
        };
        let wait = wait + self.latency();
        let request = Box::new(request);
        self.after(wait, WorldEvent::AtPlatform { source, request, fate });
    }

    pub(crate) fn at_platform(
        &mut self,
        source: CallSource,
        request: PlatformRequest,
        fate: CallOutcome,
    ) {
        if fate == CallOutcome::Dropped {
            return;
        }
        let now = self.now;
        if let Some(trial) = &mut self.trial {
            trial.note_platform(now, &request);
        }
        let reply = self.platform.carry_out(now, request);
        if matches!(reply, PlatformReply::Transaction(_)) {
            self.watch.look(self.now, &mut self.platform.table);
            self.check_parts();
        }
        let wait = match fate {
            CallOutcome::Lost => return,
            CallOutcome::Delayed { after, .. } => after,
            CallOutcome::Answered | CallOutcome::Dropped => Duration::ZERO,
        };
        let wait = wait + self.latency();
        let event = EntryEvent::Platform { call: source.call, reply };
        self.after(wait, WorldEvent::Deliver(source.entry, source.boot, Box::new(event)));
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
        self.after(timeout, expiry);
        let is_silent = !new_connection && self.links.is_silent(source.entry, target);
        let near = self.links.reaches(self.entries[source.entry].zone, self.targets[target].zone);
        if !near || (is_silent && self.random.random_bool(0.5)) {
            return;
        }
        let wait = self.latency();
        let answers = !is_silent && !self.random.random_bool(0.002);
        let call = TargetCall { source, target, request, answers, sent_at: self.now };
        self.after(wait, WorldEvent::AtTarget(Box::new(call)));
    }

    pub(crate) fn at_target(&mut self, call: TargetCall) {
        let target = &mut self.targets[call.target];
        if !target.is_up {
            let reply = TargetReply::Failed(CallFailure::NotSent);
            self.answer_target(call.source, reply);
            return;
        }
        if let Some(until) = target.paused_until.filter(|until| *until > self.now) {
            let wait = until.since(self.now);
            self.after(wait, WorldEvent::AtTarget(Box::new(call)));
            return;
        }
        let TargetCall { source, target: index, request, answers, sent_at } = call;
        let start = match &request {
            TargetRequest::Start(start) => Some(start.clone()),
            _ => None,
        };
        if let Some(trial) = self.trial.as_mut().filter(|_| start.is_some()) {
            trial.note_start_call(self.now, index);
        }
        let starts = |target: &TargetNode| match &start {
            Some(start) => target.state.ledger().starts().get(&start.task).copied().unwrap_or(0),
            None => 0,
        };
        let before = starts(target);
        let reply = target.take(self.now, source, request);
        let after = starts(target);
        if let Some(start) = start.filter(|_| after > before) {
            self.callers.note_start(&start);
            if let Some(trial) = &mut self.trial {
                trial.note_start(self.now, index, &start);
            }
            self.check_limit(start.team, source.entry, sent_at);
        }
        if let Some(reply) = reply.filter(|_| answers) {
            self.answer_target(source, reply);
        }
        self.poll_target(index);
        self.schedule_due(index);
    }

    /// Looks at a target again when its next task ends.
    fn schedule_due(&mut self, index: usize) {
        let Some(due) = self.targets[index].state.next_event_at() else { return };
        let now = self.now;
        let is_news = self.trial.as_mut().is_none_or(|trial| trial.plan_due(now, index, due));
        if is_news {
            self.after(due.since(now), WorldEvent::TargetDue(index));
        }
    }

    /// Takes the end of a task at a target. A trial sees each end when it comes, a soak at the
    /// next call at the latest.
    pub(crate) fn take_target_due(&mut self, index: usize) {
        self.poll_target(index);
        if self.trial.is_some() {
            self.schedule_due(index);
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
                self.answer_target(source, TargetReply::Task(reply.clone()));
            }
        }
    }

    fn answer_target(&mut self, source: CallSource, reply: TargetReply) {
        let wait = self.latency();
        let event = EntryEvent::Target { call: source.call, reply };
        self.after(wait, WorldEvent::Deliver(source.entry, source.boot, Box::new(event)));
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
        let is_known = id.is_none_or(|id| id == receiver.id);
        let reached = self.links.reaches(self.entries[from].zone, receiver.zone);
        if !is_known || !reached || !receiver.is_up() || self.random.random_bool(0.01) {
            return;
        }
        let boot = receiver.boot;
        let sender = &self.entries[from];
        let event = EntryEvent::Peer { from: sender.id, address: sender.address, message };
        let wait = self.latency();
        self.after(wait, WorldEvent::Deliver(index, boot, Box::new(event)));
    }

    pub(crate) fn time_out(
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
        self.deliver(source.entry, source.boot, event);
    }
}
