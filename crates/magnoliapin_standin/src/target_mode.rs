//! Fault injection for a target.

use magnoliapin_model::plain_data;

plain_data! {
    /// Fault mode of a target.
    #[derive(Copy, Default, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum TargetMode {
        /// Tasks run normally.
        #[default]
        Ok,
        /// Tasks fail at once and have no effect.
        FailAll,
        /// Connections open when the mode is set stall for good; new ones work.
        Silent,
        /// New tasks are refused.
        Leaving,
    }
}
