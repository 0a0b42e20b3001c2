//! Prints the log of the nodes with virtual time if `SOAK_LOG` is set.

use std::cell::Cell;
use std::io;
use std::io::Write;

use log::Log;
use log::Metadata;
use log::Record;

thread_local! {
    /// Virtual time in microseconds, and the number of the node that logs.
    static CONTEXT: Cell<(u64, usize)> = const { Cell::new((0, 0)) };
}

struct LogPrinter;

/// Installs the printer as the logger if `SOAK_LOG` is set.
pub(crate) fn install() {
    if std::env::var_os("SOAK_LOG").is_some() && log::set_logger(&LogPrinter).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}

/// Sets the virtual time and the node of the following lines.
pub(crate) fn set_context(micros: u64, node: usize) {
    CONTEXT.with(|context| context.set((micros, node)));
}

impl Log for LogPrinter {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let (micros, node) = CONTEXT.with(Cell::get);
        let seconds = micros as f64 / 1e6;
        // There is nowhere to report that the output cannot be written.
        let _ = writeln!(io::stdout(), "{seconds:.4} node-{node} {}", record.args());
    }

    fn flush(&self) {}
}
