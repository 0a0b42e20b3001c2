//! Width of the `status` output with the longest names and largest numbers.

use magnoliapin_model::ConfigVersion;
use magnoliapin_model::EntryId;
use magnoliapin_model::PoolId;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TeamId;
use magnoliapin_model::ZoneId;
use magnoliapin_wire::EntryState;
use magnoliapin_wire::EntryView;
use magnoliapin_wire::PoolView;
use magnoliapin_wire::StatusView;
use magnoliapin_wire::TeamView;

use crate::command::status::status_text;

const LONGEST_NAME: &str = "a-name-of-forty-characters-which-is-most";

fn entry(number: u64) -> EntryView {
    EntryView {
        entry: EntryId(u64::MAX - number),
        zone: ZoneId::new(&LONGEST_NAME[..36 + number as usize % 4]).unwrap(),
        address: "255.255.255.255:65535".parse().unwrap(),
        state: EntryState::Stopping,
        config: ConfigVersion(999_999),
        silent_ms: 86_400_000,
    }
}

#[test]
fn the_longest_names_and_numbers_fit_80_columns() {
    let status = StatusView {
        config: ConfigVersion(999_999),
        fresh: false,
        platform_up: false,
        entries: (0..9).map(entry).collect(),
        teams: vec![TeamView {
            team: TeamId::new(LONGEST_NAME).unwrap(),
            weight: 100_000,
            limit: SlotCount(100_000),
            running: 100_000,
            waiting: 1_000_000,
        }],
        pools: vec![PoolView {
            pool: PoolId::new(LONGEST_NAME).unwrap(),
            instances: 3_300,
            unavailable: 3_300,
            max_unavailable: 3_300,
            slots: SlotCount(26_400),
        }],
    };
    insta::assert_snapshot!(status_text(&status));
    for line in status_text(&status).lines() {
        assert!(line.chars().count() <= 80, "{} columns: {line}", line.chars().count());
    }
}
