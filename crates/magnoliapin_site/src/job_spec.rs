//! What a client submits.

use std::fmt;

use magnoliapin_model::plain_data;
use magnoliapin_model::UnixMillis;

use crate::Resources;

plain_data! {
    /// A job: steps of tasks that run in order.
    #[derive(Default)]
    pub struct JobSpec {
        /// Input that every task of the job is started with.
        pub payload: String,
        /// The steps; a step names earlier ones that it waits for.
        pub steps: Vec<StepSpec>,
        /// When the steps run, for a job that runs at set times; none runs once, at once.
        pub schedule: Option<JobSchedule>,
    }

    /// Times at which a job runs.
    #[derive(Copy)]
    pub struct JobSchedule {
        /// When the first occurrence is due.
        pub first_at: UnixMillis,
        /// Time from one occurrence to the next, in milliseconds.
        pub period_ms: u64,
        /// Number of occurrences.
        pub occurrences: u32,
    }

    /// Tasks of the same kind.
    #[derive(Default)]
    pub struct StepSpec {
        /// Number of tasks.
        pub tasks: u32,
        /// What one task asks for.
        pub demand: Resources,
        /// Rough estimate of a task's run time, in milliseconds; 0 if the client gave none.
        pub estimate_ms: u64,
        /// Earlier steps whose tasks must all have ended.
        pub after: Vec<u16>,
        /// Whether a task saves its progress and can resume from it.
        pub checkpointing: bool,
        /// Whether the tasks work only while all of them are present, and end together.
        pub gang: bool,
        /// Whether the tasks are slower when they run on more than one rack.
        pub same_rack: bool,
        /// Label that the target must have.
        pub requirement: Option<String>,
        /// Rack on which the tasks find their data; slower on any other.
        pub affinity: Option<String>,
        /// Most tasks of the step that one target may run; 0 sets no limit.
        pub anti_affinity: u32,
        /// Whether copies of a task may run at the same time.
        pub speculative: bool,
        /// Whether the tasks run until the job is cancelled.
        pub long_running: bool,
        /// What the tasks run; tasks of one image behave alike.
        pub image: Option<String>,
        /// Latency that a task which serves users must stay below, in milliseconds.
        pub target_ms: Option<u64>,
        /// Whether the tasks take only processor that others leave unused.
        pub fills: bool,
        /// Most tasks of a long-running step that planned actions may make unavailable at once.
        pub max_unavailable: Option<u32>,
    }
}

/// Steps that one job may have; bounds the memory that one body can ask for.
const MAX_STEPS: usize = 256;
/// Tasks that one job may have, over all steps of one occurrence.
const MAX_TASKS: u64 = 10_000;
/// Occurrences that one job may have.
const MAX_OCCURRENCES: u32 = 10_000;

impl JobSpec {
    /// Checks what no type can: references between steps, and sizes.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
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

    /// Returns how often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences.max(1))
    }

    /// Returns when an occurrence is due; none for a job that runs at once.
    pub fn due_at(&self, occurrence: u32) -> Option<UnixMillis> {
        self.schedule.map(|schedule| {
            let later = schedule.period_ms.saturating_mul(u64::from(occurrence));
            UnixMillis(schedule.first_at.0.saturating_add(later))
        })
    }

    /// Returns whether each step waits for the one before it, so that no two run at once.
    pub fn is_chain(&self) -> bool {
        let mut later = self.steps.iter().enumerate().skip(1);
        later.all(|(number, step)| step.after.iter().any(|after| usize::from(*after) + 1 == number))
    }

    /// Returns whether the job runs until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

/// Why a job cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobSpecError {
    /// The job has no step, or too many.
    StepCount(usize),
    /// A step has no task, or the job has too many.
    TaskCount(u64),
    /// A step waits for one that is not earlier.
    Order {
        /// The step.
        step: usize,
        /// What it waits for.
        after: u16,
    },
    /// The job runs too often.
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
