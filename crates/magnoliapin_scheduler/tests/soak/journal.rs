//! Prints what the nodes log, with virtual time, if `SOAK_LOG` is set.

use std::cell::Cell;
use std::io;
use std::io::Write;

use log::Log;
use log::Metadata;
use log::Record;

thread_local! {
    static NOW: Cell<(u64, usize)> = const { Cell::new((0, 0)) };
}

struct Journal;

/// Starts to print.
pub(crate) fn start() {
    if std::env::var_os("SOAK_LOG").is_some() && log::set_logger(&Journal).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
    }
}

/// Sets the time and the node of the lines that follow.
pub(crate) fn set_now(micros: u64, node: usize) {
    NOW.with(|now| now.set((micros, node)));
}

impl Log for Journal {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let (micros, node) = NOW.with(Cell::get);
        let time = micros as f64 / 1e6;
        // A line that cannot be printed has nowhere to say so.
        let _ = writeln!(io::stdout(), "{time:.4} node-{node} {}", record.args());
    }

    fn flush(&self) {}
}
