//! Who plans: the lease in the row `lease/planner`.

use magnoliapin_model::ClientToken;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::RowGuard;
use magnoliapin_wire::RowWrite;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;
use magnoliapin_wire::TableTransaction;
use magnoliapin_wire::TransactionResult;

use super::FleetCall;
use super::FleetTimes;
use crate::LeaseRow;
use crate::RowKey;
use crate::VersionedRow;

/// One entry's view of the planner's lease.
#[derive(Debug)]
pub(super) struct PlannerLease {
    entry: EntryId,
    seen: Option<SeenLease>,
    /// The last row that this entry wrote, and when it was sent first.
    sent: Option<(LeaseRow, Moment)>,
    held_until: Moment,
    pending: Option<PendingCall>,
    next_at: Moment,
}

/// The lease's row and since when it has been seen unchanged.
#[derive(Clone, Copy, Debug)]
struct SeenLease {
    version: RowVersion,
    row: LeaseRow,
    since: Moment,
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    call: FleetCall,
    sent_at: Moment,
    written: Option<LeaseRow>,
}

impl PlannerLease {
    /// Makes the view of an entry that has seen nothing yet.
    pub(super) fn new(entry: EntryId) -> Self {
        Self {
            entry,
            seen: None,
            sent: None,
            held_until: Moment::START,
            pending: None,
            next_at: Moment::START,
        }
    }

    /// Returns whether this entry may plan now. Steps are safe also if it is mistaken.
    pub(super) fn is_held(&self, now: Moment) -> bool {
        now < self.held_until
    }

    /// Returns whether an answer belongs to the lease.
    pub(super) fn owns(&self, call: FleetCall) -> bool {
        self.pending.is_some_and(|pending| pending.call == call)
    }

    /// Returns the next call of the platform, if one is due.
    pub(super) fn next_request(
        &mut self,
        now: Moment,
        times: &FleetTimes,
        call: FleetCall,
        token: ClientToken,
    ) -> Option<PlatformRequest> {
        if self.pending.is_some() || now < self.next_at {
            return None;
        }
        self.next_at = now + times.lease_interval;
        let written = self.next_row(now, times);
        self.pending = Some(PendingCall { call, sent_at: now, written });
        let key = RowKey::Lease.to_string();
        let Some(row) = written else {
            return Some(PlatformRequest::Read(TableRead::Keys(vec![key])));
        };
        // An earlier try at the same row may still be taken, so the first one counts.
        if self.sent.is_none_or(|(sent, _)| sent != row) {
            self.sent = Some((row, now));
        }
        let version = self.seen.map_or(RowVersion(0), |seen| seen.version);
        let value = serde_json::to_string(&row).unwrap_or_default();
        Some(PlatformRequest::Transact(TableTransaction {
            token,
            guards: vec![RowGuard { key: key.clone(), version }],
            writes: vec![RowWrite { key, value: Some(value) }],
        }))
    }

    /// Takes the answer to the last call.
    pub(super) fn take_reply(&mut self, now: Moment, times: &FleetTimes, reply: &PlatformReply) {
        let Some(pending) = self.pending.take() else { return };
        match reply {
            PlatformReply::Rows(rows) => self.see(rows.first(), now, times),
            PlatformReply::Transaction(TransactionResult::Conflict(rows)) => {
                self.see(rows.first(), now, times);
            }
            PlatformReply::Transaction(TransactionResult::Committed(versions)) => {
                let version = versions.first().copied().unwrap_or_default();
                if let Some(row) = pending.written {
                    self.seen = Some(SeenLease { version, row, since: now });
                    self.held_until = pending.sent_at + times.lease;
                }
            }
            // A write without an answer: the next read tells whether it was taken.
            _ => {
                if pending.written.is_some() {
                    self.seen = None;
                }
            }
        }
    }

    /// Returns the row to write: a renewal, or a takeover of a lapsed lease; none to read.
    fn next_row(&self, now: Moment, times: &FleetTimes) -> Option<LeaseRow> {
        let seen = self.seen.as_ref()?;
        let is_own = seen.row.holder == self.entry;
        let is_free = seen.version == RowVersion(0);
        let is_lapsed = now.since(seen.since) >= times.lease;
        let counter = seen.row.counter + 1;
        (is_own || is_free || is_lapsed).then_some(LeaseRow { holder: self.entry, counter })
    }

    fn see(&mut self, row: Option<&TableRow>, now: Moment, times: &FleetTimes) {
        let found = parse(row);
        let is_same = self.seen.is_some_and(|seen| seen.version == found.version);
        if is_same {
            return;
        }
        self.seen = Some(SeenLease { version: found.version, row: found.row, since: now });
        if found.row.holder != self.entry {
            self.held_until = Moment::START;
        } else if let Some((_, sent_at)) = self.sent.filter(|(row, _)| *row == found.row) {
            self.held_until = sent_at + times.lease;
        }
    }
}

fn parse(row: Option<&TableRow>) -> VersionedRow<LeaseRow> {
    let Some(row) = row else { return VersionedRow::default() };
    let value = serde_json::from_str(&row.value).unwrap_or_default();
    VersionedRow::new(row.version, value)
}
