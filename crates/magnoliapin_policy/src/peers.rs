//! Membership: the other entries, their reported status and the time of the last contact.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::TeamId;
use magnoliapin_model::ZoneId;
use magnoliapin_wire::rows::EntryRow;
use magnoliapin_wire::EntryState;
use magnoliapin_wire::EntryStatus;
use magnoliapin_wire::TeamUsage;

use crate::PolicyTimes;

/// Time without a datagram after which an entry without a row is removed.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum age of a team's reported usage. Entries with many teams report them in rotation.
const MAX_USAGE_AGE: Duration = Duration::from_secs(4);

/// A reply that reported no configuration change in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoChangeReply {
    /// Time on this entry's clock before which the reply cannot have been sent.
    pub(crate) as_of: Moment,
    /// Version of the configuration in force at the sender.
    pub(crate) config: ConfigVersion,
}

/// State of another entry.
#[derive(Clone, Debug)]
pub(crate) struct PeerRecord {
    /// Address for datagrams.
    pub(crate) address: SocketAddr,
    /// Address for clients.
    pub(crate) caller_address: SocketAddr,
    /// Availability zone of the entry.
    pub(crate) zone: ZoneId,
    /// Status that the entry last reported.
    pub(crate) status: Option<EntryStatus>,
    /// Arrival time of the last datagram of the entry.
    pub(crate) last_contact_at: Option<Moment>,
    /// Time on this entry's clock before which the entry's latest reply cannot have been sent.
    pub(crate) replied_as_of: Option<Moment>,
    /// Latest reply that reported no configuration change in flight.
    pub(crate) no_change_reply: Option<NoChangeReply>,
    /// Usage and demand of each team at the entry, with the time of the report.
    pub(crate) usage: IndexMap<TeamId, (Moment, TeamUsage)>,
    /// Row of the entry as last read.
    pub(crate) row: Option<(RowVersion, EntryRow)>,
    /// Time at which a change of the entry's row was last observed.
    pub(crate) renewed_at: Moment,
    /// Time at which the entry was discovered.
    pub(crate) discovered_at: Moment,
}

impl PeerRecord {
    /// Returns whether a datagram of the entry arrived within the peer timeout.
    pub(crate) fn is_responsive(&self, now: Moment, times: &PolicyTimes) -> bool {
        self.last_contact_at
            .is_some_and(|last_contact_at| now.since(last_contact_at) < times.peer_timeout)
    }

    /// Returns whether the entry is responsive and accepts work.
    pub(crate) fn is_ready(&self, now: Moment, times: &PolicyTimes) -> bool {
        let state = self.status.as_ref().map(|status| status.state);
        self.is_responsive(now, times) && state == Some(EntryState::Ready)
    }

    /// Returns whether the entry has stopped, or has neither sent a datagram nor renewed its row
    /// within the length of its lease.
    pub(crate) fn is_lost(&self, now: Moment, times: &PolicyTimes) -> bool {
        let Some((_, row)) = &self.row else { return false };
        if row.stopped {
            return true;
        }
        let has_contact = self
            .last_contact_at
            .is_some_and(|last_contact_at| now.since(last_contact_at) < times.entry_lease);
        !has_contact && now.since(self.renewed_at) >= times.entry_lease
    }
}

/// All other known entries.
#[derive(Debug, Default)]
pub(crate) struct PeerRegistry {
    /// Records by entry.
    pub(crate) records: IndexMap<EntryId, PeerRecord>,
    /// Time of the last successful read of the entries' rows.
    pub(crate) listed_at: Option<Moment>,
}

impl PeerRegistry {
    /// Applies the rows of all entries. Removes entries whose rows no longer exist, as they were
    /// taken over, and unresponsive ones that never had a row.
    pub(crate) fn apply_rows(
        &mut self,
        rows: IndexMap<EntryId, (RowVersion, EntryRow)>,
        own: EntryId,
        now: Moment,
    ) {
        self.listed_at = Some(now);
        let is_removed = |id: &EntryId, record: &PeerRecord| {
            let is_unresponsive = record
                .last_contact_at
                .is_none_or(|last_contact_at| now.since(last_contact_at) > UNLISTED_TIMEOUT);
            !rows.contains_key(id) && (record.row.is_some() || is_unresponsive)
        };
        self.records.retain(|id, record| !is_removed(id, record));
        for (id, (version, row)) in rows {
            if id != own {
                self.apply_row(id, version, row, now);
            }
        }
    }

    fn apply_row(&mut self, id: EntryId, version: RowVersion, row: EntryRow, now: Moment) {
        let record = self.records.entry(id).or_insert_with(|| {
            PeerRecord::new(row.peer_address, row.caller_address, row.zone, now)
        });
        if record.row.as_ref().is_none_or(|(known, _)| *known != version) {
            record.renewed_at = now;
        }
        record.row = Some((version, row));
    }

    /// Applies the status that an entry reported. Returns whether the entry was unknown before.
    pub(crate) fn apply_status(&mut self, id: EntryId, status: EntryStatus, now: Moment) -> bool {
        let is_new = !self.records.contains_key(&id);
        let record = self.records.entry(id).or_insert_with(|| {
            PeerRecord::new(status.peer_address, status.caller_address, status.zone, now)
        });
        record.last_contact_at = Some(now);
        record.address = status.peer_address;
        for usage in &status.usage {
            record.usage.insert(usage.team, (now, *usage));
        }
        record.status = Some(status);
        is_new
    }

    /// Records that an entry replied to a heartbeat that was sent at `stamp`.
    ///
    /// Whether it has a change in flight is taken from this reply and not from the latest status: a
    /// datagram that arrives later may have been sent earlier.
    pub(crate) fn record_reply(&mut self, id: EntryId, stamp: Moment, status: &EntryStatus) {
        let Some(record) = self.records.get_mut(&id) else { return };
        record.replied_as_of = record.replied_as_of.max(Some(stamp));
        let is_newer = record.no_change_reply.is_none_or(|reply| reply.as_of < stamp);
        if !status.apply_in_flight && is_newer {
            record.no_change_reply = Some(NoChangeReply { as_of: stamp, config: status.config });
        }
    }

    /// Returns the time up to which no known entry had a configuration change in flight: the oldest
    /// of their latest replies that reported none.
    ///
    /// Returns `None` if an entry has sent no such reply or has a newer configuration than
    /// `version`, or if the entries' rows were not read yet, as entries may then be missing.
    pub(crate) fn no_change_as_of(&self, version: ConfigVersion) -> Option<Moment> {
        self.listed_at?;
        let replies = self.records.values().map(|record| record.no_change_reply);
        let replies = replies.collect::<Option<Vec<_>>>()?;
        if replies.iter().any(|reply| reply.config > version) {
            return None;
        }
        replies.into_iter().map(|reply| reply.as_of).min()
    }

    /// Returns whether the entries' rows were read and every known entry that is not lost has
    /// replied to this one.
    pub(crate) fn all_replied(&self, now: Moment, times: &PolicyTimes) -> bool {
        self.listed_at.is_some()
            && self
                .records
                .values()
                .all(|record| record.replied_as_of.is_some() || record.is_lost(now, times))
    }

    /// Removes an entry.
    pub(crate) fn remove(&mut self, id: EntryId) {
        self.records.shift_remove(&id);
    }

    /// Returns the ready entries.
    pub(crate) fn ready(&self, now: Moment, times: &PolicyTimes) -> Vec<EntryId> {
        let ready = self.records.iter().filter(|(_, record)| record.is_ready(now, times));
        ready.map(|(id, _)| *id).collect()
    }

    /// Returns the number of other entries at which a team has running or waiting work.
    pub(crate) fn entries_using(&self, team: TeamId, now: Moment) -> u32 {
        let usage = self.records.values().filter_map(|record| record.usage.get(&team));
        let recent = usage.filter(|(reported_at, _)| now.since(*reported_at) < MAX_USAGE_AGE);
        let active = recent.filter(|(_, usage)| usage.running + usage.waiting > 0);
        u32::try_from(active.count()).unwrap_or(u32::MAX)
    }

    /// Returns the sum of a team's usage and demand at the other entries.
    pub(crate) fn usage_elsewhere(&self, team: TeamId, now: Moment) -> TeamUsage {
        let mut sum = TeamUsage { team, running: 0, waiting: 0, slice: 0 };
        for record in self.records.values() {
            let Some((reported_at, usage)) = record.usage.get(&team) else { continue };
            if now.since(*reported_at) < MAX_USAGE_AGE {
                sum.running += usage.running;
                sum.waiting += usage.waiting;
                sum.slice += usage.slice;
            }
        }
        sum
    }
}

impl PeerRecord {
    fn new(address: SocketAddr, caller_address: SocketAddr, zone: ZoneId, now: Moment) -> Self {
        Self {
            address,
            caller_address,
            zone,
            status: None,
            last_contact_at: None,
            replied_as_of: None,
            no_change_reply: None,
            usage: IndexMap::new(),
            row: None,
            renewed_at: now,
            discovered_at: now,
        }
    }
}
