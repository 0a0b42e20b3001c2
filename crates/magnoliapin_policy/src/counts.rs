//! Counters of what an entry decided.

/// Counters of one entry since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicyCounts {
    /// First starts sent to targets.
    pub first_starts: u64,
    /// Starts sent again after a refusal or an outcome that was not known.
    pub repeated_starts: u64,
    /// Starts that a target refused because every slot was taken.
    pub full_refusals: u64,
    /// Answers that came for a call that was already settled.
    pub late_answers: u64,
    /// Calls of targets without an answer.
    pub failed_target_calls: u64,
    /// Calls of the platform without an answer.
    pub failed_platform_calls: u64,
    /// Transactions sent, repeats included.
    pub transactions: u64,
    /// Row changes that transactions carried, repeats left out.
    pub row_changes: u64,
    /// Row changes that lost a race.
    pub conflicts: u64,
    /// Jobs accepted.
    pub jobs_accepted: u64,
    /// Jobs ended here.
    pub jobs_ended: u64,
    /// Jobs taken over from lost entries.
    pub jobs_taken_over: u64,
    /// Entries taken for lost.
    pub entries_lost: u64,
    /// Parts of allotments taken over from lost entries.
    pub parts_reclaimed: u64,
    /// Requests answered with their output.
    pub requests_answered: u64,
    /// Refusals of any kind.
    pub refusals: u64,
    /// Refusals because the configuration was not known to be current.
    pub stale_refusals: u64,
    /// Requests and jobs whose outcome is not known.
    pub unknown_outcomes: u64,
    /// Targets set apart because they fail what others run.
    pub quarantines: u64,
    /// Configurations that came into force.
    pub configs_in_force: u64,
    /// Rows that could not be read.
    pub unreadable_rows: u64,
    /// Invariants that were checked.
    pub checked_invariants: u64,
    /// Invariants that did not hold.
    pub broken_invariants: u64,
}
