//! Faults that a simulation injects.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FaultKind {
    /// An entry crashes; a new incarnation starts later.
    KillEntry,
    /// An entry pauses, often for longer than its lease.
    PauseEntry,
    /// An entry shuts down gracefully.
    StopEntry,
    /// A target crashes and restarts as a new incarnation.
    KillTarget,
    /// A target pauses.
    PauseTarget,
    /// A target leaves permanently; another one replaces it.
    LeaveTarget,
    /// A target fails every task.
    FailTarget,
    /// Open connections of all entries to a target become unresponsive.
    SilenceLinks,
    /// An availability zone is cut off from the others.
    CutPeers,
    /// An availability zone is cut off from the platform.
    CutPlatform,
    /// An availability zone is cut off from the others and from the platform.
    CutBoth,
    /// The platform is down.
    PlatformDown,
    /// The platform is slow.
    PlatformSlow,
    /// The platform loses replies.
    PlatformLosesAnswers,
}

impl FaultKind {
    /// All kinds. The order decides which kind a random index selects.
    pub const ALL: [Self; 14] = [
        Self::KillEntry,
        Self::PauseEntry,
        Self::StopEntry,
        Self::KillTarget,
        Self::PauseTarget,
        Self::LeaveTarget,
        Self::FailTarget,
        Self::SilenceLinks,
        Self::CutPeers,
        Self::CutPlatform,
        Self::CutBoth,
        Self::PlatformDown,
        Self::PlatformSlow,
        Self::PlatformLosesAnswers,
    ];

    pub(crate) fn draw(random: &mut Pcg64Mcg) -> Self {
        Self::ALL[random.random_range(0..Self::ALL.len())]
    }

    /// Draws how long the fault lasts.
    pub(crate) fn draw_span(random: &mut Pcg64Mcg) -> Duration {
        let longest = if random.random_bool(0.2) { 40_000 } else { 8_000 };
        Duration::from_millis(random.random_range(200..longest))
    }
}
