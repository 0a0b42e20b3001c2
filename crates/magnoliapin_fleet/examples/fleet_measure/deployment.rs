//! The two example sites as configuration documents and instance lists.

use magnoliapin_fleet::FleetSnapshot;
use magnoliapin_fleet::InstanceStatus;
use magnoliapin_fleet::UnixSeconds;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::RackId;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::ZoneId;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;

/// Task slots per instance.
pub(crate) const SLOTS: u32 = 8;
/// Instances per rack.
const RACK_SIZE: usize = 4;

/// One site: its configuration and the number of its availability zones.
#[derive(Clone, Debug)]
pub(crate) struct SiteModel {
    /// Name of the site, as printed in the tables.
    pub(crate) name: &'static str,
    /// Configuration document.
    pub(crate) document: ConfigDocument,
    zones: usize,
}

impl SiteModel {
    /// Returns the example site that weights the buffer and the distance from the share highest.
    pub(crate) fn glowtown() -> Self {
        let text = include_str!("../../../../examples/glowtown.toml");
        Self { name: "Glowtown", document: ConfigDocument::parse(text).unwrap(), zones: 4 }
    }

    /// Returns the example site that weights moves and roll-out time highest.
    pub(crate) fn kyushu() -> Self {
        let text = include_str!("../../../../examples/kyushu.toml");
        Self { name: "Kyushu", document: ConfigDocument::parse(text).unwrap(), zones: 3 }
    }

    /// Returns the instances as the platform lists them; pools are spread over racks and zones.
    pub(crate) fn snapshot(&self) -> FleetSnapshot {
        let mut snapshot = FleetSnapshot::default();
        let pools = || self.document.pools.iter();
        let largest = pools().map(|(_, section)| section.instances).max().unwrap_or(0);
        let mut number = 0;
        for round in 0..largest {
            for (pool, _) in pools().filter(|(_, section)| section.instances > round) {
                let mut record = record(number, number / RACK_SIZE, self.zones, pool.as_str());
                record.image.clone_from(&self.document.pools[pool].image);
                let status = InstanceStatus { record: Some(record), ..InstanceStatus::default() };
                snapshot.instances.insert(instance_id(number), status);
                number += 1;
            }
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

/// Returns the record of a live instance in the platform's list.
pub(crate) fn record(number: usize, rack: usize, zones: usize, pool: &str) -> InstanceRecord {
    InstanceRecord {
        instance: instance_id(number),
        zone: ZoneId::new(&format!("zone-{}", rack % zones)).unwrap(),
        rack: RackId::new(&format!("rack-{rack:03}")).unwrap(),
        pool: Some(pool_id(pool)),
        address: "127.0.0.1:1".parse().unwrap(),
        run: TargetIncarnation(1),
        slots: SlotCount(SLOTS),
        image: "one".to_owned(),
        state: ListedState::Live,
    }
}

/// Returns the wall-clock time at which trials start.
pub(crate) fn trial_start() -> UnixSeconds {
    UnixSeconds(1_800_000_000)
}
