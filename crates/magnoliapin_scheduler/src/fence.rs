//! Numbers that targets obey as fences.
//!
//! A target refuses every call with a lower fence than the highest that it has seen, but its next
//! incarnation has seen none and goes by the same name. So a leader calls each later incarnation of a
//! target under a higher fence than the one before: from its first such call on, nothing that was sent
//! earlier has an effect there.

/// Number of fences that a generation of the leader may use.
const FENCES_PER_GENERATION: u64 = 256;

/// Returns the generation of the leader that takes over from `generation`. It is higher than every fence
/// of that generation; as a fence, it is that of targets which have not restarted under the leader.
pub(crate) fn next_generation(generation: u64) -> u64 {
    (generation / FENCES_PER_GENERATION + 1) * FENCES_PER_GENERATION
}

/// Returns the next higher fence of a generation; `None` if it has no more.
pub(crate) fn raised_fence(generation: u64, fence: u64) -> Option<u64> {
    let raised = fence.max(generation) + 1;
    (raised < next_generation(generation)).then_some(raised)
}

#[cfg(test)]
#[path = "fence_tests.rs"]
mod tests;
