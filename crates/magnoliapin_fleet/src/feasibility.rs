//! Checks whether every instance can be maintained in the maintenance period.

use std::fmt;

use indexmap::IndexMap;
use magnoliapin_model::plain_data;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::PoolId;
use magnoliapin_model::RackId;

use crate::FleetSnapshot;
use crate::UnixSeconds;

/// Estimated duration of a reboot without the drain, in seconds.
pub const REBOOT_SECONDS: u64 = 150;
/// Minimum time before its deadline at which an instance is due, in seconds.
const MIN_LEAD_SECONDS: u64 = 3_600;

/// How long it takes to maintain every instance once.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceLoad {
    /// Duration of one wave in seconds: the drain time limit and the reboot.
    pub wave_seconds: u64,
    /// Waves of the pool that needs the most.
    pub pool_waves: u64,
    /// Waves of all racks together, one after another.
    pub rack_waves: u64,
    /// Maximum number of racks with planned work at once.
    pub max_racks: u64,
}

plain_data! {
    /// Why the maintenance cannot be done in its period.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Infeasible {
        /// The availability budget of a pool with instances is 0.
        NoBudget {
            /// The pool.
            pool: PoolId,
            /// Its instances.
            instances: u32,
        },
        /// No rack may have planned work, as `max_racks` is 0.
        NoRacks,
        /// The waves of one pool take longer than the period.
        Pool {
            /// The pool.
            pool: PoolId,
            /// Its instances.
            instances: u32,
            /// Its availability budget.
            max_unavailable: u32,
            /// Time of one wave, in seconds.
            wave_seconds: u64,
            /// The period, in seconds.
            period_seconds: u64,
        },
        /// The waves of all racks take longer than the period.
        Racks {
            /// Waves of all racks together.
            rack_waves: u64,
            /// Maximum number of racks with planned work at once.
            max_racks: u64,
            /// Time of one wave, in seconds.
            wave_seconds: u64,
            /// The period, in seconds.
            period_seconds: u64,
        },
    }
}

impl MaintenanceLoad {
    /// Computes the load of a fleet. A pool counts with its declared size or its members,
    /// whichever is larger; racks count with their known instances.
    pub fn new(document: &ConfigDocument, snapshot: &FleetSnapshot) -> Self {
        let mut pool_waves = 0;
        for (pool, section) in &document.pools {
            let members = pool_size(document, snapshot, *pool);
            pool_waves = pool_waves.max(wave_count(members, section.max_unavailable));
        }
        Self {
            wave_seconds: wave_seconds(document),
            pool_waves,
            rack_waves: rack_waves(document, snapshot),
            max_racks: u64::from(document.maintenance.max_racks),
        }
    }

    /// Returns the time needed to maintain every instance once, in seconds.
    pub fn total_seconds(&self) -> u64 {
        let rack_waves = self.rack_waves.div_ceil(self.max_racks.max(1));
        self.wave_seconds.saturating_mul(self.pool_waves.max(rack_waves))
    }

    /// Returns how long before its deadline an instance is due, in seconds: twice the time that
    /// all of them need, which leaves half of it for failures, roll-outs and moves, but at most
    /// three quarters of the period.
    pub fn lead_seconds(&self, period_seconds: u64) -> u64 {
        let lead_seconds = self.total_seconds().saturating_mul(2).max(MIN_LEAD_SECONDS);
        lead_seconds.min(period_seconds * 3 / 4)
    }
}

/// Checks that every instance can be maintained once in the period within the budgets.
///
/// # Errors
///
/// Returns an [`Infeasible`] with the numbers.
pub fn check_feasible(
    document: &ConfigDocument,
    snapshot: &FleetSnapshot,
) -> Result<(), Infeasible> {
    let wave_seconds = wave_seconds(document);
    let period_seconds = u64::from(document.maintenance.period_hours) * 3_600;
    for (pool, section) in &document.pools {
        let instances = pool_size(document, snapshot, *pool);
        let max_unavailable = section.max_unavailable;
        if instances > 0 && max_unavailable == 0 {
            return Err(Infeasible::NoBudget { pool: *pool, instances });
        }
        if wave_count(instances, max_unavailable).saturating_mul(wave_seconds) > period_seconds {
            let pool = *pool;
            return Err(Infeasible::Pool {
                pool,
                instances,
                max_unavailable,
                wave_seconds,
                period_seconds,
            });
        }
    }
    let max_racks = u64::from(document.maintenance.max_racks);
    if max_racks == 0 && !document.pools.is_empty() {
        return Err(Infeasible::NoRacks);
    }
    let rack_waves = rack_waves(document, snapshot);
    if rack_waves.div_ceil(max_racks.max(1)).saturating_mul(wave_seconds) > period_seconds {
        return Err(Infeasible::Racks { rack_waves, max_racks, wave_seconds, period_seconds });
    }
    Ok(())
}

/// Counts the instances whose last maintenance is longer ago than the period.
pub(crate) fn overdue_instances(
    document: &ConfigDocument,
    snapshot: &FleetSnapshot,
    wall: UnixSeconds,
) -> usize {
    let period_seconds = u64::from(document.maintenance.period_hours) * 3_600;
    snapshot.rows().filter(|(_, _, row)| wall.since(row.maintained_at) > period_seconds).count()
}

fn wave_seconds(document: &ConfigDocument) -> u64 {
    u64::from(document.maintenance.drain_seconds) + REBOOT_SECONDS
}

fn pool_size(document: &ConfigDocument, snapshot: &FleetSnapshot, pool: PoolId) -> u32 {
    let declared = document.pools.get(&pool).map_or(0, |section| section.instances);
    snapshot.pools.get(&pool).map_or(declared, |pool| pool.row.members.max(declared))
}

fn wave_count(instances: u32, max_unavailable: u32) -> u64 {
    u64::from(instances.div_ceil(max_unavailable.max(1)))
}

/// Returns the total waves of all racks. Each rack needs as many as its pool with the most waves.
fn rack_waves(document: &ConfigDocument, snapshot: &FleetSnapshot) -> u64 {
    let mut counts: IndexMap<(RackId, PoolId), u32> = IndexMap::new();
    for (_, _, row) in snapshot.rows() {
        *counts.entry((row.rack, row.pool)).or_insert(0) += 1;
    }
    let mut racks: IndexMap<RackId, u64> = IndexMap::new();
    for ((rack, pool), count) in counts {
        let max_unavailable = document.pools.get(&pool).map_or(0, |pool| pool.max_unavailable);
        let needed = racks.entry(rack).or_insert(0);
        *needed = wave_count(count, max_unavailable).max(*needed);
    }
    racks.values().sum()
}

impl fmt::Display for Infeasible {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoBudget { pool, instances } => write!(
                formatter,
                "pool {pool} has {instances} instances and max_unavailable = 0, so none of them \
                 can ever be maintained"
            ),
            Self::NoRacks => formatter.write_str("max_racks = 0, so no planned work can start"),
            Self::Pool { pool, instances, max_unavailable, wave_seconds, period_seconds } => {
                let waves = wave_count(*instances, *max_unavailable);
                write!(
                    formatter,
                    "pool {pool}: {instances} instances, {max_unavailable} at a time, make \
                     {waves} waves of {wave_seconds} s, together {} s, but the period has \
                     {period_seconds} s",
                    waves.saturating_mul(*wave_seconds)
                )
            }
            Self::Racks { rack_waves, max_racks, wave_seconds, period_seconds } => write!(
                formatter,
                "the racks need {rack_waves} waves of {wave_seconds} s, {max_racks} racks at a \
                 time, together {} s, but the period has {period_seconds} s",
                rack_waves.div_ceil((*max_racks).max(1)).saturating_mul(*wave_seconds)
            ),
        }
    }
}

impl std::error::Error for Infeasible {}
