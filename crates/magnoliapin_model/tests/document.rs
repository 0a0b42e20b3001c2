//! Reading, checking and writing whole documents.

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
    ConfigDocument::parse(&text).expect("the document is right")
}

fn team(name: &str) -> TeamId {
    TeamId::new(name).expect("the name is right")
}

fn section(name: &str) -> SectionName {
    SectionName::from_str(name).expect("the name is right")
}

#[test]
fn sections_are_complete_and_canonical() {
    let document = document();
    insta::assert_snapshot!(document.to_toml());
    assert_eq!(ConfigDocument::from_sections(&document.sections()).unwrap(), document);
    assert_eq!(ConfigDocument::parse(&document.to_toml()).unwrap(), document);
}

#[test]
fn a_key_is_found_with_its_team() {
    let document = document();
    let ring = KeyRing::new(&document);
    let found = Some((team("guides"), KeyId::new("evening").unwrap()));
    let hash = KeyHash::new("guides-secret");
    assert_eq!(document.team_of_key(&hash), found);
    assert_eq!(ring.find(&hash), found);
    let stranger = KeyHash::new("another-secret");
    assert_eq!(document.team_of_key(&stranger), None);
    assert_eq!(ring.find(&stranger), None);
}

#[test]
fn a_hash_that_only_starts_like_a_stored_one_is_not_found() {
    let mut document = document();
    let with_end = |end: char| -> KeyHash {
        let mut text = KeyHash::new("guides-secret").to_string();
        text.pop();
        text.push(end);
        text.parse().unwrap()
    };
    let (first, second, third) = (with_end('1'), with_end('2'), with_end('3'));
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
fn an_owned_section_is_changed_by_its_owner_alone() {
    let document = document();
    let booking = section("queues.booking");
    assert_eq!(document.may_change(team("guides"), booking), Ok(()));
    let refused = NotOwner { section: booking, owner: Some(team("guides")) };
    assert_eq!(document.may_change(team("ops"), booking), Err(refused));
}

#[test]
fn a_section_without_owner_is_changed_by_operators_alone() {
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
fn operators_change_sections_of_an_owner_without_keys() {
    let mut document = document();
    document.teams[&team("guides")].keys.clear();
    let booking = section("queues.booking");
    assert_eq!(document.may_change(team("ops"), booking), Ok(()));
    assert!(document.may_change(team("guides"), booking).is_err());
}

#[test]
fn a_difference_names_sections_and_lines() {
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
fn a_secret_is_random_and_never_shown() {
    let mut generator = StdRng::seed_from_u64(1);
    let secret = KeySecret::new(&mut generator);
    assert_eq!(secret.expose().len(), 64);
    assert_ne!(secret.expose(), KeySecret::new(&mut generator).expose());
    for shown in [format!("{secret}"), format!("{secret:?}"), format!("{secret:#?}")] {
        assert!(!shown.contains(&secret.expose()[..4]), "{shown}");
    }
    assert_eq!(secret.hash(), KeyHash::new(secret.expose()));
}
