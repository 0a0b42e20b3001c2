//! Stand-ins for the platform and for targets.
//!
//! [`TableState`], [`InstanceList`], [`PlatformFaults`] and [`TargetState`] do no I/O and take the
//! time as an argument, so that tests can run them in virtual time.
//!
//! [`EffectLedger`] counts what tasks did to the outside world; checks count there and not in the
//! books of the entries. [`TaskPlan`] is the small language in which a payload says what its task
//! does.

mod effect_ledger;
mod ended_tasks;
mod instance_list;
mod platform_mode;
mod table_state;
mod target_mode;
mod target_state;
mod task_plan;

pub use effect_ledger::EffectLedger;
pub use effect_ledger::TeamChange;
pub use effect_ledger::WorkCounts;
pub use effect_ledger::MAX_TEAM_CHANGES;
pub use ended_tasks::MAX_RETAINED_BYTES;
pub use ended_tasks::OUTPUT_RETENTION;
pub use instance_list::InstanceList;
pub use instance_list::DEFAULT_LAG;
pub use instance_list::GONE_RETENTION;
pub use instance_list::REGISTRATION_TIMEOUT;
pub use platform_mode::CallFate;
pub use platform_mode::PlatformFaults;
pub use platform_mode::PlatformMode;
pub use platform_mode::LOST_FRACTION;
pub use table_state::TableCounts;
pub use table_state::TableState;
pub use table_state::MAX_TOKENS;
pub use target_mode::TargetMode;
pub use target_state::StartOutcome;
pub use target_state::TargetState;
pub use target_state::DEFAULT_SLOTS;
pub use target_state::ENDED_LISTING;
pub use target_state::MAX_LISTED_BYTES;
pub use target_state::MAX_LISTED_TASKS;
pub use task_plan::TaskPlan;
pub use task_plan::MAX_OUTPUT_BYTES;
