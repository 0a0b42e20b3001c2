//! Trials that measure the policy at the size of a site, in virtual time.
//!
//! A [`TrialWorld`] is a soak simulation of nine entries and fifty targets without random faults. A
//! scenario offers load, injects one failure and computes its figures from a log.

mod demand;
mod figures;
mod log;
mod site;

pub mod budget;
pub mod cancel_wave;
pub mod cut_off;
pub mod overload;
pub mod placement;
pub mod shares;
pub mod spread;
pub mod takeover;
pub mod target_faults;

pub(crate) use log::TrialLog;

pub use demand::TeamDemand;
pub use figures::Quantiles;
pub use log::WorkClass;
pub use site::TrialPlan;
pub use site::TrialWorld;
