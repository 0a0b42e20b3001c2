//! Calls of the service that knows on which targets a step may run.

use std::time::Duration;

use crate::CallFailure;
use crate::JobId;
use crate::TargetName;

/// Asks on which targets a step may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The job.
    pub job: JobId,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
    /// Targets in question.
    pub targets: Vec<TargetName>,
}

/// The service's answer, or why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceReply {
    /// Targets that may run the step.
    Allowed(AdviceAnswer),
    /// The service has too much to do.
    Busy,
    /// There is no answer.
    Failed(CallFailure),
}

/// Targets that may run a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdviceAnswer {
    /// Each target with the permission that a start there must carry.
    pub tickets: Vec<(TargetName, String)>,
    /// How long the permissions hold; none if the service did not say.
    pub validity: Option<Duration>,
}
