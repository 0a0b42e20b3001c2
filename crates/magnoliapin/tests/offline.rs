//! Tests of commands that need no entry, and of the exit codes of usage and connection errors.

mod support;

use support::run;
use support::run_with;
use support::scratch_file;

const DOCUMENT: &str = r#"
[pools.evening]
instances = 3

[teams.guides]
limit = 4
operator = true
keys.first = "sha256:0000000000000000000000000000000000000000000000000000000000000000"

[queues.booking]
pool = "evening"
"#;

#[test]
fn subcommand_help_covers_only_that_subcommand() {
    let outcome = run(&["config", "apply", "--help"]);
    assert_eq!(outcome.code, 0);
    insta::assert_snapshot!(outcome.output);
}

#[test]
fn program_help_lists_the_exit_codes() {
    let outcome = run(&["--help"]);
    assert_eq!(outcome.code, 0);
    assert!(outcome.output.contains("Exit codes: 0 done, 1 refused or failed"));
    assert!(outcome.output.contains("magnoliapin timeline"));
}

#[test]
fn usage_errors_exit_with_code_2() {
    for arguments in [&["config"][..], &["no-such-command"], &["job", "not-hexadecimal"], &["job"]]
    {
        let outcome = run(arguments);
        assert_eq!(outcome.code, 2, "{arguments:?}: {}", outcome.errors);
        assert!(outcome.output.is_empty());
    }
}

#[test]
fn a_missing_entry_address_exits_with_code_2() {
    let outcome = run(&["status"]);
    assert_eq!(outcome.code, 2);
    assert!(outcome.errors.contains("MAGNOLIAPIN_ENTRY"), "{}", outcome.errors);
}

#[test]
fn an_unreachable_entry_exits_with_code_3() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let outcome = run_with(&[("MAGNOLIAPIN_ENTRY", &closed.to_string())], &["status"]);
    assert_eq!(outcome.code, 3, "{}", outcome.errors);
}

#[test]
fn a_key_that_is_no_valid_header_value_is_not_printed() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let entry = listener.local_addr().unwrap().to_string();
    let outcome = run(&["--entry", &entry, "--key", "hush\nhush", "status"]);
    assert_eq!(outcome.code, 2);
    assert!(!outcome.errors.contains("hush"), "{}", outcome.errors);
}

#[test]
fn config_check_needs_no_entry() {
    let file = scratch_file("document.toml", DOCUMENT);
    let outcome = run(&["config", "check", &file]);
    assert_eq!(outcome.code, 0, "{}", outcome.errors);
    assert_eq!(outcome.output, "ok: 1 pools, 1 teams, 1 queues\n");
}

#[test]
fn an_invalid_document_exits_with_code_2() {
    let text = DOCUMENT.replace("\"evening\"", "\"morning\"");
    let file = scratch_file("wrong-document.toml", &text);
    let outcome = run(&["config", "check", &file]);
    assert_eq!(outcome.code, 2);
    assert!(outcome.errors.contains("queues.booking"), "{}", outcome.errors);
    assert!(outcome.errors.contains("morning"), "{}", outcome.errors);
}

#[test]
fn a_new_key_is_printed_with_its_hash() {
    let outcome = run(&["--json", "key", "new", "evening"]);
    assert_eq!(outcome.code, 0, "{}", outcome.errors);
    let key: serde_json::Value = serde_json::from_str(&outcome.output).unwrap();
    let secret = key["secret"].as_str().unwrap();
    assert!(secret.len() >= 64);
    let expected = magnoliapin_model::KeyHash::new(secret).to_string();
    assert_eq!(key["hash"].as_str().unwrap(), expected);
}
