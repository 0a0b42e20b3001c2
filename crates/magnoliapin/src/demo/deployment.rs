//! Pools, teams and queues of the two deployments that the demo simulates.

use indexmap::IndexMap;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::KeyHash;
use magnoliapin_model::KeyId;
use magnoliapin_model::NameError;
use magnoliapin_model::PoolId;
use magnoliapin_model::PoolSection;
use magnoliapin_model::QueueId;
use magnoliapin_model::QueueSection;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TeamId;
use magnoliapin_model::TeamSection;

/// Instances of each serving pool: one in each availability zone.
pub(crate) const POOL_INSTANCES: u32 = 3;

/// Instances of each spare pool.
pub(crate) const SPARE_INSTANCES: u32 = 2;

/// Operator team, whose key is used for operator calls.
pub(crate) const OPERATOR_TEAM: &str = "operators";

const OPERATOR_LIMIT: SlotCount = SlotCount(8);
const KEY_NAME: &str = "demo";
const DEFAULT_IMAGE: &str = "base";

/// How clients use a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkKind {
    /// Requests: the client waits for the output.
    Request,
    /// Jobs: the client submits the job and polls its state.
    Job,
}

/// One queue of a deployment and the work sent to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueProfile {
    /// Name of the deployment, which is the prefix of every name.
    pub(crate) deployment: &'static str,
    /// Name of the queue and of its pool inside the deployment.
    pub(crate) name: &'static str,
    /// Whether its work is requests or jobs.
    pub(crate) kind: WorkKind,
    /// Whether its work may run more than once.
    pub(crate) idempotent: bool,
    /// Whether it accepts work without a key.
    pub(crate) open: bool,
    /// Mean run time of its work, in milliseconds.
    pub(crate) run_ms: u64,
}

/// One team of a deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TeamProfile {
    /// Name of the deployment, which is the prefix of the team's name.
    pub(crate) deployment: &'static str,
    /// Name inside the deployment.
    pub(crate) name: &'static str,
    /// Weight of its fair share, and its relative weight in the deployment's arrivals.
    pub(crate) weight: u32,
    /// Upper limit of its running work, in slots.
    pub(crate) limit: u32,
}

/// The queues of both deployments.
pub(crate) const QUEUES: &[QueueProfile] = &[
    QueueProfile::new("glowtown", "booking", WorkKind::Request, 120),
    QueueProfile::new("glowtown", "rostering", WorkKind::Job, 150),
    QueueProfile::new("glowtown", "routes", WorkKind::Request, 100).idempotent().open(),
    QueueProfile::new("glowtown", "photos", WorkKind::Job, 250).idempotent(),
    QueueProfile::new("kyushu", "hours", WorkKind::Request, 100).idempotent(),
    QueueProfile::new("kyushu", "pay", WorkKind::Job, 200),
    QueueProfile::new("kyushu", "withholding", WorkKind::Request, 150),
    QueueProfile::new("kyushu", "filings", WorkKind::Job, 250).idempotent(),
];

/// The teams of both deployments.
pub(crate) const TEAMS: &[TeamProfile] = &[
    TeamProfile { deployment: "glowtown", name: "auckland", weight: 3, limit: 24 },
    TeamProfile { deployment: "glowtown", name: "wellington", weight: 2, limit: 16 },
    TeamProfile { deployment: "glowtown", name: "concierge", weight: 1, limit: 8 },
    TeamProfile { deployment: "kyushu", name: "families", weight: 3, limit: 24 },
    TeamProfile { deployment: "kyushu", name: "caseworkers", weight: 2, limit: 16 },
    TeamProfile { deployment: "kyushu", name: "remittance", weight: 1, limit: 8 },
];

/// Team of each deployment that is charged for work of its open queue.
const OPEN_TEAM: &str = "concierge";

impl QueueProfile {
    const fn new(
        deployment: &'static str,
        name: &'static str,
        kind: WorkKind,
        run_ms: u64,
    ) -> Self {
        Self { deployment, name, kind, idempotent: false, open: false, run_ms }
    }

    const fn idempotent(mut self) -> Self {
        self.idempotent = true;
        self
    }

    const fn open(mut self) -> Self {
        self.open = true;
        self
    }

    /// Returns the name of the queue and of its pool.
    pub(crate) fn full_name(&self) -> String {
        format!("{}-{}", self.deployment, self.name)
    }

    fn section(&self) -> Result<QueueSection, NameError> {
        let open_team = format!("{}-{OPEN_TEAM}", self.deployment);
        let teams = TEAMS.iter().filter(|team| team.deployment == self.deployment);
        let teams: Result<Vec<_>, _> = teams.map(TeamProfile::id).collect();
        Ok(QueueSection {
            pool: PoolId::new(&self.full_name())?,
            open: self.open,
            open_team: if self.open { Some(TeamId::new(&open_team)?) } else { None },
            teams: if self.open { Vec::new() } else { teams? },
            idempotent: self.idempotent,
            ..QueueSection::default()
        })
    }
}

impl TeamProfile {
    /// Returns the name of the team.
    pub(crate) fn id(&self) -> Result<TeamId, NameError> {
        TeamId::new(&format!("{}-{}", self.deployment, self.name))
    }
}

/// Returns the configuration document of both deployments.
///
/// # Errors
///
/// Returns an error if a name in this file is not valid.
pub(crate) fn demo_document(
    secret_of: impl Fn(TeamId) -> String,
) -> Result<ConfigDocument, NameError> {
    let mut document = ConfigDocument::default();
    let operator = TeamId::new(OPERATOR_TEAM)?;
    let section = team_section(&secret_of(operator), 1, OPERATOR_LIMIT)?;
    document.teams.insert(operator, TeamSection { operator: true, ..section });
    for team in TEAMS {
        let id = team.id()?;
        let section = team_section(&secret_of(id), team.weight, SlotCount(team.limit))?;
        document.teams.insert(id, section);
    }
    for queue in QUEUES {
        let name = queue.full_name();
        document.pools.insert(PoolId::new(&name)?, pool_section(POOL_INSTANCES, false));
        document.queues.insert(QueueId::new(&name)?, queue.section()?);
    }
    for spare in spare_pools() {
        document.pools.insert(PoolId::new(&spare)?, pool_section(SPARE_INSTANCES, true));
    }
    Ok(document)
}

/// Returns the names of the spare pools.
pub(crate) fn spare_pools() -> Vec<String> {
    let mut names: Vec<String> =
        QUEUES.iter().map(|queue| format!("{}-spare", queue.deployment)).collect();
    names.dedup();
    names
}

fn team_section(secret: &str, weight: u32, limit: SlotCount) -> Result<TeamSection, NameError> {
    let keys = IndexMap::from([(KeyId::new(KEY_NAME)?, KeyHash::new(secret))]);
    Ok(TeamSection { weight, limit, keys, ..TeamSection::default() })
}

fn pool_section(instances: u32, spare: bool) -> PoolSection {
    PoolSection {
        instances,
        max_unavailable: 1,
        spare,
        image: DEFAULT_IMAGE.to_owned(),
        ..PoolSection::default()
    }
}
