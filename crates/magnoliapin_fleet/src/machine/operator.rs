//! What operators ask of the fleet, and the answers.

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
    /// What an operator asks for.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum OperatorRequest {
        /// Tells the pools with their budgets.
        ShowPools,
        /// Tells the instances with their pools and states.
        ShowInstances,
        /// Drains an instance until the drain is taken back.
        Drain {
            /// The instance.
            instance: InstanceId,
            /// Whether work that outlives the drain's bound is cut.
            force: bool,
        },
        /// Takes a drain back.
        Undrain {
            /// The instance.
            instance: InstanceId,
        },
        /// Moves an instance to another pool.
        Move {
            /// The instance.
            instance: InstanceId,
            /// The other pool.
            pool: PoolId,
            /// Whether the move goes on after the drain's bound although work still runs.
            force: bool,
            /// Whether only to tell what would happen.
            dry_run: bool,
        },
        /// Tells what planned work comes next and whether the period can be met.
        ShowMaintenance,
        /// Pauses planned work or lets it go on.
        PauseMaintenance {
            /// Whether to pause.
            paused: bool,
        },
        /// Starts the roll-out of the document's image, also if it was rolled back before.
        StartRollout {
            /// The pool.
            pool: PoolId,
        },
        /// Tells the roll-outs of all pools.
        ShowRollouts,
        /// Pauses a roll-out.
        PauseRollout {
            /// The pool.
            pool: PoolId,
        },
        /// Lets a paused or halted roll-out go on.
        ResumeRollout {
            /// The pool.
            pool: PoolId,
        },
        /// Takes a pool back to the image before the roll-out.
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
        /// What the step would do.
        Forecast {
            /// The step.
            step: FleetStep,
            /// The pools that it touches.
            pools: Vec<PoolForecast>,
        },
        /// The maintenance.
        Maintenance(MaintenanceView),
        /// The roll-outs.
        Rollouts(IndexMap<PoolId, RolloutRow>),
        /// The step was not taken.
        Refused(StepRefusal),
    }

    /// A pool before and after a step that is not taken.
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

    /// Planned work and whether the period can be met.
    pub struct MaintenanceView {
        /// Whether planned work is paused.
        pub paused: bool,
        /// Time to maintain every instance once, in seconds.
        pub total_seconds: u64,
        /// The period, in seconds.
        pub period_seconds: u64,
        /// Why the period cannot be met; none if it can.
        pub infeasible: Option<Infeasible>,
        /// Planned steps that would start now.
        pub steps: Vec<FleetStep>,
        /// The next deadlines, earliest first.
        pub deadlines: Vec<MaintenanceDeadline>,
    }

    /// When an instance has to have been maintained.
    #[derive(Copy, Eq)]
    pub struct MaintenanceDeadline {
        /// The instance.
        pub instance: InstanceId,
        /// The deadline.
        pub deadline: UnixSeconds,
    }
}
