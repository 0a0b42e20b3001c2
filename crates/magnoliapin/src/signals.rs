//! Stop signals: SIGTERM and SIGINT.

use std::io;

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;

/// Stream of received SIGTERM and SIGINT signals.
pub(crate) struct StopSignals(Signals);

impl StopSignals {
    /// Installs the signal handlers, so that the signals no longer terminate the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system rejects the handlers.
    pub(crate) fn new() -> io::Result<Self> {
        Signals::new([Signal::Term, Signal::Int]).map(Self)
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) {
        // The stream never ends. An error counts as a signal, so that the process still stops.
        let _ = self.0.next().await;
    }
}
