//! Quota slices: the parts of the teams' quota allotments that the entries hold, and their changes.

use magnoliapin_model::EntryId;
use magnoliapin_model::RowVersion;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TeamId;
use magnoliapin_wire::rows::AllotmentRow;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::PeerMessage;
use magnoliapin_wire::TableRow;

use crate::allotment::TeamDemand;
use crate::commit::ChangeOutcome;
use crate::reads::ReadTag;
use crate::EntryMachine;
use crate::TimelineEvent;
use crate::TimelineName;

/// Maximum number of teams planned in one tick.
const TEAMS_PER_TICK: usize = 12;

impl EntryMachine {
    /// Plans changes of the quota slices that this entry holds, a few teams at a time.
    pub(crate) fn plan_slices(&mut self) {
        if !self.has_started() || !self.membership.is_platform_up() {
            return;
        }
        let teams = self.config.document.teams.keys().copied().collect::<Vec<_>>();
        let removed = self.allotments.quotas.keys().copied();
        let removed = removed.filter(|team| !self.config.document.teams.contains_key(team));
        let teams = teams.into_iter().chain(removed.collect::<Vec<_>>()).collect::<Vec<_>>();
        if teams.is_empty() {
            return;
        }
        let first = self.membership.advance_team_index(teams.len(), TEAMS_PER_TICK);
        for offset in 0..teams.len().min(TEAMS_PER_TICK) {
            self.plan_slice(teams[(first + offset) % teams.len()]);
        }
    }

    fn plan_slice(&mut self, team: TeamId) {
        if self.membership.is_stopping() {
            return;
        }
        let own = self.identity.entry;
        let section = self.config.document.teams.get(&team);
        let limit = section.map_or(SlotCount(0), |section| section.limit);
        let demand = self.demand(team);
        let Some((change, receiver)) =
            self.allotments.plan(team, own, limit, &demand, &mut self.out)
        else {
            return;
        };
        if !demand.former_members.is_empty() {
            self.out.counts.parts_reclaimed += 1;
            self.out.record(TimelineEvent::new(TimelineName::PartReclaimed));
        }
        let change = self.guard_membership(change);
        let change = change.with_guard(RowKey::ConfigHead, self.config.head_row_version);
        if let Some(receiver) = receiver {
            self.slice_receivers.insert(team, receiver);
        }
        self.control_commits.push(change);
    }

    fn demand(&self, team: TeamId) -> TeamDemand {
        let now = self.out.now;
        let records = self.peers.records.iter();
        let ready = records.filter(|(_, record)| record.is_ready(now, &self.times));
        let mut entries = 1;
        let mut others = Vec::new();
        for (id, record) in ready {
            entries += 1;
            others.extend(record.usage.get(&team).map(|(_, usage)| (*id, *usage)));
        }
        let waiting = self.request_wait_queues.team_len(team) + self.job_wait_queues.team_len(team);
        TeamDemand { waiting, others, entries, former_members: self.former_slice_holders(team) }
    }

    /// Returns the entries that hold a quota slice of a team but are no longer members.
    fn former_slice_holders(&self, team: TeamId) -> Vec<EntryId> {
        let Some(quota) = self.allotments.quotas.get(&team) else { return Vec::new() };
        if self.peers.listed_at.is_none() {
            return Vec::new();
        }
        let own = self.identity.entry;
        let is_known = |id: &EntryId| *id == own || self.peers.records.contains_key(id);
        quota.row.parts.keys().copied().filter(|id| !is_known(id)).collect()
    }

    /// Handles the outcome of a change of a team's allotment row.
    pub(crate) fn handle_slice_change(&mut self, team: TeamId, outcome: ChangeOutcome) {
        let receiver = self.slice_receivers.swap_remove(&team);
        match outcome {
            ChangeOutcome::Committed(versions) => {
                let version = versions.first().copied().unwrap_or_default();
                self.allotments.handle_commit(team, version);
                let record = receiver.and_then(|id| self.peers.records.get(&id));
                if let Some(record) = record {
                    self.out.send(record.address, receiver, PeerMessage::SliceMoved(team));
                }
            }
            ChangeOutcome::Conflict(rows) => {
                let head = RowKey::ConfigHead.to_string();
                if rows
                    .iter()
                    .any(|row| row.key == head && row.version > self.config.head_row_version)
                {
                    self.config.schedule_read();
                }
                let current = find_allotment_row(team, &rows);
                self.allotments.handle_conflict(team, current, &mut self.out);
            }
        }
    }

    /// Reads a team's allotment row after another entry moved slots to this one.
    pub(crate) fn read_allotment(&mut self, team: TeamId) {
        let key = RowKey::Allotment(team).to_string();
        let give_up_at = self.out.now + self.times.entry_lease;
        self.reads.push(ReadTag::CheckAllotment(team), vec![key], give_up_at);
    }

    /// Applies allotment rows that were read.
    pub(crate) fn apply_allotment_rows(&mut self, rows: &[TableRow]) {
        for row in rows {
            let Ok(RowKey::Allotment(team)) = row.key.parse() else { continue };
            match AllotmentRow::from_json(&row.value) {
                Ok(allotment) => self.allotments.quota(team).apply_row(row.version, allotment),
                Err(_) => self.out.counts.unreadable_rows += 1,
            }
        }
    }
}

/// Finds a team's allotment row among the rows that were read.
pub(crate) fn find_allotment_row(
    team: TeamId,
    rows: &[TableRow],
) -> Option<(RowVersion, AllotmentRow)> {
    let key = RowKey::Allotment(team).to_string();
    let row = rows.iter().find(|row| row.key == key && row.version.0 > 0)?;
    Some((row.version, AllotmentRow::from_json(&row.value).ok()?))
}
