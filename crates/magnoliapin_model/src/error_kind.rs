//! The closed list of error kinds, each with its HTTP status and the outcome of the work.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether the requested work ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkOutcome {
    /// Proven: no target has started the work, and none will.
    NotRun,
    /// The work ran to completion.
    Ran,
    /// A target may have run the work completely or partially.
    Unknown,
}

impl fmt::Display for WorkOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}

macro_rules! error_kinds {
    ($($(#[$meta:meta])* $kind:ident => $name:literal, $status:literal, $outcome:ident;)+) => {
        /// Every kind of error that a client or an operator can receive.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$meta])* $kind,)+
        }

        impl ErrorKind {
            /// Every kind, in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)+];

            /// Returns the stable name used in responses.
            pub fn name(self) -> &'static str {
                match self { $(Self::$kind => $name,)+ }
            }

            /// Returns the HTTP status code of the response.
            pub fn status(self) -> u16 {
                match self { $(Self::$kind => $status,)+ }
            }

            /// Returns the outcome of work that is answered with this kind.
            pub fn outcome(self) -> WorkOutcome {
                match self { $(Self::$kind => WorkOutcome::$outcome,)+ }
            }
        }
    };
}

error_kinds! {
    /// The request is malformed.
    BadRequest => "bad_request", 400, NotRun;
    /// The key is missing, invalid or revoked.
    BadKey => "bad_key", 401, NotRun;
    /// The key's team lacks the permission.
    NotAllowed => "not_allowed", 403, NotRun;
    /// The queue, job, instance, section or path does not exist.
    NotFound => "not_found", 404, NotRun;
    /// The path does not support the method.
    MethodNotAllowed => "method_not_allowed", 405, NotRun;
    /// The client sent its request too slowly.
    SlowSender => "slow_sender", 408, NotRun;
    /// Another writer changed the same data first.
    Conflict => "conflict", 409, NotRun;
    /// The body is larger than the queue allows.
    BodyTooLarge => "body_too_large", 413, NotRun;
    /// The configuration document has errors.
    BadDocument => "bad_document", 422, NotRun;
    /// A budget or a rule forbids the operation.
    BudgetExceeded => "budget_exceeded", 409, NotRun;
    /// The queue is full or the deadline cannot be met.
    Overloaded => "overloaded", 429, NotRun;
    /// The entry cannot confirm that its configuration is current.
    StaleConfig => "stale_config", 503, NotRun;
    /// The entry is stopping or not ready.
    NotReady => "not_ready", 503, NotRun;
    /// The platform's store does not respond.
    PlatformDown => "platform_down", 503, NotRun;
    /// It is not known yet whether the store committed the change.
    PlatformUnknown => "platform_unknown", 504, Unknown;
    /// No target accepted the work before its deadline.
    NoTarget => "no_target", 503, NotRun;
    /// The work ran and failed.
    WorkFailed => "work_failed", 502, Ran;
    /// The target was lost and the work may have run.
    OutcomeUnknown => "outcome_unknown", 504, Unknown;
    /// No worker can ever run the work.
    Unrunnable => "unrunnable", 422, NotRun;
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.name())
    }
}

impl std::error::Error for ErrorKind {}
