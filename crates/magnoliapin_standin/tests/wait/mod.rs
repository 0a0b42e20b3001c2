//! Waits with a timeout.

use std::time::Duration;
use std::time::Instant;

/// Longest wait for a condition that a test expects.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a condition holds, and panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(holds: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "the condition was not met in time");
        smol::Timer::after(Duration::from_millis(5)).await;
    }
}
