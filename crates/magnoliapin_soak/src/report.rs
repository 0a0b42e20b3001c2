//! What a run injected, checked and found.

use std::fmt;

use indexmap::IndexMap;
use magnoliapin_model::ErrorKind;

use crate::FaultKind;

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CheckKind {
    /// Work that is not idempotent takes effect at most once.
    EffectOnce,
    /// A refusal that says `not_run` is true.
    NotRunIsTrue,
    /// No team has more running than its limit.
    LimitHolds,
    /// The parts of an allotment add up to its limit at most.
    PartsAddUp,
    /// A withdrawn key stops working in time.
    KeyWithdrawn,
    /// A fresh configuration is current.
    ConfigCurrent,
    /// An answer is the whole answer to the caller's own request.
    OwnAnswer,
    /// A call is answered once.
    AnsweredOnce,
    /// Every accepted job has ended.
    JobEnded,
    /// What a job's end says of its effect is true.
    JobEndIsTrue,
    /// Nothing is left of lost entries.
    NothingLeft,
    /// The machine's own invariants held.
    MachineInvariant,
}

/// One broken check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakViolation {
    /// The check.
    pub check: CheckKind,
    /// What was seen, with the virtual time.
    pub seen: String,
}

impl fmt::Display for SoakViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.check, self.seen)
    }
}

/// Counts of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Events that were handled.
    pub steps: u64,
    /// Virtual time, in milliseconds.
    pub virtual_ms: u64,
    /// Faults injected, by kind.
    pub faults: IndexMap<FaultKind, u64>,
    /// Checks made, by kind.
    pub checks: IndexMap<CheckKind, u64>,
    /// Broken checks.
    pub violations: Vec<SoakViolation>,
    /// Requests answered with their output.
    pub answered: u64,
    /// Jobs accepted.
    pub accepted: u64,
    /// Refusals that said `not_run`.
    pub not_run: u64,
    /// Answers and refusals that said `unknown`.
    pub unknown: u64,
    /// Refusals by kind.
    pub refused: IndexMap<ErrorKind, u64>,
    /// Jobs by the state they ended in.
    pub ended: IndexMap<String, u64>,
    /// First starts and repeated starts of all entries.
    pub starts: (u64, u64),
    /// Transactions of all entries.
    pub transactions: u64,
}

impl SoakReport {
    pub(crate) fn check(&mut self, check: CheckKind, holds: bool, seen: impl FnOnce() -> String) {
        *self.checks.entry(check).or_default() += 1;
        if !holds {
            self.violations.push(SoakViolation { check, seen: seen() });
        }
    }

    pub(crate) fn count_fault(&mut self, fault: FaultKind) {
        *self.faults.entry(fault).or_default() += 1;
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "seed={} steps={} virtual_ms={} answered={} accepted={} not_run={} unknown={} \
             first_starts={} repeated_starts={} transactions={} refused={:?} ended={:?} faults={:?} checks={:?} \
             violations={}",
            self.seed,
            self.steps,
            self.virtual_ms,
            self.answered,
            self.accepted,
            self.not_run,
            self.unknown,
            self.starts.0,
            self.starts.1,
            self.transactions,
            self.refused,
            self.ended,
            self.faults,
            self.checks,
            self.violations.len()
        )?;
        for violation in &self.violations {
            write!(formatter, "\n  {violation}")?;
        }
        Ok(())
    }
}
