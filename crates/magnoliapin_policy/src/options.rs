//! Choices between ways to decide, so that each can be measured against the others.

/// Whose work gets the next slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DispatchOrder {
    /// The team that is furthest below its weighted share over all entries.
    #[default]
    MaxMin,
    /// The team that is furthest below its weighted share at this entry alone.
    PerEntry,
    /// The work with the earliest deadline, whatever its team.
    Fifo,
}

/// Which targets an entry sends work to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetChoice {
    /// Any target; a full one refuses.
    #[default]
    Direct,
    /// The targets that rendezvous hashing gives to this entry among the entries of a zone; in a
    /// pool in which it owns none, any target.
    Owned,
}

/// Choices between ways to decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyOptions {
    /// Whose work gets the next slot.
    pub dispatch: DispatchOrder,
    /// Which targets an entry sends work to.
    pub targets: TargetChoice,
    /// Whether many row changes share one transaction.
    pub group_commit: bool,
}

impl Default for PolicyOptions {
    fn default() -> Self {
        Self {
            dispatch: DispatchOrder::default(),
            targets: TargetChoice::default(),
            group_commit: true,
        }
    }
}
