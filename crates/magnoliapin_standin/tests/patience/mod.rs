//! Waits with a bound.

use std::time::Duration;
use std::time::Instant;

/// Longest wait for something that a test expects.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until a condition holds.
pub(crate) async fn until(holds: impl Fn() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < deadline, "the condition does not hold in time");
        smol::Timer::after(Duration::from_millis(5)).await;
    }
}
