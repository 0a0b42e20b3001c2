//! Scenarios in which something fails.

use std::io;
use std::io::Write;
use std::time::Duration;

use magnoliapin_soak::trial::cut_off as cuts;
use magnoliapin_soak::trial::spread as spreads;
use magnoliapin_soak::trial::takeover as losses;
use magnoliapin_soak::trial::target_faults;
use magnoliapin_soak::trial::Quantiles;

const TAKEOVER_SEEDS: u64 = 20;
const SPREAD_SEEDS: u64 = 20;
const TARGET_SEEDS: u64 = 10;
const PAUSE: Duration = Duration::from_secs(20);

/// Prints the time until a lost entry is taken over.
pub(crate) fn takeover(output: &mut dyn Write) -> io::Result<()> {
    writeln!(
        output,
        "| loss | jobs held | jobs run again, median / p99 / worst | jobs taken over | parts \
         usable again | started again | lost or doubled | broken |"
    )?;
    writeln!(output, "|---|---|---|---|---|---|---|---|")?;
    for loss in [losses::EntryLoss::Kill, losses::EntryLoss::Pause(PAUSE)] {
        let runs = (1..=TAKEOVER_SEEDS).map(|seed| losses::measure(seed, loss));
        let runs = runs.collect::<Vec<_>>();
        let sum =
            |read: fn(&losses::TakeoverFigures) -> usize| runs.iter().map(read).sum::<usize>();
        writeln!(
            output,
            "| {loss:?} | {} | {} | {} | {} | {} | {} | {} |",
            sum(|run| run.jobs),
            Quantiles::new(runs.iter().filter_map(|run| run.jobs_run_after)),
            Quantiles::new(runs.iter().map(|run| run.jobs_taken_after)),
            Quantiles::new(runs.iter().map(|run| run.parts_after)),
            sum(|run| run.started_again),
            sum(|run| run.lost_or_doubled),
            sum(|run| run.violations),
        )?;
    }
    Ok(())
}

/// Prints the spread of configurations and of withdrawn keys.
pub(crate) fn spread(output: &mut dyn Write) -> io::Result<()> {
    let runs = (1..=SPREAD_SEEDS).map(spreads::measure).collect::<Vec<_>>();
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
        let touch = spreads::served_in_outage(seed, outage, true);
        let plain = spreads::served_in_outage(seed, outage, false);
        writeln!(output, "| keyed requests served in an outage, seed {seed} | {touch:.4}; without vouching {plain:.4} |")?;
    }
    Ok(())
}

/// Prints targets that leave, go silent or fail everything.
pub(crate) fn targets(output: &mut dyn Write) -> io::Result<()> {
    let seeds = 1..=TARGET_SEEDS;
    writeln!(output, "| figure | value |")?;
    writeln!(output, "|---|---|")?;
    let runs = seeds.clone().map(target_faults::measure_leave).collect::<Vec<_>>();
    let last = Quantiles::new(runs.iter().map(|run| run.last_start_after));
    writeln!(output, "| leaving: last start call after | {last} |")?;
    let extra = runs.iter().map(|run| run.extra_starts).collect::<Vec<_>>();
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
    writeln!(output, "| failing: set apart by the first entry | {first} |")?;
    writeln!(output, "| failing: set apart by every entry | {last} |")?;
    let failed = runs.iter().map(|run| run.failed).sum::<usize>();
    let sent = runs.iter().map(|run| run.sent).sum::<usize>();
    let later = runs.iter().map(|run| run.failed_later).sum::<usize>();
    let broken = runs.iter().map(|run| run.violations).sum::<usize>();
    writeln!(output, "| failing: requests lost in the first 10 s | {failed} of {sent} |")?;
    writeln!(output, "| failing: requests lost in the next 60 s; broken | {later}; {broken} |")
}

/// Prints what goes on in a zone that is cut off.
pub(crate) fn cut_off(output: &mut dyn Write) -> io::Result<()> {
    writeln!(output, "| cut from | work | before | during | after | refused during |")?;
    writeln!(output, "|---|---|---|---|---|---|")?;
    for (name, peers, platform) in
        [("peers", true, false), ("platform", false, true), ("both", true, true)]
    {
        let figures = cuts::measure(1, cuts::ZoneCut { peers, platform });
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
        let (old, ran) = figures.old_jobs;
        writeln!(output, "| {name} | jobs accepted before | | {ran} of {old} ran | | |")?;
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
