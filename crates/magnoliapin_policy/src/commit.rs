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

/// Most row changes in one transaction.
const MAX_BATCH_CHANGES: usize = 200;
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// What a row change is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ChangeTag {
    /// Stores a new job.
    Accept(WorkId),
    /// Binds the next attempt of a job to a target, or takes the bond away.
    Bind(WorkId),
    /// Ends a job.
    End(WorkId),
    /// Removes an ended job whose retention is over.
    Remove(WorkId),
    /// Cancels a job that another entry holds, for a caller.
    Cancel(CallId, WorkId),
    /// Takes a job over from a lost entry.
    Adopt(WorkId),
    /// Changes parts of a team's allotment.
    Allot(TeamId),
    /// Renews the entry's own lease.
    Renew,
    /// Says in a lost entry's row who takes over from it.
    Claim(EntryId),
    /// Removes the row of an entry that was taken over.
    Forget(EntryId),
    /// Changes the configuration.
    Apply,
}

/// Writes that belong together, with the guards that they need.
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

    fn loses_to(&self, rows: &[TableRow]) -> bool {
        self.guards.iter().any(|guard| {
            rows.iter().any(|row| row.key == guard.key && row.version != guard.version)
        })
    }
}

/// What became of one change.
#[derive(Clone, Debug)]
pub(crate) struct ChangeResult {
    pub(crate) change: RowChange,
    pub(crate) outcome: ChangeOutcome,
}

/// Whether a change is in force.
#[derive(Clone, Debug)]
pub(crate) enum ChangeOutcome {
    /// In force; holds the version of each written row, in order.
    Committed(Vec<RowVersion>),
    /// Lost a race; holds the rows that differed from their guards.
    Conflict(Vec<TableRow>),
}

/// Keys of the changes that come before another one in a batch or were held back from it.
#[derive(Debug, Default)]
struct BatchKeys {
    guarded: IndexSet<String>,
    written: IndexSet<String>,
}

impl BatchKeys {
    /// Returns whether a change must not share a transaction with the earlier ones.
    ///
    /// Any number of changes may guard the same row as long as none of them writes it.
    fn collide(&self, change: &RowChange) -> bool {
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
struct FlightBatch {
    token: ClientToken,
    changes: Vec<RowChange>,
    call: Option<CallId>,
    retry_at: Moment,
}

/// Changes that wait for a transaction, and the transaction in flight.
///
/// A transaction without an answer is sent again with the same token, which the platform carries
/// out at most once, so a lost answer is settled by the repeat.
#[derive(Debug, Default)]
pub(crate) struct CommitQueue {
    waiting: VecDeque<RowChange>,
    flight: Option<FlightBatch>,
    next_at: Moment,
    failures: u32,
    is_single: bool,
}

impl CommitQueue {
    /// Gives each change a transaction of its own, sent as soon as the one before is answered.
    pub(crate) fn send_singly(&mut self) {
        self.is_single = true;
    }

    pub(crate) fn push(&mut self, change: RowChange) {
        self.waiting.push_back(change);
    }

    /// Takes back a change that no transaction has carried yet. Returns whether it did.
    pub(crate) fn withdraw(&mut self, tag: ChangeTag) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|change| change.tag != tag);
        self.waiting.len() < before
    }

    pub(crate) fn contains(&self, tag: ChangeTag) -> bool {
        let flying = self.flight.iter().flat_map(|batch| &batch.changes);
        flying.chain(&self.waiting).any(|change| change.tag == tag)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.flight.is_none()
    }

    /// Sends the next transaction, or the one in flight again, when its time has come.
    pub(crate) fn pump(&mut self, out: &mut Outbox, times: &PolicyTimes) {
        if self.flight.is_none() {
            self.form_batch(out, times);
        }
        let Some(batch) = &mut self.flight else { return };
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
        if self.waiting.is_empty() || self.next_at > out.now {
            return;
        }
        let most = if self.is_single { 1 } else { MAX_BATCH_CHANGES };
        let mut keys = BatchKeys::default();
        let mut changes = Vec::new();
        let mut held_back = VecDeque::new();
        while let Some(change) = self.waiting.pop_front() {
            let collides = keys.collide(&change);
            keys.add(&change);
            if collides || changes.len() >= most {
                held_back.push_back(change);
            } else {
                changes.push(change);
            }
        }
        self.waiting = held_back;
        if !self.is_single {
            self.next_at = out.now + times.commit_interval;
        }
        out.counts.row_changes += changes.len() as u64;
        let token = out.draw_token();
        self.flight = Some(FlightBatch { token, changes, call: None, retry_at: out.now });
    }

    /// Takes the platform's answer if `call` is this queue's. Returns none if it is not.
    pub(crate) fn take_reply(
        &mut self,
        call: CallId,
        reply: &PlatformReply,
        out: &mut Outbox,
    ) -> Option<Vec<ChangeResult>> {
        let batch = self.flight.as_mut().filter(|batch| batch.call == Some(call))?;
        let PlatformReply::Transaction(result) = reply else {
            batch.call = None;
            self.failures += 1;
            batch.retry_at = out.now + backoff(self.failures, out);
            return Some(Vec::new());
        };
        self.failures = 0;
        let changes = self.flight.take().map(|batch| batch.changes).unwrap_or_default();
        Some(match result {
            TransactionResult::Committed(versions) => committed(changes, versions),
            TransactionResult::Conflict(rows) => self.split_conflict(changes, rows, out),
        })
    }

    fn split_conflict(
        &mut self,
        changes: Vec<RowChange>,
        rows: &[TableRow],
        out: &mut Outbox,
    ) -> Vec<ChangeResult> {
        let (lost, kept): (Vec<_>, Vec<_>) =
            changes.into_iter().partition(|change| change.loses_to(rows));
        out.counts.conflicts += lost.len() as u64;
        out.counts.row_changes -= kept.len() as u64;
        for change in kept.into_iter().rev() {
            self.waiting.push_front(change);
        }
        self.next_at = out.now;
        let outcome = ChangeOutcome::Conflict(rows.to_vec());
        lost.into_iter().map(|change| ChangeResult { change, outcome: outcome.clone() }).collect()
    }
}

fn committed(changes: Vec<RowChange>, versions: &[RowVersion]) -> Vec<ChangeResult> {
    let mut versions = versions.iter().copied();
    let settle = |change: RowChange| {
        let own = versions.by_ref().take(change.writes.len()).collect();
        let outcome = ChangeOutcome::Committed(own);
        ChangeResult { change, outcome }
    };
    changes.into_iter().map(settle).collect()
}

/// Returns the time to wait after some failures in a row: doubling, bounded and jittered.
pub(crate) fn backoff(failures: u32, out: &mut Outbox) -> Duration {
    let doubled = FIRST_BACKOFF * 2_u32.saturating_pow(failures.min(10));
    out.jitter(doubled.min(MAX_BACKOFF))
}
