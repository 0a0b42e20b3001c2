//! Switches that operators set by hand.

use magnoliapin_model::plain_data;

plain_data! {
    /// Value of the row `fleet/control`.
    #[derive(Copy, Default, Eq)]
    #[serde(default)]
    pub struct ControlRow {
        /// Whether planned work is paused.
        pub paused: bool,
    }
}
