//! Fault injection for the platform's service.

use std::time::Duration;

use magnoliapin_model::plain_data;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Fraction of responses that are lost in the mode [`PlatformMode::LoseAnswers`].
pub const LOST_FRACTION: f64 = 0.3;

const MIN_DELAY_MS: u64 = 500;
const MAX_DELAY_MS: u64 = 3000;

plain_data! {
    /// Fault mode of the platform's service.
    #[derive(Copy, Default, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum PlatformMode {
        /// Calls are executed and answered.
        #[default]
        Ok,
        /// Calls are neither executed nor answered.
        Down,
        /// Calls are executed and answered after a random delay.
        Slow,
        /// Calls are executed, and a fraction of the responses is lost.
        LoseAnswers,
    }

    /// How the service treats one call.
    #[derive(Copy, Eq)]
    pub enum CallOutcome {
        /// Executed and answered at once.
        Answered,
        /// Not executed; its connection is closed.
        Dropped,
        /// Executed after the first delay and answered after the second.
        Delayed {
            /// Delay before the call is executed.
            before: Duration,
            /// Delay between the execution and the response.
            after: Duration,
        },
        /// Executed; its connection is closed without a response.
        Lost,
    }
}

/// Selects how each call is treated, at random within the mode of the service.
#[derive(Clone, Debug)]
pub struct PlatformFaults {
    mode: PlatformMode,
    generator: Pcg64Mcg,
    unanswered: u64,
    delayed: u64,
}

impl PlatformFaults {
    /// Creates a service in the mode [`PlatformMode::Ok`]; `seed` seeds its random faults.
    pub fn new(seed: u64) -> Self {
        let generator = Pcg64Mcg::seed_from_u64(seed);
        Self { mode: PlatformMode::Ok, generator, unanswered: 0, delayed: 0 }
    }

    /// Sets the mode of the service.
    pub fn set_mode(&mut self, mode: PlatformMode) {
        self.mode = mode;
    }

    /// Returns the mode of the service.
    pub fn mode(&self) -> PlatformMode {
        self.mode
    }

    /// Selects how one call is treated, and counts it.
    pub fn select_outcome(&mut self) -> CallOutcome {
        let outcome = self.random_outcome();
        self.unanswered += u64::from(matches!(outcome, CallOutcome::Dropped | CallOutcome::Lost));
        self.delayed += u64::from(matches!(outcome, CallOutcome::Delayed { .. }));
        outcome
    }

    /// Returns the number of calls that were dropped or whose responses were lost.
    pub fn unanswered(&self) -> u64 {
        self.unanswered
    }

    /// Returns the number of delayed calls.
    pub fn delayed(&self) -> u64 {
        self.delayed
    }

    fn random_outcome(&mut self) -> CallOutcome {
        match self.mode {
            PlatformMode::Down => CallOutcome::Dropped,
            PlatformMode::Slow => self.random_delay(),
            PlatformMode::LoseAnswers if self.generator.random_bool(LOST_FRACTION) => {
                CallOutcome::Lost
            }
            PlatformMode::Ok | PlatformMode::LoseAnswers => CallOutcome::Answered,
        }
    }

    fn random_delay(&mut self) -> CallOutcome {
        let total_ms = self.generator.random_range(MIN_DELAY_MS..=MAX_DELAY_MS);
        let before_ms = self.generator.random_range(0..=total_ms);
        CallOutcome::Delayed {
            before: Duration::from_millis(before_ms),
            after: Duration::from_millis(total_ms - before_ms),
        }
    }
}
