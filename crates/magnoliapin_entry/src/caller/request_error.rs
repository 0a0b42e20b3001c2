//! Errors in requests that are refused before they reach the state machine.

use magnoliapin_model::ErrorKind;
use magnoliapin_wire::RefusalView;

/// Error in a request that is refused before it reaches the state machine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RequestError {
    /// Kind of the error.
    pub(crate) kind: ErrorKind,
    /// Description for the caller, in one sentence.
    pub(crate) message: String,
}

impl RequestError {
    /// Creates an error.
    pub(crate) fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }
}

impl From<RequestError> for RefusalView {
    fn from(error: RequestError) -> Self {
        Self::new(error.kind, error.message)
    }
}
