//! The planner, which derives the next steps from a snapshot of the fleet.

mod draft;
mod moves;
mod progress;
mod reconcile;
mod rollouts;
mod waves;

use magnoliapin_model::ConfigDocument;

use self::draft::PlanDraft;
use crate::DemandHistory;
use crate::FleetSnapshot;
use crate::FleetStep;
use crate::UnixSeconds;

/// Returns the steps to take now, in order.
///
/// The same input gives the same steps. Each step is allowed after those before it; each one is
/// checked again against the table when it is carried out.
pub fn plan(
    snapshot: &FleetSnapshot,
    document: &ConfigDocument,
    demand: &DemandHistory,
    now: UnixSeconds,
) -> Vec<FleetStep> {
    let mut draft = PlanDraft::new(snapshot, document, now);
    reconcile::add_steps(&mut draft);
    progress::add_steps(&mut draft);
    rollouts::add_steps(&mut draft);
    waves::add_steps(&mut draft);
    moves::add_steps(&mut draft, demand);
    draft.into_steps()
}
