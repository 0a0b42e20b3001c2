//! Why a request never got as far as the machine.

use magnoliapin_model::ErrorKind;
use magnoliapin_wire::RefusalView;

/// Why a request never got as far as the machine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestFault {
    /// Kind of the error.
    pub(crate) kind: ErrorKind,
    /// What happened, in one sentence.
    pub(crate) message: String,
}

impl RequestFault {
    /// Makes a fault.
    pub(crate) fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }
}

impl From<RequestFault> for RefusalView {
    fn from(fault: RequestFault) -> Self {
        Self::new(fault.kind, fault.message)
    }
}
