//! Shows how far the demo has come, if the standard error is a terminal.

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

/// Rewrites one line of the terminal until it is dropped.
pub(crate) async fn show_progress(progress: Arc<LoadProgress>) {
    let started = Instant::now();
    if !io::stderr().is_terminal() {
        return;
    }
    loop {
        let handed_in = progress.handed_in.load(Ordering::Relaxed);
        let told = progress.told.load(Ordering::Relaxed);
        let open = progress.open_jobs.load(Ordering::Relaxed);
        let seconds = started.elapsed().as_secs();
        write_line(&format!("{seconds:3} s  handed in {handed_in}  told {told}  open jobs {open}"));
        Timer::after(REFRESH_INTERVAL).await;
    }
}

/// Shows one step of the demo, if the standard error is a terminal.
pub(crate) fn show_step(step: &str) {
    if io::stderr().is_terminal() {
        write_line(step);
    }
}

/// Clears the line.
pub(crate) fn clear_progress() {
    if io::stderr().is_terminal() {
        write_line("");
    }
}

fn write_line(line: &str) {
    let mut terminal = io::stderr().lock();
    // A terminal that is gone needs no progress.
    let _ = write!(terminal, "{CLEAR_LINE}{line}").and_then(|()| terminal.flush());
}
