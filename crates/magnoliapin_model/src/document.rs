//! The configuration document: pools, teams, queues, maintenance and weights.

mod check;
mod key_hash;
mod section;

pub use check::DocumentError;
pub use key_hash::KeyHash;
pub use section::SectionName;

use indexmap::IndexMap;

use crate::ByteSize;
use crate::KeyId;
use crate::PoolId;
use crate::QueueId;
use crate::SlotCount;
use crate::TeamId;

crate::plain_data! {
    /// The whole configuration document.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct ConfigDocument {
        /// Pools of instances.
        pub pools: IndexMap<PoolId, PoolSection>,
        /// Teams that hand in work.
        pub teams: IndexMap<TeamId, TeamSection>,
        /// Queues that take work.
        pub queues: IndexMap<QueueId, QueueSection>,
        /// How instances are maintained.
        pub maintenance: MaintenanceSection,
        /// What each measure is worth to this site.
        pub weights: WeightSection,
    }

    /// One pool of instances.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct PoolSection {
        /// Team that owns this section; empty means that any operator may change it.
        pub owner: Option<TeamId>,
        /// How many instances the pool should have.
        pub instances: u32,
        /// Availability budget: how many of its instances may be unavailable at once.
        pub max_unavailable: u32,
        /// Whether the pool only lends its instances to others.
        pub spare: bool,
        /// Image that the pool's instances run.
        pub image: String,
    }

    /// One team with its keys, share and limit.
    #[serde(default, deny_unknown_fields)]
    pub struct TeamSection {
        /// Team that owns this section; empty means that any operator may change it.
        pub owner: Option<TeamId>,
        /// Weight of the team's share where everything is full.
        pub weight: u32,
        /// Upper limit on slots that the team may have running over the whole fleet.
        pub limit: SlotCount,
        /// Keys by name; withdrawn keys are removed.
        pub keys: IndexMap<KeyId, KeyHash>,
        /// Whether the team's keys may change the configuration and the fleet.
        pub operator: bool,
    }

    /// One queue of requests and jobs.
    #[serde(default, deny_unknown_fields)]
    pub struct QueueSection {
        /// Team that owns this section; empty means that any operator may change it.
        pub owner: Option<TeamId>,
        /// Pool whose targets run the queue's work.
        pub pool: PoolId,
        /// Whether work is taken without a key. It then counts for the team `open_team`.
        pub open: bool,
        /// Team that keyless work of an open queue counts for.
        pub open_team: Option<TeamId>,
        /// Teams that may hand in work; empty means all.
        pub teams: Vec<TeamId>,
        /// Whether work may run again when its outcome is not known.
        pub idempotent: bool,
        /// Largest body.
        pub max_body_bytes: ByteSize,
        /// Longest time that a request waits for its answer, in milliseconds.
        pub timeout_ms: u64,
        /// Longest run of one job attempt, in milliseconds.
        pub max_run_ms: u64,
        /// How often a job is tried when it fails.
        pub max_attempts: u32,
        /// How much work may wait in one entry.
        pub max_waiting: u32,
    }

    /// How instances are maintained.
    #[serde(default, deny_unknown_fields)]
    pub struct MaintenanceSection {
        /// Team that owns this section; empty means that any operator may change it.
        pub owner: Option<TeamId>,
        /// Each instance is maintained once in this many hours.
        pub period_hours: u32,
        /// Longest wait for running work when an instance drains, in seconds.
        pub drain_seconds: u32,
        /// How many racks may have planned work at once.
        pub max_racks: u32,
        /// Whether planned work is paused.
        pub paused: bool,
        /// How many instances a roll-out changes first.
        pub canary_instances: u32,
        /// How long a canary must stay healthy, in seconds.
        pub canary_seconds: u32,
    }

    /// What each measure is worth to this site; only the ratios matter.
    #[serde(default, deny_unknown_fields)]
    pub struct WeightSection {
        /// Team that owns this section; empty means that any operator may change it.
        pub owner: Option<TeamId>,
        /// Price of an instance-hour held as buffer.
        pub buffer: f64,
        /// Price of a distance from the share.
        pub share: f64,
        /// Price of one move.
        pub moves: f64,
        /// Price of an hour of roll-out.
        pub rollout: f64,
    }
}

impl Default for TeamSection {
    fn default() -> Self {
        Self { owner: None, weight: 1, limit: SlotCount(0), keys: IndexMap::new(), operator: false }
    }
}

impl Default for QueueSection {
    fn default() -> Self {
        Self {
            owner: None,
            pool: PoolId::default(),
            open: false,
            open_team: None,
            teams: Vec::new(),
            idempotent: false,
            max_body_bytes: ByteSize(64 * 1024),
            timeout_ms: 10_000,
            max_run_ms: 60_000,
            max_attempts: 3,
            max_waiting: 1_000,
        }
    }
}

impl Default for MaintenanceSection {
    fn default() -> Self {
        Self {
            owner: None,
            period_hours: 21 * 24,
            drain_seconds: 60,
            max_racks: 1,
            paused: false,
            canary_instances: 1,
            canary_seconds: 300,
        }
    }
}

impl Default for WeightSection {
    fn default() -> Self {
        Self { owner: None, buffer: 1.0, share: 1.0, moves: 1.0, rollout: 1.0 }
    }
}
