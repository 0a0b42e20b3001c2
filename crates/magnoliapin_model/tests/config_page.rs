//! Checks that docs/CONFIG.md documents every key with its default and its range.

use indexmap::IndexMap;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::MaintenanceSection;
use magnoliapin_model::NumberRange;
use magnoliapin_model::PoolSection;
use magnoliapin_model::QueueSection;
use magnoliapin_model::SectionName;
use magnoliapin_model::TeamSection;
use magnoliapin_model::WeightSection;
use magnoliapin_model::MAX_DOCUMENT_BYTES;
use magnoliapin_model::MAX_DOCUMENT_ERRORS;

const PAGE: &str = include_str!("../../../docs/CONFIG.md");
const HEADERS: [&str; 5] =
    ["[pools.<name>]", "[teams.<name>]", "[queues.<name>]", "[maintenance]", "[weights]"];
const REQUIRED: [&str; 3] = ["instances", "limit", "pool"];

struct PageRow {
    default: String,
    allowed: String,
}

/// Returns the rows of the table under a section's heading, by key.
fn page_rows(header: &str) -> IndexMap<String, PageRow> {
    let (_, rest) =
        PAGE.split_once(&format!("\n## `{header}`\n")).expect("the page has the heading");
    let section = rest.split("\n## ").next().expect("split yields at least one item");
    let rows = section.lines().filter(|line| line.starts_with("| `")).map(|line| {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let row = PageRow { default: cells[3].to_owned(), allowed: cells[4].to_owned() };
        (cells[1].trim_matches('`').to_owned(), row)
    });
    rows.collect()
}

fn default_texts() -> Vec<String> {
    let mut document = ConfigDocument::default();
    let name = "a".parse().expect("valid name");
    document.pools.insert(name, PoolSection::default());
    document.teams.insert("a".parse().expect("valid name"), TeamSection::default());
    document.queues.insert("a".parse().expect("valid name"), QueueSection::default());
    let sections: IndexMap<SectionName, String> = document.sections();
    ["pools.a", "teams.a", "queues.a", "maintenance", "weights"]
        .iter()
        .map(|name| sections[&name.parse::<SectionName>().expect("valid section name")].clone())
        .collect()
}

#[test]
fn page_lists_every_key() {
    let keys = [
        PoolSection::KEYS,
        TeamSection::KEYS,
        QueueSection::KEYS,
        MaintenanceSection::KEYS,
        WeightSection::KEYS,
    ];
    for (header, keys) in HEADERS.iter().zip(keys) {
        let rows: Vec<String> = page_rows(header).into_keys().collect();
        assert_eq!(rows, keys, "{header}");
    }
}

#[test]
fn page_lists_every_default() {
    for (header, text) in HEADERS.iter().zip(default_texts()) {
        let rows = page_rows(header);
        for line in text.lines() {
            let (key, value) = line.split_once(" = ").unwrap();
            let default =
                if REQUIRED.contains(&key) { "required".to_owned() } else { format!("`{value}`") };
            assert_eq!(rows[key].default, default, "{header} {key}");
        }
    }
}

#[test]
fn page_lists_every_range() {
    let ranges: [(usize, &str, NumberRange); 13] = [
        (0, "instances", PoolSection::INSTANCES),
        (1, "weight", TeamSection::WEIGHT),
        (1, "limit", TeamSection::LIMIT),
        (2, "max_body_bytes", QueueSection::MAX_BODY_BYTES),
        (2, "timeout_ms", QueueSection::TIMEOUT_MS),
        (2, "max_run_ms", QueueSection::MAX_RUN_MS),
        (2, "max_attempts", QueueSection::MAX_ATTEMPTS),
        (2, "max_waiting", QueueSection::MAX_WAITING),
        (3, "period_hours", MaintenanceSection::PERIOD_HOURS),
        (3, "drain_seconds", MaintenanceSection::DRAIN_SECONDS),
        (3, "max_racks", MaintenanceSection::MAX_RACKS),
        (3, "canary_instances", MaintenanceSection::CANARY_INSTANCES),
        (3, "canary_seconds", MaintenanceSection::CANARY_SECONDS),
    ];
    for (section, key, range) in ranges {
        let allowed = format!("from {} to {}", range.min, range.max);
        assert_eq!(page_rows(HEADERS[section])[key].allowed, allowed, "{key}");
    }
    assert!(PAGE.contains(&format!("at most {MAX_DOCUMENT_BYTES} bytes")));
    assert!(PAGE.contains(&format!("up to {MAX_DOCUMENT_ERRORS} of them")));
    assert!(PAGE.contains(&format!("at most {} names", TeamSection::MAX_KEYS)));
}
