//! Memory of an entry's machine, from the growth of the process's resident pages.

use std::io;
use std::io::Write;
use std::time::Duration;

use crate::markdown::fixed;
use crate::markdown::write_head;
use crate::markdown::write_row;
use crate::site::SiteSize;
use crate::site::SlopeSite;
use crate::work::work;

const PAGE_BYTES: u64 = 4_096;

/// Writes the tables. Comes first in the process, so that no freed memory hides the growth.
pub(crate) fn write_tables(output: &mut impl Write) -> io::Result<()> {
    let columns = ["entries", "targets", "pools", "teams", "MB an entry"];
    write_head(output, "Memory of a machine without work, with what is in flight", &columns)?;
    let sizes = [
        SiteSize::new(1, 1, 10, 5, 6),
        SiteSize::new(1, 1, 3_300, 5, 6),
        SiteSize::new(1, 1, 20_000, 5, 6),
        SiteSize::new(28, 8, 10, 5, 390),
        SiteSize::designed(),
    ];
    let mut kept = Vec::new();
    for size in sizes {
        let mut site = SlopeSite::prepared(size);
        let before = resident_bytes();
        site.start();
        let each = growth(before) / size.entries as u64;
        let document = size.document;
        let cells: [&dyn std::fmt::Display; 5] =
            [&size.entries, &size.targets, &document.pools, &document.teams, &megabytes(each)];
        write_row(output, &cells)?;
        kept.push(site);
    }
    write_work(output)
}

fn write_work(output: &mut impl Write) -> io::Result<()> {
    let columns = ["1 KB of input each", "bytes each at the entry"];
    write_head(output, "Memory of work that waits", &columns)?;
    let count = 20_000;
    for is_job in [false, true] {
        let mut site = SlopeSite::started(SiteSize::new(1, 1, 10, 5, 6));
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
        let each = growth(before).saturating_sub(stored) / count as u64;
        let name = if is_job { "20,000 jobs, rows left out" } else { "20,000 requests" };
        write_row(output, &[&name, &each])?;
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

/// Returns the bytes of the jobs' rows at the platform, which live in this process too.
fn stored_bytes(site: &mut SlopeSite) -> u64 {
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

/// Returns the resident memory of this process.
fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
