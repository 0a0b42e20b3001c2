//! Settings of an entry: every fault is named at once, with exit code 2.

mod support;

use support::run;
use support::scratch_file;

const GOOD: &str = r#"
zone = "zone-a"
caller_listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
platform = "127.0.0.1:7001"
peer_key = "0123456789abcdef"
"#;

#[test]
fn good_settings_pass() {
    let file = scratch_file("good.toml", GOOD);
    let outcome = run(&["entry", "--settings", &file, "--check"]);
    assert_eq!(outcome.code, 0, "{}", outcome.errors);
    assert_eq!(outcome.output, "ok: an entry of zone zone-a\n");
}

#[test]
fn the_example_passes() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/entry.toml");
    let outcome = run(&["entry", "--settings", file, "--check"]);
    assert_eq!(outcome.code, 0, "{}", outcome.errors);
}

#[test]
fn every_fault_is_named_with_what_is_allowed() {
    let text = r#"
zone = "Zone A"
caller_listen = "localhost:7101"
platform = 7001
peer_key = "secret"
colour = "blue"

[log]
level = "loud"
format = "xml"

[times]
task_lease_ms = 100
probe_interval_ms = -5
lease = 3
"#;
    let file = scratch_file("bad.toml", text);
    let outcome = run(&["entry", "--settings", &file]);
    assert_eq!(outcome.code, 2);
    assert!(!outcome.errors.contains("secret"), "{}", outcome.errors);
    insta::assert_snapshot!(outcome.errors.replace(&file, "bad.toml"));
}

#[test]
fn a_file_that_is_no_toml_is_named_with_its_line() {
    let file = scratch_file("broken.toml", "zone = \"zone-a\"\ncaller_listen = \n");
    let outcome = run(&["entry", "--settings", &file]);
    assert_eq!(outcome.code, 2);
    assert!(outcome.errors.contains("line 2"), "{}", outcome.errors);
}

#[test]
fn a_missing_file_is_a_fault() {
    let outcome = run(&["entry", "--settings", "/no/such/file.toml"]);
    assert_eq!(outcome.code, 2);
    assert!(outcome.errors.contains("/no/such/file.toml"), "{}", outcome.errors);
}

#[test]
fn both_forms_of_the_shared_key_are_a_fault() {
    let text = format!("{GOOD}peer_key_file = \"/no/such/key\"\n");
    let file = scratch_file("two-keys.toml", &text);
    let outcome = run(&["entry", "--settings", &file]);
    assert_eq!(outcome.code, 2);
    assert!(outcome.errors.contains("either peer_key or peer_key_file"), "{}", outcome.errors);
}
