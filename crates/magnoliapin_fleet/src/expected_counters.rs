//! Counters recomputed from the instances' rows, to check those that transactions maintain.

use std::fmt;

use indexmap::IndexMap;
use magnoliapin_model::PoolId;

use crate::FleetSnapshot;
use crate::InstanceRow;
use crate::PoolRow;
use crate::RackRow;

/// Counters of pools and racks, recomputed from the instances' rows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExpectedCounters {
    pools: IndexMap<PoolId, PoolRow>,
    racks: RackRow,
}

/// Counters that do not agree with the instances' rows.
#[derive(Clone, Debug, PartialEq)]
pub enum CounterMismatch {
    /// A pool's row differs.
    Pool {
        /// The pool.
        pool: PoolId,
        /// Counters recomputed from the rows of its members.
        counted: PoolRow,
        /// Counters in its own row.
        stored: PoolRow,
    },
    /// The row of racks differs.
    Racks {
        /// Racks with planned work according to the instances' rows.
        counted: u32,
        /// Racks with planned work according to the row.
        stored: u32,
    },
}

impl ExpectedCounters {
    /// Counts the rows of instances.
    pub fn new<'a>(rows: impl Iterator<Item = &'a InstanceRow>) -> Self {
        let mut counters = Self::default();
        for row in rows {
            counters.pools.entry(row.pool).or_default().add(row.unavailable_cause());
            if row.goal.is_some() {
                counters.racks.add(row.rack);
            }
        }
        counters
    }

    /// Returns the counters of a pool.
    pub fn pool(&self, pool: PoolId) -> PoolRow {
        self.pools.get(&pool).copied().unwrap_or_default()
    }

    /// Compares the counters with those of a snapshot's rows.
    ///
    /// # Errors
    ///
    /// Returns the first [`CounterMismatch`].
    pub fn check(&self, snapshot: &FleetSnapshot) -> Result<(), CounterMismatch> {
        for pool in self.pools.keys().chain(snapshot.pools.keys()) {
            let (counted, stored) = (self.pool(*pool), snapshot.pool(*pool).row);
            if counted != stored {
                return Err(CounterMismatch::Pool { pool: *pool, counted, stored });
            }
        }
        let (counted, stored) = (&self.racks, &snapshot.racks.row);
        if counted != stored {
            let (counted, stored) = (counted.planned_racks(), stored.planned_racks());
            return Err(CounterMismatch::Racks { counted, stored });
        }
        Ok(())
    }
}

impl fmt::Display for CounterMismatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pool { pool, counted, stored } => write!(
                formatter,
                "pool {pool} counts {} members ({}), but its instances' rows add up to {} ({})",
                stored.members, stored.unavailable, counted.members, counted.unavailable
            ),
            Self::Racks { counted, stored } => write!(
                formatter,
                "the row of racks has {stored} with planned work, but the instances' rows have \
                 {counted}"
            ),
        }
    }
}

impl std::error::Error for CounterMismatch {}
