//! Registrations of targets.

use std::net::SocketAddr;

use magnoliapin_model::UnixMillis;

use crate::InstanceName;
use crate::PoolName;
use crate::Resources;
use crate::TargetName;
use crate::ZoneName;

/// A target as it has registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// Its name.
    pub name: TargetName,
    /// Start of its current incarnation; a restarted target has lost its runs and completions.
    pub started_at: UnixMillis,
    /// Pool that it serves.
    pub pool: PoolName,
    /// Where it is called.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes work.
    pub state: TargetState,
    /// What it can run at once.
    pub capacity: Resources,
    /// Its kind and its rack, as labels.
    pub labels: Vec<String>,
    /// Instance that hosts it.
    pub instance: Option<InstanceName>,
}

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It takes work.
    Ready,
    /// It is leaving; holds the least time that it has left, in milliseconds, if it said so.
    Draining(Option<u64>),
}

/// Something new about a registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// A target registered or changed its record.
    Registered(TargetRecord),
    /// A registration is gone.
    Removed(TargetName),
    /// An entry is not a usable registration; says why.
    Unusable(TargetName, String),
}
