//! Wall-clock time in rows.

magnoliapin_model::number_type! {
    /// Seconds since the Unix epoch, by the writer's wall clock.
    UnixSeconds(u64);
}

impl UnixSeconds {
    /// Returns the seconds from `earlier` to this time, or 0 if `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time `seconds` later.
    #[must_use]
    pub fn after(self, seconds: u64) -> Self {
        Self(self.0.saturating_add(seconds))
    }
}
