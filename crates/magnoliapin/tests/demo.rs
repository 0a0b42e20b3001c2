//! Tests of the `demo` command.

mod support;

use support::run;

/// Fields of the report that count violations.
const VIOLATION_COUNTS: [&str; 6] =
    ["lost", "doubled", "over_limit", "budget_broken", "not_run_but_ran", "wrong_answers"];

#[test]
fn a_short_demo_with_faults_has_no_violations() {
    let outcome = run(&["demo", "--seconds", "4", "--seed", "7", "--json"]);
    let report: serde_json::Value = serde_json::from_str(&outcome.output).unwrap();
    for count in VIOLATION_COUNTS {
        assert_eq!(report[count], 0, "{count}: {report}");
    }
    assert_eq!(outcome.code, 0, "{}", outcome.errors);
    assert_eq!(report["seed"], 7);
    for count in ["accepted", "finished", "answered", "p50_ms", "p99_ms"] {
        assert!(report[count].as_u64().unwrap() > 0, "{count}: {report}");
    }
    assert!(report["transactions_per_job"].as_f64().unwrap() > 0.0);
}

#[test]
fn a_demo_of_zero_seconds_is_a_usage_error() {
    let outcome = run(&["demo", "--seconds", "0"]);
    assert_eq!(outcome.code, 2);
    assert!(outcome.errors.contains("1 to 3600"), "{}", outcome.errors);
}
