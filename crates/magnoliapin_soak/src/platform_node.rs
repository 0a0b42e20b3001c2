//! The platform of a run: the stand-in's pure states behind one call.

use magnoliapin_model::Moment;
use magnoliapin_standin::InstanceList;
use magnoliapin_standin::PlatformFaults;
use magnoliapin_standin::TableState;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;

/// The platform.
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

    /// Carries a call out.
    pub(crate) fn carry_out(&mut self, now: Moment, request: PlatformRequest) -> PlatformReply {
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
