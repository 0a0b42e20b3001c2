//! The specification of a job, as a client submits it.

use std::fmt;

use magnoliapin_model::plain_data;
use magnoliapin_model::UnixMillis;

use crate::Resources;

plain_data! {
    /// A job, which consists of steps; each step is a group of tasks.
    #[derive(Default)]
    pub struct JobSpec {
        /// Input of every task of the job.
        pub payload: String,
        /// The steps; each lists the earlier steps that it depends on.
        pub steps: Vec<StepSpec>,
        /// Schedule of a job that runs at set times; `None` runs the steps once, immediately.
        pub schedule: Option<JobSchedule>,
    }

    /// Times at which a job runs.
    #[derive(Copy)]
    pub struct JobSchedule {
        /// When the first occurrence is due.
        pub first_at: UnixMillis,
        /// Time between occurrences, in milliseconds.
        pub period_ms: u64,
        /// Number of occurrences.
        pub occurrences: u32,
    }

    /// A group of tasks with the same requirements.
    #[derive(Default)]
    pub struct StepSpec {
        /// Number of tasks.
        pub tasks: u32,
        /// Resources that one task requests.
        pub demand: Resources,
        /// Rough estimate of a task's run time, in milliseconds; 0 if the client gave none.
        pub estimate_ms: u64,
        /// Earlier steps whose tasks must all have finished.
        pub after: Vec<u16>,
        /// Whether a task saves its progress and can resume from it.
        pub checkpointing: bool,
        /// Whether the tasks form a gang, which makes progress only while all of its tasks run and
        /// which finishes as a whole.
        pub gang: bool,
        /// Whether the tasks are slower when they run on more than one rack.
        pub same_rack: bool,
        /// Label that the target must have.
        pub requirement: Option<String>,
        /// Rack that holds the data of the tasks; they are slower on any other rack.
        pub affinity: Option<String>,
        /// Maximum number of tasks of the step on one target; 0 sets no limit.
        pub anti_affinity: u32,
        /// Whether copies of a task may run at the same time.
        pub speculative: bool,
        /// Whether the tasks run until the job is cancelled.
        pub long_running: bool,
        /// Image that the tasks run; tasks of the same image behave similarly.
        pub image: Option<String>,
        /// Latency target of a task that serves users, in milliseconds.
        pub target_ms: Option<u64>,
        /// Whether the tasks use only CPU time that other tasks leave unused.
        pub uses_spare_cpu: bool,
        /// Maximum number of tasks of a long-running step that planned actions may make unavailable
        /// at the same time.
        pub max_unavailable: Option<u32>,
    }
}

/// Maximum number of steps of a job; limits the memory that one request body can claim.
const MAX_STEPS: usize = 256;
/// Maximum number of tasks of a job, over all steps of one occurrence.
const MAX_TASKS: u64 = 10_000;
/// Maximum number of occurrences of a job.
const MAX_OCCURRENCES: u32 = 10_000;

impl JobSpec {
    /// Validates the dependencies between steps and the size limits.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    pub fn check(&self) -> Result<(), JobSpecError> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(JobSpecError::StepCount(self.steps.len()));
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if tasks > MAX_TASKS || self.steps.iter().any(|step| step.tasks == 0) {
            return Err(JobSpecError::TaskCount(tasks));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if let Some(after) = step.after.iter().find(|after| usize::from(**after) >= number) {
                return Err(JobSpecError::Order { step: number, after: *after });
            }
        }
        match &self.schedule {
            Some(schedule) if schedule.occurrences > MAX_OCCURRENCES => {
                Err(JobSpecError::Occurrences(schedule.occurrences))
            }
            _ => Ok(()),
        }
    }

    /// Returns the number of occurrences; 1 for a job without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences.max(1))
    }

    /// Returns when an occurrence is due; `None` for a job without a schedule.
    pub fn due_at(&self, occurrence: u32) -> Option<UnixMillis> {
        self.schedule.map(|schedule| {
            let offset = schedule.period_ms.saturating_mul(u64::from(occurrence));
            UnixMillis(schedule.first_at.0.saturating_add(offset))
        })
    }

    /// Returns whether each step depends on the previous one, so that no two run at the same time.
    pub fn is_chain(&self) -> bool {
        let mut following = self.steps.iter().enumerate().skip(1);
        following
            .all(|(number, step)| step.after.iter().any(|after| usize::from(*after) + 1 == number))
    }

    /// Returns whether the job runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

/// Why a job specification is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobSpecError {
    /// The job has no step, or too many.
    StepCount(usize),
    /// A step has no task, or the job has too many.
    TaskCount(u64),
    /// A step depends on a step that is not earlier.
    Order {
        /// Index of the step.
        step: usize,
        /// Index of the step that it depends on.
        after: u16,
    },
    /// The job has too many occurrences.
    Occurrences(u32),
}

impl fmt::Display for JobSpecError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StepCount(count) => {
                write!(formatter, "a job has 1 to {MAX_STEPS} steps, not {count}")
            }
            Self::TaskCount(count) => write!(
                formatter,
                "each step has a task and a job at most {MAX_TASKS} of them, not {count}"
            ),
            Self::Order { step, after } => {
                write!(formatter, "step {step} waits for step {after}, which is not earlier")
            }
            Self::Occurrences(count) => {
                write!(formatter, "a job runs at most {MAX_OCCURRENCES} times, not {count}")
            }
        }
    }
}

impl std::error::Error for JobSpecError {}
