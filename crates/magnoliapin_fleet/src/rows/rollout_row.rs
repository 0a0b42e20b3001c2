//! The roll-out of an image to a pool.

use std::fmt;

use magnoliapin_model::plain_data;

use crate::UnixSeconds;

plain_data! {
    /// Value of the row `rollout/<pool>`.
    pub struct RolloutRow {
        /// The new image.
        pub image: String,
        /// Image that members ran before, which a rollback restores; empty if there is none.
        pub previous_image: String,
        /// Present stage.
        pub stage: RolloutStage,
        /// Stage to resume after a pause or a halt.
        pub resume_stage: RolloutStage,
        /// When it started.
        pub started_at: UnixSeconds,
        /// When it entered its present stage.
        pub changed_at: UnixSeconds,
        /// Image that was rolled back; the planner does not roll it out again by itself.
        #[serde(default)]
        pub abandoned_image: Option<String>,
    }

    /// Stage of a roll-out.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum RolloutStage {
        /// A few instances run the new image and are monitored.
        Canary,
        /// The remaining instances follow in waves.
        Waves,
        /// An operator paused it.
        Paused,
        /// It stopped because instances with the new image failed.
        Halted,
        /// Every member runs the image, except for failed and quarantined ones.
        Done,
        /// Every member returns to the previous image.
        RollingBack,
    }
}

impl RolloutRow {
    /// Creates a roll-out that starts with the canary stage.
    pub fn new(image: String, previous_image: String, now: UnixSeconds) -> Self {
        Self {
            image,
            previous_image,
            stage: RolloutStage::Canary,
            resume_stage: RolloutStage::Canary,
            started_at: now,
            changed_at: now,
            abandoned_image: None,
        }
    }

    /// Returns whether the roll-out is changing instances.
    pub fn is_active(&self) -> bool {
        matches!(self.stage, RolloutStage::Canary | RolloutStage::Waves | RolloutStage::RollingBack)
    }

    /// Returns the same roll-out in another stage, entered at `now`.
    #[must_use]
    pub fn with_stage(&self, stage: RolloutStage, now: UnixSeconds) -> Self {
        let resume_stage = if self.is_active() { self.stage } else { self.resume_stage };
        Self { stage, resume_stage, changed_at: now, ..self.clone() }
    }
}

impl fmt::Display for RolloutStage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Canary => "canary",
            Self::Waves => "waves",
            Self::Paused => "paused",
            Self::Halted => "halted",
            Self::Done => "done",
            Self::RollingBack => "rolling_back",
        })
    }
}
