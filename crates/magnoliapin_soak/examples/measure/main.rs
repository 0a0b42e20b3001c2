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
            /// Scenario: shares, shares_by_zone, placement, overload, budget, outage, takeover, spread, targets,
            /// cut_off or cancel_wave; all of them if absent.
            optional scenario: String
        }
    }
}

/// A scenario: its name and what prints its rows.
type Scenario = (&'static str, fn(&mut dyn Write) -> io::Result<()>);

const SCENARIOS: [Scenario; 11] = [
    ("shares", load::shares),
    ("shares_by_zone", load::shares_by_zone),
    ("placement", load::placement),
    ("overload", load::overload),
    ("budget", load::budget),
    ("outage", load::outage),
    ("takeover", faults::takeover),
    ("spread", faults::spread),
    ("targets", faults::targets),
    ("cut_off", faults::cut_off),
    ("cancel_wave", load::cancel_wave),
];

fn main() -> io::Result<()> {
    let flags = flags::Measure::from_env_or_exit();
    let wanted = flags.scenario;
    let is_wanted = |name: &str| wanted.as_deref().is_none_or(|wanted| wanted == name);
    let due = SCENARIOS.iter().filter(|(name, _)| is_wanted(name)).collect::<Vec<_>>();
    if due.is_empty() {
        return Err(io::Error::other("there is no such scenario"));
    }
    let mut output = io::stdout().lock();
    for (name, print) in due {
        writeln!(output, "\n{name}")?;
        print(&mut output)?;
    }
    Ok(())
}
