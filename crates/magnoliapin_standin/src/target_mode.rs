//! Faults of a target.

use magnoliapin_model::plain_data;

plain_data! {
    /// How a target behaves.
    #[derive(Copy, Default, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum TargetMode {
        /// Tasks run.
        #[default]
        Ok,
        /// Tasks fail at once and have no effect.
        FailAll,
        /// Connections that are open make no further progress; new ones work.
        Silent,
        /// New tasks are refused.
        Leaving,
    }
}
