//! Checks the pools' availability budgets against the instance rows in the platform's table.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_fleet::InstanceRow;
use magnoliapin_fleet::RowKey;
use magnoliapin_fleet::UnavailableCause;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::PoolId;
use magnoliapin_standin::PlatformState;
use magnoliapin_wire::TableRead;
use smol::Timer;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
const MAX_INSTANCES: u32 = 10_000;

/// Samples the unavailable instances of each pool and counts budget violations.
#[derive(Debug, Default)]
pub(crate) struct BudgetMonitor {
    /// Samples in which the table held at least one instance.
    pub(crate) samples: AtomicU64,
    /// Samples of a pool in which planned work had grown and the pool was over its budget.
    pub(crate) violations: AtomicU64,
    /// Most instances that were unavailable for planned work in one sample, over all pools.
    pub(crate) planned_peak: AtomicU64,
}

/// Unavailable instances of one pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolCounts {
    /// Unavailable for planned work.
    planned: u32,
    /// Unavailable for any cause.
    total: u32,
}

impl BudgetMonitor {
    /// Samples the table every [`SAMPLE_INTERVAL`]; runs until the future is dropped.
    pub(crate) async fn run(
        self: Arc<Self>,
        platform: Arc<Mutex<PlatformState>>,
        document: Arc<ConfigDocument>,
    ) {
        let mut previous_counts = IndexMap::new();
        loop {
            let counts = count_pools(&platform);
            if !counts.is_empty() {
                self.samples.fetch_add(1, Ordering::Relaxed);
            }
            let planned: u32 = counts.values().map(|count| count.planned).sum();
            self.planned_peak.fetch_max(u64::from(planned), Ordering::Relaxed);
            let violations = counts.iter().filter(|(pool, count)| {
                let previous: PoolCounts = previous_counts.get(*pool).copied().unwrap_or_default();
                exceeds_budget(&document, **pool, previous, **count)
            });
            self.violations.fetch_add(violations.count() as u64, Ordering::Relaxed);
            previous_counts = counts;
            Timer::after(SAMPLE_INTERVAL).await;
        }
    }
}

/// Returns whether planned work has grown and the pool is over its budget. A failure during planned
/// work is no violation, as failures are not planned.
fn exceeds_budget(
    document: &ConfigDocument,
    pool: PoolId,
    previous: PoolCounts,
    count: PoolCounts,
) -> bool {
    let budget = document.pools.get(&pool).map_or(0, |section| section.max_unavailable);
    count.planned > previous.planned && count.total > budget
}

fn count_pools(platform: &Mutex<PlatformState>) -> IndexMap<PoolId, PoolCounts> {
    let read = TableRead::Prefix {
        prefix: RowKey::INSTANCES.to_owned(),
        after: String::new(),
        limit: MAX_INSTANCES,
    };
    let rows = platform.lock().unwrap_or_else(PoisonError::into_inner).table.read(&read);
    let mut counts: IndexMap<PoolId, PoolCounts> = IndexMap::new();
    for row in rows {
        let Ok(row) = serde_json::from_str::<InstanceRow>(&row.value) else {
            continue;
        };
        let count = counts.entry(row.pool).or_default();
        if let Some(cause) = row.unavailable_cause() {
            count.total += 1;
            let is_planned =
                !matches!(cause, UnavailableCause::Failed | UnavailableCause::Quarantined);
            count.planned += u32::from(is_planned);
        }
    }
    counts
}
