//! Measures the policy: `cargo run --release --locked -p magnoliapin_soak --example measure -- shares`.

mod faults;
mod load;

use std::io;
use std::io::Write;

mod flags {
    #![allow(missing_docs, unused_qualifications, unreachable_pub, clippy::all, clippy::pedantic)]
    xflags::xflags! {
        /// Measures the policy in virtual time and prints the rows of `docs/MEASUREMENTS.md`.
        cmd measure {
            /// Scenario to run: shares, shares_by_zone, placement, overload, budget, outage, takeover, spread, targets,
            /// cut_off or cancel_wave; all of them if absent.
            optional scenario: String
        }
    }
}

/// Name of a scenario and the function that prints its rows.
type Scenario = (&'static str, fn(&mut dyn Write) -> io::Result<()>);

const SCENARIOS: [Scenario; 11] = [
    ("shares", load::print_shares),
    ("shares_by_zone", load::print_shares_by_zone),
    ("placement", load::print_placement),
    ("overload", load::print_overload),
    ("budget", load::print_budget),
    ("outage", load::print_outage),
    ("takeover", faults::print_takeover),
    ("spread", faults::print_spread),
    ("targets", faults::print_targets),
    ("cut_off", faults::print_cut_off),
    ("cancel_wave", load::print_cancel_wave),
];

fn main() -> io::Result<()> {
    let flags = flags::Measure::from_env_or_exit();
    let requested = flags.scenario;
    let is_requested = |name: &str| requested.as_deref().is_none_or(|requested| requested == name);
    let selected = SCENARIOS.iter().filter(|(name, _)| is_requested(name)).collect::<Vec<_>>();
    if selected.is_empty() {
        return Err(io::Error::other("unknown scenario"));
    }
    let mut output = io::stdout().lock();
    for (name, print) in selected {
        writeln!(output, "\n{name}")?;
        print(&mut output)?;
    }
    Ok(())
}
