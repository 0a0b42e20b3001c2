//! Planned restarts: roll-outs and maintenance, packed by zone and rack.

use std::cmp::Reverse;

use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::RackId;
use magnoliapin_model::ZoneId;

use super::draft::PlanDraft;
use super::rollouts::canary_count;
use crate::InstanceChange;
use crate::InstanceFacts;
use crate::InstanceRow;
use crate::InstanceState;
use crate::MaintenanceLoad;
use crate::RolloutStage;
use crate::StepGoal;

/// Why an instance should restart, most pressing first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RebootRank {
    /// Its maintenance would come too late otherwise.
    Overdue,
    /// Its pool goes back to the previous image.
    Rollback,
    /// Its pool gets a new image.
    Rollout,
    /// Its maintenance is due.
    Due,
    /// Its pool has its image already, and it came from elsewhere.
    CatchUp,
}

/// An instance that should restart.
#[derive(Clone, Debug)]
struct RebootCandidate {
    instance: InstanceId,
    pool: PoolId,
    rack: RackId,
    zone: ZoneId,
    rank: RebootRank,
    deadline: u64,
    busy: u32,
    image: String,
}

/// Adds the steps.
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
        if candidate.rank == RebootRank::Rollout && canaries_left.get(&candidate.pool) == Some(&0) {
            continue;
        }
        let goal = StepGoal::Reboot { image: candidate.image };
        let is_planned =
            draft.try_change(candidate.instance, InstanceChange::Drain { goal, force: false });
        if is_planned && candidate.rank == RebootRank::Rollout {
            if let Some(left) = canaries_left.get_mut(&candidate.pool) {
                *left -= 1;
            }
        }
    }
}

/// Returns how many more instances may get the new image, for each pool in its canary stage.
fn canaries_left(draft: &PlanDraft<'_>) -> IndexMap<PoolId, u32> {
    let members = draft.members_by_pool();
    let none = Vec::new();
    let mut left = IndexMap::new();
    for (pool, rollout) in &draft.snapshot.rollouts {
        if rollout.row.stage != RolloutStage::Canary {
            continue;
        }
        let members = members.get(pool).unwrap_or(&none);
        let rows = members.iter().filter_map(|member| draft.snapshot.row(*member));
        let taken = rows.filter(|row| runs_or_gets(row, &rollout.row.image)).count();
        let taken = u32::try_from(taken).unwrap_or(u32::MAX);
        left.insert(*pool, canary_count(draft, members).saturating_sub(taken));
    }
    left
}

fn runs_or_gets(row: &InstanceRow, image: &str) -> bool {
    let gets = matches!(&row.goal, Some(StepGoal::Reboot { image: goal }) if goal == image);
    gets || row.image == image
}

fn reboot_candidates(draft: &PlanDraft<'_>) -> Vec<RebootCandidate> {
    let period = u64::from(draft.document.maintenance.period_hours) * 3_600;
    let load = MaintenanceLoad::new(draft.document, &draft.snapshot);
    let lead = load.lead_seconds(period);
    let rest = u64::from(draft.document.maintenance.drain_seconds);
    let serving = draft
        .snapshot
        .rows()
        .filter(|(_, facts, row)| row.state == InstanceState::Serving && facts.is_listed_live());
    serving
        .filter_map(|(instance, facts, row)| {
            let deadline = row.maintained_at.0 + period;
            let left = deadline.saturating_sub(draft.now.0);
            let (rank, image) = reboot_rank(draft, row, left, lead)?;
            let is_rested = draft.now.since(row.changed_at) >= rest
                || row.changed_at == row.maintained_at
                || rank == RebootRank::Rollback;
            if !is_rested {
                return None;
            }
            Some(reboot_candidate(instance, facts, row, rank, deadline, image))
        })
        .collect()
}

fn reboot_candidate(
    instance: InstanceId,
    facts: &InstanceFacts,
    row: &InstanceRow,
    rank: RebootRank,
    deadline: u64,
    image: String,
) -> RebootCandidate {
    RebootCandidate {
        instance,
        pool: row.pool,
        rack: row.rack,
        zone: row.zone,
        rank,
        deadline,
        busy: facts.busy(),
        image,
    }
}

/// Returns why an instance should restart, and with which image.
fn reboot_rank(
    draft: &PlanDraft<'_>,
    row: &InstanceRow,
    left_seconds: u64,
    lead_seconds: u64,
) -> Option<(RebootRank, String)> {
    let rollout = draft.snapshot.rollouts.get(&row.pool).map(|rollout| &rollout.row);
    let is_due = left_seconds <= lead_seconds;
    let is_overdue = left_seconds <= lead_seconds / 2;
    let change = rollout.and_then(|rollout| match rollout.stage {
        RolloutStage::Canary | RolloutStage::Waves if row.image != rollout.image => {
            Some((RebootRank::Rollout, rollout.image.clone()))
        }
        RolloutStage::RollingBack if row.image != rollout.previous_image => {
            Some((RebootRank::Rollback, rollout.previous_image.clone()))
        }
        RolloutStage::Done if row.image != rollout.image => {
            Some((RebootRank::CatchUp, rollout.image.clone()))
        }
        _ => None,
    });
    let is_canary = rollout.is_some_and(|rollout| rollout.stage == RolloutStage::Canary);
    match change {
        Some((_, image)) if is_overdue && !is_canary => Some((RebootRank::Overdue, image)),
        Some(change) if !is_overdue => Some(change),
        _ if is_overdue => Some((RebootRank::Overdue, row.image.clone())),
        _ if is_due => Some((RebootRank::Due, row.image.clone())),
        _ => None,
    }
}

/// Orders candidates so that racks with planned work come first, then racks of the same zones, then
/// the rack with the earliest deadline; inside a rack the least busy instance comes first.
fn sort_by_rack(draft: &PlanDraft<'_>, candidates: &mut [RebootCandidate]) {
    let racks = &draft.snapshot.racks.row;
    let mut open_zones: Vec<ZoneId> = Vec::new();
    for (_, _, row) in draft.snapshot.rows() {
        if row.goal.is_some() && !open_zones.contains(&row.zone) {
            open_zones.push(row.zone);
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
            candidate.rank,
            !racks.is_open(candidate.rack),
            !open_zones.contains(&candidate.zone),
            deadline / DEADLINE_GRAIN_SECONDS,
            Reverse(count),
            (candidate.zone, candidate.rack),
            (candidate.busy, candidate.instance),
        )
    });
}

/// Deadlines this close together count as the same when racks are ordered.
const DEADLINE_GRAIN_SECONDS: u64 = 3_600;
