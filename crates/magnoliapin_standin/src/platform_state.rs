//! Everything that the platform's service holds.

use bytes::Bytes;
use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_wire::CallFailure;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;

use crate::InstanceList;
use crate::PlatformFaults;
use crate::TableState;

/// The table, the instance list, the object store and the faults of the platform.
#[derive(Clone, Debug)]
pub struct PlatformState {
    /// The transactional table.
    pub table: TableState,
    /// The lagging instance list.
    pub instances: InstanceList,
    /// The objects by name.
    pub objects: IndexMap<String, Bytes>,
    /// How the service behaves.
    pub faults: PlatformFaults,
}

impl PlatformState {
    /// Makes an empty platform; `seed` decides on its faults.
    pub fn new(seed: u64) -> Self {
        Self {
            table: TableState::new(),
            instances: InstanceList::new(),
            objects: IndexMap::new(),
            faults: PlatformFaults::new(seed),
        }
    }

    /// Carries out one call, whatever the mode of the service.
    ///
    /// An order that is refused gets [`CallFailure::NotSent`], since nothing was done.
    pub fn carry_out(&mut self, now: Moment, request: &PlatformRequest) -> PlatformReply {
        match request {
            PlatformRequest::Transact(transaction) => {
                PlatformReply::Transaction(self.table.transact(transaction))
            }
            PlatformRequest::Read(read) => PlatformReply::Rows(self.table.read(read)),
            PlatformRequest::Resolve(token) => PlatformReply::Resolved(self.table.resolve(*token)),
            PlatformRequest::Instances => PlatformReply::Instances(self.instances.view(now)),
            PlatformRequest::Order(instance, order) => {
                match self.instances.order(*instance, order.clone()) {
                    Ok(()) => PlatformReply::Ordered,
                    Err(_) => PlatformReply::Failed(CallFailure::NotSent),
                }
            }
        }
    }
}
