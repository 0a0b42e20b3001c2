//! Settings that a node reads when it starts.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::ByteSize;

use crate::NodeName;
use crate::ZoneName;

/// Settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Its name.
    pub name: NodeName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address on which it serves clients.
    pub client_listen: SocketAddr,
    /// Address on which it serves the readiness check of the platform.
    pub ready_listen: SocketAddr,
    /// Address on which it serves other nodes; `None` if the settings assign no port for it.
    pub peer_listen: Option<SocketAddr>,
    /// CPU capacity, in thousandths of a core.
    pub cpu_milli: u32,
    /// Bandwidth of its network link, in kilobits per second.
    pub link_kbps: u64,
    /// Memory of the machine that the process may use, in mebibytes.
    pub memory_mb: u32,
    /// Maximum number of open descriptors of the process.
    pub max_descriptors: u32,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the instance service, which moves and maintains instances; `None` if the site has
    /// none.
    pub instances: Option<SocketAddr>,
    /// Address of the placement service; `None` if the site has none.
    pub advice: Option<SocketAddr>,
    /// Limits of the store.
    pub store_limits: StoreLimits,
    /// Orders that the instance service accepts per second, from all nodes together.
    pub instance_orders_per_s: f64,
    /// List requests that the instance service answers per second, from all nodes together.
    pub instance_lists_per_s: f64,
    /// Time bounds of the site.
    pub bounds: SiteBounds,
}

/// Limits of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Transactions per second, from all nodes together.
    pub writes_per_s: f64,
    /// Reads per second, from all nodes together.
    pub reads_per_s: f64,
    /// Transactions per second that one partition accepts.
    pub partition_writes_per_s: f64,
    /// Size of the largest value of a row.
    pub value_size: ByteSize,
    /// Largest total size of the values in a transaction.
    pub transaction_size: ByteSize,
}

impl StoreLimits {
    /// Returns the size of the largest value of a row, in bytes.
    pub fn value_bytes(&self) -> usize {
        usize::try_from(self.value_size.0).unwrap_or(usize::MAX).max(1)
    }

    /// Returns the largest total size of the values in a transaction, in bytes.
    pub fn transaction_bytes(&self) -> usize {
        usize::try_from(self.transaction_size.0).unwrap_or(usize::MAX)
    }

    /// Returns the number of partitions that jobs must be spread over to use the full write rate
    /// of the store.
    pub fn partition_count(&self) -> u32 {
        let partitions = (self.writes_per_s / self.partition_writes_per_s.max(1.0)).ceil();
        // Limited, because a new leader makes a few calls for each partition.
        partitions.clamp(1.0, 16.0) as u32
    }
}

/// Time bounds of the site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteBounds {
    /// Longest lease that a target accepts.
    pub max_lease: Duration,
    /// Maximum time that a target takes to stop a run.
    pub stop_grace: Duration,
    /// How long the first member of a gang waits for the others.
    pub gang_wait: Duration,
    /// How long a stopping process may take before it is killed.
    pub stop_time: Duration,
    /// Minimum time between orders of different nodes to the same instance.
    pub order_spacing: Duration,
    /// Time that a move of an instance to another pool takes.
    pub move_time: Duration,
    /// Time that maintenance of an instance takes.
    pub maintenance_time: Duration,
    /// How long the outcome of a finished job must remain readable.
    pub outcome_retention: Duration,
    /// How long before its due time a task may start.
    pub early_start: Duration,
    /// Time between two checkpoints of a task.
    pub checkpoint_interval: Duration,
    /// Time that a task takes to resume from a checkpoint.
    pub restore_time: Duration,
    /// Factor on the run time of a task on a rack other than that of its data.
    pub remote_penalty: f64,
    /// How long a planned action may interrupt a task before the task counts as unavailable.
    pub notice_time: Duration,
    /// How often a target renews its registration.
    pub heartbeat: Duration,
    /// How long a task that serves users may exceed its latency target.
    pub impact_time: Duration,
    /// Time after which nothing may start in an evacuated zone; `None` on sites that evacuate none.
    pub evacuation_time: Option<Duration>,
}
