//! Row of a job.

use std::net::SocketAddr;

use magnoliapin_model::plain_data;
use magnoliapin_model::Attempt;
use magnoliapin_model::EntryId;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::QueueId;
use magnoliapin_model::TargetRun;
use magnoliapin_model::TeamId;
use magnoliapin_model::UnixMillis;
use serde_with::base64::Base64;
use serde_with::As;

use crate::rows::RowValue;
use crate::JobState;

plain_data! {
    /// One job, from its acceptance to its end.
    pub struct JobRow {
        /// Team that handed it in.
        pub team: TeamId,
        /// Queue that it came through.
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
        /// Target that the current attempt is bound to.
        #[serde(default)]
        pub target: Option<BoundTarget>,
        /// Whether it may run again when the outcome of an attempt is not known.
        pub idempotent: bool,
        /// Longest run of one attempt, in milliseconds.
        pub max_run_ms: u64,
        /// How often it is tried when it fails.
        pub max_attempts: u32,
        /// Attempts that failed.
        #[serde(default)]
        pub failures: u32,
        /// Whether its team asked to cancel it.
        #[serde(default)]
        pub cancel_requested: bool,
        /// Input of the work.
        #[serde(with = "As::<Base64>")]
        pub payload: Vec<u8>,
        /// Output, if it finished.
        #[serde(default, with = "As::<Option<Base64>>")]
        pub output: Option<Vec<u8>>,
        /// Why it ended in another way.
        #[serde(default)]
        pub reason: Option<String>,
        /// When it was accepted.
        #[serde(default)]
        pub accepted_at: UnixMillis,
        /// When it ended; 0 before that.
        #[serde(default)]
        pub ended_at: UnixMillis,
    }

    /// Target that an attempt is bound to.
    #[derive(Copy, Eq, Hash)]
    pub struct BoundTarget {
        /// Instance that hosts the target.
        pub instance: InstanceId,
        /// Run of the target; another run has forgotten the task.
        pub run: TargetRun,
        /// Address of the target.
        pub address: SocketAddr,
    }
}

impl RowValue for JobRow {
    const KIND: &'static str = "job";
}
