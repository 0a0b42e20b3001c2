//! SIGTERM and SIGINT.

use std::io;

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;

/// Listens for SIGTERM and SIGINT.
pub(crate) struct StopSignals(Signals);

impl StopSignals {
    /// Begins to listen; from now on the two do not end the process by themselves.
    ///
    /// # Errors
    ///
    /// Returns an error if the system refuses.
    pub(crate) fn new() -> io::Result<Self> {
        Signals::new([Signal::Term, Signal::Int]).map(Self)
    }

    /// Waits for the next of the two signals.
    pub(crate) async fn next(&mut self) {
        // The stream never ends, and an error is as good as a signal: the process can stop.
        let _ = self.0.next().await;
    }
}
