//! Row of a job.

use std::net::SocketAddr;

use magnoliapin_model::plain_data;
use magnoliapin_model::Attempt;
use magnoliapin_model::EntryId;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::QueueId;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::TeamId;
use magnoliapin_model::UnixMillis;
use serde_with::base64::Base64;
use serde_with::As;

use crate::rows::RowValue;
use crate::JobState;

plain_data! {
    /// One job, from its acceptance to its final state.
    pub struct JobRow {
        /// Team that submitted it.
        pub team: TeamId,
        /// Queue to which it was submitted.
        pub queue: QueueId,
        /// Pool whose targets run it.
        pub pool: PoolId,
        /// Its state.
        pub state: JobState,
        /// Number of the current or last attempt; 0 before the first.
        #[serde(default)]
        pub attempt: Attempt,
        /// Entry that is responsible for it.
        pub holder: EntryId,
        /// Target to which the current attempt is bound.
        #[serde(default)]
        pub target: Option<BoundTarget>,
        /// Whether it may run again after an attempt that failed or has an unknown outcome.
        pub idempotent: bool,
        /// Maximum run time of one attempt, in milliseconds.
        pub max_run_ms: u64,
        /// Maximum number of failed attempts; only an idempotent job is retried.
        pub max_attempts: u32,
        /// Number of attempts that failed.
        #[serde(default)]
        pub failures: u32,
        /// Targets that crashed under its attempts.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub crashed: Vec<BoundTarget>,
        /// Whether its team requested its cancellation.
        #[serde(default)]
        pub cancel_requested: bool,
        /// Input of the work.
        #[serde(with = "As::<Base64>")]
        pub payload: Vec<u8>,
        /// Output, if it finished.
        #[serde(default, with = "As::<Option<Base64>>")]
        pub output: Option<Vec<u8>>,
        /// Reason, if it reached a final state other than `Finished`.
        #[serde(default)]
        pub reason: Option<String>,
        /// Time of its acceptance.
        #[serde(default)]
        pub accepted_at: UnixMillis,
        /// Time at which it reached its final state; 0 before that.
        #[serde(default)]
        pub ended_at: UnixMillis,
    }

    /// Target to which an attempt is bound.
    #[derive(Copy, Eq, Hash)]
    pub struct BoundTarget {
        /// Instance that hosts the target.
        pub instance: InstanceId,
        /// Incarnation of the target; other incarnations do not have the task.
        pub run: TargetIncarnation,
        /// Address of the target.
        pub address: SocketAddr,
    }
}

impl RowValue for JobRow {
    const KIND: &'static str = "job";
}
