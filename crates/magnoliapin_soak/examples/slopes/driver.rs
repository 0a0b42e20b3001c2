//! Carries out what the entries of a site want done.

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
use crate::site::SiteEvent;
use crate::site::SlopeSite;
use crate::site::FIRST_PORT;
use crate::site::FIRST_TARGET_PORT;
use crate::site::TICK;

const PLATFORM_WAIT: Duration = Duration::from_millis(2);
const PEER_WAIT: Duration = Duration::from_millis(1);
const TARGET_WAIT: Duration = Duration::from_millis(1);

/// Time that events took, by kind, in slices of one virtual second.
#[derive(Debug, Default)]
pub(crate) struct EventCost {
    slices: IndexMap<u64, IndexMap<&'static str, KindCost>>,
}

/// Events of one kind and the time that they took.
#[derive(Clone, Copy, Debug, Default)]
struct KindCost {
    time: Duration,
    count: u32,
}

impl EventCost {
    fn add(&mut self, now: Moment, kind: &'static str, time: Duration) {
        let slice = self.slices.entry(now.0 / 1_000_000).or_default();
        let cost = slice.entry(kind).or_default();
        cost.time += time;
        cost.count += 1;
    }

    /// Returns the time of all events in the median second, as a share of a core.
    pub(crate) fn core_share(&self) -> f64 {
        self.median(|slice| slice.values().map(|cost| cost.time).sum())
    }

    /// Returns the time of one kind in the median second, as a share of a core.
    pub(crate) fn share_of(&self, kind: &str) -> f64 {
        self.median(|slice| slice.get(kind).copied().unwrap_or_default().time)
    }

    /// Returns the mean time of one event of a kind in the median second.
    pub(crate) fn time_of(&self, kind: &str) -> Duration {
        let mean = |slice: &IndexMap<&'static str, KindCost>| {
            slice.get(kind).map_or(Duration::ZERO, |cost| cost.time / cost.count)
        };
        Duration::from_secs_f64(self.median(mean))
    }

    /// Returns the time of all events.
    pub(crate) fn total(&self) -> Duration {
        self.slices.values().flat_map(IndexMap::values).map(|cost| cost.time).sum()
    }

    fn median(&self, time: impl Fn(&IndexMap<&'static str, KindCost>) -> Duration) -> f64 {
        let mut times = self.slices.values().map(time).collect::<Vec<_>>();
        times.sort();
        times.get(times.len() / 2).map_or(0.0, Duration::as_secs_f64)
    }
}

/// What the first entry sent and read.
#[derive(Debug, Default)]
pub(crate) struct TrafficCount {
    /// Datagrams sent.
    pub(crate) datagrams: u64,
    /// Their bytes.
    pub(crate) datagram_bytes: u64,
    /// Calls of the platform, and bytes of requests and answers, by kind.
    pub(crate) platform: IndexMap<&'static str, (u64, u64)>,
    /// Rows and records that the platform returned.
    pub(crate) rows_read: u64,
    /// Rows written.
    pub(crate) rows_written: u64,
    /// Calls of targets, by kind.
    pub(crate) targets: IndexMap<&'static str, u64>,
}

impl SlopeSite {
    pub(crate) fn take(&mut self, event: SiteEvent) {
        match event {
            SiteEvent::Tick(entry) => {
                self.deliver(entry, EntryEvent::Tick);
                self.after(TICK, SiteEvent::Tick(entry));
            }
            SiteEvent::Deliver(entry, event) => self.deliver(entry, *event),
            SiteEvent::TargetDue(target) => self.poll_target(target),
        }
    }

    pub(crate) fn deliver(&mut self, entry: usize, event: EntryEvent) {
        let kind = kind_of(&event);
        let mut actions = Vec::new();
        let began = Instant::now();
        self.machines[entry].handle(self.now, event, &mut actions);
        if entry == 0 {
            self.cost.add(self.now, kind, began.elapsed());
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
            EntryAction::Platform { call, request, .. } => self.ask_platform(entry, call, request),
            EntryAction::Target { call, address, request, .. } => {
                let target = usize::from(address.port() - FIRST_TARGET_PORT);
                self.ask_target(entry, call, target, request);
            }
            EntryAction::Send { address, message, .. } => {
                if entry == 0 {
                    self.traffic.datagrams += 1;
                    self.traffic.datagram_bytes += datagram_bytes(&message);
                }
                let sender = self.machines[entry].identity();
                let (from, origin) = (sender.entry, sender.peer_address);
                let event = EntryEvent::Peer { from, address: origin, message };
                let receiver = usize::from(address.port() - FIRST_PORT);
                self.after(PEER_WAIT, SiteEvent::Deliver(receiver, Box::new(event)));
            }
            EntryAction::Record(_) => {}
            EntryAction::Stopped | EntryAction::Restart => {
                unreachable!("an entry of a site without faults goes on")
            }
        }
    }

    fn ask_platform(&mut self, entry: usize, call: CallId, request: PlatformRequest) {
        let (kind, sent) = (platform_kind(&request), json_bytes(&request));
        let written = match &request {
            PlatformRequest::Transact(transaction) => transaction.writes.len() as u64,
            _ => 0,
        };
        let reply = self.carry_out(request);
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
        self.after(PLATFORM_WAIT, SiteEvent::Deliver(entry, Box::new(event)));
    }

    /// Carries out a call of the platform.
    pub(crate) fn carry_out(&mut self, request: PlatformRequest) -> PlatformReply {
        match request {
            PlatformRequest::Transact(transaction) => {
                PlatformReply::Transaction(self.table.transact(&transaction))
            }
            PlatformRequest::Read(read) => PlatformReply::Rows(self.table.read(&read)),
            PlatformRequest::Resolve(token) => PlatformReply::Resolved(self.table.resolve(token)),
            PlatformRequest::Instances => PlatformReply::Instances(self.list.clone()),
            PlatformRequest::Order(..) => PlatformReply::Ordered,
        }
    }

    fn ask_target(&mut self, entry: usize, call: CallId, index: usize, request: TargetRequest) {
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
                target.waiting.entry(task).or_default().push((entry, call));
                self.starts.entry(payload).or_insert(now);
            }
            (None, None) => {}
        }
        self.poll_target(index);
        if let Some(due) = self.targets[index].state.next_event_at() {
            self.after(due.since(now), SiteEvent::TargetDue(index));
        }
    }

    fn poll_target(&mut self, index: usize) {
        let target = &mut self.targets[index];
        let ended = target.state.poll(self.now);
        let with_calls = ended.into_iter().map(|reply| {
            let calls = target.waiting.swap_remove(&reply.task).unwrap_or_default();
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
        self.after(TARGET_WAIT, SiteEvent::Deliver(entry, Box::new(event)));
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
