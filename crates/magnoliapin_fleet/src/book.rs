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
pub struct InstanceBook {
    pools: IndexMap<PoolId, PoolRow>,
    racks: RackRow,
}

/// Counters that do not agree with the instances' rows.
#[derive(Clone, Debug, PartialEq)]
pub enum BookMismatch {
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

impl InstanceBook {
    /// Counts the rows of instances.
    pub fn new<'a>(rows: impl Iterator<Item = &'a InstanceRow>) -> Self {
        let mut counters = Self::default();
        for row in rows {
            counters.pools.entry(row.pool).or_default().add(row.cause());
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
    /// Returns the first [`BookMismatch`].
    pub fn check(&self, snapshot: &FleetSnapshot) -> Result<(), BookMismatch> {
        for pool in self.pools.keys().chain(snapshot.pools.keys()) {
            let (counted, stored) = (self.pool(*pool), snapshot.pool(*pool).row);
            if counted != stored {
                return Err(BookMismatch::Pool { pool: *pool, counted, stored });
            }
        }
        let (counted, stored) = (&self.racks, &snapshot.racks.row);
        if counted != stored {
            let (counted, stored) = (counted.open_racks(), stored.open_racks());
            return Err(BookMismatch::Racks { counted, stored });
        }
        Ok(())
    }
}

impl fmt::Display for BookMismatch {
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

impl std::error::Error for BookMismatch {}
