//! Time until urgent work starts while every slot is busy and more work waits.

use std::io;
use std::io::Write;
use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_policy::CallId;
use magnoliapin_wire::CallerBody;

use crate::markdown::fixed;
use crate::markdown::write_head;
use crate::markdown::write_row;
use crate::site::SimulatedSite;
use crate::site::SiteSize;
use crate::site::TICK;
use crate::work::work;

/// Number of the first urgent request; all other work has lower numbers.
const FIRST_URGENT: usize = 1_000_000;
const URGENT_COUNT: usize = 100;
/// Timeout of an urgent request, in milliseconds.
const URGENT_MS: u64 = 3_400;

/// Writes the table.
pub(crate) fn write_tables(output: &mut impl Write) -> io::Result<()> {
    let columns = [
        "run time of the rest ms",
        "team that asks",
        "urgent requests",
        "started",
        "median s",
        "95 % s",
        "longest s",
    ];
    let title = "From hand-in to start, 9 entries, 50 targets, 400 slots taken and 3 times as \
                 much that waits";
    write_head(output, title, &columns)?;
    for (run_ms, is_busy_team) in [(1_000, true), (1_000, false), (5_000, true), (5_000, false)] {
        let starts = measure(run_ms, is_busy_team);
        let at = |percent: usize| {
            let index = starts.len().saturating_sub(1) * percent / 100;
            starts.get(index).map_or_else(|| "none".to_owned(), |wait| fixed(wait.as_secs_f64()))
        };
        let team = if is_busy_team { "one that fills the slots" } else { "one without work" };
        let cells: [&dyn std::fmt::Display; 7] =
            [&run_ms, &team, &URGENT_COUNT, &starts.len(), &at(50), &at(95), &at(100)];
        write_row(output, &cells)?;
    }
    Ok(())
}

/// Returns the times from submission to start, sorted.
fn measure(run_ms: u64, is_busy_team: bool) -> Vec<Duration> {
    let mut site = SimulatedSite::started(SiteSize::current());
    let mut number = 0;
    let mut urgent = Vec::new();
    let slots = site.size.targets * 8;
    // Jobs arrive as fast as the slots can run them, so that the work submitted before (four times
    // the slots) keeps about three times the slots waiting.
    let jobs_per_tick = slots as f64 * 20.0 / run_ms as f64;
    let mut jobs_due = 0.0;
    fill(&mut site, &mut number, slots * 4, run_ms);
    for tick in 0..1_100 {
        jobs_due += jobs_per_tick;
        while jobs_due >= 1.0 {
            jobs_due -= 1.0;
            number += 1;
            send(&mut site, number, run_ms);
        }
        if tick % 6 == 0 && urgent.len() < URGENT_COUNT && tick >= 300 {
            urgent.push(send_urgent(&mut site, urgent.len(), is_busy_team));
        }
        site.run_for(TICK);
    }
    let wait = |(payload, at): &(Vec<u8>, Moment)| {
        site.starts.get(payload).map(|started| started.since(*at))
    };
    let mut waits = urgent.iter().filter_map(wait).collect::<Vec<_>>();
    waits.sort();
    waits
}

fn fill(site: &mut SimulatedSite, number: &mut usize, count: usize, run_ms: u64) {
    for _ in 0..count {
        *number += 1;
        send(site, *number, run_ms);
        if number.is_multiple_of(20) {
            site.run_for(TICK);
        }
    }
}

fn send(site: &mut SimulatedSite, number: usize, run_ms: u64) -> CallId {
    // Teams 1 to 4 fill the slots; team 5 has no work of this kind.
    let body = work(number % 5, number, run_ms / 2 + (number as u64 * 37) % run_ms, true);
    site.call(number % 9, 1 + number % 4, body)
}

fn send_urgent(site: &mut SimulatedSite, count: usize, is_busy_team: bool) -> (Vec<u8>, Moment) {
    let team = if is_busy_team { 1 + count % 4 } else { 5 };
    let mut body = work(count % 5, FIRST_URGENT + count, 50, false);
    if let CallerBody::Run { timeout_ms, .. } = &mut body {
        *timeout_ms = Some(URGENT_MS);
    }
    let payload = match &body {
        CallerBody::Run { payload, .. } => payload.clone(),
        _ => Vec::new(),
    };
    let at = site.now;
    site.call(count % 9, team, body);
    (payload, at)
}
