//! How much memory a waiting job takes in the leader, and how much of it the store keeps.

use std::mem::size_of;

use magnoliapin_model::ByteSize;
use magnoliapin_site::JobSpec;
use magnoliapin_site::StepSpec;
use magnoliapin_site::StoredInput;

/// Memory of a job apart from its steps and texts: its entries in maps, and its name in the names of
/// its runs.
const JOB_BYTES: u64 = 1_200;
/// Memory of a task.
const TASK_BYTES: u64 = 200;
/// Memory of the specification of a step apart from its texts.
const STEP_BYTES: u64 = size_of::<StepSpec>() as u64;
/// Memory of a step of an open occurrence apart from its tasks.
const OPEN_STEP_BYTES: u64 = 120;

/// Maximum number of tasks of the open occurrences of a job, unless a single one has more. Further
/// occurrences that are due wait until earlier ones are done.
pub(crate) const MAX_OPEN_TASKS: u64 = 10_000;

/// What a job takes until it has finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct JobSize {
    /// Memory in the leader.
    pub(crate) memory: ByteSize,
    /// Input in the store that is kept apart from the job.
    pub(crate) input: ByteSize,
}

impl JobSize {
    /// Returns an upper bound of the size of a job.
    pub(crate) fn new(spec: &JobSpec, input: Option<&StoredInput>) -> Self {
        let step_bytes: usize = spec.steps.iter().map(text_bytes).sum();
        let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.tasks)).sum();
        let occurrences = u64::from(spec.occurrences());
        let open_tasks = tasks.saturating_mul(occurrences).min(MAX_OPEN_TASKS.max(tasks));
        let texts = (spec.payload.len() + step_bytes) as u64;
        let steps = spec.steps.len() as u64;
        let open_steps = open_tasks.div_ceil(tasks.max(1)) * steps;
        let memory = JOB_BYTES
            + texts
            + steps * STEP_BYTES
            + open_steps * OPEN_STEP_BYTES
            + open_tasks * TASK_BYTES;
        Self { memory: ByteSize(memory), input: input.map(|input| input.size).unwrap_or_default() }
    }

    /// Adds another size.
    pub(crate) fn add(&mut self, other: Self) {
        self.memory.0 = self.memory.0.saturating_add(other.memory.0);
        self.input.0 = self.input.0.saturating_add(other.input.0);
    }

    /// Subtracts another size.
    pub(crate) fn subtract(&mut self, other: Self) {
        self.memory.0 = self.memory.0.saturating_sub(other.memory.0);
        self.input.0 = self.input.0.saturating_sub(other.input.0);
    }
}

/// Returns the size of the texts and lists of a step, in bytes.
fn text_bytes(step: &StepSpec) -> usize {
    let texts = [&step.requirement, &step.affinity, &step.image];
    let texts: usize = texts.into_iter().flatten().map(String::len).sum();
    texts + step.after.len() * size_of::<u16>()
}
