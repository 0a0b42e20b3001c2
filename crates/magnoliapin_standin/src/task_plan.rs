//! The small language in which a payload says what its task does.

use std::time::Duration;

use magnoliapin_model::plain_data;

/// Longest output that a payload can ask for, in bytes.
pub const MAX_OUTPUT_BYTES: u64 = 16 * 1024 * 1024;

const DEFAULT_RUN_MS: u64 = 20;
const OUTPUT_FILLER: u8 = b'.';

plain_data! {
    /// What a task does, read from its payload.
    ///
    /// The payload is a JSON object with any of these fields. A payload of any other form runs
    /// for the default time and gives itself back.
    #[serde(default)]
    pub struct TaskPlan {
        /// How long the task runs, in milliseconds.
        pub run_ms: u64,
        /// Whether it fails at its end, without an effect.
        pub fail: bool,
        /// Whether no worker of this kind can run it.
        pub unfit: bool,
        /// Length of its output; if absent, the output is the payload.
        pub output_bytes: Option<u64>,
        /// Tells the work from all other in the ledgers, whatever identifier it is given.
        pub marker: Option<u64>,
        /// Run time that the caller declares, in milliseconds; targets take no notice of it.
        pub declared_ms: Option<u64>,
    }
}

impl Default for TaskPlan {
    fn default() -> Self {
        Self {
            run_ms: DEFAULT_RUN_MS,
            fail: false,
            unfit: false,
            output_bytes: None,
            marker: None,
            declared_ms: None,
        }
    }
}

impl TaskPlan {
    /// Reads the plan from a payload.
    pub fn from_payload(payload: &[u8]) -> Self {
        // A struct can also be read from a JSON array, which is no plan.
        let is_object = payload.trim_ascii_start().starts_with(b"{");
        if !is_object {
            return Self::default();
        }
        serde_json::from_slice(payload).unwrap_or_default()
    }

    /// Returns how long the task runs.
    pub fn run_time(&self) -> Duration {
        Duration::from_millis(self.run_ms)
    }

    /// Returns the output of the task.
    pub fn output(&self, payload: Vec<u8>) -> Vec<u8> {
        let Some(bytes) = self.output_bytes else {
            return payload;
        };
        let bytes = usize::try_from(bytes.min(MAX_OUTPUT_BYTES)).unwrap_or_default();
        vec![OUTPUT_FILLER; bytes]
    }
}
