//! Serves the nodes: stores the jobs that they take, with everything else that waits to be stored.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::JobId;
use magnoliapin_site::JobState;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRow;
use magnoliapin_site::StoreTransaction;

use crate::leader::Leader;
use crate::leader::LeaderPhase;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::JobRow;
use crate::CallId;
use crate::NodeAction;
use crate::PeerId;

/// Who asks the scheduler for something.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Asker {
    /// Another node.
    Peer(PeerId),
    /// This node.
    Local(CallId),
}

/// A job that waits to be stored.
#[derive(Debug)]
pub(crate) struct Submission {
    /// Its row, encoded.
    row: Vec<u8>,
    askers: Vec<Asker>,
    deadline: Moment,
}

/// Jobs that wait to be stored in a partition.
pub(crate) type Submissions = IndexMap<JobId, Submission>;

impl Leader {
    /// Takes a request of a node.
    pub(crate) fn take_peer_request(
        &mut self,
        asker: Asker,
        request: PeerRequest,
        out: &mut Outbox,
    ) {
        if matches!(request, PeerRequest::Ping) {
            let generation = self.generation;
            return self.answer_peer(asker, PeerReply::Pong { generation }, out);
        }
        if self.phase != LeaderPhase::Active {
            return self.answer_peer(asker, PeerReply::NotScheduler, out);
        }
        match request {
            PeerRequest::Ping => {}
            PeerRequest::Submit { job, row, patience_ms } => {
                let deadline = out.now + Duration::from_millis(patience_ms);
                self.submit(asker, job, row, deadline, out);
            }
            PeerRequest::Read(job) => {
                let reply = match self.job_state(job, out.now) {
                    Some(state) => PeerReply::State(state),
                    None => PeerReply::UnknownHere,
                };
                self.answer_peer(asker, reply, out);
            }
            PeerRequest::Cancel(job) => self.cancel_for(asker, job, out),
        }
    }

    /// Returns the state of a job; none if it is not known here, or if another scheduler may know
    /// better.
    fn job_state(&self, job: JobId, now: Moment) -> Option<JobState> {
        if let Some(state) = self.ended_jobs.get(&job) {
            return Some(*state);
        }
        if now.since(self.confirmed_at) > self.identity.times.silence {
            return None;
        }
        let job = self.jobs.get(self.job_keys.get(&job)?)?;
        Some(if job.has_started { JobState::Running } else { JobState::Queued })
    }

    fn submit(
        &mut self,
        asker: Asker,
        job: JobId,
        row: Vec<u8>,
        deadline: Moment,
        out: &mut Outbox,
    ) {
        if self.job_keys.contains_key(&job) || self.ended_jobs.contains_key(&job) {
            return self.answer_peer(asker, PeerReply::Accepted, out);
        }
        let part = rows::part_of(job, self.identity.parts) as usize;
        let submissions = &mut self.parts[part].commit.submissions;
        let submission = submissions.entry(job).or_insert_with(|| Submission {
            row,
            askers: Vec::new(),
            deadline,
        });
        submission.askers.push(asker);
        submission.deadline = submission.deadline.max(deadline);
    }

    fn cancel_for(&mut self, asker: Asker, job: JobId, out: &mut Outbox) {
        if self.ended_jobs.contains_key(&job) {
            return self.answer_peer(asker, PeerReply::Cancelled, out);
        }
        let Some(key) = self.job_keys.get(&job).copied() else {
            return self.answer_peer(asker, PeerReply::UnknownHere, out);
        };
        self.cancels.entry(job).or_default().push(asker);
        if self.jobs.get(&key).is_some_and(|job| job.ending.is_none()) {
            self.end_job(key, JobState::Cancelled, out);
        }
    }

    /// Tells those who wait for the end of a job that it is stored.
    pub(super) fn answer_cancels(&mut self, job: JobId, out: &mut Outbox) {
        for asker in self.cancels.swap_remove(&job).unwrap_or_default() {
            self.answer_peer(asker, PeerReply::Cancelled, out);
        }
    }

    fn answer_peer(&mut self, asker: Asker, reply: PeerReply, out: &mut Outbox) {
        match asker {
            Asker::Peer(peer) => out.push(NodeAction::AnswerPeer(peer, reply)),
            Asker::Local(call) => self.news.answers.push((call, reply)),
        }
    }

    /// Adds jobs to a transaction that has room for them. Returns which.
    pub(super) fn add_submissions(
        &self,
        part: u32,
        most_entries: usize,
        mut transaction: StoreTransaction,
    ) -> (StoreTransaction, Vec<JobId>) {
        let mut jobs = Vec::new();
        for (job, submission) in &self.parts[part as usize].commit.submissions {
            if transaction.entries() >= most_entries {
                break;
            }
            let row = rows::job_row(rows::INTAKE, *job, self.identity.parts);
            let outcome = rows::job_row(rows::OUTCOME, *job, self.identity.parts);
            transaction = transaction
                .with_expected(row.clone(), RowVersion(0))
                .with_expected(outcome, RowVersion(0))
                .with_write(row, submission.row.clone());
            jobs.push(*job);
        }
        (transaction, jobs)
    }

    /// Takes the answer to a transaction that held jobs.
    pub(super) fn take_submitted(
        &mut self,
        part: u32,
        jobs: &[JobId],
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        let is_committed = matches!(reply, StoreReply::Committed(_));
        for job in jobs {
            let reply = match reply {
                StoreReply::Committed(_) => PeerReply::Accepted,
                StoreReply::Conflict(found) if has_job(found, *job) => PeerReply::Accepted,
                // The others go with the next transaction.
                StoreReply::Conflict(_) => continue,
                StoreReply::Failed(magnoliapin_site::CallFailure::NotDone) => PeerReply::Refused,
                _ => PeerReply::OutcomeUnknown,
            };
            let submissions = &mut self.parts[part as usize].commit.submissions;
            let Some(submission) = submissions.shift_remove(job) else { continue };
            // One that was there before has been read, is on its way from the watch, or has ended.
            if is_committed {
                self.take_accepted(*job, &submission, out);
            }
            for asker in submission.askers {
                self.answer_peer(asker, reply, out);
            }
        }
    }

    fn take_accepted(&mut self, job: JobId, submission: &Submission, out: &mut Outbox) {
        match rows::decode::<JobRow>(&submission.row) {
            Some(row) => self.add_job(job, row, false, out),
            None => log::error!("event=row_unreadable table={} job={job}", rows::INTAKE),
        }
    }

    /// Refuses the jobs that have waited for too long, as nobody waits for them any more.
    pub(super) fn drop_late_submissions(&mut self, out: &mut Outbox) {
        let now = out.now;
        for part in 0..self.parts.len() {
            let commit = &mut self.parts[part].commit;
            let sent: Vec<JobId> = commit.sent_jobs().to_vec();
            let late = commit
                .submissions
                .extract_if(.., |job, submission| submission.deadline < now && !sent.contains(job));
            let late: Vec<(JobId, Submission)> = late.collect();
            for (_, submission) in late {
                for asker in submission.askers {
                    self.answer_peer(asker, PeerReply::Refused, out);
                }
            }
        }
    }

    /// Refuses everything that waits, as this node does not schedule any more.
    pub(crate) fn refuse_all(&mut self, out: &mut Outbox) -> Vec<(CallId, PeerReply)> {
        for part in 0..self.parts.len() {
            let sent: Vec<JobId> = self.parts[part].commit.sent_jobs().to_vec();
            for (job, submission) in std::mem::take(&mut self.parts[part].commit.submissions) {
                let reply = match sent.contains(&job) {
                    true => PeerReply::OutcomeUnknown,
                    false => PeerReply::NotScheduler,
                };
                for asker in submission.askers {
                    self.answer_peer(asker, reply, out);
                }
            }
        }
        for (_, askers) in std::mem::take(&mut self.cancels) {
            for asker in askers {
                self.answer_peer(asker, PeerReply::OutcomeUnknown, out);
            }
        }
        std::mem::take(&mut self.news.answers)
    }
}

/// Returns whether rows hold a job, or how it ended.
fn has_job(found: &[StoreRow], job: JobId) -> bool {
    let key = job.to_string();
    found.iter().any(|row| {
        row.key == key
            && row.value.is_some()
            && (row.table == rows::INTAKE || row.table == rows::OUTCOME)
    })
}
