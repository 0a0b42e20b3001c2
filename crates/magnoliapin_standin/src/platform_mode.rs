//! Faults of the platform's service.

use std::time::Duration;

use magnoliapin_model::plain_data;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Fraction of answers that are lost in the mode [`PlatformMode::LoseAnswers`].
pub const LOST_FRACTION: f64 = 0.3;

const SHORTEST_DELAY_MS: u64 = 500;
const LONGEST_DELAY_MS: u64 = 3000;

plain_data! {
    /// How the platform's service behaves.
    #[derive(Copy, Default, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum PlatformMode {
        /// Calls are carried out and answered.
        #[default]
        Ok,
        /// Calls are neither carried out nor answered.
        Down,
        /// Calls are carried out and answered late.
        Slow,
        /// Calls are carried out, and a part of the answers is lost.
        LoseAnswers,
    }

    /// What happens to one call.
    #[derive(Copy, Eq)]
    pub enum CallFate {
        /// It is carried out and answered at once.
        Answered,
        /// It is not carried out, and its connection is closed.
        Dropped,
        /// It is carried out after the first wait and answered after the second.
        Delayed {
            /// Wait before the call is carried out.
            before: Duration,
            /// Wait before the answer is sent.
            after: Duration,
        },
        /// It is carried out, and its connection is closed without an answer.
        Lost,
    }
}

/// Draws the fate of each call by the mode of the service.
#[derive(Clone, Debug)]
pub struct PlatformFaults {
    mode: PlatformMode,
    generator: Pcg64Mcg,
    unanswered: u64,
    delayed: u64,
}

impl PlatformFaults {
    /// Makes a service without faults; `seed` decides on later draws.
    pub fn new(seed: u64) -> Self {
        let generator = Pcg64Mcg::seed_from_u64(seed);
        Self { mode: PlatformMode::Ok, generator, unanswered: 0, delayed: 0 }
    }

    /// Changes the mode of the service.
    pub fn set_mode(&mut self, mode: PlatformMode) {
        self.mode = mode;
    }

    /// Returns the mode of the service.
    pub fn mode(&self) -> PlatformMode {
        self.mode
    }

    /// Draws the fate of one call.
    pub fn draw(&mut self) -> CallFate {
        let fate = self.draw_fate();
        self.unanswered += u64::from(matches!(fate, CallFate::Dropped | CallFate::Lost));
        self.delayed += u64::from(matches!(fate, CallFate::Delayed { .. }));
        fate
    }

    /// Returns how many calls were dropped or had their answers lost.
    pub fn unanswered(&self) -> u64 {
        self.unanswered
    }

    /// Returns how many calls were delayed.
    pub fn delayed(&self) -> u64 {
        self.delayed
    }

    fn draw_fate(&mut self) -> CallFate {
        match self.mode {
            PlatformMode::Down => CallFate::Dropped,
            PlatformMode::Slow => self.draw_delay(),
            PlatformMode::LoseAnswers if self.generator.random_bool(LOST_FRACTION) => {
                CallFate::Lost
            }
            PlatformMode::Ok | PlatformMode::LoseAnswers => CallFate::Answered,
        }
    }

    fn draw_delay(&mut self) -> CallFate {
        let whole = self.generator.random_range(SHORTEST_DELAY_MS..=LONGEST_DELAY_MS);
        let before = self.generator.random_range(0..=whole);
        CallFate::Delayed {
            before: Duration::from_millis(before),
            after: Duration::from_millis(whole - before),
        }
    }
}
