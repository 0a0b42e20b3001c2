//! Planned reboots for roll-outs and maintenance, grouped by zone and rack.

use std::cmp::Reverse;

use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::RackId;
use magnoliapin_model::ZoneId;

use super::draft::PlanDraft;
use super::rollouts::canary_count;
use crate::InstanceChange;
use crate::InstanceRow;
use crate::InstanceState;
use crate::InstanceStatus;
use crate::MaintenanceLoad;
use crate::RolloutStage;
use crate::StepGoal;

/// Why an instance should reboot, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RebootReason {
    /// At most half of the lead time is left before its maintenance deadline, so that its
    /// maintenance would be late otherwise.
    Urgent,
    /// Its pool is rolled back to the previous image.
    Rollback,
    /// A new image is rolled out to its pool.
    Rollout,
    /// Its maintenance is due.
    Due,
    /// The roll-out of its pool is done but it runs another image, for example because it joined
    /// from another pool.
    CatchUp,
}

/// An instance that should reboot.
#[derive(Clone, Debug)]
struct RebootCandidate {
    instance: InstanceId,
    pool: PoolId,
    rack: RackId,
    zone: ZoneId,
    reason: RebootReason,
    deadline: u64,
    busy: u32,
    image: String,
}

/// Adds steps that drain instances for a reboot.
pub(super) fn add_steps(draft: &mut PlanDraft<'_>) {
    if draft.is_paused() {
        return;
    }
    let mut canaries_left = canaries_left(draft);
    let mut candidates = reboot_candidates(draft);
    sort_by_rack(draft, &mut candidates);
    for candidate in candidates {
        if draft.budget_left(candidate.pool) == 0 {
            continue;
        }
        if candidate.reason == RebootReason::Rollout
            && canaries_left.get(&candidate.pool) == Some(&0)
        {
            continue;
        }
        let goal = StepGoal::Reboot { image: candidate.image };
        let is_planned =
            draft.try_change(candidate.instance, InstanceChange::Drain { goal, force: false });
        if is_planned && candidate.reason == RebootReason::Rollout {
            if let Some(left) = canaries_left.get_mut(&candidate.pool) {
                *left -= 1;
            }
        }
    }
}

/// Returns how many more instances may get the new image, for each pool in the canary stage.
fn canaries_left(draft: &PlanDraft<'_>) -> IndexMap<PoolId, u32> {
    let members = draft.members_by_pool();
    let no_members = Vec::new();
    let mut left = IndexMap::new();
    for (pool, rollout) in &draft.snapshot.rollouts {
        if rollout.row.stage != RolloutStage::Canary {
            continue;
        }
        let members = members.get(pool).unwrap_or(&no_members);
        let rows = members.iter().filter_map(|member| draft.snapshot.row(*member));
        let started = rows.filter(|row| runs_or_will_run(row, &rollout.row.image)).count();
        let started = u32::try_from(started).unwrap_or(u32::MAX);
        left.insert(*pool, canary_count(draft, members).saturating_sub(started));
    }
    left
}

fn runs_or_will_run(row: &InstanceRow, image: &str) -> bool {
    let will_run = matches!(&row.goal, Some(StepGoal::Reboot { image: goal }) if goal == image);
    will_run || row.image == image
}

fn reboot_candidates(draft: &PlanDraft<'_>) -> Vec<RebootCandidate> {
    let period_seconds = u64::from(draft.document.maintenance.period_hours) * 3_600;
    let load = MaintenanceLoad::new(draft.document, &draft.snapshot);
    let lead_seconds = load.lead_seconds(period_seconds);
    let cooldown_seconds = u64::from(draft.document.maintenance.drain_seconds);
    let serving = draft
        .snapshot
        .rows()
        .filter(|(_, status, row)| row.state == InstanceState::Serving && status.is_listed_live());
    serving
        .filter_map(|(instance, status, row)| {
            let deadline = row.maintained_at.0 + period_seconds;
            let left_seconds = deadline.saturating_sub(draft.now.0);
            let (reason, image) = reboot_reason(draft, row, left_seconds, lead_seconds)?;
            let has_cooled_down = draft.now.since(row.changed_at) >= cooldown_seconds
                || row.changed_at == row.maintained_at
                || reason == RebootReason::Rollback;
            if !has_cooled_down {
                return None;
            }
            Some(reboot_candidate(instance, status, row, reason, deadline, image))
        })
        .collect()
}

fn reboot_candidate(
    instance: InstanceId,
    status: &InstanceStatus,
    row: &InstanceRow,
    reason: RebootReason,
    deadline: u64,
    image: String,
) -> RebootCandidate {
    RebootCandidate {
        instance,
        pool: row.pool,
        rack: row.rack,
        zone: row.zone,
        reason,
        deadline,
        busy: status.busy(),
        image,
    }
}

/// Returns why an instance should reboot and with which image, or `None` if it should not.
fn reboot_reason(
    draft: &PlanDraft<'_>,
    row: &InstanceRow,
    left_seconds: u64,
    lead_seconds: u64,
) -> Option<(RebootReason, String)> {
    let rollout = draft.snapshot.rollouts.get(&row.pool).map(|rollout| &rollout.row);
    let is_due = left_seconds <= lead_seconds;
    let is_urgent = left_seconds <= lead_seconds / 2;
    let image_change = rollout.and_then(|rollout| match rollout.stage {
        RolloutStage::Canary | RolloutStage::Waves if row.image != rollout.image => {
            Some((RebootReason::Rollout, rollout.image.clone()))
        }
        RolloutStage::RollingBack if row.image != rollout.previous_image => {
            Some((RebootReason::Rollback, rollout.previous_image.clone()))
        }
        RolloutStage::Done if row.image != rollout.image => {
            Some((RebootReason::CatchUp, rollout.image.clone()))
        }
        _ => None,
    });
    let is_canary = rollout.is_some_and(|rollout| rollout.stage == RolloutStage::Canary);
    match image_change {
        Some((_, image)) if is_urgent && !is_canary => Some((RebootReason::Urgent, image)),
        Some(change) if !is_urgent => Some(change),
        _ if is_urgent => Some((RebootReason::Urgent, row.image.clone())),
        _ if is_due => Some((RebootReason::Due, row.image.clone())),
        _ => None,
    }
}

/// Sorts candidates by reason. Within a reason, racks with planned work come first, then racks in
/// zones with planned work, then racks with the earliest deadline and then those with the most
/// candidates; inside a rack the least busy instance comes first.
fn sort_by_rack(draft: &PlanDraft<'_>, candidates: &mut [RebootCandidate]) {
    let racks = &draft.snapshot.racks.row;
    let mut planned_zones: Vec<ZoneId> = Vec::new();
    for (_, _, row) in draft.snapshot.rows() {
        if row.goal.is_some() && !planned_zones.contains(&row.zone) {
            planned_zones.push(row.zone);
        }
    }
    let mut keys: IndexMap<RackId, (u64, u32)> = IndexMap::new();
    for candidate in candidates.iter() {
        let (deadline, count) = keys.entry(candidate.rack).or_insert((u64::MAX, 0));
        *deadline = candidate.deadline.min(*deadline);
        *count += 1;
    }
    candidates.sort_by_cached_key(|candidate| {
        let (deadline, count) = keys.get(&candidate.rack).copied().unwrap_or_default();
        (
            candidate.reason,
            !racks.has_planned_work(candidate.rack),
            !planned_zones.contains(&candidate.zone),
            deadline / DEADLINE_BUCKET_SECONDS,
            Reverse(count),
            (candidate.zone, candidate.rack),
            (candidate.busy, candidate.instance),
        )
    });
}

/// Deadlines within the same interval of this length count as equal when racks are sorted, in
/// seconds.
const DEADLINE_BUCKET_SECONDS: u64 = 3_600;
