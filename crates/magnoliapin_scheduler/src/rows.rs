//! What the nodes keep in the store.
//!
//! | table | key | holds |
//! |---|---|---|
//! | [`INTAKE`] | [`FENCE_KEY`], in each partition | who may change the partition |
//! | [`INTAKE`] | a job | the job, from its acceptance to its end |
//! | [`INTAKE`] | a job and [`CANCEL_SUFFIX`] | the client's wish to cancel it |
//! | [`PROGRESS`] | a job | which tasks have ended |
//! | [`OUTCOME`] | a job | how it ended |
//! | [`LEASE`] | [`LEASE_KEY`] | who schedules |
//! | [`LED`] | [`BATCH_KEY`] | the last batch of changes in this table; recent orders to instances |
//! | [`LED`] | a target | what a life of a target may run; written before anything starts there |
//! | [`WAVE`] | a wave | instances whose maintenance has begun |
//!
//! Jobs are spread over partitions by their identifiers. A new scheduler fences one partition
//! after the other before it reads it, so that nothing of the one before it can change what was
//! read. Fences lie in the table of jobs because a watch tells changes of one table in order: a
//! scheduler that was replaced learns so before it can see a job that came after.

mod row_codec;

use std::net::SocketAddr;

use magnoliapin_model::plain_data;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::InstanceName;
use magnoliapin_site::JobId;
use magnoliapin_site::JobSpec;
use magnoliapin_site::JobState;
use magnoliapin_site::NodeName;
use magnoliapin_site::PoolName;
use magnoliapin_site::QueueName;
use magnoliapin_site::QueueRule;
use magnoliapin_site::Resources;
use magnoliapin_site::RowId;
use magnoliapin_site::RunId;
use magnoliapin_site::TargetName;
use magnoliapin_site::TeamName;

pub(crate) use row_codec::decode;
pub(crate) use row_codec::encode;

/// Table of jobs that have not ended.
pub(crate) const INTAKE: &str = "intake";
/// Table of what is done of them.
pub(crate) const PROGRESS: &str = "progress";
/// Table of how jobs ended.
pub(crate) const OUTCOME: &str = "outcome";
/// Table of the scheduler's lease.
pub(crate) const LEASE: &str = "lease";
/// Table of targets that may run something.
pub(crate) const LED: &str = "led";

/// Key of the number of the last batch of rows of [`LED`]; comes before any target.
pub(crate) const BATCH_KEY: &str = "!batch";

/// Table of what is done of the operator's waves.
pub(crate) const WAVE: &str = "wave";

/// Key of a partition's fence; comes before any job.
pub(crate) const FENCE_KEY: &str = "!fence";
/// What follows a job in the key of the wish to cancel it.
pub(crate) const CANCEL_SUFFIX: &str = ".cancel";
/// Key of the scheduler's lease.
pub(crate) const LEASE_KEY: &str = "scheduler";
/// Partition of all that is not about one job, so that no rush of jobs delays it.
pub(crate) const CONTROL_PART: &str = "control";

plain_data! {
    /// A job as it was accepted.
    pub(crate) struct JobRow {
        /// The job.
        pub(crate) spec: JobSpec,
        /// Queue that it came through.
        pub(crate) queue: QueueName,
        /// Pool whose targets run it.
        pub(crate) pool: PoolName,
        /// What its queue says of it.
        pub(crate) rule: JobRule,
        /// Team whose key came with it.
        pub(crate) team: Option<TeamName>,
        /// When it was accepted.
        pub(crate) accepted_at: UnixMillis,
    }

    /// What a queue says of its jobs.
    #[derive(Copy)]
    pub(crate) struct JobRule {
        /// Rank; jobs with a lower number go first.
        pub(crate) priority: u32,
        /// How often a task may fail.
        pub(crate) max_attempts: u32,
        /// Factor on the ideal run time within which a job is in time.
        pub(crate) stretch_factor: f64,
        /// Time beyond that, in milliseconds.
        pub(crate) target_latency_ms: u64,
    }

    /// What is done of a job.
    #[derive(Default)]
    pub(crate) struct ProgressRow {
        /// Occurrences that have begun.
        pub(crate) occurrences: Vec<OccurrenceProgress>,
    }

    /// What is done of one occurrence.
    #[derive(Default)]
    pub(crate) struct OccurrenceProgress {
        /// Which one.
        pub(crate) number: u32,
        /// Whether all of it is done; its tasks are left out then.
        pub(crate) is_done: bool,
        /// Tasks that have ended well, by step, a bit each.
        pub(crate) done: Vec<Vec<u8>>,
        /// Tasks that have failed.
        pub(crate) failures: Vec<TaskFailures>,
        /// Saved progress of tasks: step, index and what to resume from.
        pub(crate) checkpoints: Vec<(u16, u32, String)>,
    }

    /// Failures of one task.
    #[derive(Eq)]
    pub(crate) struct TaskFailures {
        /// Step of the task.
        pub(crate) step: u16,
        /// Which task of the step.
        pub(crate) index: u32,
        /// Numbers of its runs that have failed.
        pub(crate) attempts: Vec<u32>,
    }

    /// How a job ended.
    #[derive(Copy, Eq)]
    pub(crate) struct OutcomeRow {
        /// Its final state.
        pub(crate) state: JobState,
        /// When it ended.
        pub(crate) ended_at: UnixMillis,
    }

    /// Who may change a partition.
    #[derive(Copy, Eq)]
    pub(crate) struct FenceRow {
        /// Generation of the scheduler.
        pub(crate) generation: u64,
    }

    /// The last batch of changes of the rows of targets.
    #[derive(Eq)]
    pub(crate) struct BatchRow {
        /// Generation of the scheduler.
        pub(crate) generation: u64,
        /// Counts its batches.
        pub(crate) number: u64,
        /// Whether targets may run what no row names.
        pub(crate) is_open: bool,
        /// Instances that were given orders lately or are about to be.
        pub(crate) ordered: Vec<InstanceName>,
    }

    /// Who schedules.
    #[derive(Eq)]
    pub(crate) struct LeaseRow {
        /// Counts the schedulers; also the epoch that targets are told.
        pub(crate) generation: u64,
        /// The node.
        pub(crate) node: NodeName,
        /// Run of its process.
        pub(crate) incarnation: u64,
        /// Where other nodes reach it.
        pub(crate) address: Option<SocketAddr>,
        /// Processor that it may use, in thousandths of a core.
        pub(crate) power: u32,
        /// Whether it has given the lease up.
        pub(crate) is_released: bool,
        /// Jobs of each queue none of whose tasks has started.
        pub(crate) waiting: Vec<(QueueName, u64)>,
    }

    /// What a life of a target may run. Ends are not noted here, so it may have ended.
    #[derive(Eq)]
    pub(crate) struct LedRow {
        /// When the life began.
        pub(crate) born_at: UnixMillis,
        /// Instance that hosts it.
        pub(crate) instance: Option<InstanceName>,
        /// Runs that were there or about to be sent when the row was written.
        pub(crate) runs: Vec<RunId>,
        /// What those of them take from their teams' caps whose job has ended.
        pub(crate) orphans: Vec<(TeamName, Resources)>,
    }
}

impl JobRule {
    /// Takes what a queue says of its jobs.
    pub(crate) fn new(queue: &QueueRule) -> Self {
        Self {
            priority: queue.priority,
            max_attempts: queue.max_attempts.max(1),
            stretch_factor: queue.stretch_factor,
            target_latency_ms: u64::try_from(queue.target_latency.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Returns the partition of a job.
pub(crate) fn part_of(job: JobId, parts: u32) -> u32 {
    // The client's digits may follow a pattern, so their bits are mixed first.
    let mixed = job.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    u32::try_from(mixed % u64::from(parts.max(1))).unwrap_or_default()
}

/// Returns the row of a job in one of the tables by job.
pub(crate) fn job_row(table: &'static str, job: JobId, parts: u32) -> RowId {
    RowId::new(table, part_of(job, parts).to_string(), job.to_string())
}

/// Returns the row of the wish to cancel a job.
pub(crate) fn cancel_row(job: JobId, parts: u32) -> RowId {
    RowId::new(INTAKE, part_of(job, parts).to_string(), format!("{job}{CANCEL_SUFFIX}"))
}

/// Returns the fence of a partition.
pub(crate) fn fence_row(part: u32) -> RowId {
    RowId::new(INTAKE, part.to_string(), FENCE_KEY)
}

/// Returns the fence of the partition that is not about jobs.
pub(crate) fn control_fence() -> RowId {
    RowId::new(INTAKE, CONTROL_PART, FENCE_KEY)
}

/// Returns the scheduler's lease.
pub(crate) fn lease_row() -> RowId {
    RowId::new(LEASE, CONTROL_PART, LEASE_KEY)
}

/// Returns the row of the last batch of changes of the rows of targets.
pub(crate) fn batch_row() -> RowId {
    RowId::new(LED, CONTROL_PART, BATCH_KEY)
}

/// Returns the row of a target that may run something.
pub(crate) fn led_row(target: &TargetName) -> RowId {
    RowId::new(LED, CONTROL_PART, target.as_str())
}

/// Returns the row of what is done of a wave.
pub(crate) fn wave_row(wave: u64) -> RowId {
    RowId::new(WAVE, CONTROL_PART, wave.to_string())
}

/// What a key of the table of jobs stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IntakeKey {
    /// The partition's fence.
    Fence,
    /// A job.
    Job(JobId),
    /// The wish to cancel a job.
    Cancel(JobId),
}

impl IntakeKey {
    /// Reads a key; none if it is no key of ours.
    pub(crate) fn read(key: &str) -> Option<Self> {
        if key == FENCE_KEY {
            return Some(Self::Fence);
        }
        match key.strip_suffix(CANCEL_SUFFIX) {
            Some(job) => JobId::read(job).map(Self::Cancel),
            None => JobId::read(key).map(Self::Job),
        }
    }
}
