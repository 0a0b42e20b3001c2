//! Steps that start roll-outs and lead them from stage to stage.

use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;

use super::draft::PlanDraft;
use crate::FleetStep;
use crate::InstanceState;
use crate::RolloutRow;
use crate::RolloutStage;
use crate::UnixSeconds;

/// Of the instances that run the new image, one in this many may have failed during the waves.
const FAILED_SHARE: u32 = 10;

/// Adds the steps.
pub(super) fn add_steps(draft: &mut PlanDraft<'_>) {
    let members = draft.members_by_pool();
    let pools: Vec<PoolId> = draft.document.pools.keys().copied().collect();
    let none = Vec::new();
    for pool in pools {
        let members = members.get(&pool).unwrap_or(&none);
        let rollout = draft.snapshot.rollouts.get(&pool).map(|rollout| rollout.row.clone());
        let next = match &rollout {
            Some(row) if row.stage != RolloutStage::Done => next_stage(draft, row, members),
            other => first_stage(draft, pool, other.as_ref(), members),
        };
        if let Some(row) = next {
            draft.try_step(FleetStep::Rollout { pool, row });
        }
    }
}

/// Returns a new roll-out if the document names an image that the pool does not have.
fn first_stage(
    draft: &PlanDraft<'_>,
    pool: PoolId,
    last: Option<&RolloutRow>,
    members: &[InstanceId],
) -> Option<RolloutRow> {
    let image = &draft.document.pools.get(&pool)?.image;
    let is_settled = last.is_some_and(|last| last.image == *image);
    let is_abandoned = last.is_some_and(|last| last.abandoned_image.as_ref() == Some(image));
    if image.is_empty() || is_settled || is_abandoned || draft.is_paused() {
        return None;
    }
    let previous = most_common_image(draft, members, image)?;
    Some(RolloutRow::new(image.clone(), previous, draft.now))
}

/// Returns the image that most members run besides `image`, or none if all run that one.
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
        RolloutStage::Canary if counts.failed_new > 0 => {
            Some(row.with_stage(RolloutStage::Halted, draft.now))
        }
        RolloutStage::Canary if counts.proved_new >= canary_count(draft, members) => {
            Some(row.with_stage(RolloutStage::Waves, draft.now))
        }
        RolloutStage::Waves if counts.is_failing() => {
            Some(row.with_stage(RolloutStage::Halted, draft.now))
        }
        RolloutStage::Waves if counts.open_old == 0 => {
            Some(row.with_stage(RolloutStage::Done, draft.now))
        }
        RolloutStage::RollingBack if counts.open_new == 0 => Some(rolled_back(row, draft.now)),
        _ => None,
    }
}

fn rolled_back(row: &RolloutRow, now: UnixSeconds) -> RolloutRow {
    RolloutRow {
        image: row.previous_image.clone(),
        previous_image: row.image.clone(),
        abandoned_image: Some(row.image.clone()),
        ..row.with_stage(RolloutStage::Done, now)
    }
}

/// Returns how many canaries a pool with these members has.
pub(super) fn canary_count(draft: &PlanDraft<'_>, members: &[InstanceId]) -> u32 {
    let size = u32::try_from(members.len()).unwrap_or(u32::MAX);
    draft.document.maintenance.canary_instances.max(1).min(size)
}

/// Counts of a pool's members by image and health.
#[derive(Clone, Copy, Debug, Default)]
struct ImageCounts {
    /// Members with the new image.
    new: u32,
    /// Members with the new image that failed.
    failed_new: u32,
    /// Members with the new image that have served for as long as a canary must.
    proved_new: u32,
    /// Members with the new image, or on the way to it, that are not failed.
    open_new: u32,
    /// Members with another image.
    old: u32,
    /// Members with another image that failed.
    failed_old: u32,
    /// Members with another image, or not back from their restart, that are not failed.
    open_old: u32,
}

impl ImageCounts {
    fn new(draft: &PlanDraft<'_>, rollout: &RolloutRow, members: &[InstanceId]) -> Self {
        let canary_seconds = u64::from(draft.document.maintenance.canary_seconds);
        let mut counts = Self::default();
        for row in members.iter().filter_map(|member| draft.snapshot.row(*member)) {
            let is_new = row.image == rollout.image;
            let is_out = matches!(row.state, InstanceState::Failed | InstanceState::Quarantined);
            let is_serving = row.state == InstanceState::Serving;
            let is_proved = is_serving && draft.now.since(row.changed_at) >= canary_seconds;
            let has_goal = row.goal.is_some();
            counts.new += u32::from(is_new);
            counts.old += u32::from(!is_new);
            counts.failed_new += u32::from(is_new && is_out);
            counts.failed_old += u32::from(!is_new && is_out);
            counts.proved_new += u32::from(is_new && is_proved);
            counts.open_new += u32::from((is_new || has_goal) && !is_out);
            counts.open_old += u32::from((!is_new || has_goal) && !is_out);
        }
        counts
    }

    /// Returns whether the new image does worse than the old one, so that a lost rack, which
    /// takes instances of both, does not halt a roll-out.
    fn is_failing(&self) -> bool {
        let is_many = self.failed_new * FAILED_SHARE > self.new;
        is_many && self.failed_new * self.old.max(1) > self.failed_old * self.new
    }
}
