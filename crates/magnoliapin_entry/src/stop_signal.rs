//! One-shot signal that any number of tasks can wait for.

use async_channel::Receiver;
use async_channel::Sender;

/// One-shot signal; clones share its state.
#[derive(Clone, Debug)]
pub(crate) struct StopSignal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl StopSignal {
    /// Creates a signal that is not raised.
    pub(crate) fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    /// Raises the signal permanently.
    pub(crate) fn raise(&self) {
        self.sender.close();
    }

    /// Returns whether the signal has been raised.
    pub(crate) fn is_raised(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the signal is raised.
    pub(crate) async fn wait(&self) {
        // Nothing is ever sent, so receiving ends when the channel closes.
        let _ = self.receiver.recv().await;
    }
}
