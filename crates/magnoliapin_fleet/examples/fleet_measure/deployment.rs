//! The two deployments of the brief as documents and instances.

use magnoliapin_fleet::FleetSnapshot;
use magnoliapin_fleet::InstanceFacts;
use magnoliapin_fleet::UnixSeconds;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::QueueId;
use magnoliapin_model::RackId;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetRun;
use magnoliapin_model::WeightSection;
use magnoliapin_model::ZoneId;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;

/// Slots of an instance.
pub(crate) const SLOTS: u32 = 8;
/// Instances of a rack.
const RACK_SIZE: usize = 4;
/// Serving pools with their instances, and the spare one.
const POOLS: [(&str, u32); 5] =
    [("pool-1", 12), ("pool-2", 10), ("pool-3", 8), ("pool-4", 10), ("spare", 10)];

/// One deployment.
#[derive(Clone, Debug)]
pub(crate) struct SiteModel {
    /// Its name.
    pub(crate) name: &'static str,
    /// Its document.
    pub(crate) document: ConfigDocument,
    zones: usize,
}

impl SiteModel {
    /// Four zones; buffer and nearness to share weigh most.
    pub(crate) fn glowtown() -> Self {
        let weights =
            WeightSection { owner: None, buffer: 4.0, share: 4.0, moves: 1.0, rollout: 1.0 };
        Self { name: "Glowtown", document: document(weights), zones: 4 }
    }

    /// Three zones; moves and roll-out time weigh most.
    pub(crate) fn kyushu() -> Self {
        let weights =
            WeightSection { owner: None, buffer: 1.0, share: 1.0, moves: 4.0, rollout: 4.0 };
        Self { name: "Kyushu", document: document(weights), zones: 3 }
    }

    /// Returns the instances as the platform lists them; pools are spread over racks and zones.
    pub(crate) fn snapshot(&self) -> FleetSnapshot {
        let mut left = POOLS;
        let mut snapshot = FleetSnapshot::default();
        let total: u32 = POOLS.iter().map(|(_, size)| size).sum();
        let mut next_pool = 0;
        for number in 0..total as usize {
            while left[next_pool % left.len()].1 == 0 {
                next_pool += 1;
            }
            let place = next_pool % left.len();
            left[place].1 -= 1;
            next_pool += 1;
            let record = record(number, number / RACK_SIZE, self.zones, left[place].0);
            let facts = InstanceFacts { record: Some(record), ..InstanceFacts::default() };
            snapshot.instances.insert(instance_id(number), facts);
        }
        snapshot
    }
}

/// Returns the identifier of an instance by its number.
pub(crate) fn instance_id(number: usize) -> InstanceId {
    InstanceId::new(&format!("i-{number:04}")).unwrap()
}

/// Returns the identifier of a pool.
pub(crate) fn pool_id(name: &str) -> PoolId {
    PoolId::new(name).unwrap()
}

/// Returns the record of an instance.
pub(crate) fn record(number: usize, rack: usize, zones: usize, pool: &str) -> InstanceRecord {
    InstanceRecord {
        instance: instance_id(number),
        zone: ZoneId::new(&format!("zone-{}", rack % zones)).unwrap(),
        rack: RackId::new(&format!("rack-{rack:03}")).unwrap(),
        pool: Some(pool_id(pool)),
        address: "127.0.0.1:1".parse().unwrap(),
        run: TargetRun(1),
        slots: SlotCount(SLOTS),
        image: "one".to_owned(),
        state: ListedState::Live,
    }
}

/// Returns the time at which trials start.
pub(crate) fn start() -> UnixSeconds {
    UnixSeconds(1_800_000_000)
}

fn document(weights: WeightSection) -> ConfigDocument {
    let mut document = ConfigDocument { weights, ..ConfigDocument::default() };
    for (pool, instances) in POOLS {
        let section = document.pools.entry(pool_id(pool)).or_default();
        section.instances = instances;
        section.max_unavailable = 2;
        section.spare = pool == "spare";
        section.image = "one".to_owned();
        if !section.spare {
            let queue = QueueId::new(&pool.replace("pool", "queue")).unwrap();
            document.queues.entry(queue).or_default().pool = pool_id(pool);
        }
    }
    document.maintenance.drain_seconds = 60;
    document.maintenance.max_racks = 4;
    document
}
