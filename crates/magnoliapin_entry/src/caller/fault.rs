//! Errors in requests that are refused before they reach the state machine.

use magnoliapin_model::ErrorKind;
use magnoliapin_wire::RefusalView;

/// Error in a request that is refused before it reaches the state machine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestFault {
    /// Kind of the error.
    pub(crate) kind: ErrorKind,
    /// Description for the caller, in one sentence.
    pub(crate) message: String,
}

impl RequestFault {
    /// Creates a fault.
    pub(crate) fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }
}

impl From<RequestFault> for RefusalView {
    fn from(fault: RequestFault) -> Self {
        Self::new(fault.kind, fault.message)
    }
}
