//! Randomised runs with fixed seeds; the invariants are asserted at each commit.

use crate::runs;

#[test]
fn maintenance_is_in_time_under_faults_of_processes() {
    for seed in 1..=2 {
        let report = runs::run_processes(seed, 2 * runs::HOUR_STEPS);
        assert!(report.commits > 200 && report.conflicts > 0, "seed {seed}: {report}");
    }
}

#[test]
fn invariants_hold_under_every_fault() {
    for seed in 1..=2 {
        let report = runs::run_everything(seed, runs::HOUR_STEPS);
        let is_asked = report.answers > 100 && report.conflicts > 0;
        assert!(report.commits > 200 && is_asked, "seed {seed}: {report}");
    }
}
