//! Parsing, validation and serialization of whole documents.

use std::str::FromStr;

use magnoliapin_model::ConfigDocument;
use magnoliapin_model::KeyHash;
use magnoliapin_model::KeyId;
use magnoliapin_model::KeyRing;
use magnoliapin_model::KeySecret;
use magnoliapin_model::NotOwner;
use magnoliapin_model::SectionDiff;
use magnoliapin_model::SectionName;
use magnoliapin_model::TeamId;
use rand::rngs::StdRng;
use rand::SeedableRng;

fn document() -> ConfigDocument {
    let ops = KeyHash::new("ops-secret");
    let guides = KeyHash::new("guides-secret");
    let text = format!(
        r#"
[queues.booking]
pool = "front"
owner = "guides"

[pools.front]
instances = 10
max_unavailable = 2

[teams.ops]
limit = 10
operator = true
[teams.ops.keys]
"first.key" = "{ops}"

[teams.guides]
limit = 20
keys.evening = "{guides}"
"#
    );
    ConfigDocument::parse(&text).expect("the document is valid")
}

fn team(name: &str) -> TeamId {
    TeamId::new(name).expect("the name is valid")
}

fn section(name: &str) -> SectionName {
    SectionName::from_str(name).expect("the name is valid")
}

#[test]
fn sections_are_complete_and_canonical() {
    let document = document();
    insta::assert_snapshot!(document.to_toml());
    assert_eq!(ConfigDocument::from_sections(&document.sections()).unwrap(), document);
    assert_eq!(ConfigDocument::parse(&document.to_toml()).unwrap(), document);
}

#[test]
fn key_lookup_returns_its_team() {
    let document = document();
    let ring = KeyRing::new(&document);
    let found = Some((team("guides"), KeyId::new("evening").unwrap()));
    let hash = KeyHash::new("guides-secret");
    assert_eq!(document.team_of_key(&hash), found);
    assert_eq!(ring.find(&hash), found);
    let unknown_hash = KeyHash::new("another-secret");
    assert_eq!(document.team_of_key(&unknown_hash), None);
    assert_eq!(ring.find(&unknown_hash), None);
}

#[test]
fn hash_sharing_only_a_prefix_is_not_found() {
    let mut document = document();
    let with_last_digit = |digit: char| -> KeyHash {
        let mut text = KeyHash::new("guides-secret").to_string();
        text.pop();
        text.push(digit);
        text.parse().unwrap()
    };
    let (first, second, third) = (with_last_digit('1'), with_last_digit('2'), with_last_digit('3'));
    document.teams[&team("guides")].keys.insert("first".parse().unwrap(), first);
    document.teams[&team("ops")].keys.insert("second".parse().unwrap(), second);
    let ring = KeyRing::new(&document);
    let found = Some((team("ops"), KeyId::new("second").unwrap()));
    assert_eq!(ring.find(&second), found);
    assert_eq!(document.team_of_key(&second), found);
    assert_eq!(ring.find(&third), None);
    assert_eq!(document.team_of_key(&third), None);
}

#[test]
fn only_the_owner_may_change_an_owned_section() {
    let document = document();
    let booking = section("queues.booking");
    assert_eq!(document.may_change(team("guides"), booking), Ok(()));
    let refused = NotOwner { section: booking, owner: Some(team("guides")) };
    assert_eq!(document.may_change(team("ops"), booking), Err(refused));
}

#[test]
fn only_operators_may_change_a_section_without_owner() {
    let document = document();
    for name in ["pools.front", "teams.guides", "queues.new", "weights"] {
        let section = section(name);
        assert_eq!(document.may_change(team("ops"), section), Ok(()));
        let refused = NotOwner { section, owner: None };
        assert_eq!(document.may_change(team("guides"), section), Err(refused));
        assert_eq!(document.may_change(team("unknown"), section), Err(refused));
    }
}

#[test]
fn operators_may_change_sections_of_an_owner_without_keys() {
    let mut document = document();
    document.teams[&team("guides")].keys.clear();
    let booking = section("queues.booking");
    assert_eq!(document.may_change(team("ops"), booking), Ok(()));
    assert!(document.may_change(team("guides"), booking).is_err());
}

#[test]
fn diff_lists_sections_and_lines() {
    let old = document();
    let mut new = old.clone();
    new.pools[0].max_unavailable = 3;
    new.teams.shift_remove(&team("guides"));
    let extra = new.queues[0].clone();
    new.queues.insert("photos".parse().unwrap(), extra);
    let diff = SectionDiff::new(&old.sections(), &new.sections());
    insta::assert_snapshot!(diff.to_string());
    assert!(SectionDiff::new(&old.sections(), &old.sections()).is_empty());
}

#[test]
fn secret_is_random_and_redacted() {
    let mut generator = StdRng::seed_from_u64(1);
    let secret = KeySecret::new(&mut generator);
    assert_eq!(secret.expose().len(), 64);
    assert_ne!(secret.expose(), KeySecret::new(&mut generator).expose());
    for shown in [format!("{secret}"), format!("{secret:?}"), format!("{secret:#?}")] {
        assert!(!shown.contains(&secret.expose()[..4]), "{shown}");
    }
    assert_eq!(secret.hash(), KeyHash::new(secret.expose()));
}
