//! Identifiers of jobs and their tasks.

use std::fmt;
use std::str::FromStr;

use magnoliapin_model::hex_id;
use serde::Deserialize;
use serde::Serialize;

hex_id! {
    /// Identifies a job; the client chooses it.
    JobId(u64);
}

/// Number of hexadecimal digits of a job's identifier.
const JOB_ID_DIGITS: usize = 16;

impl JobId {
    /// Parses an identifier of exactly 16 lower-case hexadecimal digits; `None` for any other text,
    /// so that each job has exactly one spelling.
    pub fn parse(text: &str) -> Option<Self> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        let is_canonical = text.len() == JOB_ID_DIGITS && text.bytes().all(is_digit);
        is_canonical.then(|| text.parse().ok()).flatten()
    }
}

/// Names one task of a job, written `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// Occurrence of the job's schedule, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u16,
    /// Index of the task within its step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskName {
    type Err = TaskNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split('.');
        let mut next = || fields.next().ok_or(TaskNameError);
        let job = JobId::parse(next()?).ok_or(TaskNameError)?;
        let occurrence = next()?.parse().map_err(|_| TaskNameError)?;
        let step = next()?.parse().map_err(|_| TaskNameError)?;
        let index = next()?.parse().map_err(|_| TaskNameError)?;
        match fields.next() {
            None => Ok(Self { job, occurrence, step, index }),
            Some(_) => Err(TaskNameError),
        }
    }
}

/// Error for a text that is not a task name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskNameError;

impl fmt::Display for TaskNameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a task name has the form JOB.OCCURRENCE.STEP.INDEX")
    }
}

impl std::error::Error for TaskNameError {}
