//! Stores changes of jobs, with at most one transaction in flight per partition.

use std::time::Duration;

use indexmap::IndexSet;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::JobId;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;
use magnoliapin_site::StoreTransaction;

use crate::leader::job::Job;
use crate::leader::job::JobKey;
use crate::leader::submissions::Submissions;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::leader::LeaderCall;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::OutcomeRow;

#[cfg(test)]
#[path = "commit_tests.rs"]
mod tests;

/// Maximum number of conditions and changes of a transaction.
const MAX_STORE_ENTRIES: usize = 100;
/// Number of conditions and changes at which no further job is added to a transaction: the store
/// accepts 100, and a job adds up to six.
const MAX_ENTRIES: usize = 90;
/// Finished jobs that are remembered, because a read in flight may still return their rows.
const MAX_FINISHED_JOBS: usize = 20_000;
/// Delay before the first retry of a failed transaction; doubles up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(25);
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Changes of a partition that wait to be stored.
#[derive(Debug, Default)]
pub(crate) struct PartitionCommit {
    changed_jobs: IndexSet<JobKey>,
    /// Jobs that are not stored yet.
    pub(crate) submissions: Submissions,
    in_flight: Option<InFlight>,
    retry_at: Option<Moment>,
    backoff: Duration,
}

/// A transaction in flight.
#[derive(Debug)]
struct InFlight {
    sent_at: Moment,
    /// Changed jobs, each with the number of its latest change in the transaction.
    jobs: Vec<(JobKey, u64)>,
    /// Jobs that the transaction stores for the first time.
    submitted: Vec<JobId>,
}

impl PartitionCommit {
    /// Returns the jobs that the transaction in flight stores for the first time.
    pub(crate) fn in_flight_jobs(&self) -> &[JobId] {
        self.in_flight.as_ref().map_or(&[], |in_flight| &in_flight.submitted)
    }
}

impl Leader {
    /// Counts a change of a job and queues the job to be stored.
    pub(super) fn mark_job_changed(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.changes += 1;
        self.partitions[job.partition as usize].commit.changed_jobs.insert(key);
    }

    /// Sends a transaction for each partition that has changes, none in flight and no pending
    /// backoff.
    pub(super) fn poll_commits(&mut self, out: &mut Outbox) {
        for partition in 0..self.identity.partition_count {
            let commit = &self.partitions[partition as usize].commit;
            let has_work = !commit.changed_jobs.is_empty() || !commit.submissions.is_empty();
            let is_free = commit.in_flight.is_none() && has_work;
            if is_free && commit.retry_at.is_none_or(|at| out.now >= at) {
                self.send_commit(partition, out);
            }
        }
    }

    fn send_commit(&mut self, partition: u32, out: &mut Outbox) {
        let Some(fence) = self.partitions[partition as usize].load.fence() else { return };
        let mut transaction =
            StoreTransaction::default().with_expected(rows::fence_row(partition), fence);
        let mut jobs = Vec::new();
        let mut split_jobs = Vec::new();
        let max_bytes = self.identity.store_limits.transaction_bytes();
        let mut bytes = 0;
        for key in &self.partitions[partition as usize].commit.changed_jobs {
            if transaction.entry_count() >= MAX_ENTRIES {
                break;
            }
            let Some(job) = self.jobs.get(key) else { continue };
            let (rows, pieces) = self.job_rows(job, out);
            bytes += rows.value_bytes();
            let entries = transaction.entry_count() + rows.entry_count();
            if !jobs.is_empty() && (entries > MAX_STORE_ENTRIES || bytes > max_bytes) {
                break;
            }
            jobs.push((*key, job.changes));
            if pieces > job.progress_pieces {
                split_jobs.push((*key, pieces));
            }
            transaction = transaction.with_all(rows);
        }
        for (key, pieces) in split_jobs {
            if let Some(job) = self.jobs.get_mut(&key) {
                job.progress_pieces = pieces;
            }
        }
        let (transaction, submitted) = self.add_submissions(partition, MAX_ENTRIES, transaction);
        let commit = &mut self.partitions[partition as usize].commit;
        for (key, _) in &jobs {
            commit.changed_jobs.swap_remove(key);
        }
        commit.retry_at = None;
        commit.in_flight = Some(InFlight { sent_at: out.now, jobs, submitted });
        self.call(LeaderCall::Commit(partition), StoreRequest::Commit(transaction), out);
    }

    /// Handles the reply to a transaction.
    pub(super) fn handle_commit_reply(
        &mut self,
        partition: u32,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        let commit = &mut self.partitions[partition as usize].commit;
        let Some(in_flight) = commit.in_flight.take() else { return };
        self.handle_submissions_reply(partition, &in_flight.submitted, reply, out);
        let commit = &mut self.partitions[partition as usize].commit;
        match reply {
            StoreReply::Committed(version) => {
                commit.backoff = FIRST_BACKOFF;
                for (key, changes) in in_flight.jobs {
                    self.mark_stored(key, changes, *version, out);
                }
                self.acknowledge_all_completions(out);
            }
            StoreReply::Conflict(rows) => {
                self.handle_commit_conflict(partition, &in_flight, rows, out);
            }
            reply => {
                let backoff = commit.backoff.max(FIRST_BACKOFF);
                log::warn!(
                    "event=commit_failed part={partition} jobs={} reply={reply:?} after_ms={}",
                    in_flight.jobs.len(),
                    out.now.since(in_flight.sent_at).as_millis()
                );
                commit.retry_at = Some(out.now + backoff);
                commit.backoff = (backoff * 2).min(MAX_BACKOFF);
                commit.changed_jobs.extend(in_flight.jobs.iter().map(|(key, _)| *key));
            }
        }
    }

    /// Handles a conflict, which comes either from a newer leader or from an earlier transaction
    /// of this leader that was applied although its reply was lost.
    fn handle_commit_conflict(
        &mut self,
        partition: u32,
        in_flight: &InFlight,
        rows: &[StoreRow],
        out: &mut Outbox,
    ) {
        let fence = self.partitions[partition as usize].load.fence();
        let found = rows.iter().find(|row| row.key == rows::FENCE_KEY);
        if found.map(|row| row.version) != fence {
            return self.depose("the fence of a partition has changed");
        }
        for (key, changes) in &in_flight.jobs {
            let Some(job) = self.jobs.get_mut(key) else { continue };
            let name = job.id.to_string();
            let find_row = |table| {
                let is_match = |row: &&StoreRow| row.key == name && row.table == table;
                rows.iter().filter(|row| row.value.is_some()).find(is_match)
            };
            if let (Some(outcome), true) = (find_row(rows::OUTCOME), job.final_state.is_some()) {
                self.mark_stored(*key, *changes, outcome.version, out);
                continue;
            }
            let progress = find_row(rows::PROGRESS);
            job.progress_version = progress.map_or(RowVersion(0), |row| row.version);
            self.partitions[partition as usize].commit.changed_jobs.insert(*key);
        }
        self.acknowledge_all_completions(out);
    }

    /// Marks changes of a job as stored. Removes the job if its final state is among them.
    fn mark_stored(&mut self, key: JobKey, changes: u64, version: RowVersion, out: &mut Outbox) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.stored_changes = job.stored_changes.max(changes);
        job.progress_version = version;
        if self.crashed_tasks.iter().any(|task| task.job == job.id) {
            // Its tasks wait until their crashes are stored.
            let pool = job.pool.clone();
            self.mark_for_dispatch(&pool);
        }
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let Some(state) = job.final_state.filter(|_| job.stored_changes == job.changes) else {
            if job.stored_changes < job.changes {
                self.partitions[job.partition as usize].commit.changed_jobs.insert(key);
            }
            return;
        };
        let id = job.id;
        log::info!(
            "event=job_ended job={} state={state} age_ms={}",
            job.id,
            out.now.since(job.accepted_at).as_millis()
        );
        self.update.finished_jobs.push((id, state));
        self.job_keys.swap_remove(&id);
        if let Some(job) = self.jobs.swap_remove(&key) {
            self.job_ledger.remove(job.team.as_ref(), job.size);
            if let Some(input) = job.input {
                self.upload_cleaner.add(id, input.upload, input.pieces);
            }
        }
        self.finished_jobs.insert(id, state);
        self.reply_to_cancellations(id, out);
        if self.finished_jobs.len() > MAX_FINISHED_JOBS {
            self.finished_jobs.drain(..MAX_FINISHED_JOBS / 2);
            self.forgot_finished_at = out.now;
        }
    }

    /// Acknowledges newly stored completions to their targets.
    fn acknowledge_all_completions(&mut self, out: &mut Outbox) {
        let keys: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, target)| !target.unstored.is_empty())
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.acknowledge_completions(key, out.now);
        }
        self.send_due_heartbeats(out);
    }

    /// Returns the rows of a changed job, and the number of further rows that its progress takes.
    fn job_rows(&self, job: &Job, out: &Outbox) -> (StoreTransaction, u32) {
        let partition_count = self.identity.partition_count;
        let progress = rows::job_row(rows::PROGRESS, job.id, partition_count);
        let transaction =
            StoreTransaction::default().with_expected(progress.clone(), job.progress_version);
        let piece_row = |piece| rows::progress_piece_row(job.id, piece, partition_count);
        let Some(state) = job.final_state else {
            let mut pieces = self.encoded_progress(job).into_iter();
            let first = pieces.next().unwrap_or_default();
            let count = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
            let transaction = transaction.with_write(progress, first);
            let transaction = pieces.zip(1..).fold(transaction, |transaction, (value, piece)| {
                transaction.with_write(piece_row(piece), value)
            });
            return (transaction, count);
        };
        let outcome = rows::job_row(rows::OUTCOME, job.id, partition_count);
        let row = OutcomeRow { state, ended_at: out.wall_now() };
        // The condition detects an earlier transaction that was applied although its reply was lost.
        let mut transaction = transaction
            .with_expected(outcome.clone(), RowVersion(0))
            .with_write(outcome, rows::encode(&row))
            .with_removal(rows::job_row(rows::INTAKE, job.id, partition_count));
        if job.progress_version != RowVersion(0) {
            transaction.removals.push(progress);
        }
        transaction.removals.extend((1..=job.progress_pieces).map(piece_row));
        if job.has_cancel_row {
            transaction.removals.push(rows::cancel_row(job.id, partition_count));
        }
        (transaction, 0)
    }

    /// Returns the encoded progress of a job, in as many pieces as the limit on rows requires.
    fn encoded_progress(&self, job: &Job) -> Vec<Vec<u8>> {
        let limits = self.identity.store_limits;
        let mut progress = job.progress();
        let mut encoded = rows::encode_extended(&progress, &job.crashes());
        if encoded.len() > limits.transaction_bytes() {
            // Without its checkpoints, a task only repeats work.
            for occurrence in &mut progress.occurrences {
                occurrence.checkpoints.clear();
            }
            encoded = rows::encode_extended(&progress, &job.crashes());
        }
        rows::split_value(encoded, limits.value_bytes())
    }
}
