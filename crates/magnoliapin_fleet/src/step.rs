//! One step of the fleet's plan.

use std::fmt;

use magnoliapin_model::plain_data;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;

use crate::ControlRow;
use crate::RolloutRow;
use crate::StepGoal;

plain_data! {
    /// One step; it is carried out as one transaction.
    #[serde(rename_all = "snake_case")]
    pub enum FleetStep {
        /// Changes one instance.
        Instance {
            /// The instance.
            instance: InstanceId,
            /// What changes.
            change: InstanceChange,
        },
        /// Writes the roll-out of a pool.
        Rollout {
            /// The pool.
            pool: PoolId,
            /// The new row.
            row: RolloutRow,
        },
        /// Writes the operators' switches.
        Control(ControlRow),
    }

    /// A change of one instance.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum InstanceChange {
        /// A listed instance gets its row.
        Adopt {
            /// Its pool.
            pool: PoolId,
        },
        /// An instance that is gone for good loses its row.
        Retire,
        /// Planned: starts to drain.
        Drain {
            /// What the step is for.
            goal: StepGoal,
            /// Whether work that outlives the drain's bound is cut; only operators may say so.
            force: bool,
        },
        /// Planned: the step is given up and the instance serves again.
        GiveUp,
        /// Planned: it is idle and restarts.
        Reboot,
        /// Planned: it is idle and is about to change its pool.
        Move,
        /// Planned: it has restarted, or changes its pool.
        Join,
        /// Planned: it serves again.
        Serve,
        /// It failed.
        Fail,
        /// It is back from a failure.
        Recover,
        /// It is set apart.
        Quarantine,
        /// It is no longer set apart.
        Release,
        /// An operator drains it.
        OperatorDrain {
            /// Whether work that outlives the drain's bound is cut.
            force: bool,
        },
        /// An operator takes back a drain.
        Undrain,
    }
}

impl FleetStep {
    /// Makes a step of one instance.
    pub fn new(instance: InstanceId, change: InstanceChange) -> Self {
        Self::Instance { instance, change }
    }

    /// Returns the instance that the step changes, if it is one.
    pub fn instance(&self) -> Option<InstanceId> {
        match self {
            Self::Instance { instance, .. } => Some(*instance),
            Self::Rollout { .. } | Self::Control(_) => None,
        }
    }
}

impl InstanceChange {
    /// Returns whether the availability budget bounds the change; failures and departures only
    /// report what has happened.
    pub fn is_bounded(&self) -> bool {
        !matches!(self, Self::Adopt { .. } | Self::Retire | Self::Fail | Self::Recover)
    }

    /// Returns whether the change only writes down what was found out about the instance.
    pub fn is_report(&self) -> bool {
        matches!(self, Self::Fail | Self::Recover | Self::Quarantine | Self::Release)
    }

    /// Returns the name of the change.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Adopt { .. } => "adopt",
            Self::Retire => "retire",
            Self::Drain { .. } => "drain",
            Self::GiveUp => "give up",
            Self::Reboot => "reboot",
            Self::Move => "move",
            Self::Join => "join",
            Self::Serve => "serve",
            Self::Fail => "fail",
            Self::Recover => "recover",
            Self::Quarantine => "quarantine",
            Self::Release => "release",
            Self::OperatorDrain { .. } => "drain by an operator",
            Self::Undrain => "undrain",
        }
    }
}

impl fmt::Display for FleetStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Instance { instance, change } => {
                write!(formatter, "{} {instance}", change.name())?;
                match change {
                    InstanceChange::Drain { goal: StepGoal::Reboot { image }, .. } => {
                        write!(formatter, " to reboot to {image}")
                    }
                    InstanceChange::Drain { goal: StepGoal::Move { pool }, .. } => {
                        write!(formatter, " to move to {pool}")
                    }
                    _ => Ok(()),
                }
            }
            Self::Rollout { pool, row } => {
                write!(formatter, "roll-out of {} to {pool}: {}", row.image, row.stage)
            }
            Self::Control(row) if row.paused => formatter.write_str("pause planned work"),
            Self::Control(_) => formatter.write_str("resume planned work"),
        }
    }
}
