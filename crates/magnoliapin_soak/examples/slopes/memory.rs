//! Memory of an entry's state machine, computed from the growth of the process's resident pages.

use std::io;
use std::io::Write;
use std::time::Duration;

use crate::markdown::fixed;
use crate::markdown::write_head;
use crate::markdown::write_row;
use crate::site::SimulatedSite;
use crate::site::SiteSize;
use crate::work::work;

const PAGE_BYTES: u64 = 4_096;

/// Writes the tables. Must run first in the process: memory freed earlier would hide the growth.
pub(crate) fn write_tables(output: &mut impl Write) -> io::Result<()> {
    let columns = ["entries", "targets", "pools", "teams", "MB an entry"];
    write_head(output, "Memory of a machine without work, with what is in flight", &columns)?;
    let sizes = [
        SiteSize::new(1, 1, 10, 5, 6),
        SiteSize::new(1, 1, 3_300, 5, 6),
        SiteSize::new(1, 1, 20_000, 5, 6),
        SiteSize::new(28, 8, 10, 5, 390),
        SiteSize::design_size(),
    ];
    // Sites stay allocated, because freed memory would hide the growth of the next one.
    let mut kept_sites = Vec::new();
    for size in sizes {
        let mut site = SimulatedSite::prepared(size);
        let before = resident_bytes();
        site.start();
        let bytes_each = growth(before) / size.entries as u64;
        let document = size.document;
        let cells: [&dyn std::fmt::Display; 5] = [
            &size.entries,
            &size.targets,
            &document.pools,
            &document.teams,
            &megabytes(bytes_each),
        ];
        write_row(output, &cells)?;
        kept_sites.push(site);
    }
    write_work(output)
}

fn write_work(output: &mut impl Write) -> io::Result<()> {
    let columns = ["1 KB of input each", "bytes each at the entry"];
    write_head(output, "Memory of work that waits", &columns)?;
    let count = 20_000;
    for is_job in [false, true] {
        let mut site = SimulatedSite::started(SiteSize::new(1, 1, 10, 5, 6));
        let before = resident_bytes();
        let stored_before = stored_bytes(&mut site);
        for number in 0..count {
            site.call(0, 1 + number % 5, padded(number, is_job));
            if number % 100 == 99 {
                site.run_for(crate::site::TICK);
            }
        }
        site.run_for(Duration::from_secs(2));
        let stored = stored_bytes(&mut site).saturating_sub(stored_before);
        let bytes_each = growth(before).saturating_sub(stored) / count as u64;
        let name = if is_job { "20,000 jobs, rows left out" } else { "20,000 requests" };
        write_row(output, &[&name, &bytes_each])?;
    }
    Ok(())
}

fn padded(number: usize, is_job: bool) -> magnoliapin_wire::CallerBody {
    let mut body = work(number % 5, number, 50_000, is_job);
    if let magnoliapin_wire::CallerBody::Run { payload, .. }
    | magnoliapin_wire::CallerBody::Submit { payload, .. } = &mut body
    {
        payload.resize(1_024, b' ');
    }
    body
}

/// Returns the bytes of the job rows at the platform, which is part of this process too.
fn stored_bytes(site: &mut SimulatedSite) -> u64 {
    let read = magnoliapin_wire::TableRead::Prefix {
        prefix: "job/".to_owned(),
        after: String::new(),
        limit: u32::MAX,
    };
    let rows = site.table.read(&read);
    rows.iter().map(|row| (row.key.len() + row.value.len()) as u64).sum()
}

fn growth(before: u64) -> u64 {
    resident_bytes().saturating_sub(before)
}

fn megabytes(bytes: u64) -> String {
    fixed(bytes as f64 / 1_048_576.0)
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
