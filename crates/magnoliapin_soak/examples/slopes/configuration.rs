//! Cost of a configuration change, and the time until it is in force at every entry.

use std::hint::black_box;
use std::io;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::SectionName;
use magnoliapin_policy::EntryMachine;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::CallerBody;
use magnoliapin_wire::ConfigChange;

use crate::document::document_text;
use crate::document::DocumentSize;
use crate::markdown::fixed;
use crate::markdown::write_head;
use crate::markdown::write_row;
use crate::site::SimulatedSite;
use crate::site::SiteSize;

/// Number of changes in one measurement.
const CHANGES: u32 = 20;
const ROUNDS: u32 = 10;
/// Minimum time between two changes.
const PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for a change to be in force at every entry.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Writes the tables.
pub(crate) fn write_tables(output: &mut impl Write) -> io::Result<()> {
    write_document(output)?;
    write_spread(output)
}

fn write_document(output: &mut impl Write) -> io::Result<()> {
    let columns = ["pools", "teams", "queues", "bytes", "parse and check ms", "from sections ms"];
    write_head(output, "A whole document", &columns)?;
    for (pools, teams, queues) in [(5, 6, 5), (101, 100, 300), (101, 390, 300)] {
        let size = DocumentSize { pools, teams, queues, pool_instances: 30, limit: 10_000 };
        let text = document_text(size);
        let parse = mean_millis(|| drop(black_box(ConfigDocument::parse(black_box(&text)))));
        let document = ConfigDocument::parse(&text).expect("a valid document");
        let sections = document.sections();
        let build = mean_millis(|| drop(black_box(ConfigDocument::from_sections(&sections))));
        write_row(output, &[&pools, &teams, &queues, &text.len(), &parse, &build])?;
    }
    Ok(())
}

fn write_spread(output: &mut impl Write) -> io::Result<()> {
    let columns = [
        "entries",
        "teams",
        "changes",
        "refused",
        "in force everywhere, longest s",
        "ms of processor an entry a change",
        "bytes an entry a change",
    ];
    write_head(output, "Changes of one team's section, half a second apart or more", &columns)?;
    for size in [SiteSize::current(), SiteSize::design_size()] {
        let mut site = SimulatedSite::started(size);
        site.run_for(Duration::from_secs(5));
        let (idle_time, idle_bytes) = (site.cost.total(), config_bytes(&site));
        site.reset();
        let started_at = site.now;
        let mut spread = ChangeSpread::default();
        for number in 0..CHANGES {
            spread.apply(&mut site, number);
        }
        let span = site.now.since(started_at).as_secs_f64() / 5.0;
        let time = site.cost.total().as_secs_f64() - idle_time.as_secs_f64() * span;
        let bytes = config_bytes(&site) as f64 - idle_bytes as f64 * span;
        let longest = fixed(spread.longest.as_secs_f64());
        let time_per_change = fixed(time.max(0.0) * 1_000.0 / f64::from(CHANGES));
        let bytes = (bytes.max(0.0) / f64::from(CHANGES)).round();
        let teams = size.document.teams;
        write_row(
            output,
            &[&size.entries, &teams, &CHANGES, &spread.refused, &longest, &time_per_change, &bytes],
        )?;
    }
    Ok(())
}

#[derive(Debug, Default)]
struct ChangeSpread {
    refused: u32,
    longest: Duration,
}

impl ChangeSpread {
    /// Applies one change through an entry and waits until it is in force at every entry.
    fn apply(&mut self, site: &mut SimulatedSite, number: u32) {
        let started_at = site.now;
        let version = site.machines[0].config_version();
        let team = 1 + number as usize % (site.size.document.teams - 1);
        let name = format!("teams.t{team}").parse::<SectionName>().expect("a section");
        let text = format!("limit = {}\n", 20_000 + number);
        let sections = IndexMap::from([(name, Some(text))]);
        let change = ConfigChange { base: None, sections, whole: false };
        let entry = number as usize % site.machines.len();
        let call = site.call(entry, 0, CallerBody::ApplyConfig(change));
        let expected = ConfigVersion(version.0 + 1);
        let mut in_force = false;
        while !in_force && site.now.since(started_at) < SPREAD_TIMEOUT {
            site.run_for(Duration::from_millis(5));
            in_force = site
                .machines
                .iter()
                .map(EntryMachine::config_version)
                .all(|current| current >= expected);
        }
        self.longest = self.longest.max(site.now.since(started_at));
        site.run_for(PAUSE.saturating_sub(site.now.since(started_at)));
        let applied = matches!(site.answers.get(&call), Some((_, CallerAnswer::Applied { .. })));
        self.refused += u32::from(!applied);
    }
}

/// Returns the bytes of the platform calls that changes cause: reads by key, transactions and
/// scans of other prefixes.
fn config_bytes(site: &SimulatedSite) -> u64 {
    let kinds = ["read of keys", "transaction", "other scan"];
    let bytes = kinds.iter().filter_map(|kind| site.traffic.platform.get(*kind));
    bytes.map(|(_, bytes)| bytes).sum()
}

fn mean_millis(mut operation: impl FnMut()) -> String {
    let started_at = Instant::now();
    for _ in 0..ROUNDS {
        operation();
    }
    fixed(started_at.elapsed().as_secs_f64() * 1_000.0 / f64::from(ROUNDS))
}
