//! Messages to and from the placement service, which selects the targets that may run a step.

use std::time::Duration;

use crate::CallFailure;
use crate::JobId;
use crate::TargetName;

/// Requests the targets that may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The job.
    pub job: JobId,
    /// The occurrence of the job, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u16,
    /// Candidate targets.
    pub targets: Vec<TargetName>,
}

/// The reply of the placement service, or why the call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceReply {
    /// Targets that may run the step.
    Allowed(AllowedTargets),
    /// The service is overloaded.
    Busy,
    /// The call failed.
    Failed(CallFailure),
}

/// The targets that may run a step, with their tickets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedTargets {
    /// Each target with the ticket that a start request to it must carry.
    pub tickets: Vec<(TargetName, String)>,
    /// How long the tickets are valid; `None` if the service gave no limit.
    pub validity: Option<Duration>,
}
