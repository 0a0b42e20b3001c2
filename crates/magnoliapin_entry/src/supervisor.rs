//! Supervision of long-running tasks, which are restarted when they fail.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use smol::Timer;

use crate::metrics::ChildName;
use crate::CallFuture;
use crate::EntryMetrics;
use crate::TaskSpawner;

const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// The backoff resets after a child has run longer than this.
const BACKOFF_RESET_TIME: Duration = Duration::from_secs(30);

/// Outcome of a child task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChildOutcome {
    /// The work is complete.
    Done,
    /// The child must be restarted.
    Failed,
}

/// Starts named child tasks and restarts failed ones with exponential backoff.
#[derive(Clone, Debug)]
pub(crate) struct Supervisor {
    spawner: TaskSpawner,
    metrics: Arc<EntryMetrics>,
}

impl Supervisor {
    /// Creates a supervisor without children.
    pub(crate) fn new(spawner: TaskSpawner, metrics: Arc<EntryMetrics>) -> Self {
        Self { spawner, metrics }
    }

    /// Starts a child; `start` creates its future, again after each failure or panic.
    pub(crate) fn start_child(
        &self,
        name: ChildName,
        start: impl Fn() -> CallFuture<'static, ChildOutcome> + Send + 'static,
    ) {
        let metrics = Arc::clone(&self.metrics);
        self.spawner.detach(async move {
            let mut backoff = INITIAL_BACKOFF;
            loop {
                let started = Instant::now();
                if run_once(start()).await == ChildOutcome::Done {
                    return;
                }
                metrics.count_restart(name);
                log::warn!("event=child_restarted child={name}");
                if started.elapsed() > BACKOFF_RESET_TIME {
                    backoff = INITIAL_BACKOFF;
                }
                Timer::after(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        });
    }
}

async fn run_once(child: CallFuture<'static, ChildOutcome>) -> ChildOutcome {
    AssertUnwindSafe(child).catch_unwind().await.unwrap_or(ChildOutcome::Failed)
}
