//! Reasons for refusing a step, with the numbers behind them.

use std::fmt;

use magnoliapin_model::plain_data;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::RackId;

use crate::CauseCounts;
use crate::InstanceState;
use crate::RolloutStage;

plain_data! {
    /// The budget or rule that forbids a step.
    #[serde(rename_all = "snake_case")]
    pub enum StepRefusal {
        /// The pool would have more unavailable instances than its budget allows.
        Budget {
            /// The pool.
            pool: PoolId,
            /// Unavailable instances now.
            unavailable: CauseCounts,
            /// Its availability budget.
            max_unavailable: u32,
        },
        /// The pool would have too few serving instances after a move.
        Floor {
            /// The pool.
            pool: PoolId,
            /// Serving instances now.
            available: u32,
            /// Minimum number of serving instances: its declared size minus its budget.
            floor: u32,
        },
        /// The maximum number of racks has planned work already.
        Racks {
            /// Rack of the instance.
            rack: RackId,
            /// Racks with planned work.
            open: u32,
            /// Maximum number of racks with planned work.
            max_racks: u32,
        },
        /// The state of the instance does not allow the step.
        State {
            /// The instance.
            instance: InstanceId,
            /// Its state.
            state: InstanceState,
            /// The step.
            step: String,
        },
        /// The instance is unknown or has no row.
        NoInstance(InstanceId),
        /// The document has no such pool.
        NoPool(PoolId),
        /// The platform does not list the instance, or not in the state that the step needs; or an
        /// instance to adopt already has a row.
        NotListed(InstanceId),
        /// A move must lead to another pool.
        SamePool(PoolId),
        /// Planned work is paused.
        Paused,
        /// The pool's roll-out is in a stage that does not allow the step.
        Stage {
            /// The pool.
            pool: PoolId,
            /// The stage, or `None` if there is no roll-out.
            stage: Option<RolloutStage>,
            /// The step.
            step: String,
        },
        /// The document names no image, or every instance of the pool runs it already.
        Image {
            /// The pool.
            pool: PoolId,
            /// Image in the document.
            document: String,
        },
        /// Other writers changed the same rows first, on every attempt.
        Conflict,
        /// The counters of the pool do not agree with the instances' rows.
        Counters(PoolId),
        /// The platform did not answer in time; the step was not committed.
        PlatformDown,
        /// The platform did not answer in time; the step may have been committed.
        PlatformUnknown,
    }
}

impl StepRefusal {
    /// Returns the kind of error reported to an operator.
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::Budget { .. } | Self::Floor { .. } | Self::Racks { .. } | Self::Paused => {
                ErrorKind::BudgetExceeded
            }
            Self::NoInstance(_) | Self::NoPool(_) => ErrorKind::NotFound,
            Self::SamePool(_) => ErrorKind::BadRequest,
            Self::State { .. }
            | Self::NotListed(_)
            | Self::Stage { .. }
            | Self::Image { .. }
            | Self::Conflict
            | Self::Counters(_) => ErrorKind::Conflict,
            Self::PlatformDown => ErrorKind::PlatformDown,
            Self::PlatformUnknown => ErrorKind::PlatformUnknown,
        }
    }
}

impl fmt::Display for StepRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Budget { pool, unavailable, max_unavailable } => write!(
                formatter,
                "pool {pool} has {} unavailable instances ({unavailable}) and allows \
                 {max_unavailable}",
                unavailable.total()
            ),
            Self::Floor { pool, available, floor } => write!(
                formatter,
                "pool {pool} has {available} serving instances and must keep {floor}"
            ),
            Self::Racks { rack, open, max_racks } => write!(
                formatter,
                "planned work is under way in {open} racks, {max_racks} are allowed, and {rack} \
                 is not among them"
            ),
            Self::State { instance, state, step } => {
                write!(formatter, "instance {instance} is {state}, so it cannot {step}")
            }
            Self::NoInstance(instance) => write!(formatter, "there is no instance {instance}"),
            Self::NoPool(pool) => write!(formatter, "the document has no pool {pool}"),
            Self::NotListed(instance) => {
                write!(formatter, "the platform does not list {instance} as the step needs it")
            }
            Self::SamePool(pool) => write!(formatter, "the instance already belongs to {pool}"),
            Self::Paused => formatter.write_str("planned work is paused"),
            Self::Stage { pool, stage: Some(stage), step } => {
                write!(formatter, "the roll-out of pool {pool} is {stage}, so it cannot {step}")
            }
            Self::Stage { pool, stage: None, step } => {
                write!(formatter, "pool {pool} has no roll-out that could {step}")
            }
            Self::Image { pool, document } => write!(
                formatter,
                "every instance of pool {pool} runs the document's image {document:?}"
            ),
            Self::Conflict => formatter.write_str("other writers changed the same rows first"),
            Self::Counters(pool) => {
                write!(formatter, "the counters of pool {pool} do not match its instances")
            }
            Self::PlatformDown => formatter.write_str("the platform does not answer"),
            Self::PlatformUnknown => formatter
                .write_str("the platform does not answer; the step may have been committed"),
        }
    }
}

impl std::error::Error for StepRefusal {}
