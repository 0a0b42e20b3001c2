//! Steps that carry on or give up what is under way.

use magnoliapin_model::InstanceId;

use super::draft::PlanDraft;
use crate::InstanceChange;
use crate::InstanceFacts;
use crate::InstanceRow;
use crate::InstanceState;

/// Adds the steps.
pub(super) fn add_steps(draft: &mut PlanDraft<'_>) {
    for instance in draft.instances() {
        carry_on(draft, instance);
    }
}

fn carry_on(draft: &mut PlanDraft<'_>, instance: InstanceId) {
    let Some(row) = draft.snapshot.row(instance) else { return };
    let (state, is_moving, has_goal) = (row.state, row.is_moving(), row.goal.is_some());
    match state {
        InstanceState::Draining if has_goal => {
            let next = if is_moving { InstanceChange::Move } else { InstanceChange::Reboot };
            if is_unwanted(draft, instance) || !draft.try_change(instance, next) {
                give_up_if_due(draft, instance);
            }
        }
        InstanceState::Moving => {
            let has_joined = draft.try_change(instance, InstanceChange::Join);
            if !has_joined {
                give_up_if_due(draft, instance);
            }
        }
        InstanceState::Rebooting => {
            draft.try_change(instance, InstanceChange::Join);
        }
        InstanceState::Joining => {
            draft.try_change(instance, InstanceChange::Serve);
        }
        _ => {}
    }
}

/// Returns whether a drain must end at once: its pool needs the instance back, or the instance
/// restarted by itself.
fn is_unwanted(draft: &PlanDraft<'_>, instance: InstanceId) -> bool {
    let Some((facts, row)) = facts_and_row(draft, instance) else { return false };
    let has_restarted = facts.record.as_ref().is_some_and(|record| record.run != row.run);
    has_restarted || draft.is_over_budget(row.pool)
}

fn give_up_if_due(draft: &mut PlanDraft<'_>, instance: InstanceId) {
    let Some((_, row)) = facts_and_row(draft, instance) else { return };
    let bound = u64::from(draft.document.maintenance.drain_seconds);
    let is_late = draft.now.since(row.changed_at) >= bound;
    let is_forced = row.force;
    if is_unwanted(draft, instance) || (is_late && !is_forced) {
        draft.try_change(instance, InstanceChange::GiveUp);
    }
}

fn facts_and_row<'d>(
    draft: &'d PlanDraft<'_>,
    instance: InstanceId,
) -> Option<(&'d InstanceFacts, &'d InstanceRow)> {
    let facts = draft.snapshot.instances.get(&instance)?;
    Some((facts, &facts.row.as_ref()?.row))
}
