//! Decisions about load as functions of plain inputs, without calls, clocks or stored state.
//!
//! Each module states the load pattern that it answers; its tests replay that pattern.

pub(crate) mod amount;
pub(crate) mod arrival_forecast;
pub(crate) mod job_admission;
pub(crate) mod job_order;
pub(crate) mod pool_moves;
pub(crate) mod team_shares;

#[cfg(test)]
mod load_replay_tests;
