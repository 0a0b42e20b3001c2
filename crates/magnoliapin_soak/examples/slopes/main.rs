//! Measures what each part costs for each unit of size:
//! `cargo run --release --locked -p magnoliapin_soak --example slopes`.
//!
//! Real code in virtual time; the tables are Markdown. Times are of this machine.

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
    let began = Instant::now();
    let mut output = io::stdout().lock();
    memory::write_tables(&mut output)?;
    messages::write_tables(&mut output)?;
    idle::write_tables(&mut output)?;
    work::write_tables(&mut output)?;
    configuration::write_tables(&mut output)?;
    planner::write_tables(&mut output)?;
    urgent::write_tables(&mut output)?;
    writeln!(output, "The whole run took {:.1} s.", began.elapsed().as_secs_f64())
}
