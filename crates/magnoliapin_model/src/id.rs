//! Identifiers, sizes and counts.

use std::fmt;
use std::str::FromStr;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

crate::name_id! {
    /// Names a team.
    TeamId;
    /// Names a queue of requests and jobs.
    QueueId;
    /// Names a pool of instances.
    PoolId;
    /// Names an availability zone.
    ZoneId;
    /// Names a rack.
    RackId;
    /// Names an instance, which hosts one target.
    InstanceId;
    /// Names one key of a team.
    KeyId;
}

crate::hex_id! {
    /// Identifies one incarnation of an entry process; generated at random at each start.
    EntryId(u64);
    /// Identifies one incarnation of a target; a restart loses the target's tasks.
    TargetIncarnation(u64);
    /// Identifies a request or a job.
    WorkId(u128);
    /// Idempotency token by which the platform recognizes a retried transaction.
    ClientToken(u128);
}

crate::number_type! {
    /// Number of an attempt at a request or job, from 1.
    Attempt(u32);
    /// Version of the accepted configuration; strictly increasing.
    ConfigVersion(u64);
    /// Version of one row of the platform's table; 0 means that the row does not exist.
    RowVersion(u64);
    /// Number of executor slots.
    SlotCount(u32);
    /// Size in bytes.
    ByteSize(u64);
    /// Wall-clock time, in milliseconds since the Unix epoch.
    UnixMillis(u64);
}

/// Identifies a task: one attempt at a request or job on a target.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct TaskId {
    /// Request or job.
    pub work: WorkId,
    /// Number of the attempt.
    pub attempt: Attempt,
}

impl TaskId {
    /// Creates the identifier of one attempt.
    pub fn new(work: WorkId, attempt: Attempt) -> Self {
        Self { work, attempt }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.work, self.attempt)
    }
}

impl FromStr for TaskId {
    type Err = TaskIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (work, attempt) = text.split_once('-').ok_or(TaskIdError)?;
        let work = work.parse().map_err(|_| TaskIdError)?;
        let attempt = attempt.parse().map_err(|_| TaskIdError)?;
        Ok(Self { work, attempt })
    }
}

/// Error for a text that is not a task identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskIdError;

impl fmt::Display for TaskIdError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .write_str("a task identifier is a hexadecimal work identifier, '-' and an attempt")
    }
}

impl std::error::Error for TaskIdError {}
