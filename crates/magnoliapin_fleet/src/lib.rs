//! Planner for pools, moves, maintenance waves and roll-outs; does no I/O.
//!
//! [`plan`] turns a [`FleetSnapshot`], the configuration document and the [`DemandHistory`] into
//! [`FleetStep`]s. [`StepWrites`] checks one step against every rule and builds the one
//! transaction that executes it; the rows that it guards make concurrent planners safe.
//! [`ExpectedCounters`] recomputes the counters of pools from the rows of instances.
//! [`check_feasible`] checks whether the maintenance fits in its period.

mod budget;
mod demand;
mod expected_counters;
mod feasibility;
mod machine;
mod plan;
mod rows;
mod snapshot;
mod step;
mod step_refusal;
mod step_writes;
mod transition;

pub use demand::DemandHistory;
pub use demand::DEMAND_SPAN_SECONDS;
pub use expected_counters::CounterMismatch;
pub use expected_counters::ExpectedCounters;
pub use feasibility::check_feasible;
pub use feasibility::Infeasible;
pub use feasibility::MaintenanceLoad;
pub use feasibility::REBOOT_SECONDS;
pub use machine::FleetAction;
pub use machine::FleetCallId;
pub use machine::FleetCounters;
pub use machine::FleetEvent;
pub use machine::FleetMachine;
pub use machine::FleetSettings;
pub use machine::MaintenanceDeadline;
pub use machine::MaintenanceView;
pub use machine::OperatorAnswer;
pub use machine::OperatorRequest;
pub use machine::PoolForecast;
pub use plan::plan;
pub use rows::CauseCounts;
pub use rows::ControlRow;
pub use rows::InstanceRow;
pub use rows::InstanceState;
pub use rows::LeaseRow;
pub use rows::PoolRow;
pub use rows::RackRow;
pub use rows::RolloutRow;
pub use rows::RolloutStage;
pub use rows::RowKey;
pub use rows::StepGoal;
pub use rows::UnavailableCause;
pub use rows::UnixSeconds;
pub use rows::VersionedRow;
pub use snapshot::FleetSnapshot;
pub use snapshot::InstanceStatus;
pub use snapshot::TargetLoad;
pub use step::FleetStep;
pub use step::InstanceChange;
pub use step_refusal::StepRefusal;
pub use step_writes::StepWrites;
