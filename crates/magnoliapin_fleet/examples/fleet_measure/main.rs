//! Compares the planner with a static fleet and a greedy planner, and measures the time of a plan.
//!
//! Prints Markdown tables. `--seeds K` sets the number of seeds.

#![allow(clippy::unwrap_used, reason = "names are literals")]

mod demand;
mod deployment;
mod fleet;
mod greedy;
mod plan_time;
mod share;
mod trial;

use std::io;
use std::io::Write;

use deployment::SiteModel;
use trial::PlannerKind;
use trial::TrialResult;

fn main() -> io::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let mut seeds = 20;
    while let (Some(name), Some(value)) = (arguments.next(), arguments.next()) {
        if name != "--seeds" {
            return Err(io::Error::other(format!("unknown option {name}")));
        }
        seeds = value.parse().map_err(io::Error::other)?;
    }
    let mut output = io::stdout().lock();
    for site in [SiteModel::glowtown(), SiteModel::kyushu()] {
        write_site(&mut output, &site, seeds)?;
    }
    plan_time::write_table(&mut output)
}

fn write_site(output: &mut impl Write, site: &SiteModel, seeds: u64) -> io::Result<()> {
    let results: Vec<(PlannerKind, Vec<TrialResult>)> = PlannerKind::ALL
        .into_iter()
        .map(|kind| (kind, (1..=seeds).map(|seed| trial::run(site, kind, seed)).collect()))
        .collect();
    writeln!(output, "{}, {seeds} seeds of one day, median (lowest to highest):\n", site.name)?;
    writeln!(output, "| measure | planner | static | greedy | better than static | than greedy |")?;
    writeln!(output, "|---|---|---|---|---|---|")?;
    for (name, measure) in TrialResult::MEASURES {
        write!(output, "| {name} |")?;
        let columns: Vec<Vec<f64>> =
            results.iter().map(|(_, results)| results.iter().map(measure).collect()).collect();
        for column in &columns {
            write!(output, " {} |", spread(column))?;
        }
        for baseline in &columns[1..] {
            write!(output, " {} |", wins(&columns[0], baseline))?;
        }
        writeln!(output)?;
    }
    writeln!(output)
}

/// Formats the median and the extremes.
fn spread(values: &[f64]) -> String {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    let median = f64::midpoint(values[(values.len() - 1) / 2], values[values.len() / 2]);
    format!("{median:.1} ({:.1} to {:.1})", values[0], values[values.len() - 1])
}

/// Formats in how many seeds the planner has the lower value, and in how many the same.
fn wins(planner: &[f64], baseline: &[f64]) -> String {
    let pairs = || planner.iter().zip(baseline);
    let lower = pairs().filter(|(value, baseline)| value < baseline).count();
    let even =
        pairs().filter(|(value, baseline)| (*value - *baseline).abs() < f64::EPSILON).count();
    format!("{lower} of {}, {even} even", planner.len())
}
