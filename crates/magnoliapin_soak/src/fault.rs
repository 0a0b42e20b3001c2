//! Faults that a run injects.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FaultKind {
    /// An entry dies and a new one starts in its place.
    KillEntry,
    /// An entry stands still, often for longer than its lease.
    PauseEntry,
    /// An entry is stopped as planned.
    StopEntry,
    /// A target dies and comes back as a new run.
    KillTarget,
    /// A target stands still.
    PauseTarget,
    /// A target leaves for good.
    LeaveTarget,
    /// A target fails everything it starts.
    FailTarget,
    /// Open connections go silent.
    SilenceLinks,
    /// An availability zone is cut off from the others.
    CutPeers,
    /// An availability zone is cut off from the platform.
    CutPlatform,
    /// An availability zone is cut off from both.
    CutBoth,
    /// The platform's service is down.
    PlatformDown,
    /// The platform's service is slow.
    PlatformSlow,
    /// The platform's service loses answers.
    PlatformLosesAnswers,
}

impl FaultKind {
    /// Every kind.
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
