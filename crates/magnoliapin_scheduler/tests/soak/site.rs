//! The simulated site: its sizes, node settings and configuration.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::ConfigVersion;
use magnoliapin_site::NodeName;
use magnoliapin_site::NodeSettings;
use magnoliapin_site::PoolName;
use magnoliapin_site::PoolRule;
use magnoliapin_site::QueueName;
use magnoliapin_site::QueueRule;
use magnoliapin_site::RequestLimits;
use magnoliapin_site::Resources;
use magnoliapin_site::SiteBounds;
use magnoliapin_site::SiteConfig;
use magnoliapin_site::StoreLimits;
use magnoliapin_site::TeamName;
use magnoliapin_site::TeamRule;
use magnoliapin_site::TeamWeight;
use magnoliapin_site::ZoneName;

use crate::store::TRANSACTION_SIZE;
use crate::store::VALUE_SIZE;

/// Minimum time between orders to one instance from different nodes.
pub(crate) const ORDER_SPACING: Duration = Duration::from_secs(3);

pub(crate) const ZONES: usize = 3;
pub(crate) const NODES: usize = 5;
pub(crate) const POOLS: usize = 2;
pub(crate) const TARGETS_PER_POOL: usize = 5;
/// Standby instances, in simulations with an instance service.
pub(crate) const STANDBYS: usize = 3;
pub(crate) const MOVE_TIME: Duration = Duration::from_millis(1500);
pub(crate) const MAINTENANCE_TIME: Duration = Duration::from_secs(2);
pub(crate) const HOST: &str = "jobs.example";
pub(crate) const MAX_LEASE: Duration = Duration::from_secs(10);
pub(crate) const STOP_GRACE: Duration = Duration::from_millis(400);
/// Interval at which targets renew their registrations.
pub(crate) const REGISTRATION_INTERVAL: Duration = Duration::from_millis(1500);
/// CPU cap of team 1, in thousandths of a core.
pub(crate) const TEAM_CAP_CPU_MILLI: u32 = 24_000;

pub(crate) fn target_capacity() -> Resources {
    Resources { cpu_milli: 16_000, memory_mb: 32_768, accelerators: 0 }
}

/// CPU of a node that can call all targets itself, in thousandths of a core.
const STRONG_NODE_CPU_MILLI: u32 = 250;
/// CPU of a node that needs agents to call the targets.
const WEAK_NODE_CPU_MILLI: u32 = 12;

/// Returns the settings of a node; with `has_agents`, the leader has other nodes call the targets.
pub(crate) fn settings(
    node: usize,
    has_agents: bool,
    evacuation_time: Option<Duration>,
) -> NodeSettings {
    NodeSettings {
        name: NodeName::new(&format!("node-{node}")),
        zone: zone_name(node % ZONES),
        client_listen: "127.0.0.1:1".parse().expect("an address"),
        ready_listen: "127.0.0.1:2".parse().expect("an address"),
        peer_listen: Some(node_address(node)),
        cpu_milli: if has_agents { WEAK_NODE_CPU_MILLI } else { STRONG_NODE_CPU_MILLI },
        link_kbps: 1_000_000,
        memory_mb: 256,
        max_descriptors: 4_100,
        store: "127.0.0.1:3".parse().expect("an address"),
        instances: None,
        advice: None,
        store_limits: StoreLimits {
            writes_per_s: 800.0,
            reads_per_s: 2000.0,
            partition_writes_per_s: 250.0,
            value_size: VALUE_SIZE,
            transaction_size: TRANSACTION_SIZE,
        },
        instance_orders_per_s: 64.0,
        instance_lists_per_s: 64.0,
        bounds: SiteBounds {
            max_lease: MAX_LEASE,
            stop_grace: STOP_GRACE,
            gang_wait: Duration::from_secs(3),
            stop_time: Duration::from_secs(6),
            order_spacing: ORDER_SPACING,
            move_time: MOVE_TIME,
            maintenance_time: MAINTENANCE_TIME,
            outcome_retention: Duration::from_secs(120),
            early_start: Duration::from_millis(250),
            checkpoint_interval: Duration::from_secs(1),
            restore_time: Duration::from_millis(600),
            remote_penalty: 1.5,
            notice_time: Duration::from_millis(4500),
            heartbeat: REGISTRATION_INTERVAL,
            impact_time: Duration::from_secs(4),
            evacuation_time,
        },
    }
}

pub(crate) fn node_address(node: usize) -> SocketAddr {
    format!("10.1.0.{}:7000", node + 1).parse().expect("an address")
}

pub(crate) fn zone_name(zone: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{zone}"))
}

pub(crate) fn pool_name(pool: usize) -> PoolName {
    PoolName::new(&format!("pool-{pool}"))
}

pub(crate) fn standby_pool() -> PoolName {
    PoolName::new("standby")
}

pub(crate) fn queue_prefix(pool: usize) -> String {
    format!("/queue-{pool}/")
}

pub(crate) fn team_key(team: usize) -> String {
    format!("key-{team}")
}

/// Returns the configuration, with a standby pool if the simulation has an instance service.
pub(crate) fn config(version: u64, has_fleet: bool) -> SiteConfig {
    let queue = |pool: usize| QueueRule {
        name: QueueName::new(&format!("queue-{pool}")),
        host: HOST.to_owned(),
        path_prefix: queue_prefix(pool),
        pool: pool_name(pool),
        priority: 0,
        max_attempts: 3,
        stretch_factor: 1.6,
        target_latency: Duration::from_millis(600),
        is_public: false,
        advice: None,
    };
    let team = |team: usize| TeamRule {
        name: TeamName::new(&format!("team-{team}")),
        keys: vec![team_key(team)],
        weight: Some(TeamWeight::default()),
        cap: Resources {
            cpu_milli: if team == 1 { TEAM_CAP_CPU_MILLI } else { 0 },
            ..Resources::NONE
        },
    };
    let rule = PoolRule { enforces_capacity: true, ..PoolRule::default() };
    let standby = (standby_pool(), PoolRule { is_standby: true, ..rule });
    let pools = (0..POOLS).map(|pool| (pool_name(pool), rule));
    SiteConfig {
        version: ConfigVersion(version),
        queues: (0..POOLS).map(queue).collect(),
        pools: pools.chain(has_fleet.then_some(standby)).collect(),
        teams: (0..2).map(team).collect(),
        limits: RequestLimits::default(),
    }
}
