//! Membership: the other entries, what they said, and when they were last heard of.

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
use magnoliapin_wire::EntryFacts;
use magnoliapin_wire::EntryState;
use magnoliapin_wire::TeamUsage;

use crate::PolicyTimes;

/// An entry without a row is forgotten when it has been silent for this long.
const UNLISTED_SILENCE: Duration = Duration::from_secs(10);
/// What an entry said of a team is used for this long; busy entries name their teams by turns.
const USAGE_AGE: Duration = Duration::from_secs(4);

/// A reply of an entry that had no change of the configuration in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuietReply {
    /// Moment on this entry's clock at which the reply was surely not yet made.
    pub(crate) as_of: Moment,
    /// Configuration in force at the replier.
    pub(crate) config: ConfigVersion,
}

/// One other entry.
#[derive(Clone, Debug)]
pub(crate) struct PeerRecord {
    /// Address for datagrams.
    pub(crate) address: SocketAddr,
    /// Address for callers.
    pub(crate) caller_address: SocketAddr,
    /// Its availability zone.
    pub(crate) zone: ZoneId,
    /// What it said last.
    pub(crate) facts: Option<EntryFacts>,
    /// When it was last heard of.
    pub(crate) heard_at: Option<Moment>,
    /// Latest moment on this entry's clock at which its last reply was surely not yet made.
    pub(crate) replied_as_of: Option<Moment>,
    /// Its latest reply that told of no change of the configuration in flight.
    pub(crate) quiet: Option<QuietReply>,
    /// What each team uses and wants there, with the time at which it was said.
    pub(crate) usage: IndexMap<TeamId, (Moment, TeamUsage)>,
    /// Its row as it was last read.
    pub(crate) row: Option<(RowVersion, EntryRow)>,
    /// When its row was last seen to change.
    pub(crate) renewed_at: Moment,
    /// When it was first known here.
    pub(crate) known_since: Moment,
}

impl PeerRecord {
    /// Returns whether the entry was heard of lately.
    pub(crate) fn is_heard(&self, now: Moment, times: &PolicyTimes) -> bool {
        self.heard_at.is_some_and(|heard| now.since(heard) < times.peer_silence)
    }

    /// Returns whether the entry was heard of lately and takes work.
    pub(crate) fn is_ready(&self, now: Moment, times: &PolicyTimes) -> bool {
        let state = self.facts.as_ref().map(|facts| facts.state);
        self.is_heard(now, times) && state == Some(EntryState::Ready)
    }

    /// Returns whether the entry has stopped, or gives no sign of life by any way.
    pub(crate) fn is_lost(&self, now: Moment, times: &PolicyTimes) -> bool {
        let Some((_, row)) = &self.row else { return false };
        if row.stopped {
            return true;
        }
        let heard = self.heard_at.is_some_and(|heard| now.since(heard) < times.entry_lease);
        !heard && now.since(self.renewed_at) >= times.entry_lease
    }
}

/// Every other entry known.
#[derive(Debug, Default)]
pub(crate) struct PeerBook {
    /// The entries.
    pub(crate) records: IndexMap<EntryId, PeerRecord>,
    /// When the entries' rows were last read with success.
    pub(crate) listed_at: Option<Moment>,
}

impl PeerBook {
    /// Takes the rows of all entries, and forgets those whose rows are gone: they were taken over or
    /// never lasted.
    pub(crate) fn take_rows(
        &mut self,
        rows: IndexMap<EntryId, (RowVersion, EntryRow)>,
        own: EntryId,
        now: Moment,
    ) {
        self.listed_at = Some(now);
        let missing = |id: &EntryId, record: &PeerRecord| {
            let silent = record.heard_at.is_none_or(|heard| now.since(heard) > UNLISTED_SILENCE);
            !rows.contains_key(id) && (record.row.is_some() || silent)
        };
        self.records.retain(|id, record| !missing(id, record));
        for (id, (version, row)) in rows {
            if id != own {
                self.take_row(id, version, row, now);
            }
        }
    }

    fn take_row(&mut self, id: EntryId, version: RowVersion, row: EntryRow, now: Moment) {
        let record = self.records.entry(id).or_insert_with(|| {
            PeerRecord::new(row.peer_address, row.caller_address, row.zone, now)
        });
        if record.row.as_ref().is_none_or(|(known, _)| *known != version) {
            record.renewed_at = now;
        }
        record.row = Some((version, row));
    }

    /// Takes what an entry said of itself. Returns whether it is new.
    pub(crate) fn take_facts(&mut self, id: EntryId, facts: EntryFacts, now: Moment) -> bool {
        let is_new = !self.records.contains_key(&id);
        let record = self.records.entry(id).or_insert_with(|| {
            PeerRecord::new(facts.peer_address, facts.caller_address, facts.zone, now)
        });
        record.heard_at = Some(now);
        record.address = facts.peer_address;
        for usage in &facts.usage {
            record.usage.insert(usage.team, (now, *usage));
        }
        record.facts = Some(facts);
        is_new
    }

    /// Notes that an entry answered a probe that was sent at `stamp`.
    ///
    /// Whether it has a change in flight is taken from the reply itself: a later datagram may have
    /// been sent before it.
    pub(crate) fn note_reply(&mut self, id: EntryId, stamp: Moment, facts: &EntryFacts) {
        let Some(record) = self.records.get_mut(&id) else { return };
        record.replied_as_of = record.replied_as_of.max(Some(stamp));
        let is_newer = record.quiet.is_none_or(|quiet| quiet.as_of < stamp);
        if !facts.apply_in_flight && is_newer {
            record.quiet = Some(QuietReply { as_of: stamp, config: facts.config });
        }
    }

    /// Returns the oldest of the latest replies that tell that no change of the configuration may
    /// still be accepted through their senders, if every known entry has sent one and none has a
    /// newer configuration than `version`.
    ///
    /// Before this entry has read the list of all entries it may know too few of them.
    pub(crate) fn quiet_as_of(&self, version: ConfigVersion) -> Option<Moment> {
        self.listed_at?;
        let replies = self.records.values().map(|record| record.quiet);
        let replies = replies.collect::<Option<Vec<_>>>()?;
        if replies.iter().any(|reply| reply.config > version) {
            return None;
        }
        replies.into_iter().map(|reply| reply.as_of).min()
    }

    /// Returns whether every listed entry that is not lost has answered this one.
    pub(crate) fn all_acknowledged(&self, now: Moment, times: &PolicyTimes) -> bool {
        self.listed_at.is_some()
            && self
                .records
                .values()
                .all(|record| record.replied_as_of.is_some() || record.is_lost(now, times))
    }

    /// Forgets an entry.
    pub(crate) fn remove(&mut self, id: EntryId) {
        self.records.shift_remove(&id);
    }

    /// Returns the ready entries.
    pub(crate) fn ready(&self, now: Moment, times: &PolicyTimes) -> Vec<EntryId> {
        let ready = self.records.iter().filter(|(_, record)| record.is_ready(now, times));
        ready.map(|(id, _)| *id).collect()
    }

    /// Counts the other entries at which a team runs something or has something waiting.
    pub(crate) fn entries_using(&self, team: TeamId, now: Moment) -> u32 {
        let usage = self.records.values().filter_map(|record| record.usage.get(&team));
        let recent = usage.filter(|(said_at, _)| now.since(*said_at) < USAGE_AGE);
        let used = recent.filter(|(_, usage)| usage.running + usage.waiting > 0);
        u32::try_from(used.count()).unwrap_or(u32::MAX)
    }

    /// Sums what a team runs and has waiting at the other entries.
    pub(crate) fn usage_elsewhere(&self, team: TeamId, now: Moment) -> TeamUsage {
        let mut sum = TeamUsage { team, running: 0, waiting: 0, part: 0 };
        for record in self.records.values() {
            let Some((said_at, usage)) = record.usage.get(&team) else { continue };
            if now.since(*said_at) < USAGE_AGE {
                sum.running += usage.running;
                sum.waiting += usage.waiting;
                sum.part += usage.part;
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
            facts: None,
            heard_at: None,
            replied_as_of: None,
            quiet: None,
            usage: IndexMap::new(),
            row: None,
            renewed_at: now,
            known_since: now,
        }
    }
}
