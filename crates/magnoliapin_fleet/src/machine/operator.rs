//! Requests of operators and the answers to them.

use indexmap::IndexMap;
use magnoliapin_model::plain_data;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_wire::InstanceView;
use magnoliapin_wire::PoolView;

use crate::FleetStep;
use crate::Infeasible;
use crate::PoolRow;
use crate::RolloutRow;
use crate::StepRefusal;
use crate::UnixSeconds;

plain_data! {
    /// A request of an operator.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum OperatorRequest {
        /// Lists the pools with their budgets.
        ShowPools,
        /// Lists the instances with their pools and states.
        ShowInstances,
        /// Drains an instance until an [`Undrain`](Self::Undrain) request.
        Drain {
            /// The instance.
            instance: InstanceId,
            /// Whether to stop work that still runs at the drain time limit.
            force: bool,
        },
        /// Reverts a drain.
        Undrain {
            /// The instance.
            instance: InstanceId,
        },
        /// Moves an instance to another pool.
        Move {
            /// The instance.
            instance: InstanceId,
            /// The destination pool.
            pool: PoolId,
            /// Whether the move continues at the drain time limit even if work still runs.
            force: bool,
            /// Whether to only return a forecast of the move.
            dry_run: bool,
        },
        /// Shows the next planned work and whether the maintenance period can be met.
        ShowMaintenance,
        /// Pauses or resumes planned work.
        PauseMaintenance {
            /// Whether to pause (true) or resume (false).
            paused: bool,
        },
        /// Starts the roll-out of the configured image, even if it was rolled back before.
        StartRollout {
            /// The pool.
            pool: PoolId,
        },
        /// Lists the roll-outs of all pools.
        ShowRollouts,
        /// Pauses a roll-out.
        PauseRollout {
            /// The pool.
            pool: PoolId,
        },
        /// Resumes a paused or halted roll-out.
        ResumeRollout {
            /// The pool.
            pool: PoolId,
        },
        /// Rolls a pool back to the image before the roll-out.
        RollBack {
            /// The pool.
            pool: PoolId,
        },
    }

    /// Answer to an operator.
    #[serde(rename_all = "snake_case")]
    pub enum OperatorAnswer {
        /// The step was committed.
        Done,
        /// The pools.
        Pools(Vec<PoolView>),
        /// The instances.
        Instances(Vec<InstanceView>),
        /// Forecast of a step that was not carried out.
        Forecast {
            /// The step.
            step: FleetStep,
            /// The pools that it affects.
            pools: Vec<PoolForecast>,
        },
        /// The maintenance.
        Maintenance(MaintenanceView),
        /// The roll-outs.
        Rollouts(IndexMap<PoolId, RolloutRow>),
        /// The request was refused.
        Refused(StepRefusal),
    }

    /// A pool before and after a forecast step.
    #[derive(Eq)]
    pub struct PoolForecast {
        /// The pool.
        pub pool: PoolId,
        /// Its counters now.
        pub now: PoolRow,
        /// Its members once the step is done.
        pub members_after: u32,
        /// Its availability budget.
        pub max_unavailable: u32,
    }

    /// Planned work and whether the maintenance period can be met.
    pub struct MaintenanceView {
        /// Whether planned work is paused.
        pub paused: bool,
        /// Time to maintain every instance once, in seconds.
        pub total_seconds: u64,
        /// The maintenance period, in seconds.
        pub period_seconds: u64,
        /// Why the period cannot be met; `None` if it can.
        pub infeasible: Option<Infeasible>,
        /// Steps that a plan would start now.
        pub steps: Vec<FleetStep>,
        /// The next deadlines, earliest first.
        pub deadlines: Vec<MaintenanceDeadline>,
    }

    /// Deadline for the next maintenance of an instance.
    #[derive(Copy, Eq)]
    pub struct MaintenanceDeadline {
        /// The instance.
        pub instance: InstanceId,
        /// The deadline.
        pub deadline: UnixSeconds,
    }
}
