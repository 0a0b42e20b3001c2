//! Snapshots of the errors reported for invalid documents.

use std::fmt::Write;

use magnoliapin_model::ConfigDocument;
use magnoliapin_model::DocumentError;
use magnoliapin_model::KeyHash;
use magnoliapin_model::SectionName;
use magnoliapin_model::MAX_DOCUMENT_BYTES;
use magnoliapin_model::MAX_DOCUMENT_ERRORS;

const VALID: &str = r#"
[pools.front]
instances = 10
max_unavailable = 2

[teams.ops]
limit = 10
operator = true
keys.first = "sha256:32323cfa9ec9d62750daad0836a4cf3d7b60d23723b7852a529667deed01669f"

[queues.booking]
pool = "front"
"#;

fn errors(text: &str) -> Vec<DocumentError> {
    ConfigDocument::parse(text).expect_err("the document is invalid")
}

fn report(cases: &[(&str, &str, &str)]) -> String {
    let mut report = String::new();
    for (label, old, new) in cases {
        assert!(VALID.contains(old), "{label}");
        writeln!(report, "# {label}").expect("writing to a string never fails");
        for error in errors(&VALID.replace(old, new)) {
            writeln!(report, "{error}").expect("writing to a string never fails");
        }
        report.push('\n');
    }
    report
}

#[test]
fn valid_document_has_no_errors() {
    assert_eq!(ConfigDocument::parse(VALID).map(|_| ()), Ok(()));
}

#[test]
fn invalid_toml_and_unknown_sections_are_rejected() {
    insta::assert_snapshot!(report(&[
        ("no TOML", "limit = 10", "limit ="),
        ("a section twice", "[queues.booking]", "[pools.front]"),
        ("a key twice", "limit = 10", "limit = 10\nlimit = 11"),
        ("an unknown kind of section", "[queues.booking]", "[lanes.booking]"),
        ("a kind that is no table", VALID, "pools = 3\nweights = []"),
        ("a section that is no table", VALID, "[pools]\nfront = 3"),
        ("a name with a space", "[queues.booking]", "[queues.\"late booking\"]"),
        ("a name that is too long", "queues.booking", &format!("queues.{}", "a".repeat(41))),
        ("an empty document", VALID, ""),
        ("a bad section and a bad number", "limit = 10", "limit = 0\n[teams.\"A\"]"),
        ("tables nested too deep", "limit = 10", &format!("limit = {}", "[".repeat(100_000))),
    ]));
}

#[test]
fn unknown_missing_and_mistyped_keys_are_rejected() {
    insta::assert_snapshot!(report(&[
        ("an unknown key", "pool = ", "timeout = 5\npool = "),
        ("a missing pool", "pool = \"front\"", ""),
        ("missing numbers", "instances = 10", ""),
        ("a missing limit", "limit = 10", ""),
        ("a number in quotes", "limit = 10", "limit = \"10\""),
        ("a fraction", "instances = 10", "instances = 10.5"),
        ("a negative number", "instances = 10", "instances = -1"),
        ("a number that does not fit", "limit = 10", "limit = 4294967296"),
        ("a number for a flag", "operator = true", "operator = 1"),
        ("a number for a name", "pool = \"front\"", "pool = 3"),
        ("a text for a list", "pool = \"front\"", "pool = \"front\"\nteams = \"ops\""),
        ("a list with a number", "pool = \"front\"", "pool = \"front\"\nteams = [\"ops\", 4]"),
        ("a number for a text", "instances = 10", "instances = 10\nimage = 7"),
        ("a text for a weight", "[queues", "[weights]\nmoves = \"many\"\n[queues"),
        ("keys that are no table", "keys.first", "keys"),
    ]));
}

#[test]
fn out_of_range_numbers_are_rejected() {
    let queue = "pool = \"front\"";
    insta::assert_snapshot!(report(&[
        ("no instances", "instances = 10", "instances = 0"),
        ("a budget of all instances", "max_unavailable = 2", "max_unavailable = 10"),
        ("an image with a quote", "instances = 10", "instances = 10\nimage = 'a\"b'"),
        ("a limit of 0", "limit = 10", "limit = 0"),
        ("a weight of 0", "limit = 10", "limit = 10\nweight = 0"),
        ("a weight that is too high", "limit = 10", "limit = 10\nweight = 1001"),
        (
            "bounds of a queue at 0",
            queue,
            &format!(
                "{queue}\nmax_body_bytes = 0\ntimeout_ms = 0\nmax_run_ms = 0\n\
                 max_attempts = 0\nmax_waiting = 0"
            )
        ),
        (
            "maintenance at 0",
            "[queues",
            "[maintenance]\nperiod_hours = 0\ndrain_seconds = 0\nmax_racks = 0\n[queues"
        ),
        (
            "weights that are no prices",
            "[queues",
            "[weights]\nbuffer = -1\nshare = nan\nmoves = inf\n[queues"
        ),
        (
            "only weights of 0",
            "[queues",
            "[weights]\nbuffer = 0\nshare = 0\nmoves = 0.0\nrollout = 0\n[queues"
        ),
    ]));
}

#[test]
fn invalid_references_are_rejected() {
    let hash = KeyHash::new("a secret");
    let queue = "pool = \"front\"";
    insta::assert_snapshot!(report(&[
        ("an unknown pool", "pool = \"front\"", "pool = \"back\""),
        ("a queue on a spare pool", "instances = 10", "instances = 10\nspare = true"),
        ("an unknown owner", queue, &format!("{queue}\nowner = \"crew\"")),
        ("unknown teams", queue, &format!("{queue}\nteams = [\"crew\", \"ops\", \"ops\"]")),
        ("an open queue without a team", queue, &format!("{queue}\nopen = true")),
        ("an unknown open team", queue, &format!("{queue}\nopen = true\nopen_team = \"crew\"")),
        ("a pool without a queue", "[queues", "[pools.idle]\ninstances = 1\n[queues"),
        ("no operator", "operator = true", ""),
        ("an operator without a key", "keys.first", "keys = {} #"),
        (
            "a secret twice",
            "[queues",
            &format!("keys.a = \"{hash}\"\n[teams.b]\nlimit = 1\nkeys.b = \"{hash}\"\n[queues")
        ),
    ]));
}

#[test]
fn secret_in_place_of_its_hash_is_redacted() {
    let text = VALID.replace("sha256:32", "hush");
    let errors = errors(&text);
    insta::assert_snapshot!(errors[0]);
    assert_eq!(errors.len(), 1, "{errors:?}");
}

#[test]
fn section_errors_name_the_section() {
    let document = ConfigDocument::parse(VALID).unwrap();
    let mut sections = document.sections();
    let queue: SectionName = "queues.booking".parse().unwrap();
    sections.insert(queue, "pool = \"front\"\n[teams.own]\noperator = true".to_owned());
    sections.insert("teams.ops".parse().unwrap(), "limit = ".to_owned());
    let errors = ConfigDocument::from_sections(&sections).unwrap_err();
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn error_count_and_document_size_are_limited() {
    let keys: String = (0..2 * MAX_DOCUMENT_ERRORS).map(|key| format!("key{key} = 1\n")).collect();
    let errors = errors(&format!("{VALID}{keys}"));
    assert_eq!(errors.len(), MAX_DOCUMENT_ERRORS);
    insta::assert_snapshot!(errors[MAX_DOCUMENT_ERRORS - 1]);
    let long = format!("{VALID}#{}", " ".repeat(MAX_DOCUMENT_BYTES));
    insta::assert_snapshot!(ConfigDocument::parse(&long).unwrap_err()[0]);
}

#[test]
fn document_too_long_in_canonical_form_is_rejected() {
    let queues: String =
        (0..15_000).map(|queue| format!("queues.q{queue}.pool = \"front\"\n")).collect();
    let text = format!("{queues}{VALID}").replace("[queues.booking]\npool = \"front\"", "");
    assert!(text.len() < MAX_DOCUMENT_BYTES);
    insta::assert_snapshot!(ConfigDocument::parse(&text).unwrap_err()[0]);
}
