//! A site without faults in virtual time, small enough to time each event of its first entry.

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

/// Sizes of a site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SiteSize {
    /// Entries.
    pub(crate) entries: usize,
    /// Availability zones.
    pub(crate) zones: usize,
    /// Targets.
    pub(crate) targets: usize,
    /// Sections of the document.
    pub(crate) document: DocumentSize,
}

impl SiteSize {
    /// Returns a site whose pools share the targets evenly.
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

    /// The deployment as it is today, with the fleet of the brief's size today.
    pub(crate) fn today() -> Self {
        Self::new(9, 3, 50, 5, 6)
    }

    /// The size to design for.
    pub(crate) fn designed() -> Self {
        let mut size = Self::new(28, 8, 3_300, 101, 390);
        size.document.queues = 300;
        size
    }
}

/// What happens next.
#[derive(Debug)]
pub(crate) enum SiteEvent {
    Tick(usize),
    Deliver(usize, Box<EntryEvent>),
    TargetDue(usize),
}

/// One target, with the calls that wait for its tasks.
#[derive(Debug)]
pub(crate) struct SiteTarget {
    pub(crate) state: TargetState,
    pub(crate) waiting: IndexMap<TaskId, Vec<(usize, CallId)>>,
}

/// The site.
#[derive(Debug)]
pub(crate) struct SlopeSite {
    pub(crate) size: SiteSize,
    pub(crate) now: Moment,
    pub(crate) machines: Vec<EntryMachine>,
    pub(crate) table: TableState,
    pub(crate) list: Vec<InstanceRecord>,
    pub(crate) targets: Vec<SiteTarget>,
    pub(crate) events: BTreeMap<(Moment, u64), SiteEvent>,
    pub(crate) sequence: u64,
    /// What events cost the first entry.
    pub(crate) cost: EventCost,
    /// What the first entry sent.
    pub(crate) traffic: TrafficCount,
    /// Answers to callers, with the time of each.
    pub(crate) answers: IndexMap<CallId, (Moment, CallerAnswer)>,
    /// First start of each payload, by the payload.
    pub(crate) starts: IndexMap<Vec<u8>, Moment>,
    last_call: u64,
}

impl SlopeSite {
    /// Makes a site and lets it run until every entry takes work.
    pub(crate) fn started(size: SiteSize) -> Self {
        let mut site = Self::prepared(size);
        site.start();
        site
    }

    /// Makes a site with a platform and targets, and no entry yet.
    pub(crate) fn prepared(size: SiteSize) -> Self {
        let mut site = Self {
            size,
            now: Moment::from_millis(1_000),
            machines: Vec::new(),
            table: TableState::new(),
            list: (0..size.targets).map(|number| record(number, size)).collect(),
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
        for record in &site.list {
            let state = TargetState::new(record.run, "image");
            site.targets.push(SiteTarget { state, waiting: IndexMap::new() });
        }
        site
    }

    /// Starts the entries and runs until each of them takes work.
    pub(crate) fn start(&mut self) {
        for index in 0..self.size.entries {
            self.add_entry(index, self.size.zones);
        }
        self.run_for(Duration::from_secs(6));
        assert!(self.machines.iter().all(EntryMachine::is_ready), "every entry takes work");
        self.reset();
    }

    /// Forgets what was counted.
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
            self.take(event);
        }
        self.now = end;
    }

    /// Hands a request to an entry and returns the call.
    pub(crate) fn call(&mut self, entry: usize, team: usize, body: CallerBody) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        let request = CallerRequest { key: Some(crate::document::key_of(team)), body };
        self.deliver(entry, EntryEvent::Caller { call, request });
        call
    }

    pub(crate) fn after(&mut self, span: Duration, event: SiteEvent) {
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
        self.after(offset, SiteEvent::Tick(index));
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
        let mut writes = self.list.iter().map(row).collect::<Vec<_>>();
        let mut pools: IndexMap<PoolId, PoolRow> = IndexMap::new();
        for record in &self.list {
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

/// Returns the availability zone with a number.
pub(crate) fn zone(number: usize) -> ZoneId {
    format!("zone-{number}").parse().expect("a short name")
}

/// Returns the address of a port.
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
