//! Tests of the fleet: single rules, the state machines step by step, and randomised simulations.

#![allow(clippy::unwrap_used, reason = "test helpers")]

mod machine;
mod planner;
mod runs;
mod soak;
mod world;
