//! The availability budget of a pool.

use magnoliapin_model::ConfigDocument;
use magnoliapin_model::PoolId;

/// Budget of a pool that was removed from the document: its instances leave one by one.
const REMOVED_POOL_BUDGET: u32 = 1;

/// Returns how many instances of a pool may be unavailable at once.
pub(crate) fn max_unavailable(document: &ConfigDocument, pool: PoolId) -> u32 {
    document.pools.get(&pool).map_or(REMOVED_POOL_BUDGET, |section| section.max_unavailable)
}
