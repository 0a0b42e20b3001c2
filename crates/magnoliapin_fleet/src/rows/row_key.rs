//! Keys of the fleet's rows.

use std::fmt;
use std::str::FromStr;

use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;

/// Key of a row of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RowKey {
    /// An instance.
    Instance(InstanceId),
    /// A pool's counters.
    Pool(PoolId),
    /// A pool's roll-out.
    Rollout(PoolId),
    /// Racks with planned work.
    Racks,
    /// Switches that operators set by hand.
    Control,
    /// The planner's lease.
    Lease,
}

impl RowKey {
    /// Prefix of the keys of all instances.
    pub const INSTANCES: &'static str = "instance/";
    /// Prefix of the keys of all pools.
    pub const POOLS: &'static str = "pool/";
    /// Prefix of the keys of all roll-outs.
    pub const ROLLOUTS: &'static str = "rollout/";
    const RACKS: &'static str = "fleet/racks";
    const CONTROL: &'static str = "fleet/control";
    const LEASE: &'static str = "lease/planner";
}

impl fmt::Display for RowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Instance(instance) => write!(formatter, "{}{instance}", Self::INSTANCES),
            Self::Pool(pool) => write!(formatter, "{}{pool}", Self::POOLS),
            Self::Rollout(pool) => write!(formatter, "{}{pool}", Self::ROLLOUTS),
            Self::Racks => formatter.write_str(Self::RACKS),
            Self::Control => formatter.write_str(Self::CONTROL),
            Self::Lease => formatter.write_str(Self::LEASE),
        }
    }
}

impl FromStr for RowKey {
    type Err = RowKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            Self::RACKS => return Ok(Self::Racks),
            Self::CONTROL => return Ok(Self::Control),
            Self::LEASE => return Ok(Self::Lease),
            _ => {}
        }
        if let Some(name) = text.strip_prefix(Self::INSTANCES) {
            return InstanceId::new(name).map(Self::Instance).map_err(|_| RowKeyError);
        }
        if let Some(name) = text.strip_prefix(Self::POOLS) {
            return PoolId::new(name).map(Self::Pool).map_err(|_| RowKeyError);
        }
        let name = text.strip_prefix(Self::ROLLOUTS).ok_or(RowKeyError)?;
        PoolId::new(name).map(Self::Rollout).map_err(|_| RowKeyError)
    }
}

/// Error for a text that is not the key of a row of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowKeyError;

impl fmt::Display for RowKeyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("not the key of a row of the fleet")
    }
}

impl std::error::Error for RowKeyError {}
