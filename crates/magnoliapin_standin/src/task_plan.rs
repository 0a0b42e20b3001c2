//! The task behaviour that a payload specifies.

use std::time::Duration;

use magnoliapin_model::plain_data;

/// Maximum output that a payload can request, in bytes.
pub const MAX_OUTPUT_BYTES: u64 = 16 * 1024 * 1024;

const DEFAULT_RUN_MS: u64 = 20;
const OUTPUT_FILLER: u8 = b'.';

plain_data! {
    /// Behaviour of a task, decoded from its payload.
    ///
    /// The payload is a JSON object with any of these fields. Any other payload gets the default
    /// plan: the task runs for 20 ms and returns its payload.
    #[serde(default)]
    pub struct TaskPlan {
        /// Run time of the task, in milliseconds.
        pub run_ms: u64,
        /// Whether the task fails after its run time, without an effect.
        pub fail: bool,
        /// Whether the target refuses the task as unfit.
        pub unfit: bool,
        /// Whether the start of the task crashes the target.
        pub crash: bool,
        /// Length of the output, in bytes; if absent, the output is the payload.
        pub output_bytes: Option<u64>,
        /// Identifies the work in the ledgers, independent of its identifier.
        pub marker: Option<u64>,
        /// Run time that the client declares, in milliseconds; ignored by targets.
        pub declared_ms: Option<u64>,
    }
}

impl Default for TaskPlan {
    fn default() -> Self {
        Self {
            run_ms: DEFAULT_RUN_MS,
            fail: false,
            unfit: false,
            crash: false,
            output_bytes: None,
            marker: None,
            declared_ms: None,
        }
    }
}

impl TaskPlan {
    /// Decodes a plan from a payload.
    pub fn from_payload(payload: &[u8]) -> Self {
        // Serde also decodes a struct from a JSON array, which is not a valid plan.
        let is_object = payload.trim_ascii_start().starts_with(b"{");
        if !is_object {
            return Self::default();
        }
        serde_json::from_slice(payload).unwrap_or_default()
    }

    /// Returns the run time of the task.
    pub fn run_time(&self) -> Duration {
        Duration::from_millis(self.run_ms)
    }

    /// Returns the output of the task, at most [`MAX_OUTPUT_BYTES`] unless it is the payload.
    pub fn output(&self, payload: Vec<u8>) -> Vec<u8> {
        let Some(bytes) = self.output_bytes else {
            return payload;
        };
        let bytes = usize::try_from(bytes.min(MAX_OUTPUT_BYTES)).unwrap_or_default();
        vec![OUTPUT_FILLER; bytes]
    }
}
