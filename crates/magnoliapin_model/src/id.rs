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
    /// Identifies one run of an entry process; drawn anew at each start.
    EntryId(u64);
    /// Identifies one run of a target; a restarted target has forgotten its tasks.
    TargetRun(u64);
    /// Identifies a request or a job.
    WorkId(u128);
    /// Lets the platform recognise a transaction that is sent again.
    ClientToken(u128);
}

crate::number_type! {
    /// Numbers the attempts of one piece of work, from 1.
    Attempt(u32);
    /// Version of the accepted configuration; only rises.
    ConfigVersion(u64);
    /// Version of one row of the platform's table; 0 means that the row does not exist.
    RowVersion(u64);
    /// Counts executor slots.
    SlotCount(u32);
    /// Size in bytes.
    ByteSize(u64);
    /// A point of wall-clock time, in milliseconds since the start of 1970 in UTC.
    UnixMillis(u64);
}

/// Identifies one attempt at a piece of work, as a target knows it.
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
    /// The request or job.
    pub work: WorkId,
    /// Which attempt at it.
    pub attempt: Attempt,
}

impl TaskId {
    /// Makes the identifier of one attempt.
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

/// The text is not a task identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskIdError;

impl fmt::Display for TaskIdError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a task identifier is a hexadecimal work identifier, '-', an attempt")
    }
}

impl std::error::Error for TaskIdError {}
