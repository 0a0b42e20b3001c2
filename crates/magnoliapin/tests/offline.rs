//! Commands that ask no entry, and the exit codes of wrong usage.

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
fn help_of_a_subcommand_shows_just_that_one() {
    let outcome = run(&["config", "apply", "--help"]);
    assert_eq!(outcome.code, 0);
    insta::assert_snapshot!(outcome.output);
}

#[test]
fn help_of_the_program_names_the_exit_codes() {
    let outcome = run(&["--help"]);
    assert_eq!(outcome.code, 0);
    assert!(outcome.output.contains("Exit codes: 0 done, 1 refused or failed"));
    assert!(outcome.output.contains("magnoliapin timeline"));
}

#[test]
fn wrong_usage_has_exit_code_2() {
    for arguments in [&["config"][..], &["no-such-command"], &["job", "not-hexadecimal"], &["job"]]
    {
        let outcome = run(arguments);
        assert_eq!(outcome.code, 2, "{arguments:?}: {}", outcome.errors);
        assert!(outcome.output.is_empty());
    }
}

#[test]
fn a_command_without_an_entry_has_exit_code_2() {
    let outcome = run(&["status"]);
    assert_eq!(outcome.code, 2);
    assert!(outcome.errors.contains("MAGNOLIAPIN_ENTRY"), "{}", outcome.errors);
}

#[test]
fn an_entry_that_cannot_be_reached_has_exit_code_3() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let outcome = run_with(&[("MAGNOLIAPIN_ENTRY", &closed.to_string())], &["status"]);
    assert_eq!(outcome.code, 3, "{}", outcome.errors);
}

#[test]
fn a_key_that_cannot_be_sent_is_not_shown() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let entry = listener.local_addr().unwrap().to_string();
    let outcome = run(&["--entry", &entry, "--key", "hush\nhush", "status"]);
    assert_eq!(outcome.code, 2);
    assert!(!outcome.errors.contains("hush"), "{}", outcome.errors);
}

#[test]
fn a_document_is_checked_without_an_entry() {
    let file = scratch_file("document.toml", DOCUMENT);
    let outcome = run(&["config", "check", &file]);
    assert_eq!(outcome.code, 0, "{}", outcome.errors);
    assert_eq!(outcome.output, "ok: 1 pools, 1 teams, 1 queues\n");
}

#[test]
fn a_wrong_document_has_exit_code_2() {
    let text = DOCUMENT.replace("\"evening\"", "\"morning\"");
    let file = scratch_file("wrong-document.toml", &text);
    let outcome = run(&["config", "check", &file]);
    assert_eq!(outcome.code, 2);
    assert!(outcome.errors.contains("queues.booking"), "{}", outcome.errors);
    assert!(outcome.errors.contains("morning"), "{}", outcome.errors);
}

#[test]
fn a_new_key_shows_its_secret_and_the_line_for_the_document() {
    let outcome = run(&["--json", "key", "new", "evening"]);
    assert_eq!(outcome.code, 0, "{}", outcome.errors);
    let key: serde_json::Value = serde_json::from_str(&outcome.output).unwrap();
    let secret = key["secret"].as_str().unwrap();
    assert!(secret.len() >= 64);
    let expected = magnoliapin_model::KeyHash::new(secret).to_string();
    assert_eq!(key["hash"].as_str().unwrap(), expected);
}
