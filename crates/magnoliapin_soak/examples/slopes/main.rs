//! Measures how the costs of each component grow with the size of a site:
//! `cargo run --release --locked -p magnoliapin_soak --example slopes`.
//!
//! Runs the real state machines in virtual time and prints Markdown tables. Measured times depend
//! on the computer that runs the example.

mod configuration;
mod document;
mod driver;
mod idle;
mod markdown;
mod memory;
mod messages;
mod planner;
mod site;
mod urgent;
mod work;

use std::io;
use std::io::Write;
use std::time::Instant;

fn main() -> io::Result<()> {
    let started_at = Instant::now();
    let mut output = io::stdout().lock();
    memory::write_tables(&mut output)?;
    messages::write_tables(&mut output)?;
    idle::write_tables(&mut output)?;
    work::write_tables(&mut output)?;
    configuration::write_tables(&mut output)?;
    planner::write_tables(&mut output)?;
    urgent::write_tables(&mut output)?;
    writeln!(output, "The whole run took {:.1} s.", started_at.elapsed().as_secs_f64())
}
