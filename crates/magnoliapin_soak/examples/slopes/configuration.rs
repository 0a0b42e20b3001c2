//! What a change of the configuration costs, and how long until it is in force everywhere.

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
use crate::site::SiteSize;
use crate::site::SlopeSite;

/// Changes of one measurement.
const CHANGES: u32 = 20;
const ROUNDS: u32 = 10;
/// Least time between two changes.
const PAUSE: Duration = Duration::from_millis(500);
/// A change that is not in force by then counts as missing.
const LONGEST: Duration = Duration::from_secs(10);

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
        let parse = millis(|| drop(black_box(ConfigDocument::parse(black_box(&text)))));
        let document = ConfigDocument::parse(&text).expect("a valid document");
        let sections = document.sections();
        let build = millis(|| drop(black_box(ConfigDocument::from_sections(&sections))));
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
    for size in [SiteSize::today(), SiteSize::designed()] {
        let mut site = SlopeSite::started(size);
        site.run_for(Duration::from_secs(5));
        let (idle_time, idle_bytes) = (site.cost.total(), config_bytes(&site));
        site.reset();
        let began = site.now;
        let mut spread = ChangeSpread::default();
        for number in 0..CHANGES {
            spread.apply(&mut site, number);
        }
        let span = site.now.since(began).as_secs_f64() / 5.0;
        let time = site.cost.total().as_secs_f64() - idle_time.as_secs_f64() * span;
        let bytes = config_bytes(&site) as f64 - idle_bytes as f64 * span;
        let longest = fixed(spread.longest.as_secs_f64());
        let each = fixed(time.max(0.0) * 1_000.0 / f64::from(CHANGES));
        let bytes = (bytes.max(0.0) / f64::from(CHANGES)).round();
        let teams = size.document.teams;
        write_row(
            output,
            &[&size.entries, &teams, &CHANGES, &spread.refused, &longest, &each, &bytes],
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
    /// Applies one change through an entry and waits until it is in force everywhere.
    fn apply(&mut self, site: &mut SlopeSite, number: u32) {
        let began = site.now;
        let version = site.machines[0].config_version();
        let team = 1 + number as usize % (site.size.document.teams - 1);
        let name = format!("teams.t{team}").parse::<SectionName>().expect("a section");
        let text = format!("limit = {}\n", 20_000 + number);
        let sections = IndexMap::from([(name, Some(text))]);
        let change = ConfigChange { base: None, sections, whole: false };
        let entry = number as usize % site.machines.len();
        let call = site.call(entry, 0, CallerBody::ApplyConfig(change));
        let wanted = ConfigVersion(version.0 + 1);
        let mut everywhere = false;
        while !everywhere && site.now.since(began) < LONGEST {
            site.run_for(Duration::from_millis(5));
            everywhere =
                site.machines.iter().map(EntryMachine::config_version).all(|held| held >= wanted);
        }
        self.longest = self.longest.max(site.now.since(began));
        site.run_for(PAUSE.saturating_sub(site.now.since(began)));
        let applied = matches!(site.answers.get(&call), Some((_, CallerAnswer::Applied { .. })));
        self.refused += u32::from(!applied);
    }
}

/// Returns the bytes of reads by key and transactions, which changes cause.
fn config_bytes(site: &SlopeSite) -> u64 {
    let kinds = ["read of keys", "transaction", "other scan"];
    let bytes = kinds.iter().filter_map(|kind| site.traffic.platform.get(*kind));
    bytes.map(|(_, bytes)| bytes).sum()
}

fn millis(mut act: impl FnMut()) -> String {
    let began = Instant::now();
    for _ in 0..ROUNDS {
        act();
    }
    fixed(began.elapsed().as_secs_f64() * 1_000.0 / f64::from(ROUNDS))
}
