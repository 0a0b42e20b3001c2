//! What the fleet's machine counts.

/// Counts since the start of the process, and what the last plan found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounters {
    /// Plans made.
    pub plans: u64,
    /// Steps committed.
    pub steps_committed: u64,
    /// Steps that met a conflict.
    pub steps_conflicted: u64,
    /// Planned steps that the rules no longer allowed when their turn came.
    pub steps_refused: u64,
    /// Reads whose counters did not match the instances' rows.
    pub counter_mismatches: u64,
    /// Whether the maintenance cannot be done in its period, at the last plan.
    pub infeasible: bool,
    /// Instances whose maintenance is late, at the last plan.
    pub overdue_instances: usize,
}
