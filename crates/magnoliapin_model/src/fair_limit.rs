//! A limit on what waits that leaves room for everyone.

use crate::ByteSize;

/// Limit on the total size of what waits for several teams.
///
/// The more room is taken, the less of it any team may have: at most as much as remains free for all.
/// A single team gets half of the room, two get a third each, and a part always remains for a team that
/// has little. Limits for each team would have to be so small that all of them together fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FairLimit(pub ByteSize);

impl FairLimit {
    /// Returns whether something of this size may be added for a team that has taken `of_team` of the
    /// `taken` room. What is alone is always accepted, and so is what takes no room.
    ///
    /// ```
    /// use magnoliapin_model::ByteSize;
    /// use magnoliapin_model::FairLimit;
    ///
    /// let limit = FairLimit(ByteSize(100));
    /// assert!(limit.admits(ByteSize(10), ByteSize(40), ByteSize(40)));
    /// assert!(!limit.admits(ByteSize(10), ByteSize(50), ByteSize(50)));
    /// assert!(limit.admits(ByteSize(10), ByteSize(0), ByteSize(50)));
    /// ```
    #[must_use]
    pub fn admits(self, size: ByteSize, of_team: ByteSize, taken: ByteSize) -> bool {
        let free = self.0 .0.saturating_sub(taken.0.saturating_add(size.0));
        taken == ByteSize(0) || size == ByteSize(0) || of_team.0.saturating_add(size.0) <= free
    }
}
