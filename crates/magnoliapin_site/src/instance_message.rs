//! Messages to and from the instance service, which moves and maintains instances.

use crate::CallFailure;
use crate::InstanceName;
use crate::NodeName;
use crate::PoolName;
use crate::Resources;
use crate::TargetName;
use crate::ZoneName;

/// An instance as the instance service lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceRecord {
    /// The instance.
    pub name: InstanceName,
    /// Pool that it belongs to or is moving to.
    pub pool: PoolName,
    /// Its state.
    pub state: InstanceState,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its kind and its rack, as labels.
    pub labels: Vec<String>,
    /// Resources that its target offers.
    pub capacity: Resources,
    /// Its target; `None` while the instance is down or on standby.
    pub target: Option<TargetName>,
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceState {
    /// In service, or on standby.
    Up,
    /// Moving to another pool.
    Moving,
    /// Under maintenance.
    Maintained,
    /// Out of service.
    Down,
}

/// The leader that sends an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderSender {
    /// The node.
    pub node: NodeName,
    /// Its generation as leader; the service rejects a generation lower than one that it has seen.
    pub fence: u64,
}

/// A request to the instance service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceRequest {
    /// Lists instances.
    List {
        /// Token of the page to read; `None` for the first page.
        page: Option<String>,
    },
    /// Moves an instance to another pool, which stops every run on it.
    Move {
        /// The instance.
        instance: InstanceName,
        /// The destination pool.
        pool: PoolName,
        /// Sender of the order.
        sender: OrderSender,
    },
    /// Starts maintenance of an instance, which stops every run on it.
    Maintain {
        /// The instance.
        instance: InstanceName,
        /// Maintenance wave that the order belongs to.
        wave: u64,
        /// Sender of the order.
        sender: OrderSender,
    },
}

/// A reply of the instance service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceReply {
    /// A page of the list.
    Page(InstancePage),
    /// The order was accepted, by this request or an earlier one.
    Ordered,
    /// The order was refused and nothing was done.
    Refused(OrderRefusal),
    /// The call failed.
    Failed(CallFailure),
}

/// A page of the list of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InstancePage {
    /// The instances.
    pub instances: Vec<InstanceRecord>,
    /// Token of the next page; `None` on the last page.
    pub next: Option<String>,
    /// Decoding errors of the entries that could not be decoded.
    pub unreadable: Vec<String>,
}

/// Why the service refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// A leader with a higher generation has sent an order.
    Fenced,
    /// The instance is not in service or is leaving.
    Busy,
    /// The instance does not belong to the wave.
    OtherWave,
    /// There is no such instance, or it cannot join the pool.
    Invalid,
}
