//! Writes Markdown tables.

use std::fmt::Display;
use std::io;
use std::io::Write;

/// Writes the title and the header of a table.
pub(crate) fn write_head(output: &mut impl Write, title: &str, columns: &[&str]) -> io::Result<()> {
    writeln!(output, "\n**{title}**\n")?;
    writeln!(output, "| {} |", columns.join(" | "))?;
    writeln!(output, "|{}", "---|".repeat(columns.len()))
}

/// Writes one row and flushes the output.
pub(crate) fn write_row(output: &mut impl Write, cells: &[&dyn Display]) -> io::Result<()> {
    let cells = cells.iter().map(ToString::to_string).collect::<Vec<_>>();
    writeln!(output, "| {} |", cells.join(" | "))?;
    output.flush()
}

/// Formats a number with two decimal places.
pub(crate) fn fixed(number: f64) -> String {
    format!("{number:.2}")
}
