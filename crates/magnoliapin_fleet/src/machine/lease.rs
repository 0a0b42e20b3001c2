//! The planner lease in the row `lease/planner`; the entry that holds it plans.

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

use super::FleetCallId;
use super::FleetSettings;
use crate::LeaseRow;
use crate::RowKey;
use crate::VersionedRow;

/// One entry's view of the planner lease.
#[derive(Debug)]
pub(super) struct PlannerLease {
    entry: EntryId,
    observed: Option<ObservedLease>,
    /// The last row that this entry tried to write, and when it was first sent.
    last_write: Option<(LeaseRow, Moment)>,
    /// This entry holds the lease until this time.
    held_until: Moment,
    pending: Option<PendingCall>,
    next_request_at: Moment,
}

/// The lease's row and since when it has been unchanged on this entry's clock.
#[derive(Clone, Copy, Debug)]
struct ObservedLease {
    version: RowVersion,
    row: LeaseRow,
    unchanged_since: Moment,
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    call: FleetCallId,
    sent_at: Moment,
    written_row: Option<LeaseRow>,
}

impl PlannerLease {
    /// Creates the view of an entry that has not read the lease yet.
    pub(super) fn new(entry: EntryId) -> Self {
        Self {
            entry,
            observed: None,
            last_write: None,
            held_until: Moment::START,
            pending: None,
            next_request_at: Moment::START,
        }
    }

    /// Returns whether this entry holds the lease. Steps are safe even if another entry has taken
    /// it over, because each transaction guards the rows it was decided from.
    pub(super) fn is_holder(&self, now: Moment) -> bool {
        now < self.held_until
    }

    /// Returns whether `call` is the pending call of the lease.
    pub(super) fn owns(&self, call: FleetCallId) -> bool {
        self.pending.is_some_and(|pending| pending.call == call)
    }

    /// Returns the next platform request, if one is due.
    pub(super) fn next_request(
        &mut self,
        now: Moment,
        settings: &FleetSettings,
        call: FleetCallId,
        token: ClientToken,
    ) -> Option<PlatformRequest> {
        if self.pending.is_some() || now < self.next_request_at {
            return None;
        }
        self.next_request_at = now + settings.lease_interval;
        let written_row = self.row_to_write(now, settings);
        self.pending = Some(PendingCall { call, sent_at: now, written_row });
        let key = RowKey::Lease.to_string();
        let Some(row) = written_row else {
            return Some(PlatformRequest::Read(TableRead::Keys(vec![key])));
        };
        // An earlier attempt to write the same row may still commit, so a lease that a later read
        // finds is counted from the first attempt.
        if self.last_write.is_none_or(|(written, _)| written != row) {
            self.last_write = Some((row, now));
        }
        let version = self.observed.map_or(RowVersion(0), |observed| observed.version);
        let value = serde_json::to_string(&row).unwrap_or_default();
        Some(PlatformRequest::Transact(TableTransaction {
            token,
            guards: vec![RowGuard { key: key.clone(), version }],
            writes: vec![RowWrite { key, value: Some(value) }],
        }))
    }

    /// Handles the reply to the pending call.
    pub(super) fn handle_reply(
        &mut self,
        now: Moment,
        settings: &FleetSettings,
        reply: &PlatformReply,
    ) {
        let Some(pending) = self.pending.take() else { return };
        match reply {
            PlatformReply::Rows(rows) => self.observe_row(rows.first(), now, settings),
            PlatformReply::Transaction(TransactionResult::Conflict(rows)) => {
                self.observe_row(rows.first(), now, settings);
            }
            PlatformReply::Transaction(TransactionResult::Committed(versions)) => {
                let version = versions.first().copied().unwrap_or_default();
                if let Some(row) = pending.written_row {
                    self.observed = Some(ObservedLease { version, row, unchanged_since: now });
                    self.held_until = pending.sent_at + settings.lease_duration;
                }
            }
            // The outcome of an unanswered write is unknown; the next read shows it.
            _ => {
                if pending.written_row.is_some() {
                    self.observed = None;
                }
            }
        }
    }

    /// Returns the row to write: a renewal, or a claim of a missing or expired lease. `None` means
    /// that the row is read instead.
    fn row_to_write(&self, now: Moment, settings: &FleetSettings) -> Option<LeaseRow> {
        let observed = self.observed.as_ref()?;
        let is_own = observed.row.holder == self.entry;
        let is_missing = observed.version == RowVersion(0);
        let is_expired = now.since(observed.unchanged_since) >= settings.lease_duration;
        let counter = observed.row.counter + 1;
        (is_own || is_missing || is_expired).then_some(LeaseRow { holder: self.entry, counter })
    }

    fn observe_row(&mut self, row: Option<&TableRow>, now: Moment, settings: &FleetSettings) {
        let found = parse(row);
        let is_same = self.observed.is_some_and(|observed| observed.version == found.version);
        if is_same {
            return;
        }
        self.observed =
            Some(ObservedLease { version: found.version, row: found.row, unchanged_since: now });
        if found.row.holder != self.entry {
            self.held_until = Moment::START;
        } else if let Some((_, sent_at)) = self.last_write.filter(|(row, _)| *row == found.row) {
            self.held_until = sent_at + settings.lease_duration;
        }
    }
}

fn parse(row: Option<&TableRow>) -> VersionedRow<LeaseRow> {
    let Some(row) = row else { return VersionedRow::default() };
    let value = serde_json::from_str(&row.value).unwrap_or_default();
    VersionedRow::new(row.version, value)
}
