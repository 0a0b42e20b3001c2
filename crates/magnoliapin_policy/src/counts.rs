//! Counters of an entry's decisions.

/// Counters of one entry incarnation since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicyCounts {
    /// Start requests sent to targets for work that had none before.
    pub first_starts: u64,
    /// Start requests sent again for the same work, such as after a refusal or an unknown outcome.
    pub repeated_starts: u64,
    /// Starts refused by a target that had no free slot.
    pub full_refusals: u64,
    /// Replies to calls that were already settled.
    pub late_answers: u64,
    /// Start and check calls to targets that failed, other than starts that were not sent.
    pub failed_target_calls: u64,
    /// Calls to the platform without a reply.
    pub failed_platform_calls: u64,
    /// Transactions sent, including resends.
    pub transactions: u64,
    /// Row changes sent in transactions, not counting resends.
    pub row_changes: u64,
    /// Row changes rejected because another writer had changed a guarded row.
    pub conflicts: u64,
    /// Jobs accepted.
    pub jobs_accepted: u64,
    /// Jobs that finished at this entry, whatever their outcome.
    pub jobs_ended: u64,
    /// Jobs taken over from lost entries.
    pub jobs_taken_over: u64,
    /// Entries declared lost.
    pub entries_lost: u64,
    /// Planned row changes that reclaim quota slices of lost entries.
    pub parts_reclaimed: u64,
    /// Requests answered with the output of their task.
    pub requests_answered: u64,
    /// Refusals sent to clients and operators, of any kind.
    pub refusals: u64,
    /// Refusals sent because the configuration was not known to be current.
    pub stale_refusals: u64,
    /// Requests and jobs that ended with an unknown outcome.
    pub unknown_outcomes: u64,
    /// Quarantines of targets after repeated failures of work on them.
    pub quarantines: u64,
    /// Configuration versions that came into force.
    pub configs_in_force: u64,
    /// Rows that could not be decoded.
    pub unreadable_rows: u64,
    /// Evaluated invariant checks.
    pub checked_invariants: u64,
    /// Failed invariant checks.
    pub broken_invariants: u64,
}
