//! In-memory state of the platform's service.

use bytes::Bytes;
use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_wire::CallFailure;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;

use crate::InstanceList;
use crate::PlatformFaults;
use crate::TableState;

/// The table, the instance list, the object store and the fault injection of the platform.
#[derive(Clone, Debug)]
pub struct PlatformState {
    /// Transactional table.
    pub table: TableState,
    /// Instance list, which lags behind registrations.
    pub instances: InstanceList,
    /// Objects by name.
    pub objects: IndexMap<String, Bytes>,
    /// Fault injection of the service.
    pub faults: PlatformFaults,
}

impl PlatformState {
    /// Creates an empty platform; `seed` seeds its random faults.
    pub fn new(seed: u64) -> Self {
        Self {
            table: TableState::new(),
            instances: InstanceList::new(),
            objects: IndexMap::new(),
            faults: PlatformFaults::new(seed),
        }
    }

    /// Executes one call, regardless of the fault mode.
    ///
    /// A refused order has no effect and returns [`CallFailure::NotSent`].
    pub fn execute(&mut self, now: Moment, request: &PlatformRequest) -> PlatformReply {
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
