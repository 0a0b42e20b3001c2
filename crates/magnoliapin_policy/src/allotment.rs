//! Quota allotments: how the limit of each team is divided into slices that the entries hold.
//!
//! An entry starts work of a team only within its own slice. The slices of a team never add up to
//! more than its limit, because each change of them is one compare-and-set on the team's row. The
//! limit therefore holds over all entries without messages between them.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TeamId;
use magnoliapin_wire::rows::AllotmentRow;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::TeamUsage;

use crate::commit::ChangeTag;
use crate::commit::RowChange;
use crate::outbox::Outbox;

const CHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which surplus slots are released if no other entry lacks slots.
const RELEASE_DELAY: Duration = Duration::from_secs(3);

/// Quota allotment of one team, and how much of its own slice this entry uses.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamQuota {
    /// The team's row, with the slices of all entries, as last read or committed.
    pub(crate) row: AllotmentRow,
    /// Version of the row; 0 before it was read.
    pub(crate) version: RowVersion,
    /// Tasks of the team that this entry runs.
    pub(crate) running: u32,
    /// Slots that the change in flight removes from this entry's slice.
    outgoing_slots: u32,
    /// Limit on this entry's running tasks while other entries lack slots.
    cap: Option<u32>,
    next_change_at: Moment,
    /// When surplus slots that no other entry lacks were first observed.
    surplus_since: Option<Moment>,
}

/// Demand of a team over all entries.
#[derive(Clone, Debug)]
pub(crate) struct TeamDemand {
    /// Waiting requests and jobs of the team at this entry.
    pub(crate) waiting: u32,
    /// Usage last reported by the other entries.
    pub(crate) others: Vec<(EntryId, TeamUsage)>,
    /// Number of entries that share the limit, including this one.
    pub(crate) entries: u32,
    /// Entries that hold a slice but are no longer members. They were fenced at every target before
    /// their rows were removed.
    pub(crate) former_members: Vec<EntryId>,
}

impl TeamQuota {
    /// Returns this entry's slice, without the slots that the change in flight removes.
    pub(crate) fn slice(&self, own: EntryId) -> u32 {
        self.row.parts.get(&own).copied().unwrap_or(0).saturating_sub(self.outgoing_slots)
    }

    /// Returns the number of tasks that this entry may run under `limit`.
    ///
    /// If `limit` is lower than the limit that the slices were allocated from, every slice shrinks
    /// in proportion at once, but not below [`stale_slice`]. An entry whose configuration may be
    /// stale uses only [`stale_slice`], for which every accepted limit leaves room.
    pub(crate) fn usable(&self, own: EntryId, limit: SlotCount, is_fresh: bool) -> u32 {
        let slice = self.slice(own);
        if !is_fresh {
            return stale_slice(slice);
        }
        let allocated_limit = u64::from(self.row.limit.0);
        if u64::from(limit.0) >= allocated_limit {
            return slice;
        }
        let scaled = u64::from(slice) * u64::from(limit.0) / allocated_limit;
        u32::try_from(scaled).unwrap_or(u32::MAX).max(stale_slice(slice))
    }

    /// Returns the lowest limit that can be enforced even on disconnected entries.
    pub(crate) fn lowest_limit(&self) -> u32 {
        self.row.parts.values().map(|slice| stale_slice(*slice)).sum()
    }

    /// Returns whether one more task may start.
    pub(crate) fn may_start(&self, own: EntryId, limit: SlotCount, is_fresh: bool) -> bool {
        let usable = self.usable(own, limit, is_fresh);
        self.running < usable.min(self.cap.unwrap_or(usable))
    }

    /// Applies the team's row, unless a newer version is known.
    pub(crate) fn apply_row(&mut self, version: RowVersion, row: AllotmentRow) {
        if version >= self.version {
            self.row = row;
            self.version = version;
        }
    }
}

/// Quota allotments of all teams.
#[derive(Debug, Default)]
pub(crate) struct AllotmentRegistry {
    /// Allotments by team.
    pub(crate) quotas: IndexMap<TeamId, TeamQuota>,
    in_flight: IndexMap<TeamId, AllotmentRow>,
}

impl AllotmentRegistry {
    /// Returns the allotment of a team; it is empty before the team's row was read.
    pub(crate) fn quota(&mut self, team: TeamId) -> &mut TeamQuota {
        self.quotas.entry(team).or_default()
    }

    /// Plans the next change of a team's row, if one is due. Also returns the entry that receives
    /// slots, if any.
    ///
    /// A row that was never read is assumed to be absent. If it exists, the change conflicts and
    /// the conflict returns the row, so that a new team does not wait for the next scan.
    pub(crate) fn plan(
        &mut self,
        team: TeamId,
        own: EntryId,
        limit: SlotCount,
        demand: &TeamDemand,
        out: &mut Outbox,
    ) -> Option<(RowChange, Option<EntryId>)> {
        let quota = self.quotas.entry(team).or_default();
        quota.cap = quota.fair_cap(own, limit, demand);
        if quota.next_change_at > out.now || self.in_flight.contains_key(&team) {
            return None;
        }
        let (row, receiver) = quota.next_row(own, limit, demand, out.now)?;
        let before = quota.row.parts.get(&own).copied().unwrap_or(0);
        let after = row.parts.get(&own).copied().unwrap_or(0);
        quota.outgoing_slots = before.saturating_sub(after);
        quota.next_change_at = out.now + out.jitter(CHANGE_INTERVAL);
        let value = row.to_json();
        let key = RowKey::Allotment(team);
        let mut change = RowChange::new(ChangeTag::ChangeSlice(team))
            .with_guard(key, quota.version)
            .with_write(key, Some(value));
        for member in demand.former_members.iter().filter(|id| !row.parts.contains_key(*id)) {
            change = change.with_guard(RowKey::Entry(*member), RowVersion(0));
        }
        self.in_flight.insert(team, row);
        Some((change, receiver))
    }

    /// Applies the change in flight after it was committed.
    pub(crate) fn handle_commit(&mut self, team: TeamId, version: RowVersion) {
        let Some(row) = self.in_flight.swap_remove(&team) else { return };
        debug_assert!(row.sum() <= row.limit.0, "the quota slices of a team exceed its limit");
        let quota = self.quota(team);
        quota.outgoing_slots = 0;
        quota.apply_row(version, row);
    }

    /// Drops the change in flight after a conflict, and applies the current row if it was returned.
    pub(crate) fn handle_conflict(
        &mut self,
        team: TeamId,
        current: Option<(RowVersion, AllotmentRow)>,
        out: &mut Outbox,
    ) {
        self.in_flight.swap_remove(&team);
        let pause = out.jitter(CHANGE_INTERVAL);
        let quota = self.quota(team);
        quota.outgoing_slots = 0;
        quota.next_change_at = out.now + pause;
        if let Some((version, row)) = current {
            quota.apply_row(version, row);
        }
    }
}

impl TeamQuota {
    /// Returns this entry's proportional share if it holds more while other entries lack slots and
    /// none are free.
    fn fair_cap(&self, own: EntryId, limit: SlotCount, demand: &TeamDemand) -> Option<u32> {
        let is_contended = demand.others.iter().any(|(_, usage)| lacks_slots(usage));
        if !is_contended || self.row.sum() < limit.0 {
            return None;
        }
        let share = self.proportional_share(limit, demand);
        (self.slice(own) > share).then_some(share)
    }

    /// Returns this entry's share of the limit, in proportion to the demand of each entry.
    fn proportional_share(&self, limit: SlotCount, demand: &TeamDemand) -> u32 {
        let own_demand = u64::from(self.running + demand.waiting);
        let entry_demand = |usage: &TeamUsage| u64::from(usage.running + usage.waiting);
        let other_demand = demand.others.iter().map(|(_, usage)| entry_demand(usage)).sum::<u64>();
        let share = (u64::from(limit.0) * own_demand).div_ceil((own_demand + other_demand).max(1));
        u32::try_from(share).unwrap_or(u32::MAX)
    }

    /// Returns the next row of the team, and the entry that receives slots, if any.
    fn next_row(
        &mut self,
        own: EntryId,
        limit: SlotCount,
        demand: &TeamDemand,
        now: Moment,
    ) -> Option<(AllotmentRow, Option<EntryId>)> {
        if !demand.former_members.is_empty() {
            let mut row = self.row.clone();
            row.parts.retain(|id, _| !demand.former_members.contains(id));
            return Some((row, None));
        }
        let slice = self.slice(own);
        let unused = slice.saturating_sub(self.running);
        let sum = self.row.sum();
        if sum > limit.0 {
            let excess = (sum - limit.0).min(unused);
            return (excess > 0).then(|| (self.with_own_slice(own, slice - excess, limit), None));
        }
        let needed = (self.running + demand.waiting).min(limit.0);
        let even_share = limit.0 / demand.entries.max(1);
        let free = limit.0 - sum;
        let desired = needed.max(even_share);
        if slice < desired && free > 0 {
            let added = (desired - slice).min(free.div_ceil(2));
            return Some((self.with_own_slice(own, slice + added, limit), None));
        }
        let retained = self.cap.unwrap_or(needed).min(needed).max(self.running);
        let spare = slice.saturating_sub(retained);
        if spare > 0 {
            if let Some((receiver, shortage)) = largest_shortage(demand) {
                let given = spare.div_ceil(2).min(shortage);
                let mut row = self.with_own_slice(own, slice - given, limit);
                *row.parts.entry(receiver).or_default() += given;
                return Some((row, Some(receiver)));
            }
        }
        if slice <= desired {
            self.surplus_since = None;
            return None;
        }
        let since = *self.surplus_since.get_or_insert(now);
        if now.since(since) < RELEASE_DELAY {
            return None;
        }
        self.surplus_since = None;
        Some((self.with_own_slice(own, desired, limit), None))
    }

    fn with_own_slice(&self, own: EntryId, slots: u32, limit: SlotCount) -> AllotmentRow {
        let mut row = self.row.clone();
        if slots == 0 {
            row.parts.swap_remove(&own);
        } else {
            row.parts.insert(own, slots);
        }
        row.limit = SlotCount(limit.0.max(row.sum()));
        row
    }
}

/// Returns the part of a slice that stays usable while the limit may have been lowered unnoticed.
fn stale_slice(slice: u32) -> u32 {
    slice / 2
}

/// Returns whether an entry has waiting work and uses its whole slice.
fn lacks_slots(usage: &TeamUsage) -> bool {
    usage.waiting > 0 && usage.running >= usage.slice
}

/// Returns the entry that lacks the most slots, and their number.
fn largest_shortage(demand: &TeamDemand) -> Option<(EntryId, u32)> {
    let lacking = demand.others.iter().filter(|(_, usage)| lacks_slots(usage));
    let shortage = |usage: &TeamUsage| (usage.running + usage.waiting).saturating_sub(usage.slice);
    lacking.map(|(entry, usage)| (*entry, shortage(usage))).max_by_key(|(_, shortage)| *shortage)
}
