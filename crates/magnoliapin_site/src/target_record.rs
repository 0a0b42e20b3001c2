//! Registrations of targets.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::UnixMillis;

use crate::InstanceName;
use crate::PoolName;
use crate::Resources;
use crate::TargetName;
use crate::ZoneName;

/// The registration of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// Its name.
    pub name: TargetName,
    /// Start of its current incarnation; a restarted target has lost its runs and completions.
    pub started_at: UnixMillis,
    /// Pool that it serves.
    pub pool: PoolName,
    /// Address that serves requests to it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it accepts new runs.
    pub state: TargetState,
    /// Resources that it offers.
    pub capacity: Resources,
    /// Its kind and its rack, as labels.
    pub labels: Vec<String>,
    /// Instance that hosts it.
    pub instance: Option<InstanceName>,
    /// How much longer it remains slow after its start; zero at full speed.
    pub cold_left: Duration,
}

/// Whether a target accepts new runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It accepts new runs.
    Ready,
    /// It is shutting down; holds the minimum remaining time, in milliseconds, if the target
    /// registered it.
    Draining(Option<u64>),
}

/// A change of a registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// A target registered or changed its record.
    Registered(TargetRecord),
    /// A target was deregistered.
    Removed(TargetName),
    /// A row is not a valid registration; holds the reason.
    Invalid(TargetName, String),
}
