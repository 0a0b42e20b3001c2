//! Calls of the service that moves and maintains instances.

use crate::CallFailure;
use crate::InstanceName;
use crate::NodeName;
use crate::PoolName;
use crate::Resources;
use crate::TargetName;
use crate::ZoneName;

/// An instance as the service lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceRecord {
    /// The instance.
    pub name: InstanceName,
    /// Pool that it belongs to or is moving to.
    pub pool: PoolName,
    /// What it is doing.
    pub state: InstanceState,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its kind and its rack, as labels.
    pub labels: Vec<String>,
    /// What its target can run at once.
    pub capacity: Resources,
    /// Its target; none while it is down or on standby.
    pub target: Option<TargetName>,
}

/// What an instance is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// In service, or on standby.
    Up,
    /// On its way to another pool.
    Moving,
    /// Being maintained.
    Maintained,
    /// Out of service.
    Down,
}

/// Who gives an order to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderSender {
    /// The node.
    pub node: NodeName,
    /// Its epoch as leader.
    pub fence: u64,
}

/// A call of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceRequest {
    /// Lists instances.
    List {
        /// Where the page before ended; none for the first page.
        page: Option<String>,
    },
    /// Moves an instance to another pool; ends everything that runs there.
    Move {
        /// The instance.
        instance: InstanceName,
        /// The pool.
        pool: PoolName,
        /// Who orders it.
        sender: OrderSender,
    },
    /// Maintains an instance; ends everything that runs there.
    Maintain {
        /// The instance.
        instance: InstanceName,
        /// Wave that it is maintained for.
        wave: u64,
        /// Who orders it.
        sender: OrderSender,
    },
}

/// The service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceReply {
    /// A page of the list.
    Page(InstancePage),
    /// The order was taken, now or before.
    Ordered,
    /// The order was refused and nothing was done.
    Refused(OrderRefusal),
    /// There is no answer.
    Failed(CallFailure),
}

/// A page of the list of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstancePage {
    /// The instances.
    pub instances: Vec<InstanceRecord>,
    /// Where the next page begins, if there is one.
    pub next: Option<String>,
    /// Entries that could not be read; says why.
    pub unreadable: Vec<String>,
}

/// Why the service refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// A leader with a higher epoch has given an order.
    Fenced,
    /// The instance is not in service or is leaving.
    Busy,
    /// The instance does not belong to the wave.
    OtherWave,
    /// There is no such instance, or the pool is not for it.
    Invalid,
}
