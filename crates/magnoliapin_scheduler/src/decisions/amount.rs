//! Amounts of processor and memory as fractional numbers.

use magnoliapin_site::Resources;

/// Processor, in thousandths of a core, and memory, in mebibytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Amount {
    pub(crate) cpu_milli: f64,
    pub(crate) memory_mb: f64,
}

impl Amount {
    /// Adds a multiple of a task's demand.
    pub(crate) fn add(&mut self, demand: Resources, times: f64) {
        self.cpu_milli += f64::from(demand.cpu_milli) * times;
        self.memory_mb += f64::from(demand.memory_mb) * times;
    }

    /// Returns the sum of two amounts.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mb: self.memory_mb + other.memory_mb,
        }
    }

    /// Returns how much larger this amount is than another; 0 where it is smaller.
    pub(crate) fn excess_over(self, other: Self) -> Self {
        Self {
            cpu_milli: (self.cpu_milli - other.cpu_milli).max(0.0),
            memory_mb: (self.memory_mb - other.memory_mb).max(0.0),
        }
    }

    /// Returns a multiple of the amount.
    pub(crate) fn times(self, factor: f64) -> Self {
        Self { cpu_milli: self.cpu_milli * factor, memory_mb: self.memory_mb * factor }
    }

    /// Returns the larger of both values of each component.
    pub(crate) fn component_max(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
        }
    }

    /// Returns how many instances of a capacity the amount fills.
    pub(crate) fn instances(self, capacity: Resources) -> f64 {
        let cpu = self.cpu_milli / f64::from(capacity.cpu_milli.max(1));
        let memory = self.memory_mb / f64::from(capacity.memory_mb.max(1));
        cpu.max(memory)
    }
}
