//! Group commit: many row changes in one transaction, one transaction in flight.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexSet;
use magnoliapin_model::ClientToken;
use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::RowGuard;
use magnoliapin_wire::RowWrite;
use magnoliapin_wire::TableRow;
use magnoliapin_wire::TableTransaction;
use magnoliapin_wire::TransactionResult;

use crate::outbox::Outbox;
use crate::CallId;
use crate::PolicyTimes;

/// Maximum number of row changes in one transaction.
const MAX_BATCH_CHANGES: usize = 200;
const BASE_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Purpose of a row change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ChangeTag {
    /// Stores a new job.
    Accept(WorkId),
    /// Binds the next attempt of a job to a target, or removes the binding.
    Bind(WorkId),
    /// Stores the final state of a job.
    Finish(WorkId),
    /// Removes a finished job whose retention is over.
    Remove(WorkId),
    /// Stores a client's cancellation of a job that another entry holds.
    Cancel(CallId, WorkId),
    /// Takes a job over from a lost entry.
    Adopt(WorkId),
    /// Changes quota slices of a team's allotment.
    ChangeSlice(TeamId),
    /// Renews the entry's own lease.
    Renew,
    /// Stores this entry in a lost entry's row as the one that takes it over.
    Claim(EntryId),
    /// Removes the row of an entry whose takeover is complete.
    RemoveEntry(EntryId),
    /// Changes the configuration.
    Apply,
}

/// Row writes that must be committed together, with their guards.
#[derive(Clone, Debug)]
pub(crate) struct RowChange {
    pub(crate) tag: ChangeTag,
    pub(crate) guards: Vec<RowGuard>,
    pub(crate) writes: Vec<RowWrite>,
}

impl RowChange {
    pub(crate) fn new(tag: ChangeTag) -> Self {
        Self { tag, guards: Vec::new(), writes: Vec::new() }
    }

    pub(crate) fn with_guard(mut self, key: RowKey, version: RowVersion) -> Self {
        self.guards.push(RowGuard { key: key.to_string(), version });
        self
    }

    pub(crate) fn with_write(mut self, key: RowKey, value: Option<String>) -> Self {
        self.writes.push(RowWrite { key: key.to_string(), value });
        self
    }

    /// Returns whether a guard of the change differs from the current version of its row.
    fn has_guard_mismatch(&self, rows: &[TableRow]) -> bool {
        self.guards.iter().any(|guard| {
            rows.iter().any(|row| row.key == guard.key && row.version != guard.version)
        })
    }
}

/// A row change and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct ChangeResult {
    pub(crate) change: RowChange,
    pub(crate) outcome: ChangeOutcome,
}

/// Outcome of a row change.
#[derive(Clone, Debug)]
pub(crate) enum ChangeOutcome {
    /// Committed; contains the new version of each written row, in order.
    Committed(Vec<RowVersion>),
    /// Rejected because another writer was first; contains the rows that differ from their guards.
    Conflict(Vec<TableRow>),
}

/// Keys used by earlier changes, both those in the batch and those held back from it.
#[derive(Debug, Default)]
struct BatchKeys {
    guarded: IndexSet<String>,
    written: IndexSet<String>,
}

impl BatchKeys {
    /// Returns whether a change must not share a transaction with the earlier ones.
    ///
    /// Any number of changes may guard the same row as long as none of them writes it.
    fn collides_with(&self, change: &RowChange) -> bool {
        let is_written = |key| self.written.contains(key);
        let is_used = |key| is_written(key) || self.guarded.contains(key);
        change.guards.iter().any(|guard| is_written(&guard.key))
            || change.writes.iter().any(|write| is_used(&write.key))
    }

    fn add(&mut self, change: &RowChange) {
        self.guarded.extend(change.guards.iter().map(|guard| guard.key.clone()));
        self.written.extend(change.writes.iter().map(|write| write.key.clone()));
    }
}

#[derive(Debug)]
struct InFlightBatch {
    token: ClientToken,
    changes: Vec<RowChange>,
    call: Option<CallId>,
    retry_at: Moment,
}

/// Queue of row changes, and the transaction in flight.
///
/// A transaction without a reply is resent with the same token. The platform executes the
/// transaction of a token at most once, so the reply to the resend reports its outcome even if an
/// earlier reply was lost.
#[derive(Debug, Default)]
pub(crate) struct CommitQueue {
    waiting: VecDeque<RowChange>,
    in_flight: Option<InFlightBatch>,
    next_batch_at: Moment,
    failures: u32,
    is_unbatched: bool,
}

impl CommitQueue {
    /// Sends each change in its own transaction, as soon as the previous one is answered.
    pub(crate) fn disable_batching(&mut self) {
        self.is_unbatched = true;
    }

    pub(crate) fn push(&mut self, change: RowChange) {
        self.waiting.push_back(change);
    }

    /// Removes the changes with this tag that are not in flight. Returns whether there were any.
    pub(crate) fn withdraw(&mut self, tag: ChangeTag) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|change| change.tag != tag);
        self.waiting.len() < before
    }

    pub(crate) fn contains(&self, tag: ChangeTag) -> bool {
        let sent = self.in_flight.iter().flat_map(|batch| &batch.changes);
        sent.chain(&self.waiting).any(|change| change.tag == tag)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_none()
    }

    /// Sends the next transaction, or resends the one in flight, if it is due.
    pub(crate) fn pump(&mut self, out: &mut Outbox, times: &PolicyTimes) {
        if self.in_flight.is_none() {
            self.form_batch(out, times);
        }
        let Some(batch) = &mut self.in_flight else { return };
        if batch.call.is_some() || batch.retry_at > out.now {
            return;
        }
        let transaction = TableTransaction {
            token: batch.token,
            guards: batch.changes.iter().flat_map(|change| change.guards.clone()).collect(),
            writes: batch.changes.iter().flat_map(|change| change.writes.clone()).collect(),
        };
        out.counts.transactions += 1;
        let request = PlatformRequest::Transact(transaction);
        batch.call = Some(out.call_platform(request, times.platform_timeout));
    }

    fn form_batch(&mut self, out: &mut Outbox, times: &PolicyTimes) {
        if self.waiting.is_empty() || self.next_batch_at > out.now {
            return;
        }
        let max_changes = if self.is_unbatched { 1 } else { MAX_BATCH_CHANGES };
        let mut keys = BatchKeys::default();
        let mut changes = Vec::new();
        let mut held_back = VecDeque::new();
        while let Some(change) = self.waiting.pop_front() {
            let collides = keys.collides_with(&change);
            keys.add(&change);
            if collides || changes.len() >= max_changes {
                held_back.push_back(change);
            } else {
                changes.push(change);
            }
        }
        self.waiting = held_back;
        if !self.is_unbatched {
            self.next_batch_at = out.now + times.commit_interval;
        }
        out.counts.row_changes += changes.len() as u64;
        let token = out.random_token();
        self.in_flight = Some(InFlightBatch { token, changes, call: None, retry_at: out.now });
    }

    /// Handles the platform's reply to this queue's call. Returns `None` for any other call.
    pub(crate) fn handle_reply(
        &mut self,
        call: CallId,
        reply: &PlatformReply,
        out: &mut Outbox,
    ) -> Option<Vec<ChangeResult>> {
        let batch = self.in_flight.as_mut().filter(|batch| batch.call == Some(call))?;
        let PlatformReply::Transaction(result) = reply else {
            batch.call = None;
            self.failures += 1;
            batch.retry_at = out.now + backoff(self.failures, out);
            return Some(Vec::new());
        };
        self.failures = 0;
        let changes = self.in_flight.take().map(|batch| batch.changes).unwrap_or_default();
        Some(match result {
            TransactionResult::Committed(versions) => committed_results(changes, versions),
            TransactionResult::Conflict(rows) => self.split_conflict(changes, rows, out),
        })
    }

    fn split_conflict(
        &mut self,
        changes: Vec<RowChange>,
        rows: &[TableRow],
        out: &mut Outbox,
    ) -> Vec<ChangeResult> {
        let (conflicting, remaining): (Vec<_>, Vec<_>) =
            changes.into_iter().partition(|change| change.has_guard_mismatch(rows));
        out.counts.conflicts += conflicting.len() as u64;
        out.counts.row_changes -= remaining.len() as u64;
        for change in remaining.into_iter().rev() {
            self.waiting.push_front(change);
        }
        self.next_batch_at = out.now;
        let outcome = ChangeOutcome::Conflict(rows.to_vec());
        conflicting
            .into_iter()
            .map(|change| ChangeResult { change, outcome: outcome.clone() })
            .collect()
    }
}

fn committed_results(changes: Vec<RowChange>, versions: &[RowVersion]) -> Vec<ChangeResult> {
    let mut versions = versions.iter().copied();
    let to_result = |change: RowChange| {
        let written = versions.by_ref().take(change.writes.len()).collect();
        let outcome = ChangeOutcome::Committed(written);
        ChangeResult { change, outcome }
    };
    changes.into_iter().map(to_result).collect()
}

/// Returns the time to wait after consecutive failures: exponential, bounded and jittered.
pub(crate) fn backoff(failures: u32, out: &mut Outbox) -> Duration {
    let delay = BASE_BACKOFF * 2_u32.saturating_pow(failures.min(10));
    out.jitter(delay.min(MAX_BACKOFF))
}
