//! Displays the progress of the demo if standard error is a terminal.

use std::io;
use std::io::IsTerminal;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use smol::Timer;

use crate::demo::load::LoadProgress;

const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
const CLEAR_LINE: &str = "\r\x1b[2K";

/// Refreshes the progress line until the future is dropped.
pub(crate) async fn show_progress(progress: Arc<LoadProgress>) {
    let started = Instant::now();
    if !io::stderr().is_terminal() {
        return;
    }
    loop {
        let started_calls = progress.started_calls.load(Ordering::Relaxed);
        let completed_calls = progress.completed_calls.load(Ordering::Relaxed);
        let open_jobs = progress.open_jobs.load(Ordering::Relaxed);
        let seconds = started.elapsed().as_secs();
        write_line(&format!(
            "{seconds:3} s  handed in {started_calls}  told {completed_calls}  open jobs {open_jobs}"
        ));
        Timer::after(REFRESH_INTERVAL).await;
    }
}

/// Displays the current step of the demo if standard error is a terminal.
pub(crate) fn show_step(step: &str) {
    if io::stderr().is_terminal() {
        write_line(step);
    }
}

/// Clears the progress line.
pub(crate) fn clear_progress() {
    if io::stderr().is_terminal() {
        write_line("");
    }
}

fn write_line(line: &str) {
    let mut terminal = io::stderr().lock();
    // Errors are ignored: the terminal may have been closed, and the progress is only informative.
    let _ = write!(terminal, "{CLEAR_LINE}{line}").and_then(|()| terminal.flush());
}
