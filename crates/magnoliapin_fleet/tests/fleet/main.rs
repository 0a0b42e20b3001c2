//! Tests of the fleet: single rules, the machines step by step, and randomised runs.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod machine;
mod planner;
mod runs;
mod soak;
mod world;
