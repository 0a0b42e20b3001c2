//! Stores what has changed of the jobs, one transaction at a time in each partition.

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

/// Most conditions and changes of one transaction: the store takes 100, and a job adds up to five.
const ENTRIES_PER_CALL: usize = 90;
/// Ended jobs that are remembered, as their rows may still be on the way from a read.
const MOST_ENDED_JOBS: usize = 20_000;
/// Pause after a transaction that failed; doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(25);
/// Longest pause after transactions that failed.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// What waits to be stored in a partition.
#[derive(Debug, Default)]
pub(crate) struct PartCommit {
    waiting: IndexSet<JobKey>,
    /// Jobs that are not stored yet.
    pub(crate) submissions: Submissions,
    in_flight: Option<InFlight>,
    retry_at: Option<Moment>,
    pause: Duration,
}

#[derive(Debug)]
struct InFlight {
    sent_at: Moment,
    /// Each job with the changes that the transaction holds.
    jobs: Vec<(JobKey, u64)>,
    /// Jobs that it stores for the first time.
    submitted: Vec<JobId>,
}

impl PartCommit {
    /// Returns the jobs that a transaction in flight stores for the first time.
    pub(crate) fn sent_jobs(&self) -> &[JobId] {
        self.in_flight.as_ref().map_or(&[], |in_flight| &in_flight.submitted)
    }
}

impl Leader {
    /// Notes that a job has changed and must be stored.
    pub(super) fn change_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.changes += 1;
        self.parts[job.part as usize].commit.waiting.insert(key);
    }

    /// Sends the transactions that can be sent.
    pub(super) fn poll_commits(&mut self, out: &mut Outbox) {
        for part in 0..self.identity.parts {
            let commit = &self.parts[part as usize].commit;
            let has_work = !commit.waiting.is_empty() || !commit.submissions.is_empty();
            let is_free = commit.in_flight.is_none() && has_work;
            if is_free && commit.retry_at.is_none_or(|at| out.now >= at) {
                self.send_commit(part, out);
            }
        }
    }

    fn send_commit(&mut self, part: u32, out: &mut Outbox) {
        let Some(fence) = self.parts[part as usize].load.fence() else { return };
        let mut transaction =
            StoreTransaction::default().with_expected(rows::fence_row(part), fence);
        let mut jobs = Vec::new();
        for key in &self.parts[part as usize].commit.waiting {
            if transaction.entries() >= ENTRIES_PER_CALL {
                break;
            }
            let Some(job) = self.jobs.get(key) else { continue };
            jobs.push((*key, job.changes));
            transaction = add_job(transaction, job, self.identity.parts, out);
        }
        let (transaction, submitted) = self.add_submissions(part, ENTRIES_PER_CALL, transaction);
        let commit = &mut self.parts[part as usize].commit;
        for (key, _) in &jobs {
            commit.waiting.swap_remove(key);
        }
        commit.retry_at = None;
        commit.in_flight = Some(InFlight { sent_at: out.now, jobs, submitted });
        self.call(LeaderCall::Commit(part), StoreRequest::Commit(transaction), out);
    }

    /// Takes the answer to a transaction.
    pub(super) fn take_commit(&mut self, part: u32, reply: &StoreReply, out: &mut Outbox) {
        let commit = &mut self.parts[part as usize].commit;
        let Some(in_flight) = commit.in_flight.take() else { return };
        self.take_submitted(part, &in_flight.submitted, reply, out);
        let commit = &mut self.parts[part as usize].commit;
        match reply {
            StoreReply::Committed(version) => {
                commit.pause = FIRST_PAUSE;
                self.note_confirmed(in_flight.sent_at);
                for (key, changes) in in_flight.jobs {
                    self.take_stored(key, changes, *version, out);
                }
                self.advance_all_stored(out);
            }
            StoreReply::Conflict(rows) => self.take_conflict(part, &in_flight, rows, out),
            reply => {
                let pause = commit.pause.max(FIRST_PAUSE);
                log::warn!(
                    "event=commit_failed part={part} jobs={} reply={reply:?} after_ms={}",
                    in_flight.jobs.len(),
                    out.now.since(in_flight.sent_at).as_millis()
                );
                commit.retry_at = Some(out.now + pause);
                commit.pause = (pause * 2).min(LONGEST_PAUSE);
                commit.waiting.extend(in_flight.jobs.iter().map(|(key, _)| *key));
            }
        }
    }

    /// Finds out what a conflict is about: another scheduler, or an earlier call of this one that
    /// had no answer.
    fn take_conflict(
        &mut self,
        part: u32,
        in_flight: &InFlight,
        rows: &[StoreRow],
        out: &mut Outbox,
    ) {
        let fence = self.parts[part as usize].load.fence();
        let found = rows.iter().find(|row| row.key == rows::FENCE_KEY);
        if found.map(|row| row.version) != fence {
            return self.depose("the fence of a partition has changed");
        }
        for (key, changes) in &in_flight.jobs {
            let Some(job) = self.jobs.get_mut(key) else { continue };
            let name = job.id.to_string();
            let of_job = |table| {
                let is_it = |row: &&StoreRow| row.key == name && row.table == table;
                rows.iter().filter(|row| row.value.is_some()).find(is_it)
            };
            if let (Some(outcome), true) = (of_job(rows::OUTCOME), job.ending.is_some()) {
                self.take_stored(*key, *changes, outcome.version, out);
                continue;
            }
            let progress = of_job(rows::PROGRESS);
            job.progress_version = progress.map_or(RowVersion(0), |row| row.version);
            self.parts[part as usize].commit.waiting.insert(*key);
        }
        self.advance_all_stored(out);
    }

    /// Notes that changes of a job are stored.
    fn take_stored(&mut self, key: JobKey, changes: u64, version: RowVersion, out: &mut Outbox) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.stored_changes = job.stored_changes.max(changes);
        job.progress_version = version;
        let Some(state) = job.ending.filter(|_| job.stored_changes == job.changes) else {
            if job.stored_changes < job.changes {
                self.parts[job.part as usize].commit.waiting.insert(key);
            }
            return;
        };
        let id = job.id;
        log::info!(
            "event=job_ended job={} state={state} age_ms={}",
            job.id,
            out.now.since(job.accepted_at).as_millis()
        );
        self.news.ended.push((id, state));
        self.job_keys.swap_remove(&id);
        self.jobs.swap_remove(&key);
        self.ended_jobs.insert(id, state);
        self.answer_cancels(id, out);
        if self.ended_jobs.len() > MOST_ENDED_JOBS {
            self.ended_jobs.drain(..MOST_ENDED_JOBS / 2);
        }
    }

    /// Lets targets forget ends that have just been stored.
    fn advance_all_stored(&mut self, out: &mut Outbox) {
        let keys: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, target)| !target.unstored.is_empty())
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.advance_stored(key, out.now);
        }
        self.poll_holds(out);
    }
}

/// Adds what must be stored of a job.
fn add_job(
    mut transaction: StoreTransaction,
    job: &Job,
    parts: u32,
    out: &Outbox,
) -> StoreTransaction {
    let progress = rows::job_row(rows::PROGRESS, job.id, parts);
    transaction.expected.push((progress.clone(), job.progress_version));
    let Some(state) = job.ending else {
        transaction.writes.push((progress, rows::encode(&job.progress())));
        return transaction;
    };
    let outcome = rows::job_row(rows::OUTCOME, job.id, parts);
    let row = OutcomeRow { state, ended_at: out.wall_now() };
    // The condition tells an earlier call that was carried out without an answer.
    transaction.expected.push((outcome.clone(), RowVersion(0)));
    transaction.writes.push((outcome, rows::encode(&row)));
    transaction.removals.push(rows::job_row(rows::INTAKE, job.id, parts));
    if job.progress_version != RowVersion(0) {
        transaction.removals.push(progress);
    }
    if job.has_cancel_row {
        transaction.removals.push(rows::cancel_row(job.id, parts));
    }
    transaction
}
