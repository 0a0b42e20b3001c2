//! Cost of work at an entry: of each request and job, and of waiting and running work.

use std::io;
use std::io::Write;
use std::time::Duration;

use magnoliapin_wire::CallerBody;

use crate::markdown::fixed;
use crate::markdown::write_head;
use crate::markdown::write_row;
use crate::site::SimulatedSite;
use crate::site::SiteSize;

const MEASURED_TIME: Duration = Duration::from_secs(4);
const WARM_UP: Duration = Duration::from_secs(3);

/// Writes the tables.
pub(crate) fn write_tables(output: &mut impl Write) -> io::Result<()> {
    write_each(output)?;
    write_waiting(output)
}

fn write_each(output: &mut impl Write) -> io::Result<()> {
    let columns = ["work", "targets", "pools", "a second", "µs each", "% of a core with it"];
    write_head(output, "Work that runs at once, through one entry", &columns)?;
    let small = SiteSize::current();
    let large = SiteSize { entries: 9, zones: 3, ..SiteSize::design_size() };
    for (size, is_job) in [(small, false), (small, true), (large, false), (large, true)] {
        let mut site = SimulatedSite::started(size);
        let idle = cost_of(&mut site, 0, is_job, size);
        let busy = cost_of(&mut site, 4, is_job, size);
        let count = 4 * MEASURED_TIME.as_millis() / 20;
        let micros_each = (busy.as_secs_f64() - idle.as_secs_f64()).max(0.0) / count as f64 * 1e6;
        let share = busy.as_secs_f64() / MEASURED_TIME.as_secs_f64() * 100.0;
        let (name, pools) = (if is_job { "job" } else { "request" }, size.document.pools);
        let rate = count as f64 / MEASURED_TIME.as_secs_f64();
        write_row(
            output,
            &[&name, &size.targets, &pools, &rate, &fixed(micros_each), &fixed(share)],
        )?;
    }
    Ok(())
}

/// Runs the load and returns the processor time of all events of the first entry.
fn cost_of(
    site: &mut SimulatedSite,
    count_per_tick: usize,
    is_job: bool,
    size: SiteSize,
) -> Duration {
    let mut count = 0;
    let mut run_tick = |site: &mut SimulatedSite| {
        for _ in 0..count_per_tick {
            count += 1;
            let body = work(count % size.document.pools, count, 40, is_job);
            site.call(0, 1 + count % (size.document.teams - 1), body);
        }
        site.run_for(crate::site::TICK);
    };
    for _ in 0..WARM_UP.as_millis() / 20 {
        run_tick(site);
    }
    site.reset();
    for _ in 0..MEASURED_TIME.as_millis() / 20 {
        run_tick(site);
    }
    site.cost.total()
}

fn write_waiting(output: &mut impl Write) -> io::Result<()> {
    let columns = [
        "targets",
        "pools",
        "tasks that run",
        "jobs that wait",
        "µs a tick",
        "µs an answer of a target",
        "% of a core",
        "of it ticks %",
        "answers of targets %",
        "renewals a second",
        "questions a second",
    ];
    write_head(output, "One entry that holds all slots, with jobs of 60 s that wait", &columns)?;
    let full = |targets, pools| SiteSize::new(2, 1, targets, pools, 6);
    let cases = [
        (full(50, 5), 0),
        (full(50, 5), 400),
        (full(50, 5), 1_400),
        (full(50, 5), 5_400),
        (full(400, 20), 4_000),
    ];
    for (size, jobs) in cases {
        let mut site = SimulatedSite::started(size);
        for number in 0..jobs {
            let body = work(number % size.document.pools, number, 60_000, true);
            site.call(0, 1 + number % 5, body);
            if number % 20 == 19 {
                site.run_for(crate::site::TICK);
            }
        }
        site.run_for(Duration::from_secs(2));
        site.reset();
        site.run_for(Duration::from_secs(3));
        let running = jobs.min(size.targets * 8);
        let micros = |kind| fixed(site.cost.mean_time_of(kind).as_secs_f64() * 1e6);
        let calls = |kind| site.traffic.targets.get(kind).copied().unwrap_or_default() / 3;
        write_row(
            output,
            &[
                &size.targets,
                &size.document.pools,
                &running,
                &(jobs - running),
                &micros("tick"),
                &micros("target"),
                &fixed(site.cost.core_share() * 100.0),
                &fixed(site.cost.share_of("tick") * 100.0),
                &fixed(site.cost.share_of("target") * 100.0),
                &calls("renewal"),
                &calls("question or stop"),
            ],
        )?;
    }
    Ok(())
}

/// Returns work that runs for `run_ms` milliseconds; each number gives a different payload.
pub(crate) fn work(queue: usize, number: usize, run_ms: u64, is_job: bool) -> CallerBody {
    let queue = format!("q{queue}").parse().expect("a short name");
    let payload = format!(r#"{{"marker":{number},"run_ms":{run_ms}}}"#).into_bytes();
    match is_job {
        true => CallerBody::Submit { queue, payload, idempotency_key: None },
        false => CallerBody::Run { queue, payload, timeout_ms: None },
    }
}
