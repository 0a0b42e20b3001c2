//! Long-running tasks that are started again when they end.

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

const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const LONGEST_BACKOFF: Duration = Duration::from_secs(5);
/// A child that ran this long starts with the first backoff again.
const STEADY_TIME: Duration = Duration::from_secs(30);

/// How a child ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChildEnd {
    /// Its work is done.
    Done,
    /// It must be started again.
    Failed,
}

/// Starts named children and restarts them with backoff.
#[derive(Clone, Debug)]
pub(crate) struct Supervisor {
    spawner: TaskSpawner,
    metrics: Arc<EntryMetrics>,
}

impl Supervisor {
    /// Makes a supervisor without children.
    pub(crate) fn new(spawner: TaskSpawner, metrics: Arc<EntryMetrics>) -> Self {
        Self { spawner, metrics }
    }

    /// Starts a child; `start` makes it anew after each failure or panic.
    pub(crate) fn start_child(
        &self,
        name: ChildName,
        start: impl Fn() -> CallFuture<'static, ChildEnd> + Send + 'static,
    ) {
        let metrics = Arc::clone(&self.metrics);
        self.spawner.detach(async move {
            let mut backoff = FIRST_BACKOFF;
            loop {
                let started = Instant::now();
                if run_once(start()).await == ChildEnd::Done {
                    return;
                }
                metrics.count_restart(name);
                log::warn!("event=child_restarted child={name}");
                if started.elapsed() > STEADY_TIME {
                    backoff = FIRST_BACKOFF;
                }
                Timer::after(backoff).await;
                backoff = (backoff * 2).min(LONGEST_BACKOFF);
            }
        });
    }
}

async fn run_once(child: CallFuture<'static, ChildEnd>) -> ChildEnd {
    AssertUnwindSafe(child).catch_unwind().await.unwrap_or(ChildEnd::Failed)
}
