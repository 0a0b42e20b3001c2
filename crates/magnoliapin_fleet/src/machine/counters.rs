//! Counters of the fleet's state machine.

/// Counts since the start of the process, and results of the last plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounters {
    /// Plans made.
    pub plans: u64,
    /// Steps committed.
    pub steps_committed: u64,
    /// Steps whose transaction conflicted with another writer.
    pub steps_conflicted: u64,
    /// Planned steps that the rules no longer allowed when they were about to be sent.
    pub steps_refused: u64,
    /// Reads whose pool counters did not match the instance rows.
    pub counter_mismatches: u64,
    /// Whether the last plan found that maintenance cannot be completed within its period.
    pub infeasible: bool,
    /// Instances whose maintenance was overdue at the last plan.
    pub overdue_instances: usize,
}
