//! Tests of TLS: an entry's settings, and commands that trust its certificate.

mod support;

use support::run;
use support::run_with;
use support::scratch_file;
use support::site::wait_for;
use support::site::SiteProcess;
use support::site::DOCUMENT;
use support::site::OPERATOR_KEY;
use support::RunOutcome;

/// Paths of a certificate for the loopback address and of its key.
struct CertificateFiles {
    certificate: String,
    key: String,
}

impl CertificateFiles {
    fn new(name: &str) -> Self {
        let generated = rcgen::generate_simple_self_signed(vec!["127.0.0.1".to_owned()])
            .expect("a certificate can be generated");
        let certificate = scratch_file(&format!("{name}.pem"), &generated.cert.pem());
        let key = scratch_file(&format!("{name}.key"), &generated.signing_key.serialize_pem());
        Self { certificate, key }
    }
}

fn settings(listen: &str, platform: &str, lines: &str) -> String {
    format!(
        "zone = \"zone-a\"\n\
         caller_listen = \"{listen}\"\n\
         peer_listen = \"127.0.0.1:0\"\n\
         platform = \"{platform}\"\n\
         peer_key = \"the key of a test's entries\"\n\
         {lines}"
    )
}

fn check(name: &str, listen: &str, lines: &str) -> RunOutcome {
    let file = scratch_file(name, &settings(listen, "127.0.0.1:7001", lines));
    run(&["entry", "--settings", &file, "--check"])
}

/// Checks that the settings are refused with exactly one error, which names the settings key, the
/// value found and the allowed values.
fn assert_setting_error(name: &str, listen: &str, lines: &str, key: &str, words: &[&str]) {
    let outcome = check(name, listen, lines);
    assert_eq!(outcome.code, 2, "{}", outcome.errors);
    let start = format!("{name}: key {key:?}: found ");
    for word in [start.as_str(), "; allowed: "].iter().chain(words) {
        assert!(outcome.errors.contains(word), "{word}: {}", outcome.errors);
    }
    assert_eq!(outcome.errors.lines().count(), 1, "{}", outcome.errors);
}

#[test]
fn plain_text_requires_loopback_or_allow_plain_text() {
    for listen in ["127.0.0.1:0", "[::1]:0"] {
        assert_eq!(check("loopback.toml", listen, "").code, 0);
    }
    for listen in ["0.0.0.0:7100", "192.0.2.7:7100", "[::]:7100"] {
        let words = [listen, "tls_key", "loopback", "allow_plain_text"];
        assert_setting_error("open.toml", listen, "", "tls_certificate", &words);
        let refused = "allow_plain_text = false\n";
        assert_setting_error("open-false.toml", listen, refused, "tls_certificate", &words);
        assert_eq!(check("allowed.toml", listen, "allow_plain_text = true\n").code, 0);
    }
}

#[test]
fn invalid_certificate_and_key_files_are_reported() {
    let first = CertificateFiles::new("first");
    let second = CertificateFiles::new("second");
    let listen = "192.0.2.7:7100";
    let certificate = format!("tls_certificate = {:?}\n", first.certificate);
    let key = format!("tls_key = {:?}\n", first.key);
    assert_eq!(check("pair.toml", listen, &format!("{certificate}{key}")).code, 0);
    assert_setting_error("no-key.toml", listen, &certificate, "tls_key", &["nothing"]);
    assert_setting_error("no-certificate.toml", listen, &key, "tls_certificate", &["nothing"]);
    let lines = format!("tls_certificate = \"/no/such.pem\"\n{key}");
    assert_setting_error("absent.toml", listen, &lines, "tls_certificate", &["/no/such.pem"]);
    let lines = format!("{certificate}tls_key = \"/no/such.key\"\n");
    assert_setting_error("absent-key.toml", listen, &lines, "tls_key", &["/no/such.key"]);
    let lines = format!("{certificate}tls_key = {:?}\n", first.certificate);
    assert_setting_error("not-a-key.toml", listen, &lines, "tls_key", &[&first.certificate]);
    let lines = format!("{certificate}tls_key = {:?}\n", second.key);
    assert_setting_error("other-key.toml", listen, &lines, "tls_key", &[&second.key]);
    let lines = format!("{certificate}{key}allow_plain_text = true\n");
    assert_setting_error("both.toml", listen, &lines, "allow_plain_text", &["true"]);
    let lines = "allow_plain_text = \"yes\"\n";
    assert_setting_error(
        "words.toml",
        "127.0.0.1:0",
        lines,
        "allow_plain_text",
        &["yes", "true or false"],
    );
}

#[test]
fn commands_trust_only_the_configured_certificate() {
    let files = CertificateFiles::new("entry");
    let other = CertificateFiles::new("other");
    let platform = SiteProcess::start(&["stand-in", "platform", "--listen", "127.0.0.1:0"]);
    let lines = format!("tls_certificate = {:?}\ntls_key = {:?}\n", files.certificate, files.key);
    let text = settings("127.0.0.1:0", &platform.address.to_string(), &lines);
    let file = scratch_file("secure.toml", &text);
    let entry = SiteProcess::start(&["entry", "--settings", &file]);
    let address = entry.address.to_string();
    let variables = [("MAGNOLIAPIN_ENTRY", address.as_str()), ("MAGNOLIAPIN_KEY", OPERATOR_KEY)];
    let trusted = ["--ca", &files.certificate, "config", "apply", DOCUMENT];
    let applied = run_with(&variables, &trusted);
    assert_eq!(applied.code, 0, "{}", applied.errors);
    wait_for("status succeeds with the certificate from the environment", || {
        let ca = ("MAGNOLIAPIN_CA", files.certificate.as_str());
        run_with(&[variables[0], variables[1], ca], &["status"]).code == 0
    });
    let refused = run_with(&variables, &["--ca", &other.certificate, "status"]);
    assert_eq!(refused.code, 3, "{}", refused.errors);
    assert!(refused.errors.contains("no trusted certificate"), "{}", refused.errors);
    assert_ne!(run_with(&variables, &["status"]).code, 0);
    let missing = run_with(&variables, &["--ca", "/no/such.pem", "status"]);
    assert_eq!(missing.code, 2, "{}", missing.errors);
    assert!(missing.errors.contains("/no/such.pem"), "{}", missing.errors);
}
