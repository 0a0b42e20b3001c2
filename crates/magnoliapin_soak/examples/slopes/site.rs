//! Simulation of a site without faults that times each event of its first entry.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_fleet::InstanceRow;
use magnoliapin_fleet::InstanceState;
use magnoliapin_fleet::PoolRow;
use magnoliapin_fleet::UnixSeconds;
use magnoliapin_model::ClientToken;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::PoolId;
use magnoliapin_model::RackId;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::TaskId;
use magnoliapin_model::ZoneId;
use magnoliapin_policy::CallId;
use magnoliapin_policy::EntryEvent;
use magnoliapin_policy::EntryIdentity;
use magnoliapin_policy::EntryMachine;
use magnoliapin_standin::TableState;
use magnoliapin_standin::TargetState;
use magnoliapin_wire::rows::ConfigHead;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::rows::SectionRow;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::CallerBody;
use magnoliapin_wire::CallerRequest;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;
use magnoliapin_wire::RowWrite;
use magnoliapin_wire::TableTransaction;

use crate::document::document_text;
use crate::document::DocumentSize;
use crate::driver::EventCost;
use crate::driver::TrafficCount;

/// Time between two ticks, as in the real driver.
pub(crate) const TICK: Duration = Duration::from_millis(20);
pub(crate) const FIRST_PORT: u16 = 1_000;
pub(crate) const FIRST_TARGET_PORT: u16 = 2_000;

/// Size of a site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SiteSize {
    /// Number of entries.
    pub(crate) entries: usize,
    /// Number of availability zones.
    pub(crate) zones: usize,
    /// Number of targets.
    pub(crate) targets: usize,
    /// Size of the configuration document.
    pub(crate) document: DocumentSize,
}

impl SiteSize {
    /// Returns the size of a site whose targets are spread evenly over the pools.
    pub(crate) fn new(
        entries: usize,
        zones: usize,
        targets: usize,
        pools: usize,
        teams: usize,
    ) -> Self {
        let pool_instances = targets / pools;
        let document = DocumentSize { pools, teams, queues: pools, pool_instances, limit: 10_000 };
        Self { entries, zones, targets, document }
    }

    /// Returns the size of the present deployment and fleet.
    pub(crate) fn current() -> Self {
        Self::new(9, 3, 50, 5, 6)
    }

    /// Returns the size to design for.
    pub(crate) fn design_size() -> Self {
        let mut size = Self::new(28, 8, 3_300, 101, 390);
        size.document.queues = 300;
        size
    }
}

/// Scheduled event; entries and targets are given by index.
#[derive(Debug)]
pub(crate) enum SiteEvent {
    Tick(usize),
    Deliver(usize, Box<EntryEvent>),
    PollTarget(usize),
}

/// A target and the calls that wait for its tasks to finish.
#[derive(Debug)]
pub(crate) struct SiteTarget {
    pub(crate) state: TargetState,
    pub(crate) pending_calls: IndexMap<TaskId, Vec<(usize, CallId)>>,
}

/// Simulated site.
#[derive(Debug)]
pub(crate) struct SimulatedSite {
    pub(crate) size: SiteSize,
    pub(crate) now: Moment,
    pub(crate) machines: Vec<EntryMachine>,
    pub(crate) table: TableState,
    pub(crate) instance_list: Vec<InstanceRecord>,
    pub(crate) targets: Vec<SiteTarget>,
    pub(crate) events: BTreeMap<(Moment, u64), SiteEvent>,
    pub(crate) sequence: u64,
    /// Time that the first entry takes to handle its events.
    pub(crate) cost: EventCost,
    /// Traffic of the first entry.
    pub(crate) traffic: TrafficCount,
    /// Answers to clients, with the time of each.
    pub(crate) answers: IndexMap<CallId, (Moment, CallerAnswer)>,
    /// Time of the first start call of each payload that a target accepted.
    pub(crate) starts: IndexMap<Vec<u8>, Moment>,
    last_call: u64,
}

impl SimulatedSite {
    /// Creates a site and runs it until every entry is ready.
    pub(crate) fn started(size: SiteSize) -> Self {
        let mut site = Self::prepared(size);
        site.start();
        site
    }

    /// Creates a site with a platform and targets, but without entries.
    pub(crate) fn prepared(size: SiteSize) -> Self {
        let mut site = Self {
            size,
            now: Moment::from_millis(1_000),
            machines: Vec::new(),
            table: TableState::new(),
            instance_list: (0..size.targets).map(|number| record(number, size)).collect(),
            targets: Vec::new(),
            events: BTreeMap::new(),
            sequence: 0,
            cost: EventCost::default(),
            traffic: TrafficCount::default(),
            answers: IndexMap::new(),
            starts: IndexMap::new(),
            last_call: 1 << 40,
        };
        site.store_document(size.document);
        site.store_instances();
        for record in &site.instance_list {
            let state = TargetState::new(record.run, "image");
            site.targets.push(SiteTarget { state, pending_calls: IndexMap::new() });
        }
        site
    }

    /// Starts the entries and runs until each of them is ready.
    pub(crate) fn start(&mut self) {
        for index in 0..self.size.entries {
            self.add_entry(index, self.size.zones);
        }
        self.run_for(Duration::from_secs(6));
        assert!(self.machines.iter().all(EntryMachine::is_ready), "every entry is ready");
        self.reset();
    }

    /// Resets the measured cost and traffic.
    pub(crate) fn reset(&mut self) {
        self.cost = EventCost::default();
        self.traffic = TrafficCount::default();
    }

    /// Runs for a span of virtual time.
    pub(crate) fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(next) = self.events.first_entry() {
            if next.key().0 > end {
                break;
            }
            let ((at, _), event) = next.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Delivers a client request to an entry and returns its call ID.
    pub(crate) fn call(&mut self, entry: usize, team: usize, body: CallerBody) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        let request = CallerRequest { key: Some(crate::document::key_of(team)), body };
        self.deliver(entry, EntryEvent::Caller { call, request });
        call
    }

    pub(crate) fn schedule_after(&mut self, span: Duration, event: SiteEvent) {
        self.sequence += 1;
        self.events.insert((self.now + span, self.sequence), event);
    }

    fn add_entry(&mut self, index: usize, zones: usize) {
        let port = FIRST_PORT + u16::try_from(index).unwrap_or_default();
        let identity = EntryIdentity {
            entry: EntryId(u64::from(port) << 40 | 7),
            zone: zone(index % zones),
            caller_address: address(port),
            peer_address: address(port),
        };
        self.machines.push(EntryMachine::new(identity, u64::from(port)));
        let offset = Duration::from_micros(700 * u64::from(port - FIRST_PORT));
        self.schedule_after(offset, SiteEvent::Tick(index));
    }

    fn store_document(&mut self, size: DocumentSize) {
        let document = ConfigDocument::parse(&document_text(size)).expect("a valid document");
        let version = ConfigVersion(1);
        let head = ConfigHead { version, recent: Vec::new() };
        let mut writes = vec![write(RowKey::ConfigHead, head.to_json())];
        for (name, text) in document.sections() {
            let row = SectionRow { owner: None, version, text: Some(text) };
            writes.push(write(RowKey::Section(name), row.to_json()));
        }
        self.commit(writes);
    }

    fn store_instances(&mut self) {
        let row = |record: &InstanceRecord| {
            let row = InstanceRow {
                pool: record.pool.unwrap_or_default(),
                zone: record.zone,
                rack: record.rack,
                state: InstanceState::Serving,
                image: record.image.clone(),
                run: record.run,
                maintained_at: UnixSeconds(1_700_000_000),
                changed_at: UnixSeconds(1_700_000_000),
                drain: false,
                force: false,
                goal: None,
            };
            let value = serde_json::to_string(&row).expect("a row is JSON");
            RowWrite { key: format!("instance/{}", record.instance), value: Some(value) }
        };
        let mut writes = self.instance_list.iter().map(row).collect::<Vec<_>>();
        let mut pools: IndexMap<PoolId, PoolRow> = IndexMap::new();
        for record in &self.instance_list {
            pools.entry(record.pool.unwrap_or_default()).or_default().add(None);
        }
        for (pool, row) in pools {
            let value = serde_json::to_string(&row).expect("a row is JSON");
            writes.push(RowWrite { key: format!("pool/{pool}"), value: Some(value) });
        }
        self.commit(writes);
    }

    fn commit(&mut self, writes: Vec<RowWrite>) {
        self.sequence += 1;
        let token = ClientToken(u128::from(self.sequence));
        self.table.transact(&TableTransaction { token, guards: Vec::new(), writes });
    }
}

/// Returns the availability zone with the given number.
pub(crate) fn zone(number: usize) -> ZoneId {
    format!("zone-{number}").parse().expect("a short name")
}

/// Returns the loopback address with the given port.
pub(crate) fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn write(key: RowKey, value: String) -> RowWrite {
    RowWrite { key: key.to_string(), value: Some(value) }
}

fn record(number: usize, size: SiteSize) -> InstanceRecord {
    let port = FIRST_TARGET_PORT + u16::try_from(number).unwrap_or_default();
    let rack = format!("rack-{}", number / 40);
    InstanceRecord {
        instance: format!("instance-{number}").parse().expect("a short name"),
        zone: zone(number % size.zones),
        rack: rack.parse::<RackId>().expect("a short name"),
        pool: format!("p{}", number % size.document.pools).parse().ok(),
        address: address(port),
        run: TargetIncarnation((number as u64) << 40 | 11),
        slots: magnoliapin_standin::DEFAULT_SLOTS,
        image: "image".to_owned(),
        state: ListedState::Live,
    }
}
