//! The operator's configuration of a site.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::ConfigVersion;

use crate::InstanceName;
use crate::PoolName;
use crate::QueueName;
use crate::Resources;
use crate::TeamName;
use crate::ZoneName;

/// The whole configuration, as of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteConfig {
    /// Its version; increases with each change.
    pub version: ConfigVersion,
    /// Queues that accept jobs.
    pub queues: Vec<QueueRule>,
    /// Pools of instances.
    pub pools: IndexMap<PoolName, PoolRule>,
    /// Teams.
    pub teams: Vec<TeamRule>,
    /// Limits on client requests.
    pub limits: RequestLimits,
}

/// Configuration of a queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueRule {
    /// Its name.
    pub name: QueueName,
    /// Host name of the requests that belong to it, in lower case.
    pub host: String,
    /// Path prefix of the requests that belong to it.
    pub path_prefix: String,
    /// Pool whose targets run its tasks.
    pub pool: PoolName,
    /// Priority; queues with a lower number are served first.
    pub priority: u32,
    /// Number of failed attempts of a task after which its job fails.
    pub max_attempts: u32,
    /// Multiple of its ideal run time that a job may take and still count as on time.
    pub stretch_factor: f64,
    /// Time that a job may take in addition to that multiple.
    pub target_latency: Duration,
    /// Whether requests without an API key are accepted.
    pub is_public: bool,
    /// Properties of the placement service that must approve the targets of a step; `None` if a
    /// step may run on any target.
    pub advice: Option<AdviceRule>,
}

/// Response times and validity of the replies of a queue's placement service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdviceRule {
    /// Base response time of a request.
    pub base_latency: Duration,
    /// Response time that each candidate target adds.
    pub latency_per_target: Duration,
    /// How long a reply is valid.
    pub validity: Duration,
}

/// Configuration of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolRule {
    /// Whether the targets refuse starts that exceed their capacity.
    pub enforces_capacity: bool,
    /// Whether its instances are powered off until they are moved to another pool.
    pub is_standby: bool,
    /// How long its targets remain slow after their start.
    pub cold_time: Duration,
    /// Starts per second that a target accepts while it is slow; 0 if there is no limit.
    pub cold_starts_per_s: f64,
}

/// Configuration of a team.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamRule {
    /// Its name.
    pub name: TeamName,
    /// API keys of its clients.
    pub keys: Vec<String>,
    /// Its share under full load; `None` if the configuration has an invalid one.
    pub weight: Option<TeamWeight>,
    /// Maximum resources of its running tasks; 0 in a field sets no limit.
    pub cap: Resources,
}

/// Share of a team under full load, in jobs a second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct TeamWeight(f64);

impl TeamWeight {
    /// Creates a weight; `None` if it is negative or not finite. A team of weight 0 has no share.
    pub fn new(jobs_per_s: f64) -> Option<Self> {
        (jobs_per_s.is_finite() && jobs_per_s >= 0.0).then_some(Self(jobs_per_s))
    }

    /// Returns the weight in jobs a second.
    pub fn jobs_per_s(self) -> f64 {
        self.0
    }
}

impl Default for TeamWeight {
    /// Weight of a team for which the configuration has none.
    fn default() -> Self {
        Self(1.0)
    }
}

/// Limits on client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of the headers, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub body_bytes: usize,
    /// Time within which the headers of a request must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Limits until a configuration is read, which match those of common HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// A request of the operator to maintain instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Its number.
    pub wave: u64,
    /// The instances.
    pub instances: Vec<InstanceName>,
    /// Time within which all of them must have been maintained.
    pub duration: Duration,
    /// Maximum number of instances that may be down for the wave at the same time.
    pub max_down: u32,
}

/// Progress of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaveState {
    /// Some instances have not been maintained yet.
    Running,
    /// Every instance has been maintained or removed.
    Completed,
}

/// A change to the operator's rows.
#[derive(Clone, Debug, PartialEq)]
pub enum SiteChange {
    /// A new configuration.
    Config(Box<SiteConfig>),
    /// A wave was requested or changed.
    Wave(MaintenanceWave),
    /// A wave was withdrawn.
    WaveRemoved(u64),
    /// A zone is evacuated.
    ZoneEvacuated(ZoneName),
    /// The evacuation of a zone has ended.
    ZoneRestored(ZoneName),
    /// A row could not be decoded; holds the reason.
    Unreadable(String),
}
