//! Randomised simulations with fixed seeds; the table asserts the invariants at each commit.

use crate::runs;

#[test]
fn maintenance_meets_its_period_under_process_faults() {
    for seed in 1..=2 {
        let report = runs::run_with_process_faults(seed, 2 * runs::STEPS_PER_HOUR);
        assert!(report.commits > 200 && report.conflicts > 0, "seed {seed}: {report}");
    }
}

#[test]
fn invariants_hold_under_every_fault() {
    for seed in 1..=2 {
        let report = runs::run_with_all_faults(seed, runs::STEPS_PER_HOUR);
        let has_answers_and_conflicts = report.answers > 100 && report.conflicts > 0;
        assert!(report.commits > 200 && has_answers_and_conflicts, "seed {seed}: {report}");
    }
}
