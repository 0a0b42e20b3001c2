//! The planner: what to do next, from what is known now.

mod draft;
mod moves;
mod progress;
mod rollouts;
mod upkeep;
mod waves;

use magnoliapin_model::ConfigDocument;

use self::draft::PlanDraft;
use crate::DemandHistory;
use crate::FleetSnapshot;
use crate::FleetStep;
use crate::UnixSeconds;

/// Returns the steps to take now, in order.
///
/// The same input gives the same steps. Each step is legal after those before it; whoever carries
/// them out checks each one again against the table.
pub fn plan(
    snapshot: &FleetSnapshot,
    document: &ConfigDocument,
    demand: &DemandHistory,
    now: UnixSeconds,
) -> Vec<FleetStep> {
    let mut draft = PlanDraft::new(snapshot, document, now);
    upkeep::add_steps(&mut draft);
    progress::add_steps(&mut draft);
    rollouts::add_steps(&mut draft);
    waves::add_steps(&mut draft);
    moves::add_steps(&mut draft, demand);
    draft.into_steps()
}
