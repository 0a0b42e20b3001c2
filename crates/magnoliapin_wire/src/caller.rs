//! Requests of callers and operators, and their answers.
//!
//! The entry serves them as HTTP/1.1 with JSON answers; the types here are what is left once
//! HTTP is taken off.

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
    /// A request with the key that came with it.
    pub struct CallerRequest {
        /// Hash of the key; none if no key came.
        pub key: Option<KeyHash>,
        /// What is asked for.
        pub body: CallerBody,
    }

    /// What a caller or an operator asks for.
    pub enum CallerBody {
        /// `POST /v1/queues/{queue}/requests`: runs work and waits for its output.
        Run {
            /// Queue that takes the work.
            queue: QueueId,
            /// Input of the work.
            payload: Vec<u8>,
            /// Longest wait, in milliseconds; the queue's own bound holds besides.
            timeout_ms: Option<u64>,
        },
        /// `POST /v1/queues/{queue}/jobs`: stores a job that finishes once and only once.
        Submit {
            /// Queue that takes the job.
            queue: QueueId,
            /// Input of the job.
            payload: Vec<u8>,
            /// Makes a second submission find the first one's job.
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

    /// A change of sections, based on a version that the operator saw.
    #[derive(Default)]
    pub struct ConfigChange {
        /// Version that the change is based on; none takes the current one.
        pub base: Option<ConfigVersion>,
        /// New text of each section, as a TOML table; none removes the section.
        pub sections: IndexMap<SectionName, Option<String>>,
        /// Whether sections that the change does not name are removed.
        pub whole: bool,
    }

    /// Answer to a caller or an operator.
    #[serde(rename_all = "snake_case", tag = "answer")]
    pub enum CallerAnswer {
        /// The work ran; holds its whole output.
        Output {
            /// Output of the work.
            output: Vec<u8>,
        },
        /// The job was accepted, or an earlier submission of it was found.
        Accepted(JobView),
        /// State of a job.
        Job(JobView),
        /// The configuration was accepted.
        Applied {
            /// Version of the configuration.
            version: ConfigVersion,
            /// What the accepted configuration asks for but the fleet cannot do, with the numbers.
            #[serde(default, skip_serializing_if = "Vec::is_empty")]
            warnings: Vec<String>,
        },
        /// The configuration in force.
        Config(ConfigView),
        /// State of the system as one entry sees it.
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
        /// The step was taken.
        Done,
        /// Refused or failed.
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
        /// Sections as they are now, if somebody else changed them first.
        #[serde(default, skip_serializing_if = "IndexMap::is_empty")]
        pub current: IndexMap<SectionName, Option<String>>,
    }

    /// State of a job as its team sees it.
    pub struct JobView {
        /// The job.
        pub id: WorkId,
        /// Team that handed it in.
        pub team: TeamId,
        /// Queue that it came through.
        pub queue: QueueId,
        /// Its state.
        pub state: JobState,
        /// Number of the current or last attempt.
        pub attempt: Attempt,
        /// Output as text, if the job finished.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub output: Option<String>,
        /// Reason, if the job ended in another way.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub reason: Option<String>,
    }

    /// State of a job.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum JobState {
        /// Accepted; it waits or runs.
        Accepted,
        /// Ran to its end.
        Finished,
        /// Ran and failed as often as its queue allows.
        Failed,
        /// Cancelled before it ran to its end.
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

    /// State of the system as one entry sees it.
    pub struct StatusView {
        /// Version of the configuration in force here.
        pub config: ConfigVersion,
        /// Whether the entry knows that it is current.
        pub fresh: bool,
        /// Whether the platform answers.
        pub platform_up: bool,
        /// Every entry known.
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
        /// Version of the configuration in force there.
        pub config: ConfigVersion,
        /// Milliseconds since it was last heard of.
        pub silent_ms: u64,
    }

    /// One team.
    pub struct TeamView {
        /// The team.
        pub team: TeamId,
        /// Weight of its share.
        pub weight: u32,
        /// Upper limit.
        pub limit: SlotCount,
        /// Tasks that run, over all entries known.
        pub running: u32,
        /// Work that waits, over all entries known.
        pub waiting: u32,
    }

    /// One pool.
    pub struct PoolView {
        /// The pool.
        pub pool: PoolId,
        /// Instances that belong to it.
        pub instances: u32,
        /// Instances that are unavailable, for any cause.
        pub unavailable: u32,
        /// Its availability budget.
        pub max_unavailable: u32,
        /// Slots of its available instances.
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
        /// Its state in words.
        pub state: String,
        /// Its image.
        pub image: String,
    }
}

impl RefusalView {
    /// Makes a refusal with the outcome that belongs to its kind.
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
