//! Steps that start roll-outs and advance their stages.

use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;

use super::draft::PlanDraft;
use crate::FleetStep;
use crate::InstanceState;
use crate::RolloutRow;
use crate::RolloutStage;
use crate::UnixSeconds;

/// During the waves, one in this many of the instances with the new image may have failed.
const INSTANCES_PER_ALLOWED_FAILURE: u32 = 10;

/// Adds steps that start a roll-out or advance its stage.
pub(super) fn add_steps(draft: &mut PlanDraft<'_>) {
    let members = draft.members_by_pool();
    let pools: Vec<PoolId> = draft.document.pools.keys().copied().collect();
    let no_members = Vec::new();
    for pool in pools {
        let members = members.get(&pool).unwrap_or(&no_members);
        let rollout = draft.snapshot.rollouts.get(&pool).map(|rollout| rollout.row.clone());
        let next = match &rollout {
            Some(row) if row.stage != RolloutStage::Done => next_stage(draft, row, members),
            finished => new_rollout(draft, pool, finished.as_ref(), members),
        };
        if let Some(row) = next {
            draft.try_step(FleetStep::Rollout { pool, row });
        }
    }
}

/// Returns a new roll-out of the configured image if some members run another image. Returns `None`
/// for the image of the previous roll-out, for an image that was rolled back and while planned work
/// is paused.
fn new_rollout(
    draft: &PlanDraft<'_>,
    pool: PoolId,
    previous: Option<&RolloutRow>,
    members: &[InstanceId],
) -> Option<RolloutRow> {
    let image = &draft.document.pools.get(&pool)?.image;
    let is_current = previous.is_some_and(|previous| previous.image == *image);
    let is_abandoned =
        previous.is_some_and(|previous| previous.abandoned_image.as_ref() == Some(image));
    if image.is_empty() || is_current || is_abandoned || draft.is_paused() {
        return None;
    }
    let old_image = most_common_image(draft, members, image)?;
    Some(RolloutRow::new(image.clone(), old_image, draft.now))
}

/// Returns the image other than `image` that most members run, or `None` if all members run
/// `image`.
fn most_common_image(draft: &PlanDraft<'_>, members: &[InstanceId], image: &str) -> Option<String> {
    let mut counts: IndexMap<&str, u32> = IndexMap::new();
    let rows = members.iter().filter_map(|member| draft.snapshot.row(*member));
    for row in rows.filter(|row| row.image != image) {
        *counts.entry(&row.image).or_insert(0) += 1;
    }
    counts.sort_unstable_keys();
    let (image, _) = counts.into_iter().rev().max_by_key(|(_, count)| *count)?;
    Some(image.to_owned())
}

fn next_stage(
    draft: &PlanDraft<'_>,
    row: &RolloutRow,
    members: &[InstanceId],
) -> Option<RolloutRow> {
    let counts = ImageCounts::new(draft, row, members);
    match row.stage {
        RolloutStage::Canary if counts.out_of_service_new > 0 => {
            Some(row.with_stage(RolloutStage::Halted, draft.now))
        }
        RolloutStage::Canary if counts.proven_new >= canary_count(draft, members) => {
            Some(row.with_stage(RolloutStage::Waves, draft.now))
        }
        RolloutStage::Waves if counts.is_failing() => {
            Some(row.with_stage(RolloutStage::Halted, draft.now))
        }
        RolloutStage::Waves if counts.remaining_old == 0 => {
            Some(row.with_stage(RolloutStage::Done, draft.now))
        }
        RolloutStage::RollingBack if counts.remaining_new == 0 => {
            Some(rolled_back_row(row, draft.now))
        }
        _ => None,
    }
}

fn rolled_back_row(row: &RolloutRow, now: UnixSeconds) -> RolloutRow {
    RolloutRow {
        image: row.previous_image.clone(),
        previous_image: row.image.clone(),
        abandoned_image: Some(row.image.clone()),
        ..row.with_stage(RolloutStage::Done, now)
    }
}

/// Returns the number of canary instances of a pool with these members.
pub(super) fn canary_count(draft: &PlanDraft<'_>, members: &[InstanceId]) -> u32 {
    let size = u32::try_from(members.len()).unwrap_or(u32::MAX);
    draft.document.maintenance.canary_instances.max(1).min(size)
}

/// Counts of a pool's members by image and health.
#[derive(Clone, Copy, Debug, Default)]
struct ImageCounts {
    /// Members with the new image.
    new: u32,
    /// Members with the new image that are failed or quarantined.
    out_of_service_new: u32,
    /// Members with the new image that have been serving for at least `canary_seconds`.
    proven_new: u32,
    /// Members with the new image or with a planned step in progress, without failed or quarantined
    /// ones.
    remaining_new: u32,
    /// Members with another image.
    old: u32,
    /// Members with another image that are failed or quarantined.
    out_of_service_old: u32,
    /// Members with another image or with a planned step in progress, without failed or quarantined
    /// ones.
    remaining_old: u32,
}

impl ImageCounts {
    fn new(draft: &PlanDraft<'_>, rollout: &RolloutRow, members: &[InstanceId]) -> Self {
        let canary_seconds = u64::from(draft.document.maintenance.canary_seconds);
        let mut counts = Self::default();
        for row in members.iter().filter_map(|member| draft.snapshot.row(*member)) {
            let is_new = row.image == rollout.image;
            let is_out_of_service =
                matches!(row.state, InstanceState::Failed | InstanceState::Quarantined);
            let is_serving = row.state == InstanceState::Serving;
            let is_proven = is_serving && draft.now.since(row.changed_at) >= canary_seconds;
            let has_goal = row.goal.is_some();
            counts.new += u32::from(is_new);
            counts.old += u32::from(!is_new);
            counts.out_of_service_new += u32::from(is_new && is_out_of_service);
            counts.out_of_service_old += u32::from(!is_new && is_out_of_service);
            counts.proven_new += u32::from(is_new && is_proven);
            counts.remaining_new += u32::from((is_new || has_goal) && !is_out_of_service);
            counts.remaining_old += u32::from((!is_new || has_goal) && !is_out_of_service);
        }
        counts
    }

    /// Returns whether too many instances with the new image have failed and their share is higher
    /// than with other images. The comparison prevents a lost rack, which affects instances of
    /// both, from halting the roll-out.
    fn is_failing(&self) -> bool {
        let exceeds_limit = self.out_of_service_new * INSTANCES_PER_ALLOWED_FAILURE > self.new;
        exceeds_limit
            && self.out_of_service_new * self.old.max(1) > self.out_of_service_old * self.new
    }
}
