//! Upper limits: the parts of each team's allotment that the entries hold.
//!
//! An entry starts work of a team only inside the part it holds. The parts of a team never add up
//! to more than its limit, because each change of them is one compare-and-set on the team's row.
//! So the limit holds over all entries without a message between them.

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

const CHANGE_PAUSE: Duration = Duration::from_millis(50);
/// A part that nobody needs is given back after this long.
const IDLE_TIME: Duration = Duration::from_secs(3);

/// One team's part here.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamPart {
    /// The team's row as it was last seen; version 0 before it exists.
    pub(crate) row: AllotmentRow,
    /// Version of the row.
    pub(crate) version: RowVersion,
    /// Tasks of the team that this entry has running.
    pub(crate) running: u32,
    /// Slots that a change in flight gives away.
    giving: u32,
    /// Slots that this entry keeps to while others want some of its part.
    cap: Option<u32>,
    next_change: Moment,
    idle_since: Option<Moment>,
}

/// What a team wants over the whole site.
#[derive(Clone, Debug)]
pub(crate) struct TeamDemand {
    /// Work of the team that waits here.
    pub(crate) waiting: u32,
    /// What the other entries said, by entry.
    pub(crate) others: Vec<(EntryId, TeamUsage)>,
    /// Entries that share the limit, this one included.
    pub(crate) entries: u32,
    /// Entries with a part that are members no more; they were fenced everywhere before.
    pub(crate) unlisted: Vec<EntryId>,
}

impl TeamPart {
    /// Returns the part that this entry holds.
    pub(crate) fn part(&self, own: EntryId) -> u32 {
        self.row.parts.get(&own).copied().unwrap_or(0).saturating_sub(self.giving)
    }

    /// Returns how many tasks this entry may have running under `limit`.
    ///
    /// A limit that was lowered below the one that the parts were dealt from takes every part down
    /// in proportion at once. An entry that cannot know whether the limit was lowered keeps to
    /// [`stale_part`], which every accepted limit leaves room for.
    pub(crate) fn usable(&self, own: EntryId, limit: SlotCount, is_fresh: bool) -> u32 {
        let part = self.part(own);
        if !is_fresh {
            return stale_part(part);
        }
        let dealt = u64::from(self.row.limit.0);
        if u64::from(limit.0) >= dealt {
            return part;
        }
        let scaled = u64::from(part) * u64::from(limit.0) / dealt;
        u32::try_from(scaled).unwrap_or(u32::MAX).max(stale_part(part))
    }

    /// Returns the lowest limit that can be enforced even on entries that are cut off.
    pub(crate) fn lowest_limit(&self) -> u32 {
        self.row.parts.values().map(|part| stale_part(*part)).sum()
    }

    /// Returns whether one more task may start.
    pub(crate) fn may_start(&self, own: EntryId, limit: SlotCount, is_fresh: bool) -> bool {
        let usable = self.usable(own, limit, is_fresh);
        self.running < usable.min(self.cap.unwrap_or(usable))
    }

    /// Takes the team's row as it was read.
    pub(crate) fn take_row(&mut self, version: RowVersion, row: AllotmentRow) {
        if version >= self.version {
            self.row = row;
            self.version = version;
        }
    }
}

/// Every team's part here.
#[derive(Debug, Default)]
pub(crate) struct AllotmentBook {
    /// Parts by team.
    pub(crate) parts: IndexMap<TeamId, TeamPart>,
    in_flight: IndexMap<TeamId, AllotmentRow>,
}

impl AllotmentBook {
    pub(crate) fn part(&mut self, team: TeamId) -> &mut TeamPart {
        self.parts.entry(team).or_default()
    }

    /// Plans the next change of a team's row, if one is due.
    ///
    /// A row that was never seen is taken for absent: if it is not, the change loses and brings
    /// back the row, so a new team need not wait for the next scan.
    pub(crate) fn plan(
        &mut self,
        team: TeamId,
        own: EntryId,
        limit: SlotCount,
        demand: &TeamDemand,
        out: &mut Outbox,
    ) -> Option<(RowChange, Option<EntryId>)> {
        let part = self.parts.entry(team).or_default();
        part.cap = part.fair_cap(own, limit, demand);
        if part.next_change > out.now || self.in_flight.contains_key(&team) {
            return None;
        }
        let (row, receiver) = part.next_row(own, limit, demand, out.now)?;
        let before = part.row.parts.get(&own).copied().unwrap_or(0);
        let after = row.parts.get(&own).copied().unwrap_or(0);
        part.giving = before.saturating_sub(after);
        part.next_change = out.now + out.jitter(CHANGE_PAUSE);
        let value = row.to_json();
        let key = RowKey::Allotment(team);
        let mut change = RowChange::new(ChangeTag::Allot(team))
            .with_guard(key, part.version)
            .with_write(key, Some(value));
        for unlisted in demand.unlisted.iter().filter(|id| !row.parts.contains_key(*id)) {
            change = change.with_guard(RowKey::Entry(*unlisted), RowVersion(0));
        }
        self.in_flight.insert(team, row);
        Some((change, receiver))
    }

    /// Takes word that the change in flight is in force.
    pub(crate) fn take_committed(&mut self, team: TeamId, version: RowVersion) {
        let Some(row) = self.in_flight.swap_remove(&team) else { return };
        debug_assert!(
            row.sum() <= row.limit.0,
            "the parts of a team add up to more than its limit"
        );
        let part = self.part(team);
        part.giving = 0;
        part.take_row(version, row);
    }

    /// Takes word that somebody else changed the row first.
    pub(crate) fn take_conflict(
        &mut self,
        team: TeamId,
        current: Option<(RowVersion, AllotmentRow)>,
        out: &mut Outbox,
    ) {
        self.in_flight.swap_remove(&team);
        let pause = out.jitter(CHANGE_PAUSE);
        let part = self.part(team);
        part.giving = 0;
        part.next_change = out.now + pause;
        if let Some((version, row)) = current {
            part.take_row(version, row);
        }
    }
}

impl TeamPart {
    /// Returns the slots to keep to while others lack some and this entry holds more than its due.
    fn fair_cap(&self, own: EntryId, limit: SlotCount, demand: &TeamDemand) -> Option<u32> {
        let lacking = demand.others.iter().any(|(_, usage)| lacks(usage));
        if !lacking || self.row.sum() < limit.0 {
            return None;
        }
        let due = self.due(limit, demand);
        (self.part(own) > due).then_some(due)
    }

    /// Returns the slots due to this entry, in proportion to what each entry wants.
    fn due(&self, limit: SlotCount, demand: &TeamDemand) -> u32 {
        let own = u64::from(self.running + demand.waiting);
        let wants = |usage: &TeamUsage| u64::from(usage.running + usage.waiting);
        let others = demand.others.iter().map(|(_, usage)| wants(usage)).sum::<u64>();
        let due = (u64::from(limit.0) * own).div_ceil((own + others).max(1));
        u32::try_from(due).unwrap_or(u32::MAX)
    }

    fn next_row(
        &mut self,
        own: EntryId,
        limit: SlotCount,
        demand: &TeamDemand,
        now: Moment,
    ) -> Option<(AllotmentRow, Option<EntryId>)> {
        if !demand.unlisted.is_empty() {
            let mut row = self.row.clone();
            row.parts.retain(|id, _| !demand.unlisted.contains(id));
            return Some((row, None));
        }
        let part = self.part(own);
        let unused = part.saturating_sub(self.running);
        let sum = self.row.sum();
        if sum > limit.0 {
            let excess = (sum - limit.0).min(unused);
            return (excess > 0).then(|| (self.with_part(own, part - excess, limit), None));
        }
        let want = (self.running + demand.waiting).min(limit.0);
        let base = limit.0 / demand.entries.max(1);
        let free = limit.0 - sum;
        let target = want.max(base);
        if part < target && free > 0 {
            let take = (target - part).min(free.div_ceil(2));
            return Some((self.with_part(own, part + take, limit), None));
        }
        let keep = self.cap.unwrap_or(want).min(want).max(self.running);
        let spare = part.saturating_sub(keep);
        if spare > 0 {
            if let Some((receiver, lack)) = neediest(demand) {
                let given = spare.div_ceil(2).min(lack);
                let mut row = self.with_part(own, part - given, limit);
                *row.parts.entry(receiver).or_default() += given;
                return Some((row, Some(receiver)));
            }
        }
        if part <= target {
            self.idle_since = None;
            return None;
        }
        let since = *self.idle_since.get_or_insert(now);
        if now.since(since) < IDLE_TIME {
            return None;
        }
        self.idle_since = None;
        Some((self.with_part(own, target, limit), None))
    }

    fn with_part(&self, own: EntryId, slots: u32, limit: SlotCount) -> AllotmentRow {
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

/// Returns the slots that an entry goes on using while it cannot know whether the limit was lowered.
fn stale_part(part: u32) -> u32 {
    part / 2
}

fn lacks(usage: &TeamUsage) -> bool {
    usage.waiting > 0 && usage.running >= usage.part
}

fn neediest(demand: &TeamDemand) -> Option<(EntryId, u32)> {
    let lacking = demand.others.iter().filter(|(_, usage)| lacks(usage));
    let lack = |usage: &TeamUsage| (usage.running + usage.waiting).saturating_sub(usage.part);
    lacking.map(|(entry, usage)| (*entry, lack(usage))).max_by_key(|(_, lack)| *lack)
}
