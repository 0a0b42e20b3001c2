//! Watches the availability budgets of the pools in the platform's table.

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

/// Counts moments at which planned work went beyond a pool's budget.
#[derive(Debug, Default)]
pub(crate) struct BudgetWatch {
    /// Samples that saw instances at all.
    pub(crate) samples: AtomicU64,
    /// Moments at which a planned step began although the budget was used up.
    pub(crate) broken: AtomicU64,
    /// Most instances that planned work held back at once, over all pools.
    pub(crate) planned_peak: AtomicU64,
}

/// Unavailable instances of one pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolCounts {
    planned: u32,
    total: u32,
}

impl BudgetWatch {
    /// Samples the table until it is dropped.
    pub(crate) async fn run(
        self: Arc<Self>,
        platform: Arc<Mutex<PlatformState>>,
        document: Arc<ConfigDocument>,
    ) {
        let mut before = IndexMap::new();
        loop {
            let counts = count_pools(&platform);
            if !counts.is_empty() {
                self.samples.fetch_add(1, Ordering::Relaxed);
            }
            let planned: u32 = counts.values().map(|count| count.planned).sum();
            self.planned_peak.fetch_max(u64::from(planned), Ordering::Relaxed);
            let broken = counts.iter().filter(|(pool, count)| {
                let earlier: PoolCounts = before.get(*pool).copied().unwrap_or_default();
                is_broken(&document, **pool, earlier, **count)
            });
            self.broken.fetch_add(broken.count() as u64, Ordering::Relaxed);
            before = counts;
            Timer::after(SAMPLE_INTERVAL).await;
        }
    }
}

/// Returns whether planned work rose above the budget. A failure on top of planned work does not
/// break it: nobody plans failures.
fn is_broken(
    document: &ConfigDocument,
    pool: PoolId,
    before: PoolCounts,
    count: PoolCounts,
) -> bool {
    let budget = document.pools.get(&pool).map_or(0, |section| section.max_unavailable);
    count.planned > before.planned && count.total > budget
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
