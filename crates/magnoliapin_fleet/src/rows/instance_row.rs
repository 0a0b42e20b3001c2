//! The row of an instance: its pool, its state and the planned step in progress.

use std::fmt;

use magnoliapin_model::plain_data;
use magnoliapin_model::PoolId;
use magnoliapin_model::RackId;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::ZoneId;

use crate::UnixSeconds;

plain_data! {
    /// Value of the row `instance/<id>`.
    pub struct InstanceRow {
        /// The one pool that the instance belongs to.
        pub pool: PoolId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Its rack.
        pub rack: RackId,
        /// Its state.
        pub state: InstanceState,
        /// Image recorded at the last adoption, planned reboot, recovery or release.
        pub image: String,
        /// Incarnation of its target, recorded with the image and when a planned step starts.
        pub run: TargetIncarnation,
        /// When it was last rebooted as planned, or adopted.
        pub maintained_at: UnixSeconds,
        /// When it entered its present state.
        pub changed_at: UnixSeconds,
        /// Whether an operator has requested a drain.
        #[serde(default)]
        pub drain: bool,
        /// Whether the step or drain proceeds at the drain time limit although work still runs.
        #[serde(default)]
        pub force: bool,
        /// Purpose of the planned step in progress.
        #[serde(default)]
        pub goal: Option<StepGoal>,
    }

    /// State of an instance.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum InstanceState {
        /// Accepts work.
        Serving,
        /// Accepts no new work and finishes running work.
        Draining,
        /// Has been drained and is being rebooted.
        Rebooting,
        /// Has been drained and is about to change its pool.
        Moving,
        /// Has rebooted or changed its pool, and does not accept work yet.
        Joining,
        /// Is unhealthy or being removed by the platform, or its reboot or join failed.
        Failed,
        /// Is excluded because it fails tasks that succeed on other instances.
        Quarantined,
    }

    /// Purpose of a planned step.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum StepGoal {
        /// Reboot with an image.
        Reboot {
            /// The image.
            image: String,
        },
        /// Move to another pool.
        Move {
            /// The other pool.
            pool: PoolId,
        },
    }

    /// Why an instance is unavailable.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum UnavailableCause {
        /// It has failed.
        Failed,
        /// It is draining.
        Draining,
        /// It is rebooting.
        Rebooting,
        /// It is changing its pool.
        Moving,
        /// It is quarantined.
        Quarantined,
    }
}

impl InstanceRow {
    /// Returns why the instance is unavailable, or `None` if it serves.
    pub fn unavailable_cause(&self) -> Option<UnavailableCause> {
        match self.state {
            InstanceState::Serving => None,
            InstanceState::Draining => Some(UnavailableCause::Draining),
            InstanceState::Joining if self.is_moving() => Some(UnavailableCause::Moving),
            InstanceState::Moving => Some(UnavailableCause::Moving),
            InstanceState::Rebooting | InstanceState::Joining => Some(UnavailableCause::Rebooting),
            InstanceState::Failed => Some(UnavailableCause::Failed),
            InstanceState::Quarantined => Some(UnavailableCause::Quarantined),
        }
    }

    /// Returns whether the planned step in progress is a move.
    pub fn is_moving(&self) -> bool {
        matches!(self.goal, Some(StepGoal::Move { .. }))
    }

    /// Returns whether the instance should accept no work.
    pub fn should_be_drained(&self) -> bool {
        matches!(self.state, InstanceState::Draining | InstanceState::Moving)
    }
}

impl fmt::Display for InstanceState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Serving => "serving",
            Self::Draining => "draining",
            Self::Rebooting => "rebooting",
            Self::Moving => "moving",
            Self::Joining => "joining",
            Self::Failed => "failed",
            Self::Quarantined => "quarantined",
        })
    }
}
