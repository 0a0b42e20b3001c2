//! Snapshot test of a session of commands with their outputs and exit codes, and tests of `status`
//! and `timeline`.

mod support;

use std::net::SocketAddr;

use support::site::wait_for;
use support::site::TestSite;
use support::site::DOCUMENT;
use support::site::GUIDE_KEY;
use support::site::OPERATOR_KEY;

/// Runs commands and collects them with their normalised output as the text of the snapshot.
struct SessionText {
    site: TestSite,
    text: String,
}

impl SessionText {
    fn new(site: TestSite) -> Self {
        Self { site, text: String::new() }
    }

    /// Runs a command and returns its unmodified output.
    fn run(&mut self, user: &str, key: &str, arguments: &[&str]) -> String {
        let outcome = self.site.run(key, arguments);
        let shown = arguments.join(" ").replace(DOCUMENT, "examples/site.toml");
        self.text.push_str(&format!("{user}$ magnoliapin {}\n", normalise(&shown)));
        self.text.push_str(&normalise(&outcome.output));
        if !outcome.output.is_empty() && !outcome.output.ends_with('\n') {
            self.text.push('\n');
        }
        self.text.push_str(&normalise(&outcome.errors));
        self.text.push_str(&format!("[{}]\n\n", outcome.code));
        outcome.output
    }

    fn operator(&mut self, arguments: &[&str]) -> String {
        self.run("operator", OPERATOR_KEY, arguments)
    }

    fn guide(&mut self, arguments: &[&str]) -> String {
        self.run("guide", GUIDE_KEY, arguments)
    }
}

/// Replaces what differs between runs: identifiers, addresses, times and the selected target.
fn normalise(text: &str) -> String {
    let is_word_character =
        |character: char| character.is_ascii_alphanumeric() || ".:-".contains(character);
    let mut normalised = String::new();
    let mut rest = text;
    while let Some(start) = rest.find(is_word_character) {
        normalised.push_str(&rest[..start]);
        let length = rest[start..].find(|character| !is_word_character(character));
        let end = length.map_or(rest.len(), |length| start + length);
        normalised.push_str(&normalise_word(&rest[start..end]));
        rest = &rest[end..];
    }
    normalised.push_str(rest);
    for target in ["target-a", "target-b", "target-c"] {
        normalised = normalised.replace(&format!("on instance {target}"), "on instance TARGET");
        normalised = normalised.replace(&format!("instance={target}"), "instance=TARGET");
    }
    normalised
}

fn normalise_word(word: &str) -> String {
    let is_hex = word.chars().all(|character| character.is_ascii_hexdigit());
    if word.parse::<SocketAddr>().is_ok() {
        return "ADDRESS".to_owned();
    }
    match word.len() {
        32 if is_hex => return "JOB".to_owned(),
        16 if is_hex => return "ENTRY".to_owned(),
        27 if word.ends_with('Z') && word.contains('T') => return "TIME".to_owned(),
        _ => {}
    }
    let millis = word.strip_suffix("ms").filter(|digits| digits.parse::<u64>().is_ok());
    if millis.is_some() {
        return "MS".to_owned();
    }
    word.to_owned()
}

/// Collapses consecutive spaces, as the padding depends on the length of the replaced values.
fn squeeze(text: &str) -> String {
    let mut squeezed = String::new();
    for line in text.lines() {
        let words: Vec<_> = line.split(' ').filter(|word| !word.is_empty()).collect();
        squeezed.push_str(&words.join(" "));
        squeezed.push('\n');
    }
    squeezed
}

#[test]
fn one_whole_session() {
    let site = TestSite::start("session", 2);
    site.wait_until_connected();
    let mut session = SessionText::new(site);

    session.run("anybody", "", &["request", "booking", "too early"]);
    session.operator(&["config", "check", DOCUMENT]);
    session.operator(&["config", "diff", DOCUMENT]);
    session.operator(&["config", "apply", DOCUMENT]);
    session.site.wait_until_config_active(1);
    session.operator(&["config", "show", "--section", "queues.booking"]);
    session.operator(&["config", "diff", DOCUMENT]);
    session.operator(&["key", "list"]);

    session.guide(&["request", "booking", "two guests at eight"]);
    session.guide(&["request", "no-such-queue", "x"]);
    session.run("anybody", "", &["request", "booking", "x"]);
    session.run("anybody", "", &["request", "maps", "the harbour"]);
    let job = session.guide(&["submit", "rosters", "the late shift"]);
    let job = job.trim().to_owned();
    let read = || session.site.run(GUIDE_KEY, &["job", &job]).output;
    wait_for("the job finishes", || read().contains("finished"));
    session.guide(&["job", &job]);
    session.guide(&["--json", "job", &job]);
    session.guide(&["submit", "rosters", "{\"fail\":true}", "--wait"]);
    session.guide(&["cancel", &job]);

    session.operator(&["instances"]);
    session.operator(&["pools"]);
    session.operator(&["status"]);
    session.guide(&["timeline", "--job", &job]);
    session.guide(&["config", "apply", DOCUMENT]);
    session.operator(&["key", "withdraw", "guides", "trial"]);
    session.site.wait_until_config_active(2);
    session.guide(&["request", "booking", "two guests at eight"]);

    insta::assert_snapshot!(squeeze(&session.text));
}

#[test]
fn status_lines_are_at_most_80_columns_wide() {
    let site = TestSite::start_ready("columns", 3);
    let status = site.run(OPERATOR_KEY, &["status"]);
    assert_eq!(status.code, 0, "{}", status.errors);
    for line in status.output.lines() {
        assert!(line.chars().count() <= 80, "{line:?}");
    }
}

#[test]
fn the_timeline_lists_unreachable_entries_as_missing() {
    let mut site = TestSite::start_ready("missing", 2);
    let killed = site.entries.pop().expect("there are two entries");
    let address = killed.address.to_string();
    drop(killed);
    let timeline = site.run(OPERATOR_KEY, &["timeline"]);
    assert_eq!(timeline.code, 0, "{}", timeline.errors);
    let missing = timeline.output.lines().find(|line| line.starts_with("missing: "));
    let missing = missing.expect("the entry that was killed is missing");
    assert!(missing.contains(&address), "{missing}");
}

#[test]
fn a_trace_contains_every_timeline_record() {
    let site = TestSite::start_ready("trace", 1);
    let job = site.run(GUIDE_KEY, &["submit", "rosters", "x", "--wait"]);
    assert_eq!(job.code, 0, "{}", job.errors);
    let file = support::scratch_file("trace.json", "");
    let timeline = site.run(OPERATOR_KEY, &["--json", "timeline", "--trace", &file]);
    assert_eq!(timeline.code, 0, "{}", timeline.errors);
    let trace = std::fs::read_to_string(&file).unwrap();
    let trace: serde_json::Value = serde_json::from_str(&trace).unwrap();
    let timeline: serde_json::Value = serde_json::from_str(&timeline.output).unwrap();
    let events = trace["traceEvents"].as_array().unwrap();
    let instants = events.iter().filter(|event| event["ph"] == "i").count();
    assert_eq!(instants, timeline["records"].as_array().unwrap().len());
    assert!(events.iter().any(|event| event["name"] == "job_ended"));
}
