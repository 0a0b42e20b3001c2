//! Rows that the nodes keep in the store.
//!
//! | table | key | content |
//! |---|---|---|
//! | [`INTAKE`] | [`FENCE_KEY`], in each partition | generation of the leader that may change it |
//! | [`INTAKE`] | a job | the job, while it is accepted and unfinished |
//! | [`INTAKE`] | a job and [`CANCEL_SUFFIX`] | the client's cancellation request |
//! | [`PROGRESS`] | a job | finished tasks, failed runs, checkpoints and crashed targets |
//! | [`PROGRESS`] | a job, [`PIECE_MARK`] and a number | the rest of a progress that is larger than a row |
//! | [`OUTCOME`] | a job | outcome of the job |
//! | [`UPLOAD`] | a job and an upload | an input of the job that is larger than its row may be |
//! | [`INPUT`] | a job, an upload and a number | a piece of that input |
//! | [`LEASE`] | [`LEASE_KEY`] | lease of the leader |
//! | [`ASSIGNMENTS`] | [`BATCH_KEY`] | last batch of changes in this table; recent orders to instances; starts that may be late |
//! | [`ASSIGNMENTS`] | a target | possible runs, written before they start unless the batch row allows gaps |
//! | [`WAVE`] | a wave | instances whose maintenance has started |
//!
//! Jobs are distributed over partitions by their identifiers. A new leader fences each partition
//! before it reads it, so that the previous leader cannot change what was read. Fences are rows of
//! the job table because a watch reports the changes of one table in order: a replaced leader
//! receives the new fence before any job that was stored after it.

mod row_codec;

use std::net::SocketAddr;

use magnoliapin_model::plain_data;
use magnoliapin_model::ByteSize;
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
use magnoliapin_site::StoreRow;
use magnoliapin_site::TargetName;
use magnoliapin_site::TaskName;
use magnoliapin_site::TeamName;
use magnoliapin_site::UploadId;

pub(crate) use row_codec::decode;
pub(crate) use row_codec::decode_extended;
pub(crate) use row_codec::decode_job;
pub(crate) use row_codec::encode;
pub(crate) use row_codec::encode_extended;
pub(crate) use row_codec::encode_job;
pub(crate) use row_codec::join_pieces;
pub(crate) use row_codec::split_value;

/// Table of unfinished jobs, their cancellation requests, and the fences.
pub(crate) const INTAKE: &str = "intake";
/// Table of the progress of jobs.
pub(crate) const PROGRESS: &str = "progress";
/// Table of the outcomes of jobs.
pub(crate) const OUTCOME: &str = "outcome";
/// Table of inputs that are stored apart from their jobs, in pieces.
pub(crate) const INPUT: &str = "input";
/// Table of the uploads that have stored them. The row of an upload is written with its first pieces
/// and removed with its last ones.
pub(crate) const UPLOAD: &str = "upload";
/// Table of the leader's lease.
pub(crate) const LEASE: &str = "lease";
/// Table of assignments: the runs that each target may have.
pub(crate) const ASSIGNMENTS: &str = "led";

/// Key of the last batch of changes in [`ASSIGNMENTS`]; sorts before any target.
pub(crate) const BATCH_KEY: &str = "!batch";

/// Table of the progress of the operator's maintenance waves.
pub(crate) const WAVE: &str = "wave";

/// Key of a partition's fence; sorts before any job.
pub(crate) const FENCE_KEY: &str = "!fence";
/// Suffix of a job's key that makes the key of its cancellation request.
pub(crate) const CANCEL_SUFFIX: &str = ".cancel";
/// Separates the key of a job from the number of a piece of its progress.
pub(crate) const PIECE_MARK: char = '~';
/// Key of the leader's lease.
pub(crate) const LEASE_KEY: &str = "scheduler";
/// Partition of the rows that do not belong to a job, so that a burst of jobs does not delay them.
pub(crate) const CONTROL_PARTITION: &str = "control";

plain_data! {
    /// A job as accepted.
    pub(crate) struct JobRow {
        /// The job.
        pub(crate) spec: JobSpec,
        /// Queue that it was submitted to.
        pub(crate) queue: QueueName,
        /// Pool whose targets run it.
        pub(crate) pool: PoolName,
        /// Scheduling rule of its queue.
        pub(crate) rule: JobRule,
        /// Team whose key was presented with it.
        pub(crate) team: Option<TeamName>,
        /// When it was accepted.
        pub(crate) accepted_at: UnixMillis,
    }

    /// Scheduling rule of a queue for its jobs.
    #[derive(Copy)]
    pub(crate) struct JobRule {
        /// Priority; jobs with a lower number go first.
        pub(crate) priority: u32,
        /// Number of failed runs after which a task is not run again.
        pub(crate) max_attempts: u32,
        /// Multiple of the ideal run time within which a job is on time.
        pub(crate) stretch_factor: f64,
        /// Time allowed beyond that, in milliseconds.
        pub(crate) target_latency_ms: u64,
    }

    /// Progress of a job.
    #[derive(Default)]
    pub(crate) struct ProgressRow {
        /// Occurrences that have started.
        pub(crate) occurrences: Vec<OccurrenceProgress>,
    }

    /// Progress of one occurrence.
    #[derive(Default)]
    pub(crate) struct OccurrenceProgress {
        /// Number of the occurrence.
        pub(crate) number: u32,
        /// Whether the occurrence is complete; its tasks are then omitted.
        pub(crate) is_done: bool,
        /// Bit set of the tasks that have succeeded, per step.
        pub(crate) done: Vec<Vec<u8>>,
        /// Tasks that have failed.
        pub(crate) failures: Vec<TaskFailures>,
        /// Checkpoints of tasks: step, index and saved progress to resume from.
        pub(crate) checkpoints: Vec<(u16, u32, String)>,
    }

    /// Failures of one task.
    #[derive(Eq)]
    pub(crate) struct TaskFailures {
        /// Step of the task.
        pub(crate) step: u16,
        /// Index of the task in the step.
        pub(crate) index: u32,
        /// Attempt numbers of its failed runs.
        pub(crate) attempts: Vec<u32>,
    }

    /// Crashes of targets under one task; they follow the progress of its job in the row.
    #[derive(Eq)]
    pub(crate) struct TaskCrashes {
        /// Occurrence of the task.
        pub(crate) occurrence: u32,
        /// Step of the task.
        pub(crate) step: u16,
        /// Index of the task in the step.
        pub(crate) index: u32,
        /// The crashes.
        pub(crate) crashes: Vec<TaskCrash>,
    }

    /// An unexpected end of a target that ran a task.
    #[derive(Copy, Eq)]
    pub(crate) struct TaskCrash {
        /// Number of the attempt that it ran.
        pub(crate) attempt: u32,
        /// When the incarnation had started.
        pub(crate) incarnation: UnixMillis,
        /// Whether other tasks may be the cause as well.
        pub(crate) is_shared: bool,
        /// Whether another task that has been given up accounts for it.
        pub(crate) is_explained: bool,
    }

    /// An upload of an input.
    #[derive(Copy, Eq)]
    pub(crate) struct UploadRow {
        /// Number of its rows in [`INPUT`].
        pub(crate) pieces: u32,
    }

    /// Outcome of a job. A flag that may follow it tells whether the job was cancelled before it was stored.
    #[derive(Copy, Eq)]
    pub(crate) struct OutcomeRow {
        /// Final state of the job.
        pub(crate) state: JobState,
        /// When the job finished.
        pub(crate) ended_at: UnixMillis,
    }

    /// Restricts changes of a partition to one leader.
    #[derive(Copy, Eq)]
    pub(crate) struct FenceRow {
        /// Generation of the leader.
        pub(crate) generation: u64,
    }

    /// The last batch of changes of assignments.
    #[derive(Eq)]
    pub(crate) struct AssignmentBatchRow {
        /// Generation of the leader.
        pub(crate) generation: u64,
        /// Number of the batch in this generation.
        pub(crate) number: u64,
        /// Whether targets may have runs that no row lists.
        pub(crate) has_unrecorded_runs: bool,
        /// Instances with recent or planned orders.
        pub(crate) ordered_instances: Vec<InstanceName>,
        /// Targets whose leases the leader does not extend while they are listed here, as they have
        /// not reported to it or no longer answer, and for how many milliseconds no leader can have
        /// extended them.
        pub(crate) silent_targets: Vec<(TargetName, u64)>,
    }

    /// A start without a reply, which a later incarnation of its target may carry out. These follow the
    /// batch in its row.
    #[derive(Eq)]
    pub(crate) struct LateStartRow {
        /// The task that it starts.
        pub(crate) task: TaskName,
        /// The target that it was sent to.
        pub(crate) target: TargetName,
        /// For how many milliseconds the task waits for it, from when the row was written.
        pub(crate) wait_ms: u64,
    }

    /// Lease of the leader.
    #[derive(Eq)]
    pub(crate) struct LeaseRow {
        /// Generation of the leader; rises with each takeover. Its requests carry it as `fence`.
        pub(crate) generation: u64,
        /// Node that holds the lease.
        pub(crate) node: NodeName,
        /// Incarnation of its process.
        pub(crate) incarnation: u64,
        /// Address at which other nodes reach it.
        pub(crate) address: Option<SocketAddr>,
        /// CPU that it may use, in thousandths of a core.
        pub(crate) cpu_milli: u32,
        /// Whether the holder has released the lease.
        pub(crate) is_released: bool,
        /// Number of jobs per queue none of whose tasks has started.
        pub(crate) waiting_jobs: Vec<(QueueName, u64)>,
    }

    /// What a leader publishes about the limit on jobs; follows the lease in its row. Leaders of earlier
    /// versions publish nothing.
    #[derive(Copy, Default, Eq)]
    pub(crate) struct LeaseLimit {
        /// Memory of the smallest machine of a node; 0 if nothing is published.
        pub(crate) smallest_memory: ByteSize,
    }

    /// Assignment: the runs that an incarnation of a target may have. Completions are not recorded
    /// here, so some may have finished.
    #[derive(Eq)]
    pub(crate) struct AssignmentRow {
        /// When the incarnation started.
        pub(crate) started_at: UnixMillis,
        /// Instance that hosts the target.
        pub(crate) instance: Option<InstanceName>,
        /// Runs that were on the target or about to be sent when the row was written.
        pub(crate) runs: Vec<RunId>,
        /// Team and demand of those runs whose job has finished or is finishing; they still count
        /// against the team's cap.
        pub(crate) orphans: Vec<(TeamName, Resources)>,
    }
}

impl JobRule {
    /// Creates the rule of a queue.
    pub(crate) fn new(queue: &QueueRule) -> Self {
        /// Larger factors are as good as no limit, and overflow when multiplied with a run time.
        const MAX_STRETCH_FACTOR: f64 = 1e6;
        let is_usable = queue.stretch_factor.is_finite() && queue.stretch_factor >= 0.0;
        Self {
            priority: queue.priority,
            max_attempts: queue.max_attempts.max(1),
            stretch_factor: match is_usable {
                true => queue.stretch_factor.min(MAX_STRETCH_FACTOR),
                false => 1.0,
            },
            target_latency_ms: u64::try_from(queue.target_latency.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Returns the partition of a job.
pub(crate) fn partition_of(job: JobId, partition_count: u32) -> u32 {
    // Clients may choose identifiers that follow a pattern, so the bits are mixed first.
    let mixed = job.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    u32::try_from(mixed % u64::from(partition_count.max(1))).unwrap_or_default()
}

/// Returns the row of a job in a table that is keyed by job.
pub(crate) fn job_row(table: &'static str, job: JobId, partition_count: u32) -> RowId {
    RowId::new(table, partition_of(job, partition_count).to_string(), job.to_string())
}

/// Returns the row of a job's cancellation request.
pub(crate) fn cancel_row(job: JobId, partition_count: u32) -> RowId {
    RowId::new(
        INTAKE,
        partition_of(job, partition_count).to_string(),
        format!("{job}{CANCEL_SUFFIX}"),
    )
}

/// Returns the row of a further piece of a job's progress, by its number from 1.
pub(crate) fn progress_piece_row(job: JobId, piece: u32, partition_count: u32) -> RowId {
    let partition = partition_of(job, partition_count).to_string();
    RowId::new(PROGRESS, partition, format!("{job}{PIECE_MARK}{piece:05}"))
}

/// Returns the row of an upload.
pub(crate) fn upload_row(job: JobId, upload: UploadId, partition_count: u32) -> RowId {
    let partition = partition_of(job, partition_count).to_string();
    RowId::new(UPLOAD, partition, format!("{job}.{upload}"))
}

/// Returns the row of a piece of an input, by its number from 0.
pub(crate) fn input_row(job: JobId, upload: UploadId, piece: u32, partition_count: u32) -> RowId {
    let partition = partition_of(job, partition_count).to_string();
    RowId::new(INPUT, partition, format!("{job}.{upload}.{piece:05}"))
}

/// Parses the key of an upload.
pub(crate) fn parse_upload_key(key: &str) -> Option<(JobId, UploadId)> {
    let (job, upload) = key.split_once('.')?;
    Some((JobId::parse(job)?, upload.parse().ok()?))
}

/// Returns the row of a partition's fence.
pub(crate) fn fence_row(partition: u32) -> RowId {
    RowId::new(INTAKE, partition.to_string(), FENCE_KEY)
}

/// Returns the row of the control partition's fence.
pub(crate) fn control_fence() -> RowId {
    RowId::new(INTAKE, CONTROL_PARTITION, FENCE_KEY)
}

/// Returns the row of the leader's lease.
pub(crate) fn lease_row() -> RowId {
    RowId::new(LEASE, CONTROL_PARTITION, LEASE_KEY)
}

/// Returns the row of the last batch of changes of assignments.
pub(crate) fn batch_row() -> RowId {
    RowId::new(ASSIGNMENTS, CONTROL_PARTITION, BATCH_KEY)
}

/// Returns the row of a target's assignment.
pub(crate) fn assignment_row(target: &TargetName) -> RowId {
    RowId::new(ASSIGNMENTS, CONTROL_PARTITION, target.as_str())
}

/// Returns the row of a wave's progress.
pub(crate) fn wave_row(wave: u64) -> RowId {
    RowId::new(WAVE, CONTROL_PARTITION, wave.to_string())
}

/// Returns whether rows contain a job or its outcome.
pub(crate) fn has_job(found: &[StoreRow], job: JobId) -> bool {
    let key = job.to_string();
    found.iter().any(|row| {
        row.key == key && row.value.is_some() && (row.table == INTAKE || row.table == OUTCOME)
    })
}

/// Encodes the outcome of a job that was cancelled before it was stored, so that it never is.
pub(crate) fn encode_withdrawal(ended_at: UnixMillis) -> Vec<u8> {
    let is_withdrawn = true;
    encode_extended(&OutcomeRow { state: JobState::Cancelled, ended_at }, &is_withdrawn)
}

/// Returns whether rows contain such an outcome of a job.
pub(crate) fn is_withdrawn(found: &[StoreRow], job: JobId) -> bool {
    let key = job.to_string();
    found.iter().filter(|row| row.table == OUTCOME && row.key == key).any(|row| {
        let decoded = row.value.as_deref().and_then(decode_extended::<OutcomeRow, bool>);
        decoded.is_some_and(|(_, is_withdrawn)| is_withdrawn)
    })
}

/// Meaning of a key of the job table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IntakeKey {
    /// The partition's fence.
    Fence,
    /// A job.
    Job(JobId),
    /// The cancellation request of a job.
    Cancel(JobId),
}

impl IntakeKey {
    /// Parses a key; returns `None` if it has none of these meanings.
    pub(crate) fn parse(key: &str) -> Option<Self> {
        if key == FENCE_KEY {
            return Some(Self::Fence);
        }
        match key.strip_suffix(CANCEL_SUFFIX) {
            Some(job) => JobId::parse(job).map(Self::Cancel),
            None => JobId::parse(key).map(Self::Job),
        }
    }
}
