//! Stand-ins for the platform and for targets.
//!
//! [`PlatformStandin`] and [`TargetStandin`] serve the protocols of `magnoliapin_wire` on sockets;
//! their handles switch fault modes, kill or stop the server, and give access to its state.
//!
//! [`PlatformState`] and [`TargetState`] hold the state behind them. They do no I/O and take the
//! time as an argument, so that tests can run them in virtual time.
//!
//! [`EffectLedger`] counts the external effects of tasks, so that checks do not depend on the state
//! of the entries. [`TaskPlan`] is the task behaviour that a payload specifies.

mod completed_tasks;
mod connection_registry;
mod effect_ledger;
mod http_client;
mod http_response;
mod http_server;
mod instance_list;
mod platform_call;
mod platform_mode;
mod platform_standin;
mod platform_state;
mod standin_clock;
mod standin_error;
mod table_state;
mod target_call;
mod target_mode;
mod target_options;
mod target_service;
mod target_standin;
mod target_state;
mod task_plan;

pub use completed_tasks::MAX_RETAINED_BYTES;
pub use completed_tasks::OUTPUT_RETENTION;
pub use effect_ledger::EffectLedger;
pub use effect_ledger::TeamChange;
pub use effect_ledger::WorkCounts;
pub use effect_ledger::MAX_TEAM_CHANGES;
pub use http_client::HttpClient;
pub use http_client::DEFAULT_TIMEOUT;
pub use http_response::HttpResponse;
pub use http_server::MAX_BODY_BYTES;
pub use instance_list::InstanceList;
pub use instance_list::OrderRefusal;
pub use instance_list::DEFAULT_LAG;
pub use instance_list::GONE_RETENTION;
pub use instance_list::REGISTRATION_TIMEOUT;
pub use platform_call::PlatformCounts;
pub use platform_mode::CallOutcome;
pub use platform_mode::PlatformFaults;
pub use platform_mode::PlatformMode;
pub use platform_mode::LOST_FRACTION;
pub use platform_standin::PlatformHandle;
pub use platform_standin::PlatformOptions;
pub use platform_standin::PlatformStandin;
pub use platform_state::PlatformState;
pub use standin_clock::StandinClock;
pub use standin_error::StandinError;
pub use table_state::TableCounts;
pub use table_state::TableState;
pub use table_state::MAX_TOKENS;
pub use target_mode::TargetMode;
pub use target_options::TargetOptions;
pub use target_options::DEFAULT_CONNECTIONS;
pub use target_standin::TargetHandle;
pub use target_standin::TargetStandin;
pub use target_state::StartOutcome;
pub use target_state::TargetState;
pub use target_state::COMPLETED_LISTING_PERIOD;
pub use target_state::DEFAULT_SLOTS;
pub use target_state::MAX_LISTED_BYTES;
pub use target_state::MAX_LISTED_TASKS;
pub use task_plan::TaskPlan;
pub use task_plan::MAX_OUTPUT_BYTES;
