//! The operator's configuration of a site.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::ConfigVersion;

use crate::InstanceName;
use crate::PoolName;
use crate::QueueName;
use crate::Resources;
use crate::TeamName;

/// The whole configuration, as of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteConfig {
    /// Its version; only rises.
    pub version: ConfigVersion,
    /// Queues that take jobs.
    pub queues: Vec<QueueRule>,
    /// Pools of instances.
    pub pools: IndexMap<PoolName, PoolRule>,
    /// Teams.
    pub teams: Vec<TeamRule>,
    /// Bounds on requests.
    pub limits: RequestLimits,
}

/// A queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueRule {
    /// Its name.
    pub name: QueueName,
    /// Host that clients address it by.
    pub host: String,
    /// Start of the paths that belong to it.
    pub path_prefix: String,
    /// Pool whose targets run its tasks.
    pub pool: PoolName,
    /// Rank; queues with a lower number go first.
    pub priority: u32,
    /// How often a task may fail.
    pub max_attempts: u32,
    /// Factor on the ideal run time that a job may take and still be in time.
    pub stretch_factor: f64,
    /// Time that a job may take beyond that.
    pub target_latency: Duration,
    /// Whether jobs are taken without a key.
    pub is_open: bool,
    /// Service that must be asked where a step may run; none if any target will do.
    pub advice: Option<AdviceRule>,
}

/// How a queue's placement service behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdviceRule {
    /// Time that an answer takes.
    pub base: Duration,
    /// Time that each target asked about adds.
    pub per_target: Duration,
    /// How long an answer holds.
    pub validity: Duration,
}

/// A pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolRule {
    /// Whether the targets refuse starts that exceed their capacity.
    pub enforces_capacity: bool,
    /// Whether its instances are switched off and only wait to be moved elsewhere.
    pub is_standby: bool,
}

/// A team.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamRule {
    /// Its name.
    pub name: TeamName,
    /// Secrets that its clients present.
    pub keys: Vec<String>,
    /// Its share when all is full, against the other teams' weights.
    pub weight: u32,
    /// Most that it may have running at once; 0 in a field sets no limit.
    pub cap: Resources,
}

/// Bounds on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Longest headers, in bytes.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Time for the headers of a request.
    pub header_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Bounds until a configuration is known: those of the common HTTP servers.
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
    /// Time in which all of them must have been maintained.
    pub duration: Duration,
    /// Most instances that may be down for it at once.
    pub max_down: u32,
}

/// How far a wave is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaveState {
    /// Instances are still to be maintained.
    Running,
    /// Every instance has been maintained or is gone.
    Completed,
}

/// Something new from the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum SiteChange {
    /// A configuration came into force.
    Config(Box<SiteConfig>),
    /// A wave was requested or changed.
    Wave(MaintenanceWave),
    /// A wave was withdrawn.
    WaveRemoved(u64),
    /// A row could not be read; says why.
    Unreadable(String),
}
