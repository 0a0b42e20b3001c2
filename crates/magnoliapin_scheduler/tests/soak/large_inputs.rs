//! Jobs whose inputs are stored apart from them.

use rand::Rng;

use crate::world::World;

/// Sizes of the inputs: just above what the row of a job may hold, up to several rows.
const INPUT_BYTES: std::ops::Range<usize> = 9_000..200_000;

impl World {
    /// Gives every job of the clients a large input of its own.
    pub(crate) fn with_large_inputs(mut self) -> Self {
        self.has_large_inputs = true;
        self
    }

    /// Returns the input of the next job.
    pub(crate) fn draw_input(&mut self) -> String {
        if !self.has_large_inputs {
            return "payload".to_owned();
        }
        let number: u64 = self.random.random();
        let size = self.random.random_range(INPUT_BYTES);
        format!("{number:016x}{}", "x".repeat(size))
    }
}
