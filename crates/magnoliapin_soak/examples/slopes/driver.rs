//! Performs the actions that the entries of a site request, and counts their cost.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_policy::CallId;
use magnoliapin_policy::EntryAction;
use magnoliapin_policy::EntryEvent;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TargetReply;
use magnoliapin_wire::TargetRequest;

use crate::messages::datagram_bytes;
use crate::messages::json_bytes;
use crate::site::SimulatedSite;
use crate::site::SiteEvent;
use crate::site::FIRST_PORT;
use crate::site::FIRST_TARGET_PORT;
use crate::site::TICK;

const PLATFORM_WAIT: Duration = Duration::from_millis(2);
const PEER_WAIT: Duration = Duration::from_millis(1);
const TARGET_WAIT: Duration = Duration::from_millis(1);

/// Time to handle events by kind, for each virtual second.
#[derive(Debug, Default)]
pub(crate) struct EventCost {
    seconds: IndexMap<u64, IndexMap<&'static str, KindCost>>,
}

/// Number of events of one kind and the total time to handle them.
#[derive(Clone, Copy, Debug, Default)]
struct KindCost {
    time: Duration,
    count: u32,
}

impl EventCost {
    fn add(&mut self, now: Moment, kind: &'static str, time: Duration) {
        let second = self.seconds.entry(now.0 / 1_000_000).or_default();
        let cost = second.entry(kind).or_default();
        cost.time += time;
        cost.count += 1;
    }

    /// Returns the time to handle all events in the median second, as a fraction of a core.
    pub(crate) fn core_share(&self) -> f64 {
        self.median(|second| second.values().map(|cost| cost.time).sum())
    }

    /// Returns the time to handle the events of one kind in the median second, as a fraction of a
    /// core.
    pub(crate) fn share_of(&self, kind: &str) -> f64 {
        self.median(|second| second.get(kind).copied().unwrap_or_default().time)
    }

    /// Returns the median over the seconds of the mean time to handle an event of a kind.
    pub(crate) fn mean_time_of(&self, kind: &str) -> Duration {
        let mean = |second: &IndexMap<&'static str, KindCost>| {
            second.get(kind).map_or(Duration::ZERO, |cost| cost.time / cost.count)
        };
        Duration::from_secs_f64(self.median(mean))
    }

    /// Returns the total time to handle all events.
    pub(crate) fn total(&self) -> Duration {
        self.seconds.values().flat_map(IndexMap::values).map(|cost| cost.time).sum()
    }

    fn median(&self, time: impl Fn(&IndexMap<&'static str, KindCost>) -> Duration) -> f64 {
        let mut times = self.seconds.values().map(time).collect::<Vec<_>>();
        times.sort();
        times.get(times.len() / 2).map_or(0.0, Duration::as_secs_f64)
    }
}

/// Traffic of the first entry.
#[derive(Debug, Default)]
pub(crate) struct TrafficCount {
    /// Datagrams sent.
    pub(crate) datagrams: u64,
    /// Bytes of the datagrams sent, including headers.
    pub(crate) datagram_bytes: u64,
    /// Number of platform calls, and bytes of their requests and replies, by kind.
    pub(crate) platform: IndexMap<&'static str, (u64, u64)>,
    /// Rows and instance records that the platform returned.
    pub(crate) rows_read: u64,
    /// Rows written.
    pub(crate) rows_written: u64,
    /// Target calls by kind.
    pub(crate) targets: IndexMap<&'static str, u64>,
}

impl SimulatedSite {
    pub(crate) fn handle(&mut self, event: SiteEvent) {
        match event {
            SiteEvent::Tick(entry) => {
                self.deliver(entry, EntryEvent::Tick);
                self.schedule_after(TICK, SiteEvent::Tick(entry));
            }
            SiteEvent::Deliver(entry, event) => self.deliver(entry, *event),
            SiteEvent::PollTarget(target) => self.poll_target(target),
        }
    }

    pub(crate) fn deliver(&mut self, entry: usize, event: EntryEvent) {
        let kind = kind_of(&event);
        let mut actions = Vec::new();
        let started_at = Instant::now();
        self.machines[entry].handle(self.now, event, &mut actions);
        if entry == 0 {
            self.cost.add(self.now, kind, started_at.elapsed());
        }
        for action in actions {
            self.perform(entry, action);
        }
    }

    fn perform(&mut self, entry: usize, action: EntryAction) {
        match action {
            EntryAction::Answer { call, answer } => {
                self.answers.insert(call, (self.now, answer));
            }
            EntryAction::Platform { call, request, .. } => self.call_platform(entry, call, request),
            EntryAction::Target { call, address, request, .. } => {
                let target = usize::from(address.port() - FIRST_TARGET_PORT);
                self.call_target(entry, call, target, request);
            }
            EntryAction::SendPeer { address, message, .. } => {
                if entry == 0 {
                    self.traffic.datagrams += 1;
                    self.traffic.datagram_bytes += datagram_bytes(&message);
                }
                let sender = self.machines[entry].identity();
                let (from, origin) = (sender.entry, sender.peer_address);
                let event = EntryEvent::Peer { from, address: origin, message };
                let receiver = usize::from(address.port() - FIRST_PORT);
                self.schedule_after(PEER_WAIT, SiteEvent::Deliver(receiver, Box::new(event)));
            }
            EntryAction::Record(_) => {}
            EntryAction::Stopped | EntryAction::Restart => {
                unreachable!("an entry of a site without faults does not stop")
            }
        }
    }

    fn call_platform(&mut self, entry: usize, call: CallId, request: PlatformRequest) {
        let (kind, sent) = (platform_kind(&request), json_bytes(&request));
        let written = match &request {
            PlatformRequest::Transact(transaction) => transaction.writes.len() as u64,
            _ => 0,
        };
        let reply = self.execute_platform_call(request);
        if entry == 0 {
            let count = self.traffic.platform.entry(kind).or_default();
            count.0 += 1;
            count.1 += sent + json_bytes(&reply);
            self.traffic.rows_written += written;
            self.traffic.rows_read += match &reply {
                PlatformReply::Rows(rows) => rows.len() as u64,
                PlatformReply::Instances(records) => records.len() as u64,
                _ => 0,
            };
        }
        let event = EntryEvent::Platform { call, reply };
        self.schedule_after(PLATFORM_WAIT, SiteEvent::Deliver(entry, Box::new(event)));
    }

    /// Executes a platform call and returns its reply.
    pub(crate) fn execute_platform_call(&mut self, request: PlatformRequest) -> PlatformReply {
        match request {
            PlatformRequest::Transact(transaction) => {
                PlatformReply::Transaction(self.table.transact(&transaction))
            }
            PlatformRequest::Read(read) => PlatformReply::Rows(self.table.read(&read)),
            PlatformRequest::Resolve(token) => PlatformReply::Resolved(self.table.resolve(token)),
            PlatformRequest::Instances => PlatformReply::Instances(self.instance_list.clone()),
            PlatformRequest::Order(..) => PlatformReply::Ordered,
        }
    }

    fn call_target(&mut self, entry: usize, call: CallId, index: usize, request: TargetRequest) {
        if entry == 0 {
            *self.traffic.targets.entry(target_kind(&request)).or_default() += 1;
        }
        let start = match &request {
            TargetRequest::Start(start) => Some((start.task, start.payload.clone())),
            _ => None,
        };
        let now = self.now;
        let target = &mut self.targets[index];
        match (target.state.execute(now, request), start) {
            (Some(reply), _) => self.answer_target(entry, call, reply),
            (None, Some((task, payload))) => {
                target.pending_calls.entry(task).or_default().push((entry, call));
                self.starts.entry(payload).or_insert(now);
            }
            (None, None) => {}
        }
        self.poll_target(index);
        if let Some(due) = self.targets[index].state.next_event_at() {
            self.schedule_after(due.since(now), SiteEvent::PollTarget(index));
        }
    }

    fn poll_target(&mut self, index: usize) {
        let target = &mut self.targets[index];
        let completed = target.state.poll(self.now);
        let with_calls = completed.into_iter().map(|reply| {
            let calls = target.pending_calls.swap_remove(&reply.task).unwrap_or_default();
            (reply, calls)
        });
        for (reply, calls) in with_calls.collect::<Vec<_>>() {
            for (entry, call) in calls {
                self.answer_target(entry, call, TargetReply::Task(reply.clone()));
            }
        }
    }

    fn answer_target(&mut self, entry: usize, call: CallId, reply: TargetReply) {
        let event = EntryEvent::Target { call, reply };
        self.schedule_after(TARGET_WAIT, SiteEvent::Deliver(entry, Box::new(event)));
    }
}

fn kind_of(event: &EntryEvent) -> &'static str {
    match event {
        EntryEvent::Tick => "tick",
        EntryEvent::Caller { .. } | EntryEvent::CallerDisconnected(_) => "caller",
        EntryEvent::Platform { .. } => "platform",
        EntryEvent::Target { .. } => "target",
        EntryEvent::Peer { .. } => "peer",
        EntryEvent::WallClock(_) => "wall clock",
        EntryEvent::Stop => "stop",
    }
}

fn platform_kind(request: &PlatformRequest) -> &'static str {
    match request {
        PlatformRequest::Transact(_) => "transaction",
        PlatformRequest::Read(TableRead::Keys(_)) => "read of keys",
        PlatformRequest::Read(TableRead::Prefix { prefix, .. }) => match prefix.as_str() {
            "instance/" => "scan of instance/",
            "entry/" => "scan of entry/",
            "allotment/" => "scan of allotment/",
            _ => "other scan",
        },
        PlatformRequest::Instances => "instance list",
        PlatformRequest::Resolve(_) | PlatformRequest::Order(..) => "other",
    }
}

fn target_kind(request: &TargetRequest) -> &'static str {
    match request {
        TargetRequest::Start(_) => "start",
        TargetRequest::Renew(..) => "renewal",
        TargetRequest::Fence(_) | TargetRequest::FenceEntry(..) => "fence",
        TargetRequest::Query(_) | TargetRequest::Stop(_) => "question or stop",
    }
}
