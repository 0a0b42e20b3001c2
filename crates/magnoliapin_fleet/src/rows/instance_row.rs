//! One instance: the pool that it belongs to and where it stands in its life.

use std::fmt;

use magnoliapin_model::plain_data;
use magnoliapin_model::PoolId;
use magnoliapin_model::RackId;
use magnoliapin_model::TargetRun;
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
        /// Where it stands in its life.
        pub state: InstanceState,
        /// Image that it ran when the row was written.
        pub image: String,
        /// Run of its executor when the row was written.
        pub run: TargetRun,
        /// When it was last maintained.
        pub maintained_at: UnixSeconds,
        /// When it took its present state.
        pub changed_at: UnixSeconds,
        /// Whether an operator wants it drained.
        #[serde(default)]
        pub drain: bool,
        /// Whether the step goes on after the drain's bound although work still runs.
        #[serde(default)]
        pub force: bool,
        /// What the planned step under way is for.
        #[serde(default)]
        pub goal: Option<StepGoal>,
    }

    /// Where an instance stands in its life.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum InstanceState {
        /// It takes work.
        Serving,
        /// It takes no new work and finishes what runs.
        Draining,
        /// It was idle and is being restarted.
        Rebooting,
        /// It was idle and is about to change its pool.
        Moving,
        /// It was restarted or has changed its pool, and does not take work yet.
        Joining,
        /// It does not answer or the platform takes it away.
        Failed,
        /// It fails what others run.
        Quarantined,
    }

    /// What a planned step is for.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum StepGoal {
        /// Restart with an image.
        Reboot {
            /// The image.
            image: String,
        },
        /// Change to another pool.
        Move {
            /// The other pool.
            pool: PoolId,
        },
    }

    /// Why an instance is unavailable.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum UnavailableCause {
        /// It failed.
        Failed,
        /// It drains.
        Draining,
        /// It restarts.
        Rebooting,
        /// It changes its pool.
        Moving,
        /// It is set apart.
        Quarantined,
    }
}

impl InstanceRow {
    /// Returns why the instance is unavailable, or none if it serves.
    pub fn cause(&self) -> Option<UnavailableCause> {
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

    /// Returns whether the planned step under way is a move.
    pub fn is_moving(&self) -> bool {
        matches!(self.goal, Some(StepGoal::Move { .. }))
    }

    /// Returns whether the instance should take no work.
    pub fn wants_drained(&self) -> bool {
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
