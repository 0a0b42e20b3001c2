//! Requests of callers and operators, and the responses to them.
//!
//! The entry serves them over HTTP/1.1 with JSON responses; the types here are independent of
//! HTTP.

use std::net::SocketAddr;

use indexmap::IndexMap;
use magnoliapin_model::plain_data;
use magnoliapin_model::Attempt;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::DocumentError;
use magnoliapin_model::EntryId;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::InstanceId;
use magnoliapin_model::KeyHash;
use magnoliapin_model::PoolId;
use magnoliapin_model::QueueId;
use magnoliapin_model::RackId;
use magnoliapin_model::SectionName;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_model::WorkOutcome;
use magnoliapin_model::ZoneId;

use crate::EntryState;

plain_data! {
    /// A request with the key that authenticates it.
    pub struct CallerRequest {
        /// Hash of the key; `None` if the request has no key.
        pub key: Option<KeyHash>,
        /// The requested operation.
        pub body: CallerBody,
    }

    /// An operation requested by a caller or an operator.
    pub enum CallerBody {
        /// `POST /v1/queues/{queue}/requests`: runs work and waits for its output.
        Run {
            /// Queue to which the work is submitted.
            queue: QueueId,
            /// Input of the work.
            payload: Vec<u8>,
            /// Longest wait, in milliseconds; limited by the timeout of the queue.
            timeout_ms: Option<u64>,
        },
        /// `POST /v1/queues/{queue}/jobs`: stores a job that finishes exactly once.
        Submit {
            /// Queue to which the job is submitted.
            queue: QueueId,
            /// Input of the job.
            payload: Vec<u8>,
            /// A repeated submission with the same key returns the job of the first one.
            idempotency_key: Option<String>,
        },
        /// `GET /v1/jobs/{id}`
        ReadJob(WorkId),
        /// `DELETE /v1/jobs/{id}`
        CancelJob(WorkId),
        /// `POST /v1/config`: changes sections of the configuration.
        ApplyConfig(ConfigChange),
        /// `GET /v1/config`
        ShowConfig,
        /// `GET /v1/status`
        ShowStatus,
        /// `GET /v1/instances`
        ShowInstances,
        /// `GET /v1/pools`
        ShowPools,
    }

    /// A change of sections, based on a version that the operator has read.
    #[derive(Default)]
    pub struct ConfigChange {
        /// Version on which the change is based; `None` means the current one.
        pub base: Option<ConfigVersion>,
        /// New text of each section, as a TOML table; `None` removes the section.
        pub sections: IndexMap<SectionName, Option<String>>,
        /// Whether sections that the change does not name are removed.
        pub whole: bool,
    }

    /// Response to a caller or an operator.
    #[serde(rename_all = "snake_case", tag = "answer")]
    pub enum CallerAnswer {
        /// The work ran; contains its complete output.
        Output {
            /// Output of the work.
            output: Vec<u8>,
        },
        /// The job was accepted, now or by an earlier submission.
        Accepted(JobView),
        /// State of a job.
        Job(JobView),
        /// The configuration was accepted.
        Applied {
            /// Version of the configuration.
            version: ConfigVersion,
            /// Requirements of the accepted configuration that the fleet cannot meet, with numbers.
            #[serde(default, skip_serializing_if = "Vec::is_empty")]
            warnings: Vec<String>,
        },
        /// The configuration in force.
        Config(ConfigView),
        /// State of the system from the view of one entry.
        Status(StatusView),
        /// Instances.
        Instances {
            /// The instances.
            instances: Vec<InstanceView>,
        },
        /// Pools.
        Pools {
            /// The pools.
            pools: Vec<PoolView>,
        },
        /// The operation was carried out.
        Done,
        /// The request was refused or failed.
        Refused(RefusalView),
    }

    /// Why a request was refused or failed.
    pub struct RefusalView {
        /// Kind of the error.
        pub kind: ErrorKind,
        /// Whether the work ran.
        pub outcome: WorkOutcome,
        /// What happened, in one sentence.
        pub message: String,
        /// Errors of a document, if it was refused.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub errors: Vec<DocumentError>,
        /// Current text of the sections that another writer changed first; `None` if removed.
        #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
        pub current: IndexMap<SectionName, Option<String>>,
    }

    /// State of a job from the view of its team.
    pub struct JobView {
        /// The job.
        pub id: WorkId,
        /// Team that submitted it.
        pub team: TeamId,
        /// Queue to which it was submitted.
        pub queue: QueueId,
        /// Its state.
        pub state: JobState,
        /// Number of the current or last attempt.
        pub attempt: Attempt,
        /// Output as text, if the job finished.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub output: Option<String>,
        /// Reason, if the job reached a final state other than `Finished`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub reason: Option<String>,
    }

    /// State of a job.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum JobState {
        /// Accepted; it is waiting or running.
        Accepted,
        /// Ran to completion.
        Finished,
        /// Failed and is not retried.
        Failed,
        /// Cancelled before it ran to completion.
        Cancelled,
        /// Its target was lost; it may have run and is not run again.
        Unknown,
        /// No worker can ever run it.
        Unrunnable,
    }

    /// The configuration in force at one entry.
    pub struct ConfigView {
        /// Its version.
        pub version: ConfigVersion,
        /// Text of each section.
        pub sections: IndexMap<SectionName, String>,
    }

    /// State of the system from the view of one entry.
    pub struct StatusView {
        /// Version of the configuration in force at this entry.
        pub config: ConfigVersion,
        /// Whether the entry has confirmed that this version is current.
        pub fresh: bool,
        /// Whether the platform responds.
        pub platform_up: bool,
        /// Every known entry.
        pub entries: Vec<EntryView>,
        /// Every team.
        pub teams: Vec<TeamView>,
        /// Every pool.
        pub pools: Vec<PoolView>,
    }

    /// One entry.
    pub struct EntryView {
        /// The entry.
        pub entry: EntryId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Its address for callers.
        pub address: SocketAddr,
        /// Its state.
        pub state: EntryState,
        /// Version of the configuration in force at the entry.
        pub config: ConfigVersion,
        /// Time since the last contact with it, in milliseconds.
        pub silent_ms: u64,
    }

    /// One team.
    pub struct TeamView {
        /// The team.
        pub team: TeamId,
        /// Weight of its share.
        pub weight: u32,
        /// Maximum number of slots that it may occupy.
        pub limit: SlotCount,
        /// Number of running tasks over all known entries.
        pub running: u32,
        /// Number of waiting requests and jobs over all known entries.
        pub waiting: u32,
    }

    /// One pool.
    pub struct PoolView {
        /// The pool.
        pub pool: PoolId,
        /// Number of instances that belong to it.
        pub instances: u32,
        /// Number of instances that are unavailable, for any reason.
        pub unavailable: u32,
        /// Its availability budget.
        pub max_unavailable: u32,
        /// Number of slots of its available instances.
        pub slots: SlotCount,
    }

    /// One instance.
    pub struct InstanceView {
        /// The instance.
        pub instance: InstanceId,
        /// Its pool.
        pub pool: Option<PoolId>,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Its rack.
        pub rack: RackId,
        /// Its state, as text for operators.
        pub state: String,
        /// Its image.
        pub image: String,
    }
}

impl RefusalView {
    /// Creates a refusal with the outcome of its kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            outcome: kind.outcome(),
            message: message.into(),
            errors: Vec::new(),
            current: IndexMap::new(),
        }
    }
}
