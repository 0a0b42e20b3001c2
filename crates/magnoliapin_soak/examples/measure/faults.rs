//! Scenarios with an injected failure.

use std::io;
use std::io::Write;
use std::time::Duration;

use magnoliapin_soak::trial::cut_off;
use magnoliapin_soak::trial::spread;
use magnoliapin_soak::trial::takeover;
use magnoliapin_soak::trial::target_faults;
use magnoliapin_soak::trial::Quantiles;

const TAKEOVER_SEEDS: u64 = 20;
const SPREAD_SEEDS: u64 = 20;
const TARGET_SEEDS: u64 = 10;
const PAUSE: Duration = Duration::from_secs(20);

/// Prints the time until the jobs and quota slices of a lost entry are taken over.
pub(crate) fn print_takeover(output: &mut dyn Write) -> io::Result<()> {
    writeln!(
        output,
        "| loss | jobs held | jobs run again, median / p99 / worst | jobs taken over | parts \
         usable again | started again | lost or doubled | broken |"
    )?;
    writeln!(output, "|---|---|---|---|---|---|---|---|")?;
    for loss in [takeover::EntryLoss::Kill, takeover::EntryLoss::Pause(PAUSE)] {
        let runs = (1..=TAKEOVER_SEEDS).map(|seed| takeover::measure(seed, loss));
        let runs = runs.collect::<Vec<_>>();
        let sum =
            |read: fn(&takeover::TakeoverFigures) -> usize| runs.iter().map(read).sum::<usize>();
        writeln!(
            output,
            "| {loss:?} | {} | {} | {} | {} | {} | {} | {} |",
            sum(|run| run.jobs),
            Quantiles::new(runs.iter().filter_map(|run| run.jobs_run_after)),
            Quantiles::new(runs.iter().map(|run| run.jobs_taken_over_after)),
            Quantiles::new(runs.iter().map(|run| run.slices_reclaimed_after)),
            sum(|run| run.started_again),
            sum(|run| run.lost_or_doubled),
            sum(|run| run.violations),
        )?;
    }
    Ok(())
}

/// Prints the propagation of a configuration change and of a revoked key.
pub(crate) fn print_spread(output: &mut dyn Write) -> io::Result<()> {
    let runs = (1..=SPREAD_SEEDS).map(spread::measure).collect::<Vec<_>>();
    let in_force = runs.iter().flat_map(|run| run.in_force_after.clone());
    writeln!(output, "| figure | median / p99 / worst |")?;
    writeln!(output, "|---|---|")?;
    writeln!(output, "| in force at each connected entry | {} |", Quantiles::new(in_force))?;
    let last = Quantiles::new(runs.iter().map(|run| run.last_taken_after));
    writeln!(output, "| withdrawn key last taken, connected zones | {last} |")?;
    let last = Quantiles::new(runs.iter().map(|run| run.last_taken_cut_off));
    writeln!(output, "| withdrawn key last taken, zone cut off | {last} |")?;
    let served = runs.iter().map(|run| run.open_served.0).sum::<u64>();
    let sent = runs.iter().map(|run| run.open_served.1).sum::<u64>();
    writeln!(output, "| open requests served in the zone cut off | {served} of {sent} |")?;
    let broken = runs.iter().map(|run| run.violations).sum::<usize>();
    writeln!(output, "| broken invariants | {broken} |")?;
    let outage = Duration::from_secs(300);
    for seed in 1..=3 {
        let connected = spread::served_in_outage(seed, outage, true);
        let isolated = spread::served_in_outage(seed, outage, false);
        writeln!(output, "| keyed requests served in an outage, seed {seed} | {connected:.4}; without vouching {isolated:.4} |")?;
    }
    Ok(())
}

/// Prints the effects of targets that leave, whose connections stall, or that fail every task.
pub(crate) fn print_targets(output: &mut dyn Write) -> io::Result<()> {
    let seeds = 1..=TARGET_SEEDS;
    writeln!(output, "| figure | value |")?;
    writeln!(output, "|---|---|")?;
    let runs = seeds.clone().map(target_faults::measure_leave).collect::<Vec<_>>();
    let last = Quantiles::new(runs.iter().map(|run| run.last_start_after));
    writeln!(output, "| leaving: last start call after | {last} |")?;
    let extra = runs.iter().map(|run| run.late_starts).collect::<Vec<_>>();
    let refused = runs.iter().map(|run| run.refused).sum::<usize>();
    let broken = runs.iter().map(|run| run.violations).sum::<usize>();
    writeln!(output, "| leaving: starts that it refused, by run | {extra:?} |")?;
    writeln!(output, "| leaving: requests refused; broken | {refused}; {broken} |")?;
    let runs = seeds.clone().map(target_faults::measure_silence).collect::<Vec<_>>();
    let dropped = Quantiles::new(runs.iter().flat_map(|run| run.dropped_after.clone()));
    writeln!(output, "| silent: connection dropped after | {dropped} |")?;
    let worst = Quantiles::new(runs.iter().map(|run| run.worst_wait));
    writeln!(output, "| silent: longest wait of a served request | {worst} |")?;
    let second = runs.iter().map(|run| run.second_runs).sum::<usize>();
    let unknown = runs.iter().map(|run| run.unknown).sum::<usize>();
    let broken = runs.iter().map(|run| run.violations).sum::<usize>();
    writeln!(output, "| silent: second runs; unknown; broken | {second}; {unknown}; {broken} |")?;
    let runs = seeds.map(target_faults::measure_failure).collect::<Vec<_>>();
    let first = Quantiles::new(runs.iter().filter_map(|run| run.first_quarantine));
    let last = Quantiles::new(runs.iter().filter_map(|run| run.last_quarantine));
    writeln!(output, "| failing: quarantined by the first entry | {first} |")?;
    writeln!(output, "| failing: quarantined by every entry | {last} |")?;
    let failed = runs.iter().map(|run| run.failed).sum::<usize>();
    let sent = runs.iter().map(|run| run.sent).sum::<usize>();
    let later = runs.iter().map(|run| run.failed_later).sum::<usize>();
    let broken = runs.iter().map(|run| run.violations).sum::<usize>();
    writeln!(output, "| failing: requests lost in the first 10 s | {failed} of {sent} |")?;
    writeln!(output, "| failing: requests lost in the next 60 s; broken | {later}; {broken} |")
}

/// Prints the service of a zone that is cut off from its peers, the platform or both.
pub(crate) fn print_cut_off(output: &mut dyn Write) -> io::Result<()> {
    writeln!(output, "| cut from | work | before | during | after | refused during |")?;
    writeln!(output, "|---|---|---|---|---|---|")?;
    for (name, peers, platform) in
        [("peers", true, false), ("platform", false, true), ("both", true, true)]
    {
        let figures = cut_off::measure(1, cut_off::ZoneCut { peers, platform });
        for (class, [before, during, after]) in &figures.classes {
            writeln!(
                output,
                "| {name} | {class:?} | {:.3} | {:.3} of {} | {:.3} | {:?} |",
                before.goodput(),
                during.goodput(),
                during.sent,
                after.goodput(),
                during.refused
            )?;
        }
        let (waiting, ran) = figures.waiting_jobs;
        writeln!(output, "| {name} | jobs accepted before | | {ran} of {waiting} ran | | |")?;
        let (running, answered) = figures.running;
        writeln!(
            output,
            "| {name} | requests that ran | | {answered} of {running} answered | | |"
        )?;
        let change = figures.change.as_deref().unwrap_or("no answer");
        writeln!(output, "| {name} | change of the configuration | | {change} | | |")?;
        let (lost, broken) = (figures.lost_or_doubled, figures.violations);
        writeln!(output, "| {name} | jobs lost or doubled; broken | | {lost}; {broken} | | |")?;
    }
    Ok(())
}
