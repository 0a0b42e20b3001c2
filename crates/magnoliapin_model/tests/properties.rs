//! Property tests: round trips of generated values, and parsing of arbitrary input.

use std::fmt::Debug;
use std::fmt::Display;
use std::str::FromStr;

use indexmap::IndexMap;
use magnoliapin_model::Attempt;
use magnoliapin_model::ByteSize;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::DocumentSnapshot;
use magnoliapin_model::EntryId;
use magnoliapin_model::KeyHash;
use magnoliapin_model::KeyId;
use magnoliapin_model::KeyRing;
use magnoliapin_model::MaintenanceSection;
use magnoliapin_model::NumberRange;
use magnoliapin_model::PoolId;
use magnoliapin_model::PoolSection;
use magnoliapin_model::QueueId;
use magnoliapin_model::QueueSection;
use magnoliapin_model::SectionDiff;
use magnoliapin_model::SectionName;
use magnoliapin_model::ShortName;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use magnoliapin_model::TeamSection;
use magnoliapin_model::WeightSection;
use magnoliapin_model::WorkId;
use magnoliapin_model::MAX_DOCUMENT_ERRORS;
use magnoliapin_model::MAX_NAME_BYTES;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn names(max: usize) -> impl Strategy<Value = Vec<String>> {
    prop::collection::hash_set("[a-z0-9_.-]{1,40}", 1..=max).prop_map(|names| {
        let mut names: Vec<String> = names.into_iter().collect();
        names.sort_unstable();
        names
    })
}

fn number(range: NumberRange) -> impl Strategy<Value = u32> {
    let max = u32::try_from(range.max).unwrap_or(u32::MAX);
    let min = u32::try_from(range.min).unwrap_or(u32::MAX);
    min..=max
}

fn pool() -> impl Strategy<Value = PoolSection> {
    (1_u32..=10_000, any::<u32>(), "[!#-&(-\\[\\]-~]{0,200}").prop_map(
        |(instances, budget, image)| {
            let max_unavailable = budget % instances;
            PoolSection { instances, max_unavailable, image, ..PoolSection::default() }
        },
    )
}

fn team() -> impl Strategy<Value = TeamSection> {
    let numbers = (number(TeamSection::WEIGHT), number(TeamSection::LIMIT));
    (numbers, any::<bool>(), names(4)).prop_map(|((weight, limit), operator, keys)| {
        let keys = keys.iter().map(|key| (key.parse().expect("valid name"), KeyHash::new(key)));
        let keys: IndexMap<KeyId, KeyHash> = keys.collect();
        TeamSection { owner: None, weight, limit: SlotCount(limit), operator, keys }
    })
}

fn queue() -> impl Strategy<Value = QueueSection> {
    let bounds = (
        number(QueueSection::MAX_BODY_BYTES),
        number(QueueSection::TIMEOUT_MS),
        number(QueueSection::MAX_RUN_MS),
        number(QueueSection::MAX_ATTEMPTS),
        number(QueueSection::MAX_WAITING),
    );
    (bounds, any::<bool>()).prop_map(|((body, timeout, run, attempts, waiting), idempotent)| {
        QueueSection {
            idempotent,
            max_body_bytes: ByteSize(body.into()),
            timeout_ms: timeout.into(),
            max_run_ms: run.into(),
            max_attempts: attempts,
            max_waiting: waiting,
            ..QueueSection::default()
        }
    })
}

fn maintenance() -> impl Strategy<Value = MaintenanceSection> {
    let numbers = (
        number(MaintenanceSection::PERIOD_HOURS),
        number(MaintenanceSection::DRAIN_SECONDS),
        number(MaintenanceSection::MAX_RACKS),
        number(MaintenanceSection::CANARY_INSTANCES),
        number(MaintenanceSection::CANARY_SECONDS),
    );
    (numbers, any::<bool>()).prop_map(|((period, drain, racks, canaries, seconds), paused)| {
        MaintenanceSection {
            owner: None,
            period_hours: period,
            drain_seconds: drain,
            max_racks: racks,
            paused,
            canary_instances: canaries,
            canary_seconds: seconds,
        }
    })
}

fn weights() -> impl Strategy<Value = WeightSection> {
    (0.001..=1e6, 0.0..=1e6, 0.0..=1e6, 0.0..=1e6).prop_map(|(buffer, share, moves, rollout)| {
        WeightSection { owner: None, buffer, share, moves, rollout }
    })
}

/// Generates valid documents: references point to sections that exist.
fn documents() -> impl Strategy<Value = ConfigDocument> {
    let pools = (names(4), vec(pool(), 4));
    let teams = (names(5), vec(team(), 5));
    let queues = (names(6), vec(queue(), 6), vec(option::of(any::<usize>()), 6));
    (pools, teams, queues, maintenance(), weights()).prop_map(
        |(pools, teams, queues, maintenance, weights)| {
            let mut document = ConfigDocument { maintenance, weights, ..Default::default() };
            add_teams(&mut document, &teams.0, teams.1);
            add_pools(&mut document, &pools.0, pools.1);
            add_queues(&mut document, &queues.0, queues.1, &queues.2);
            document
        },
    )
}

fn add_teams(document: &mut ConfigDocument, names: &[String], sections: Vec<TeamSection>) {
    for (name, mut section) in names.iter().zip(sections) {
        let secret = |key: &KeyId| KeyHash::new(&format!("{name} {key}"));
        section.keys = section.keys.keys().map(|key| (*key, secret(key))).collect();
        section.operator |= document.teams.is_empty();
        document.teams.insert(name.parse().expect("valid name"), section);
    }
}

fn add_pools(document: &mut ConfigDocument, names: &[String], sections: Vec<PoolSection>) {
    for (name, section) in names.iter().zip(sections) {
        document.pools.insert(name.parse().expect("valid name"), section);
    }
}

fn add_queues(
    document: &mut ConfigDocument,
    names: &[String],
    sections: Vec<QueueSection>,
    picks: &[Option<usize>],
) {
    for ((index, name), mut section) in names.iter().enumerate().zip(sections) {
        section.pool = document.pools.keys()[index % document.pools.len()];
        section.open_team = picks[index].map(|pick| pick_team(document, pick));
        section.open = section.open_team.is_some();
        section.teams = section.open_team.into_iter().collect();
        section.owner = picks[0].map(|pick| pick_team(document, pick));
        document.queues.insert(name.parse().expect("valid name"), section);
    }
    for (pool, section) in &mut document.pools {
        section.spare = !document.queues.values().any(|queue| queue.pool == *pool);
    }
}

fn pick_team(document: &ConfigDocument, pick: usize) -> TeamId {
    document.teams.keys()[pick % document.teams.len()]
}

fn round_trips<T: FromStr + Display + PartialEq + Debug>(value: &T) -> bool {
    value.to_string().parse::<T>().is_ok_and(|parsed| parsed == *value)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn identifiers_round_trip(entry: u64, work: u128, attempt: u32) {
        prop_assert!(round_trips(&EntryId(entry)));
        prop_assert!(round_trips(&WorkId(work)));
        prop_assert!(round_trips(&Attempt(attempt)));
        prop_assert!(round_trips(&TaskId::new(WorkId(work), Attempt(attempt))));
    }

    #[test]
    fn key_hashes_round_trip(secret in ".*") {
        prop_assert!(round_trips(&KeyHash::new(&secret)));
    }

    #[test]
    fn names_round_trip(name in "[a-z0-9_.-]{1,40}") {
        prop_assert!(round_trips(&QueueId::new(&name).unwrap()));
        for section in [
            SectionName::Pool(PoolId::new(&name).unwrap()),
            SectionName::Team(TeamId::new(&name).unwrap()),
            SectionName::Queue(QueueId::new(&name).unwrap()),
        ] {
            prop_assert!(round_trips(&section));
        }
    }

    #[test]
    fn texts_are_names_if_and_only_if_valid(text in "[a-z.]{0,50}|.{0,50}") {
        let is_valid = (1..=MAX_NAME_BYTES).contains(&text.len())
            && text.bytes().all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.'));
        prop_assert_eq!(ShortName::new(&text).is_ok(), is_valid);
    }

    #[test]
    fn arbitrary_text_is_rejected_or_round_trips(text in ".*") {
        if let Ok(section) = text.parse::<SectionName>() {
            prop_assert_eq!(section.to_string(), text.as_str());
        }
        if let Ok(task) = text.parse::<TaskId>() {
            prop_assert!(round_trips(&task));
        }
        if let Ok(hash) = text.parse::<KeyHash>() {
            prop_assert!(round_trips(&hash));
        }
    }

    #[test]
    fn documents_round_trip_through_sections_and_toml(document in documents()) {
        prop_assert_eq!(document.check(), vec![]);
        let sections = document.sections();
        let parsed = ConfigDocument::from_sections(&sections).unwrap();
        prop_assert_eq!(&parsed, &document);
        prop_assert_eq!(&parsed.sections(), &sections);
        prop_assert_eq!(&ConfigDocument::parse(&document.to_toml()).unwrap(), &document);
    }

    #[test]
    fn snapshots_round_trip_and_damaged_ones_are_rejected(
        document in documents(),
        version: u64,
        length in any::<prop::sample::Index>(),
        change in any::<prop::sample::Index>(),
    ) {
        let snapshot = DocumentSnapshot::new(ConfigVersion(version), document);
        let text = snapshot.to_string();
        prop_assert_eq!(text.parse::<DocumentSnapshot>(), Ok(snapshot));
        prop_assert!(text[..length.index(text.len())].parse::<DocumentSnapshot>().is_err());
        let position = change.index(text.len());
        let replacement = if &text[position..=position] == "7" { "8" } else { "7" };
        let changed = [&text[..position], replacement, &text[position + 1..]].concat();
        prop_assert!(changed.parse::<DocumentSnapshot>().is_err());
    }

    #[test]
    fn every_key_is_found_in_document_and_key_ring(document in documents()) {
        let ring = KeyRing::new(&document);
        for (team, section) in &document.teams {
            for (key, hash) in &section.keys {
                prop_assert_eq!(ring.find(hash), Some((*team, *key)));
                prop_assert_eq!(document.team_of_key(hash), Some((*team, *key)));
            }
        }
    }

    #[test]
    fn diff_lists_exactly_the_sections_that_differ(old in documents(), new in documents()) {
        let (old, new) = (old.sections(), new.sections());
        let diff = SectionDiff::new(&old, &new);
        for name in old.keys().chain(new.keys()) {
            prop_assert_eq!(diff.edits.contains_key(name), old.get(name) != new.get(name));
        }
    }

    #[test]
    fn arbitrary_text_is_rejected_as_document(text in ".{0,400}") {
        let errors = ConfigDocument::parse(&text).unwrap_err();
        prop_assert!((1..=MAX_DOCUMENT_ERRORS).contains(&errors.len()));
    }

    #[test]
    fn corrupted_documents_are_parsed_or_rejected(
        document in documents(),
        edits in vec((any::<prop::sample::Index>(), "[\\[\\]=.\"a-z0-9 \n{}#-]{0,3}", 0..4_usize), 1..6),
    ) {
        let mut text: Vec<char> = document.to_toml().chars().collect();
        for (position, insert, removed) in edits {
            let start = position.index(text.len() + 1);
            let end = (start + removed).min(text.len());
            text.splice(start..end, insert.chars());
        }
        let text: String = text.into_iter().collect();
        match ConfigDocument::parse(&text) {
            Ok(document) => prop_assert_eq!(document.check(), vec![]),
            Err(errors) => prop_assert!((1..=MAX_DOCUMENT_ERRORS).contains(&errors.len())),
        }
    }
}
