//! Scenarios in which only the load is out of the ordinary.

use std::io;
use std::io::Write;
use std::time::Duration;

use magnoliapin_policy::DispatchOrder;
use magnoliapin_policy::PolicyOptions;
use magnoliapin_policy::TargetChoice;
use magnoliapin_soak::trial::budget;
use magnoliapin_soak::trial::cancel_wave as wave;
use magnoliapin_soak::trial::overload as over;
use magnoliapin_soak::trial::placement as place;
use magnoliapin_soak::trial::shares as share;

const SEEDS: [u64; 3] = [1, 2, 3];
const SHARE_SECONDS: u32 = 120;

/// Prints the nearness of the teams to their shares.
pub(crate) fn shares(output: &mut dyn Write) -> io::Result<()> {
    print_shares(output, share::CallerSpread::Even)
}

/// Prints the same where each team calls the entries of one zone.
pub(crate) fn shares_by_zone(output: &mut dyn Write) -> io::Result<()> {
    print_shares(output, share::CallerSpread::OneZone)
}

fn print_shares(output: &mut dyn Write, spread: share::CallerSpread) -> io::Result<()> {
    writeln!(
        output,
        "| order | seed | full s | distance | worst shortfall | starved s | slots used | broken |"
    )?;
    writeln!(output, "|---|---|---|---|---|---|---|---|")?;
    for dispatch in [DispatchOrder::MaxMin, DispatchOrder::PerEntry, DispatchOrder::Fifo] {
        for seed in SEEDS {
            let options = PolicyOptions { dispatch, ..PolicyOptions::default() };
            let figures = share::measure(seed, SHARE_SECONDS, spread, options);
            writeln!(
                output,
                "| {dispatch:?} | {seed} | {} | {:.3} | {:.3} | {} | {:.3} | {} |",
                figures.full_seconds,
                figures.distance,
                figures.worst_shortfall,
                figures.longest_starved,
                figures.use_of_slots,
                figures.violations
            )?;
        }
    }
    Ok(())
}

/// Prints owned targets against direct sending.
pub(crate) fn placement(output: &mut dyn Write) -> io::Result<()> {
    writeln!(
        output,
        "| targets | load | wait p50 / p99 / worst | goodput | full refusals per first start | \
         repeated starts per first start | broken |"
    )?;
    writeln!(output, "|---|---|---|---|---|---|---|")?;
    for targets in [TargetChoice::Direct, TargetChoice::Owned] {
        for load in [0.5, 0.9, 2.0] {
            let options = PolicyOptions { targets, ..PolicyOptions::default() };
            let figures = place::measure(1, load, Duration::from_secs(30), options);
            writeln!(
                output,
                "| {targets:?} | {load} | {} | {:.3} | {:.3} | {:.3} | {} |",
                figures.wait,
                figures.goodput,
                figures.full_refusals,
                figures.repeated_starts,
                figures.violations
            )?;
        }
    }
    Ok(())
}

/// Prints ten times the slots' demand for a minute.
pub(crate) fn overload(output: &mut dyn Write) -> io::Result<()> {
    writeln!(
        output,
        "| seed | goodput at 1x | at 10x | ratio | refused after p50 / p99 / worst | early | \
         most open calls | repeated starts | normal wait | recovered after | broken |"
    )?;
    writeln!(output, "|---|---|---|---|---|---|---|---|---|---|---|")?;
    for seed in SEEDS {
        let figures = over::measure(seed, Duration::from_secs(60), PolicyOptions::default());
        writeln!(
            output,
            "| {seed} | {:.0}/s | {:.0}/s | {:.3} | {} | {:.3} | {} | {:.3} | {} | {} s | {} |",
            figures.goodput_at_1,
            figures.goodput_at_10,
            figures.goodput_at_10 / figures.goodput_at_1,
            figures.refused_after,
            figures.early,
            figures.most_open,
            figures.repeated_starts,
            figures.wait_before,
            figures.recovered_after.as_secs(),
            figures.violations
        )?;
    }
    Ok(())
}

/// Prints what jobs cost at the platform.
pub(crate) fn budget(output: &mut dyn Write) -> io::Result<()> {
    writeln!(
        output,
        "| commit | run time | jobs/s | slots taken | transactions/s | row writes/s | reads/s | \
         transactions per job | row writes per job | broken |"
    )?;
    writeln!(output, "|---|---|---|---|---|---|---|---|---|---|")?;
    for group_commit in [true, false] {
        for run_ms in [200, 1_000, 5_000] {
            let options = PolicyOptions { group_commit, ..PolicyOptions::default() };
            let run_time = Duration::from_millis(run_ms);
            let figures = budget::measure(1, 1.0, run_time, Duration::from_secs(30), options);
            writeln!(
                output,
                "| {} | {run_ms} ms | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.3} | {:.3} | {} |",
                if group_commit { "group" } else { "single" },
                figures.jobs_per_second,
                figures.slots_taken,
                figures.transactions_per_second,
                figures.row_writes_per_second,
                figures.reads_per_second,
                figures.transactions_per_job,
                figures.row_writes_per_job,
                figures.violations
            )?;
        }
    }
    Ok(())
}

/// Prints an outage of the platform of five minutes.
pub(crate) fn outage(output: &mut dyn Write) -> io::Result<()> {
    writeln!(
        output,
        "| seed | backlog | ran in outage | lost or doubled | most calls/s before | most calls/s \
         in the first 5 s after | accepts again after | backlog through after | broken |"
    )?;
    writeln!(output, "|---|---|---|---|---|---|---|---|---|")?;
    for seed in SEEDS {
        let figures = budget::measure_outage(seed, Duration::from_secs(300));
        writeln!(
            output,
            "| {seed} | {} | {} | {} | {} | {} | {} ms | {} ms | {} |",
            figures.backlog,
            figures.ran_in_outage,
            figures.lost_or_doubled,
            figures.calls_before,
            figures.calls_after,
            figures.accepts_after.as_millis(),
            figures.through_after.as_millis(),
            figures.violations
        )?;
    }
    Ok(())
}

/// Prints a wave of a thousand cancellations.
pub(crate) fn cancel_wave(output: &mut dyn Write) -> io::Result<()> {
    writeln!(
        output,
        "| seed | accepted | running | ends | last end after | callers answered | last answer \
         after | transactions | effects | broken |"
    )?;
    writeln!(output, "|---|---|---|---|---|---|---|---|---|---|")?;
    for seed in SEEDS {
        let figures = wave::measure(seed, 1_000);
        writeln!(
            output,
            "| {seed} | {} | {} | {:?} | {} ms | {} | {} ms | {} | {} | {} |",
            figures.accepted,
            figures.running,
            figures.ended,
            figures.ended_after.as_millis(),
            figures.answered,
            figures.answered_after.as_millis(),
            figures.transactions,
            figures.effects,
            figures.violations
        )?;
    }
    Ok(())
}
