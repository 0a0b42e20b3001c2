//! Steps that continue or abort planned work in progress.

use magnoliapin_model::InstanceId;

use super::draft::PlanDraft;
use crate::InstanceChange;
use crate::InstanceRow;
use crate::InstanceState;
use crate::InstanceStatus;

/// Adds the next step of each instance with planned work in progress.
pub(super) fn add_steps(draft: &mut PlanDraft<'_>) {
    for instance in draft.instances() {
        continue_step(draft, instance);
    }
}

fn continue_step(draft: &mut PlanDraft<'_>, instance: InstanceId) {
    let Some(row) = draft.snapshot.row(instance) else { return };
    let (state, is_moving, has_goal) = (row.state, row.is_moving(), row.goal.is_some());
    match state {
        InstanceState::Draining if has_goal => {
            let next = if is_moving { InstanceChange::Move } else { InstanceChange::Reboot };
            if must_abort(draft, instance) || !draft.try_change(instance, next) {
                abort_if_due(draft, instance);
            }
        }
        InstanceState::Moving => {
            let has_joined = draft.try_change(instance, InstanceChange::Join);
            if !has_joined {
                abort_if_due(draft, instance);
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

/// Returns whether planned work on an instance must be aborted at once because its pool is over its
/// budget or the instance restarted by itself.
fn must_abort(draft: &PlanDraft<'_>, instance: InstanceId) -> bool {
    let Some((status, row)) = status_and_row(draft, instance) else { return false };
    let has_restarted = status.record.as_ref().is_some_and(|record| record.run != row.run);
    has_restarted || draft.is_over_budget(row.pool)
}

fn abort_if_due(draft: &mut PlanDraft<'_>, instance: InstanceId) {
    let Some((_, row)) = status_and_row(draft, instance) else { return };
    let limit_seconds = u64::from(draft.document.maintenance.drain_seconds);
    let is_late = draft.now.since(row.changed_at) >= limit_seconds;
    let is_forced = row.force;
    if must_abort(draft, instance) || (is_late && !is_forced) {
        draft.try_change(instance, InstanceChange::GiveUp);
    }
}

fn status_and_row<'d>(
    draft: &'d PlanDraft<'_>,
    instance: InstanceId,
) -> Option<(&'d InstanceStatus, &'d InstanceRow)> {
    let status = draft.snapshot.instances.get(&instance)?;
    Some((status, &status.row.as_ref()?.row))
}
