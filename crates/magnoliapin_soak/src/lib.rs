//! Long randomised runs of the policy in virtual time.
//!
//! A [`SoakWorld`] holds several entries, the pure states of the platform and target stand-ins,
//! and one queue of events. Faults, load and operators are drawn from the seed of its
//! [`SoakPlan`]. The world checks what must always hold while it runs, and the rest once it has
//! settled; [`SoakReport`] counts both.

mod caller_book;
#[cfg(test)]
mod config_spread_tests;
mod config_watch;
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
