//! What a node is told when it starts.

use std::net::SocketAddr;
use std::time::Duration;

use crate::NodeName;
use crate::ZoneName;

/// Settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Its name.
    pub name: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where clients reach it.
    pub client_listen: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub ready_listen: SocketAddr,
    /// Address for other nodes and metrics; none where no port is free for them.
    pub peer_listen: Option<SocketAddr>,
    /// CPU capacity, in thousandths of a core.
    pub cpu_milli: u32,
    /// The store.
    pub store: SocketAddr,
    /// The service that moves and maintains instances.
    pub instances: Option<SocketAddr>,
    /// The placement service.
    pub advice: Option<SocketAddr>,
    /// What the store can do.
    pub store_limits: StoreLimits,
    /// Orders to instances that the service takes in a second, from all nodes together.
    pub instance_orders_per_s: f64,
    /// Lists of instances that the service gives in a second, to all nodes together.
    pub instance_lists_per_s: f64,
    /// Time bounds of the site.
    pub bounds: SiteBounds,
}

/// What the store can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Transactions in a second, from all nodes together.
    pub writes_per_s: f64,
    /// Reads in a second, from all nodes together.
    pub reads_per_s: f64,
    /// Transactions in a second that one partition takes.
    pub partition_writes_per_s: f64,
}

impl StoreLimits {
    /// Returns the number of partitions that jobs must be spread over to use the whole write rate of
    /// the store.
    pub fn partition_count(&self) -> u32 {
        let partitions = (self.writes_per_s / self.partition_writes_per_s.max(1.0)).ceil();
        // Bounded, as a new leader makes a few calls for each partition.
        partitions.clamp(1.0, 16.0) as u32
    }
}

/// Time bounds of the site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteBounds {
    /// Longest lease that a target grants.
    pub max_lease: Duration,
    /// Longest time that a target takes to stop a run.
    pub stop_grace: Duration,
    /// How long the first member of a gang waits for the others.
    pub gang_wait: Duration,
    /// How long a stopping process has before it is killed.
    pub stop_time: Duration,
    /// Least time between orders to one instance from different nodes.
    pub order_spacing: Duration,
    /// Time that a move takes.
    pub move_time: Duration,
    /// Time that maintenance takes.
    pub maintenance_time: Duration,
    /// How long the outcome of a job must be known.
    pub outcome_retention: Duration,
    /// How long before its time a task may start.
    pub early_start: Duration,
    /// Time between two saved states of a task.
    pub checkpoint_interval: Duration,
    /// Time to resume from a saved state.
    pub restore_time: Duration,
    /// Factor on the run time of a task away from its data.
    pub remote_penalty: f64,
    /// How long a task may be away before it counts as unavailable for planned work.
    pub notice_time: Duration,
    /// How often a target renews its registration.
    pub heartbeat: Duration,
    /// How long a serving task may be over its latency target.
    pub impact_time: Duration,
}
