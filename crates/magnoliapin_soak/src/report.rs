//! Counts of the faults, checks and violations of a simulation.

use std::fmt;

use indexmap::IndexMap;
use magnoliapin_model::ErrorKind;

use crate::FaultKind;

/// An invariant that a simulation checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CheckKind {
    /// Non-idempotent work takes effect at most once.
    EffectOnce,
    /// Work refused with `not_run` was not started.
    NotRunIsTrue,
    /// No team has more tasks running than its limit.
    LimitHolds,
    /// The slices of a quota allotment add up to at most its limit.
    PartsAddUp,
    /// Work under a withdrawn key is refused once the time bound has passed.
    KeyWithdrawn,
    /// An entry whose configuration is fresh has the version due by then, or a newer one.
    ConfigCurrent,
    /// An answer belongs to the caller's own request and is complete.
    OwnAnswer,
    /// A call is answered exactly once.
    AnsweredOnce,
    /// Every accepted job has finished.
    JobEnded,
    /// The final state of a job agrees with its effects.
    JobEndIsTrue,
    /// No unfinished jobs and no rows or quota slices of lost entries are left.
    NothingLeft,
    /// Work that crashes targets is started no more often than allowed.
    CrashesBounded,
    /// The entry's state machine broke none of its own invariants.
    MachineInvariant,
}

/// A failed check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SoakViolation {
    /// Invariant that was violated.
    pub check: CheckKind,
    /// Observed state, with the virtual time where a check has one.
    pub details: String,
}

impl fmt::Display for SoakViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.check, self.details)
    }
}

/// Result of one simulation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoakReport {
    /// Seed of the simulation.
    pub seed: u64,
    /// Events handled.
    pub steps: u64,
    /// Virtual time, in milliseconds.
    pub virtual_ms: u64,
    /// Faults injected, by kind.
    pub faults: IndexMap<FaultKind, u64>,
    /// Checks made, by kind.
    pub checks: IndexMap<CheckKind, u64>,
    /// Failed checks.
    pub violations: Vec<SoakViolation>,
    /// Requests answered with their output.
    pub answered: u64,
    /// Jobs accepted.
    pub accepted: u64,
    /// Refusals with the outcome `not_run`.
    pub not_run: u64,
    /// Refusals with the outcome `unknown`, and calls lost with their entry.
    pub unknown: u64,
    /// Refusals by kind.
    pub refused: IndexMap<ErrorKind, u64>,
    /// Finished jobs by final state.
    pub finished_jobs: IndexMap<String, u64>,
    /// Jobs given up because targets crashed: those that crash targets, and others.
    pub given_up: (u64, u64),
    /// First starts and repeated starts of all entries.
    pub starts: (u64, u64),
    /// Transactions of all entries.
    pub transactions: u64,
}

impl SoakReport {
    pub(crate) fn check(
        &mut self,
        check: CheckKind,
        holds: bool,
        details: impl FnOnce() -> String,
    ) {
        *self.checks.entry(check).or_default() += 1;
        if !holds {
            self.violations.push(SoakViolation { check, details: details() });
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
             given_up={}+{} first_starts={} repeated_starts={} transactions={} refused={:?} ended={:?} faults={:?} checks={:?} \
             violations={}",
            self.seed,
            self.steps,
            self.virtual_ms,
            self.answered,
            self.accepted,
            self.not_run,
            self.unknown,
            self.given_up.0,
            self.given_up.1,
            self.starts.0,
            self.starts.1,
            self.transactions,
            self.refused,
            self.finished_jobs,
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
