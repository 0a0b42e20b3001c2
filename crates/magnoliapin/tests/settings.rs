//! Tests of an entry's settings: every error is reported at once, with exit code 2.

mod support;

use support::run;
use support::scratch_file;

const VALID_SETTINGS: &str = r#"
zone = "zone-a"
caller_listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
platform = "127.0.0.1:7001"
peer_key = "0123456789abcdef"
"#;

#[test]
fn valid_settings_pass_the_check() {
    let file = scratch_file("good.toml", VALID_SETTINGS);
    let outcome = run(&["entry", "--settings", &file, "--check"]);
    assert_eq!(outcome.code, 0, "{}", outcome.errors);
    assert_eq!(outcome.output, "ok: an entry of zone zone-a\n");
}

#[test]
fn the_example_settings_pass_the_check() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/entry.toml");
    let outcome = run(&["entry", "--settings", file, "--check"]);
    assert_eq!(outcome.code, 0, "{}", outcome.errors);
}

#[test]
fn every_invalid_setting_is_reported_with_the_allowed_values() {
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
fn a_toml_syntax_error_is_reported_with_its_line() {
    let file = scratch_file("broken.toml", "zone = \"zone-a\"\ncaller_listen = \n");
    let outcome = run(&["entry", "--settings", &file]);
    assert_eq!(outcome.code, 2);
    assert!(outcome.errors.contains("line 2"), "{}", outcome.errors);
}

#[test]
fn a_missing_settings_file_is_reported_with_its_path() {
    let outcome = run(&["entry", "--settings", "/no/such/file.toml"]);
    assert_eq!(outcome.code, 2);
    assert!(outcome.errors.contains("/no/such/file.toml"), "{}", outcome.errors);
}

#[test]
fn peer_key_and_peer_key_file_are_mutually_exclusive() {
    let text = format!("{VALID_SETTINGS}peer_key_file = \"/no/such/key\"\n");
    let file = scratch_file("two-keys.toml", &text);
    let outcome = run(&["entry", "--settings", &file]);
    assert_eq!(outcome.code, 2);
    assert!(outcome.errors.contains("either peer_key or peer_key_file"), "{}", outcome.errors);
}
