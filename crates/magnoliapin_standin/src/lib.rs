//! Stand-ins for the platform and for targets.
//!
//! [`PlatformStandin`] and [`TargetStandin`] serve the protocols of `magnoliapin_wire` on sockets;
//! their handles change modes, kill, stop, and give the state for counting.
//!
//! [`PlatformState`] and [`TargetState`] lie behind them. They do no I/O and take the time as an
//! argument, so that tests can run them in virtual time.
//!
//! [`EffectLedger`] counts what tasks did to the outside world; checks count there and not in the
//! books of the entries. [`TaskPlan`] is the small language in which a payload says what its task
//! does.

mod connection_board;
mod effect_ledger;
mod ended_tasks;
mod http_answer;
mod http_client;
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
mod target_core;
mod target_mode;
mod target_options;
mod target_standin;
mod target_state;
mod task_plan;

pub use effect_ledger::EffectLedger;
pub use effect_ledger::TeamChange;
pub use effect_ledger::WorkCounts;
pub use effect_ledger::MAX_TEAM_CHANGES;
pub use ended_tasks::MAX_RETAINED_BYTES;
pub use ended_tasks::OUTPUT_RETENTION;
pub use http_answer::HttpAnswer;
pub use http_client::HttpClient;
pub use http_client::DEFAULT_TIMEOUT;
pub use http_server::MAX_BODY_BYTES;
pub use instance_list::InstanceList;
pub use instance_list::OrderRefusal;
pub use instance_list::DEFAULT_LAG;
pub use instance_list::GONE_RETENTION;
pub use instance_list::REGISTRATION_TIMEOUT;
pub use platform_call::PlatformCounts;
pub use platform_mode::CallFate;
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
pub use target_state::DEFAULT_SLOTS;
pub use target_state::ENDED_LISTING;
pub use target_state::MAX_LISTED_BYTES;
pub use target_state::MAX_LISTED_TASKS;
pub use task_plan::TaskPlan;
pub use task_plan::MAX_OUTPUT_BYTES;
