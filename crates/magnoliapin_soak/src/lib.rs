//! Long randomised simulations of the policy in virtual time.
//!
//! A [`SoakWorld`] simulates several entries with the pure states of the platform and target
//! stand-ins, driven by one event queue. Faults, load and operators' changes are drawn from the
//! seed of its [`SoakPlan`]. Invariants are checked while the simulation runs, and the final state
//! once it has settled; [`SoakReport`] counts both.

mod caller_registry;
mod config_history;
#[cfg(test)]
mod config_spread_tests;
#[cfg(test)]
mod crash_loop_tests;
mod entry_node;
mod fault;
mod fault_injection;
mod final_checks;
mod link_state;
mod load;
mod platform_node;
mod report;
#[cfg(test)]
mod retention_tests;
mod target_node;
pub mod trial;
mod world;
mod world_calls;

pub use fault::FaultKind;
pub use report::CheckKind;
pub use report::SoakReport;
pub use report::SoakViolation;
pub use world::SoakPlan;
pub use world::SoakWorld;
