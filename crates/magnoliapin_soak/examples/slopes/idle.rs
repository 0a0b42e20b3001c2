//! Cost of an entry without work, by the size of the site.

use std::fmt::Display;
use std::io;
use std::io::Write;
use std::time::Duration;

use crate::driver::TrafficCount;
use crate::markdown::fixed;
use crate::markdown::write_head;
use crate::markdown::write_row;
use crate::site::SimulatedSite;
use crate::site::SiteSize;

/// Time for the quota slices of the teams' limits to be distributed.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const MEASURED_TIME: Duration = Duration::from_secs(10);

/// Writes the tables.
pub(crate) fn write_tables(output: &mut impl Write) -> io::Result<()> {
    let columns = [
        "entries",
        "zones",
        "targets",
        "pools",
        "teams",
        "µs a tick",
        "ticks % of a core",
        "peers %",
        "answers of the platform %",
        "all %",
    ];
    write_head(output, "One entry's machine without work, processor time of its events", &columns)?;
    for size in [
        SiteSize::new(2, 1, 50, 5, 6),
        SiteSize::new(9, 1, 50, 5, 6),
        SiteSize::new(28, 8, 50, 5, 6),
        SiteSize::new(2, 1, 410, 5, 6),
        SiteSize::new(2, 1, 3_300, 5, 6),
        SiteSize::new(2, 1, 50, 5, 100),
        SiteSize::new(2, 1, 50, 5, 390),
    ] {
        write_cost(output, size)?;
    }
    let current = write_cost(output, SiteSize::current())?;
    let design_size = write_cost(output, SiteSize::design_size())?;
    write_traffic(output, "today", &current)?;
    write_traffic(output, "size to design for", &design_size)
}

/// Measures a site and writes the row of its first entry.
fn write_cost(output: &mut impl Write, size: SiteSize) -> io::Result<SimulatedSite> {
    let mut site = SimulatedSite::started(size);
    site.run_for(SETTLE_TIME);
    site.reset();
    site.run_for(MEASURED_TIME);
    let percent = |kind| fixed(site.cost.share_of(kind) * 100.0);
    let tick = fixed(site.cost.mean_time_of("tick").as_secs_f64() * 1_000_000.0);
    let all = fixed(site.cost.core_share() * 100.0);
    let document = size.document;
    let cells: [&dyn Display; 10] = [
        &size.entries,
        &size.zones,
        &size.targets,
        &document.pools,
        &document.teams,
        &tick,
        &percent("tick"),
        &percent("peer"),
        &percent("platform"),
        &all,
    ];
    write_row(output, &cells)?;
    Ok(site)
}

fn write_traffic(output: &mut impl Write, name: &str, site: &SimulatedSite) -> io::Result<()> {
    let entries = site.size.entries;
    let title = format!("One entry without work, a second: {name}, {entries} entries");
    write_head(output, &title, &["what", "calls or datagrams", "bytes", "calls of all entries"])?;
    write_counts(output, &site.traffic, entries as f64)
}

fn write_counts(output: &mut impl Write, traffic: &TrafficCount, entries: f64) -> io::Result<()> {
    let second = MEASURED_TIME.as_secs_f64();
    let mut row = |what: &str, count: u64, bytes: u64| {
        let (count, bytes) = (count as f64 / second, bytes as f64 / second);
        write_row(output, &[&what, &fixed(count), &bytes.round(), &fixed(count * entries)])
    };
    row("datagrams sent, as many come", traffic.datagrams, traffic.datagram_bytes)?;
    for (kind, (count, bytes)) in &traffic.platform {
        row(kind, *count, *bytes)?;
    }
    row("rows and records read", traffic.rows_read, 0)?;
    row("rows written", traffic.rows_written, 0)
}
