//! Resources that a task requests and a target offers.

use std::fmt;
use std::ops::Add;
use std::ops::AddAssign;

use magnoliapin_model::plain_data;

plain_data! {
    /// An amount of CPU, memory and accelerators.
    #[derive(Copy, Default, Eq, Hash)]
    pub struct Resources {
        /// CPU, in thousandths of a core.
        pub cpu_milli: u32,
        /// Memory, in mebibytes.
        pub memory_mb: u32,
        /// Number of whole accelerators.
        pub accelerators: u32,
    }
}

impl Resources {
    /// Zero of each resource.
    pub const NONE: Self = Self { cpu_milli: 0, memory_mb: 0, accelerators: 0 };

    /// Returns whether this amount fits into `available`.
    pub fn fits_in(self, available: Self) -> bool {
        self.cpu_milli <= available.cpu_milli
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// Subtracts `other`, with a minimum of zero in each component.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Multiplies each component by `count`.
    #[must_use]
    pub fn saturating_mul(self, count: u32) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns the maximum of each component.
    #[must_use]
    pub fn component_max(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns how many times this amount fits into `available`, at most `max_count`.
    pub fn count_in(self, available: Self, max_count: u32) -> u32 {
        let fit_count = |need: u32, free: u32| free.checked_div(need).unwrap_or(max_count);
        fit_count(self.cpu_milli, available.cpu_milli)
            .min(fit_count(self.memory_mb, available.memory_mb))
            .min(fit_count(self.accelerators, available.accelerators))
            .min(max_count)
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}m/{}MB/{}", self.cpu_milli, self.memory_mb, self.accelerators)
    }
}
