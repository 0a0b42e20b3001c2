//! Steps that reconcile the rows with the actual state of the instances.

use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_wire::ListedState;

use super::draft::PlanDraft;
use crate::InstanceChange;
use crate::InstanceRow;
use crate::InstanceState;
use crate::InstanceStatus;
use crate::StepGoal;
use crate::UnixSeconds;

/// Time after which an instance that has not rebooted is considered failed, in seconds.
const REBOOT_LIMIT_SECONDS: u64 = 900;
/// Time after which an instance that has not joined is considered failed, in seconds.
const JOIN_LIMIT_SECONDS: u64 = 300;
/// Time after its last change of state for which a serving instance may be listed as leaving, in
/// seconds, because the platform's list lags.
const LEAVING_LIMIT_SECONDS: u64 = 60;

/// Adds at most one step for each instance: it appeared, was removed, failed, recovered, or has to
/// be quarantined or released.
pub(super) fn add_steps(draft: &mut PlanDraft<'_>) {
    for instance in draft.instances() {
        if let Some(change) = reconcile_change(draft, instance) {
            draft.try_change(instance, change);
        }
    }
}

fn reconcile_change(draft: &PlanDraft<'_>, instance: InstanceId) -> Option<InstanceChange> {
    let status = draft.snapshot.instances.get(&instance)?;
    let Some(versioned) = &status.row else {
        let is_new = status.is_listed_live();
        return is_new
            .then(|| initial_pool(draft, status))?
            .map(|pool| InstanceChange::Adopt { pool });
    };
    let row = &versioned.row;
    if status.listed_state() == Some(ListedState::Gone) {
        return Some(InstanceChange::Retire);
    }
    match row.state {
        InstanceState::Failed => has_recovered(status).then_some(InstanceChange::Recover),
        InstanceState::Quarantined => {
            (status.quarantine_proposal == Some(false)).then_some(InstanceChange::Release)
        }
        _ if has_failed(status, row, draft.now) => Some(InstanceChange::Fail),
        InstanceState::Serving if status.quarantine_proposal == Some(true) => {
            Some(InstanceChange::Quarantine)
        }
        _ => None,
    }
}

/// Returns the pool of a new instance: the one that it was created for, otherwise the spare pool.
fn initial_pool(draft: &PlanDraft<'_>, status: &InstanceStatus) -> Option<PoolId> {
    let pools = &draft.document.pools;
    let intended = status.record.as_ref()?.pool;
    let known = intended.filter(|pool| pools.contains_key(pool));
    let spare = || pools.iter().find(|(_, section)| section.spare).map(|(pool, _)| *pool);
    // Without a spare pool, the first pool is used.
    known.or_else(spare).or_else(|| pools.keys().next().copied())
}

fn has_recovered(status: &InstanceStatus) -> bool {
    status.is_listed_live() && status.healthy == Some(true)
}

fn has_failed(status: &InstanceStatus, row: &InstanceRow, now: UnixSeconds) -> bool {
    let age_seconds = now.since(row.changed_at);
    match row.state {
        InstanceState::Rebooting => {
            age_seconds > REBOOT_LIMIT_SECONDS || runs_wrong_image(status, row)
        }
        InstanceState::Joining => age_seconds > JOIN_LIMIT_SECONDS || status.healthy == Some(false),
        InstanceState::Serving => {
            let is_leaving = status.listed_state() == Some(ListedState::Leaving);
            status.healthy == Some(false) || (is_leaving && age_seconds > LEAVING_LIMIT_SECONDS)
        }
        _ => status.healthy == Some(false),
    }
}

/// Returns whether a rebooted instance came up with another image than ordered.
fn runs_wrong_image(status: &InstanceStatus, row: &InstanceRow) -> bool {
    let Some(StepGoal::Reboot { image }) = &row.goal else { return true };
    let is_live = status.is_listed_live();
    status
        .record
        .as_ref()
        .is_some_and(|record| is_live && record.run != row.run && record.image != *image)
}
