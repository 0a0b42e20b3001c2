//! Long randomised simulations of the fleet's state machines: `--seed S --steps N --seeds K`.

#![allow(clippy::unwrap_used, reason = "the example shares the harness of the tests")]

#[path = "../tests/fleet/runs.rs"]
mod runs;
#[allow(dead_code, reason = "some helpers are used only by the tests")]
#[path = "../tests/fleet/world/mod.rs"]
mod world;

use std::io;
use std::io::Write;

fn main() -> io::Result<()> {
    let (mut seed, mut steps, mut seeds) = (1, 2 * runs::STEPS_PER_HOUR, 4);
    let mut arguments = std::env::args().skip(1);
    while let (Some(name), Some(value)) = (arguments.next(), arguments.next()) {
        let value = value.parse().map_err(io::Error::other)?;
        match name.as_str() {
            "--seed" => seed = value,
            "--steps" => steps = value,
            "--seeds" => seeds = value,
            _ => return Err(io::Error::other(format!("unknown option {name}"))),
        }
    }
    let mut output = io::stdout().lock();
    for seed in seed..seed + seeds {
        let report = runs::run_with_process_faults(seed, steps);
        writeln!(output, "seed {seed}, faults of processes: {report}")?;
        let report = runs::run_with_all_faults(seed, steps);
        writeln!(output, "seed {seed}, every fault: {report}")?;
    }
    Ok(())
}
