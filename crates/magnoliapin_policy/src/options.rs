//! Alternative policies, selectable so that they can be measured against each other.

use magnoliapin_model::ByteSize;
use magnoliapin_model::FairLimit;

/// Order in which waiting work gets free slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DispatchOrder {
    /// Weighted max-min fairness: the team furthest below its weighted share over all entries.
    #[default]
    MaxMin,
    /// The team that is furthest below its weighted share at this entry alone.
    PerEntry,
    /// The work with the earliest deadline, regardless of its team.
    Fifo,
}

/// Targets to which an entry sends work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetChoice {
    /// Any target; a full target refuses the work.
    #[default]
    Direct,
    /// Only the targets that rendezvous hashing among the entries of a zone assigns to this entry;
    /// any target in a pool in which it owns none.
    Owned,
}

/// Policies that an entry uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyOptions {
    /// Order in which waiting work gets free slots.
    pub dispatch: DispatchOrder,
    /// Targets to which the entry sends work.
    pub targets: TargetChoice,
    /// Whether several row changes share one transaction.
    pub group_commit: bool,
    /// Limit on the inputs of the work that the entry holds in memory.
    pub held_inputs: FairLimit,
}

impl Default for PolicyOptions {
    fn default() -> Self {
        Self {
            dispatch: DispatchOrder::default(),
            targets: TargetChoice::default(),
            group_commit: true,
            held_inputs: FairLimit(ByteSize(256 * 1024 * 1024)),
        }
    }
}
