//! The row of a pool: counters of its instances.

use std::fmt;

use magnoliapin_model::plain_data;

use crate::UnavailableCause;

plain_data! {
    /// Value of the row `pool/<id>`.
    #[derive(Copy, Default, Eq)]
    #[serde(default)]
    pub struct PoolRow {
        /// Instances that belong to the pool.
        pub members: u32,
        /// Members that are unavailable.
        pub unavailable: CauseCounts,
    }

    /// Counts of unavailable instances by cause.
    #[derive(Copy, Default, Eq)]
    #[serde(default)]
    pub struct CauseCounts {
        /// Failed.
        pub failed: u32,
        /// Draining.
        pub draining: u32,
        /// Rebooting.
        pub rebooting: u32,
        /// Changing their pool.
        pub moving: u32,
        /// Quarantined.
        pub quarantined: u32,
    }
}

impl PoolRow {
    /// Returns the number of serving members.
    pub fn available(&self) -> u32 {
        self.members.saturating_sub(self.unavailable.total())
    }

    /// Adds a member, which is unavailable if there is a `cause`.
    pub fn add(&mut self, cause: Option<UnavailableCause>) {
        self.members += 1;
        if let Some(cause) = cause {
            *self.unavailable.count_mut(cause) += 1;
        }
    }

    /// Reverts an [`add`](Self::add), or returns `false` if the counters do not include it.
    #[must_use]
    pub fn remove(&mut self, cause: Option<UnavailableCause>) -> bool {
        let Some(members) = self.members.checked_sub(1) else { return false };
        if let Some(cause) = cause {
            let count = self.unavailable.count_mut(cause);
            let Some(rest) = count.checked_sub(1) else { return false };
            *count = rest;
        }
        self.members = members;
        true
    }
}

impl CauseCounts {
    /// Returns the sum over all causes, which the availability budget limits.
    pub fn total(&self) -> u32 {
        self.failed + self.draining + self.rebooting + self.moving + self.quarantined
    }

    fn count_mut(&mut self, cause: UnavailableCause) -> &mut u32 {
        match cause {
            UnavailableCause::Failed => &mut self.failed,
            UnavailableCause::Draining => &mut self.draining,
            UnavailableCause::Rebooting => &mut self.rebooting,
            UnavailableCause::Moving => &mut self.moving,
            UnavailableCause::Quarantined => &mut self.quarantined,
        }
    }
}

impl fmt::Display for CauseCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} failed, {} draining, {} rebooting, {} moving, {} quarantined",
            self.failed, self.draining, self.rebooting, self.moving, self.quarantined
        )
    }
}
