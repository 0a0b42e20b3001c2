//! The simulated platform: the stand-in's pure states behind one function.

use magnoliapin_model::Moment;
use magnoliapin_standin::InstanceList;
use magnoliapin_standin::PlatformFaults;
use magnoliapin_standin::TableState;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;

/// The simulated platform.
#[derive(Debug)]
pub(crate) struct PlatformNode {
    pub(crate) table: TableState,
    pub(crate) list: InstanceList,
    pub(crate) faults: PlatformFaults,
}

impl PlatformNode {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            table: TableState::new(),
            list: InstanceList::new(),
            faults: PlatformFaults::new(seed),
        }
    }

    /// Executes a request and returns its reply.
    pub(crate) fn execute(&mut self, now: Moment, request: PlatformRequest) -> PlatformReply {
        match request {
            PlatformRequest::Transact(transaction) => {
                PlatformReply::Transaction(self.table.transact(&transaction))
            }
            PlatformRequest::Read(read) => PlatformReply::Rows(self.table.read(&read)),
            PlatformRequest::Resolve(token) => PlatformReply::Resolved(self.table.resolve(token)),
            PlatformRequest::Instances => PlatformReply::Instances(self.list.view(now)),
            PlatformRequest::Order(..) => PlatformReply::Ordered,
        }
    }
}
