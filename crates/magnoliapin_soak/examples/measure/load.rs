//! Scenarios that vary the load, and an outage of the platform under load.

use std::io;
use std::io::Write;
use std::time::Duration;

use magnoliapin_policy::DispatchOrder;
use magnoliapin_policy::PolicyOptions;
use magnoliapin_policy::TargetChoice;
use magnoliapin_soak::trial::budget;
use magnoliapin_soak::trial::cancel_wave;
use magnoliapin_soak::trial::overload;
use magnoliapin_soak::trial::placement;
use magnoliapin_soak::trial::shares;

const SEEDS: [u64; 3] = [1, 2, 3];
const SHARE_SECONDS: u32 = 120;

/// Prints the distance of the teams from their fair shares.
pub(crate) fn print_shares(output: &mut dyn Write) -> io::Result<()> {
    print_share_rows(output, shares::CallerSpread::Even)
}

/// Prints the distance from the fair shares where each team calls the entries of one zone.
pub(crate) fn print_shares_by_zone(output: &mut dyn Write) -> io::Result<()> {
    print_share_rows(output, shares::CallerSpread::OneZone)
}

fn print_share_rows(output: &mut dyn Write, spread: shares::CallerSpread) -> io::Result<()> {
    writeln!(
        output,
        "| order | seed | full s | distance | worst shortfall | starved s | slots used | broken |"
    )?;
    writeln!(output, "|---|---|---|---|---|---|---|---|")?;
    for dispatch in [DispatchOrder::MaxMin, DispatchOrder::PerEntry, DispatchOrder::Fifo] {
        for seed in SEEDS {
            let options = PolicyOptions { dispatch, ..PolicyOptions::default() };
            let figures = shares::measure(seed, SHARE_SECONDS, spread, options);
            writeln!(
                output,
                "| {dispatch:?} | {seed} | {} | {:.3} | {:.3} | {} | {:.3} | {} |",
                figures.full_seconds,
                figures.distance,
                figures.worst_shortfall,
                figures.longest_starved,
                figures.slot_utilization,
                figures.violations
            )?;
        }
    }
    Ok(())
}

/// Prints a comparison of owned targets with direct sending.
pub(crate) fn print_placement(output: &mut dyn Write) -> io::Result<()> {
    writeln!(
        output,
        "| targets | load | wait p50 / p99 / worst | goodput | full refusals per first start | \
         repeated starts per first start | broken |"
    )?;
    writeln!(output, "|---|---|---|---|---|---|---|")?;
    for targets in [TargetChoice::Direct, TargetChoice::Owned] {
        for load in [0.5, 0.9, 2.0] {
            let options = PolicyOptions { targets, ..PolicyOptions::default() };
            let figures = placement::measure(1, load, Duration::from_secs(30), options);
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

/// Prints the effects of one minute of demand at ten times the capacity of the slots.
pub(crate) fn print_overload(output: &mut dyn Write) -> io::Result<()> {
    writeln!(
        output,
        "| seed | goodput at 1x | at 10x | ratio | refused after p50 / p99 / worst | early | \
         most open calls | repeated starts | normal wait | recovered after | broken |"
    )?;
    writeln!(output, "|---|---|---|---|---|---|---|---|---|---|---|")?;
    for seed in SEEDS {
        let figures = overload::measure(seed, Duration::from_secs(60), PolicyOptions::default());
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

/// Prints the platform load that jobs cause.
pub(crate) fn print_budget(output: &mut dyn Write) -> io::Result<()> {
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
                figures.busy_slots,
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

/// Prints the effects of a platform outage of five minutes.
pub(crate) fn print_outage(output: &mut dyn Write) -> io::Result<()> {
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
            figures.peak_calls_before,
            figures.peak_calls_after,
            figures.accepting_after.as_millis(),
            figures.backlog_finished_after.as_millis(),
            figures.violations
        )?;
    }
    Ok(())
}

/// Prints the effects of a wave of a thousand cancellations.
pub(crate) fn print_cancel_wave(output: &mut dyn Write) -> io::Result<()> {
    writeln!(
        output,
        "| seed | accepted | running | ends | last end after | callers answered | last answer \
         after | transactions | effects | broken |"
    )?;
    writeln!(output, "|---|---|---|---|---|---|---|---|---|---|")?;
    for seed in SEEDS {
        let figures = cancel_wave::measure(seed, 1_000);
        writeln!(
            output,
            "| {seed} | {} | {} | {:?} | {} ms | {} | {} ms | {} | {} | {} |",
            figures.accepted,
            figures.running,
            figures.finished_jobs,
            figures.finished_after.as_millis(),
            figures.answered,
            figures.last_answer_after.as_millis(),
            figures.transactions,
            figures.effects,
            figures.violations
        )?;
    }
    Ok(())
}
