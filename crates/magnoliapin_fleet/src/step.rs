//! One step of the fleet's plan.

use std::fmt;

use magnoliapin_model::plain_data;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;

use crate::ControlRow;
use crate::RolloutRow;
use crate::StepGoal;

plain_data! {
    /// One step, committed as one transaction.
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
        /// Writes the switches that operators set.
        Control(ControlRow),
    }

    /// A change of one instance.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum InstanceChange {
        /// Creates the row of a listed instance.
        Adopt {
            /// Its pool.
            pool: PoolId,
        },
        /// Deletes the row of an instance that the platform has removed for good.
        Retire,
        /// Planned: drains the instance.
        Drain {
            /// Purpose of the step.
            goal: StepGoal,
            /// Whether the step proceeds at the drain time limit although work still runs; only
            /// operators may set it.
            force: bool,
        },
        /// Planned: aborts the step and returns the instance to service.
        GiveUp,
        /// Planned: reboots the drained instance.
        Reboot,
        /// Planned: prepares the drained instance to change its pool.
        Move,
        /// Planned: the instance has rebooted, or changes its pool.
        Join,
        /// Planned: returns the instance to service.
        Serve,
        /// The instance has failed.
        Fail,
        /// The instance has recovered from a failure.
        Recover,
        /// Quarantines the instance.
        Quarantine,
        /// Releases the instance from quarantine.
        Release,
        /// An operator drains the instance.
        OperatorDrain {
            /// Whether work that still runs at the drain time limit is to be stopped.
            force: bool,
        },
        /// An operator cancels a drain.
        Undrain,
    }
}

impl FleetStep {
    /// Creates a step that changes one instance.
    pub fn new(instance: InstanceId, change: InstanceChange) -> Self {
        Self::Instance { instance, change }
    }

    /// Returns the instance that the step changes, or `None` if it changes another row.
    pub fn instance(&self) -> Option<InstanceId> {
        match self {
            Self::Instance { instance, .. } => Some(*instance),
            Self::Rollout { .. } | Self::Control(_) => None,
        }
    }
}

impl InstanceChange {
    /// Returns whether the change must stay within the availability budget. Adoptions, removals,
    /// failures and recoveries need not, as they only record what has happened.
    pub fn must_fit_budget(&self) -> bool {
        !matches!(self, Self::Adopt { .. } | Self::Retire | Self::Fail | Self::Recover)
    }

    /// Returns whether the change only records a finding about the instance.
    pub fn is_report(&self) -> bool {
        matches!(self, Self::Fail | Self::Recover | Self::Quarantine | Self::Release)
    }

    /// Returns the name of the change, as shown to operators.
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
