//! Rows that hold the fleet's state in the platform's table, with JSON values.

mod control_row;
mod instance_row;
mod lease_row;
mod pool_row;
mod rack_row;
mod rollout_row;
mod row_key;
mod unix_seconds;
mod versioned_row;

pub use control_row::ControlRow;
pub use instance_row::InstanceRow;
pub use instance_row::InstanceState;
pub use instance_row::StepGoal;
pub use instance_row::UnavailableCause;
pub use lease_row::LeaseRow;
pub use pool_row::CauseCounts;
pub use pool_row::PoolRow;
pub use rack_row::RackRow;
pub use rollout_row::RolloutRow;
pub use rollout_row::RolloutStage;
pub use row_key::RowKey;
pub use unix_seconds::UnixSeconds;
pub use versioned_row::VersionedRow;
