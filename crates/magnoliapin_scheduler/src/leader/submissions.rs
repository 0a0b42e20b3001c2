//! Serves requests of nodes, and stores the jobs that they submit.
//!
//! Submitted jobs share the transactions of their partition with the changes of other jobs.

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
use magnoliapin_site::StoredInput;

use crate::job_size::JobSize;
use crate::leader::Leader;
use crate::leader::LeaderPhase;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::has_job;
use crate::rows::JobRow;
use crate::CallId;
use crate::NodeAction;
use crate::PeerId;

/// Time within which clients submit a job again if they got no response, with much to spare.
const RESUBMISSION_TIME: Duration = Duration::from_secs(30);

/// Origin of a request to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Requester {
    /// Another node.
    Peer(PeerId),
    /// This node.
    Local(CallId),
}

/// A job that waits to be stored.
#[derive(Debug)]
pub(crate) struct Submission {
    /// Encoded row of the job.
    encoded_row: Vec<u8>,
    row: JobRow,
    size: JobSize,
    /// Where its input is stored, if that is not in the row.
    input: Option<StoredInput>,
    requesters: Vec<Requester>,
    deadline: Moment,
}

impl Submission {
    /// Returns where the input of the job is stored, if that is not in the row.
    pub(crate) fn input(&self) -> Option<StoredInput> {
        self.input
    }
}

/// Submitted jobs of a partition that wait to be stored.
pub(crate) type Submissions = IndexMap<JobId, Submission>;

impl Leader {
    /// Handles a request of a node.
    pub(crate) fn handle_peer_request(
        &mut self,
        requester: Requester,
        request: PeerRequest,
        out: &mut Outbox,
    ) {
        let pong = PeerReply::Pong { generation: self.generation };
        match request {
            PeerRequest::Ping => return self.send_reply(requester, pong, out),
            PeerRequest::Offer { profile, clock_ms } => {
                self.record_ping(profile, clock_ms, out);
                return self.send_reply(requester, pong, out);
            }
            PeerRequest::OfferWithMemory { profile, clock_ms, memory } => {
                self.job_ledger.record_memory(memory);
                self.record_ping(profile, clock_ms, out);
                return self.send_reply(requester, pong, out);
            }
            _ => {}
        }
        if self.phase != LeaderPhase::Active {
            return self.send_reply(requester, PeerReply::NotLeader, out);
        }
        match request {
            PeerRequest::AgentReplies(replies) => {
                self.handle_agent_replies(replies, out);
                self.send_reply(requester, PeerReply::Received, out);
            }
            PeerRequest::Ping
            | PeerRequest::Offer { .. }
            | PeerRequest::OfferWithMemory { .. }
            | PeerRequest::AgentCalls(_)
            | PeerRequest::RaisedAgentCalls { .. }
            | PeerRequest::StoredInputCalls { .. } => {}
            PeerRequest::Submit { job, row, timeout_ms } => {
                let deadline = out.now + Duration::from_millis(timeout_ms);
                self.handle_submit_request(requester, job, row, deadline, out);
            }
            PeerRequest::Read(job) => {
                let reply = match self.job_state(job, out.now) {
                    Some(state) => PeerReply::State(state),
                    None if self.is_being_submitted(job) => PeerReply::OutcomeUnknown,
                    None if self.remembers_finished(out.now) => PeerReply::UnknownJob,
                    // The store may know more.
                    None => PeerReply::NotLeader,
                };
                self.send_reply(requester, reply, out);
            }
            PeerRequest::Cancel(job) => self.handle_cancel_request(requester, job, out),
        }
    }

    /// Returns the state of a job; `None` if the job is unknown here, or if a newer leader may have
    /// a more recent state.
    fn job_state(&self, job: JobId, now: Moment) -> Option<JobState> {
        if let Some(state) = self.finished_jobs.get(&job) {
            return Some(*state);
        }
        if now.since(self.confirmed_at) > self.identity.times.leader_timeout {
            return None;
        }
        let job = self.jobs.get(self.job_keys.get(&job)?)?;
        Some(if job.has_started { JobState::Running } else { JobState::Queued })
    }

    /// Returns whether a job waits to be stored.
    fn is_being_submitted(&self, job: JobId) -> bool {
        let partition = rows::partition_of(job, self.identity.partition_count) as usize;
        self.partitions[partition].commit.submissions.contains_key(&job)
    }

    /// Returns whether this leader remembers all jobs that have finished recently, so that a job which
    /// it does not know has not been submitted within that time. It may have been replaced if the store
    /// has not confirmed it.
    fn remembers_finished(&self, now: Moment) -> bool {
        now.since(self.forgot_finished_at) >= RESUBMISSION_TIME
            && now.since(self.confirmed_at) <= self.identity.times.leader_timeout
    }

    fn handle_submit_request(
        &mut self,
        requester: Requester,
        job: JobId,
        encoded_row: Vec<u8>,
        deadline: Moment,
        out: &mut Outbox,
    ) {
        if self.job_keys.contains_key(&job) || self.finished_jobs.contains_key(&job) {
            return self.send_reply(requester, PeerReply::Accepted, out);
        }
        let partition = rows::partition_of(job, self.identity.partition_count) as usize;
        let submissions = &mut self.partitions[partition].commit.submissions;
        if let Some(submission) = submissions.get_mut(&job) {
            submission.requesters.push(requester);
            submission.deadline = submission.deadline.max(deadline);
            return;
        }
        let Some((row, input)) = rows::decode_job(&encoded_row) else {
            log::error!("event=row_unreadable table={} job={job}", rows::INTAKE);
            return self.send_reply(requester, PeerReply::Refused, out);
        };
        let size = JobSize::new(&row.spec, input.as_ref());
        if !self.job_ledger.admits(row.team.as_ref(), size, out.now) {
            let reply = match self.remembers_finished(out.now) {
                true => PeerReply::Full,
                false => PeerReply::FullIfUnknown,
            };
            return self.send_reply(requester, reply, out);
        }
        self.job_ledger.add(row.team.as_ref(), size);
        let requesters = vec![requester];
        let submission = Submission { encoded_row, row, size, input, requesters, deadline };
        submissions.insert(job, submission);
    }

    fn handle_cancel_request(&mut self, requester: Requester, job: JobId, out: &mut Outbox) {
        if self.finished_jobs.contains_key(&job) {
            return self.send_reply(requester, PeerReply::Cancelled, out);
        }
        let Some(key) = self.job_keys.get(&job).copied() else {
            return self.send_reply(requester, PeerReply::UnknownJob, out);
        };
        self.pending_cancellations.entry(job).or_default().push(requester);
        if self.jobs.get(&key).is_some_and(|job| job.final_state.is_none()) {
            self.finish_job(key, JobState::Cancelled, out);
        }
    }

    /// Replies to the cancellation requests of a job once its final state is stored.
    pub(super) fn reply_to_cancellations(&mut self, job: JobId, out: &mut Outbox) {
        for requester in self.pending_cancellations.swap_remove(&job).unwrap_or_default() {
            self.send_reply(requester, PeerReply::Cancelled, out);
        }
    }

    fn send_reply(&mut self, requester: Requester, reply: PeerReply, out: &mut Outbox) {
        match requester {
            Requester::Peer(peer) => out.push(NodeAction::ReplyToPeer(peer, reply)),
            Requester::Local(call) => self.update.replies.push((call, reply)),
        }
    }

    /// Adds submitted jobs to a transaction while it has fewer than `max_entries` entries. Returns
    /// the transaction and the added jobs.
    pub(super) fn add_submissions(
        &self,
        partition: u32,
        max_entries: usize,
        mut transaction: StoreTransaction,
    ) -> (StoreTransaction, Vec<JobId>) {
        let mut jobs = Vec::new();
        let max_bytes = self.identity.store_limits.transaction_bytes();
        let mut bytes = transaction.value_bytes();
        for (job, submission) in &self.partitions[partition as usize].commit.submissions {
            bytes += submission.encoded_row.len();
            if transaction.entry_count() >= max_entries || bytes > max_bytes {
                break;
            }
            let row = rows::job_row(rows::INTAKE, *job, self.identity.partition_count);
            let outcome = rows::job_row(rows::OUTCOME, *job, self.identity.partition_count);
            transaction = transaction
                .with_expected(row.clone(), RowVersion(0))
                .with_expected(outcome, RowVersion(0))
                .with_write(row, submission.encoded_row.clone());
            if let Some(input) = submission.input {
                let upload = rows::upload_row(*job, input.upload, self.identity.partition_count);
                transaction = transaction.with_expected(upload, input.version);
            }
            jobs.push(*job);
        }
        (transaction, jobs)
    }

    /// Handles the reply to a transaction that contained submitted jobs.
    pub(super) fn handle_submissions_reply(
        &mut self,
        partition: u32,
        jobs: &[JobId],
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        let is_committed = matches!(reply, StoreReply::Committed(_));
        for job in jobs {
            let reply = match reply {
                StoreReply::Committed(_) => PeerReply::Accepted,
                StoreReply::Conflict(found) if rows::is_withdrawn(found, *job) => {
                    PeerReply::Refused
                }
                StoreReply::Conflict(found) if has_job(found, *job) => PeerReply::Accepted,
                StoreReply::Conflict(found) if self.lacks_input(partition, *job, found) => {
                    PeerReply::Refused
                }
                // The job is sent again with the next transaction.
                StoreReply::Conflict(_) => continue,
                StoreReply::Failed(magnoliapin_site::CallFailure::NotDone) => PeerReply::Refused,
                _ => PeerReply::OutcomeUnknown,
            };
            let submissions = &mut self.partitions[partition as usize].commit.submissions;
            let Some(submission) = submissions.shift_remove(job) else { continue };
            self.job_ledger.remove(submission.row.team.as_ref(), submission.size);
            // A job that was stored earlier is loaded, will come from the watch, or has finished.
            if is_committed {
                self.add_job(*job, submission.row, submission.input, false, out);
            }
            for requester in submission.requesters {
                self.send_reply(requester, reply, out);
            }
        }
    }

    /// Returns whether a conflict shows that the input of a job has been removed, as no job needed it.
    fn lacks_input(&self, partition: u32, job: JobId, found: &[StoreRow]) -> bool {
        let submissions = &self.partitions[partition as usize].commit.submissions;
        let input = submissions.get(&job).and_then(|submission| submission.input);
        input.is_some_and(|input| {
            let row = rows::upload_row(job, input.upload, self.identity.partition_count);
            let is_there = |found: &StoreRow| {
                found.table == row.table && found.key == row.key && found.version == input.version
            };
            !found.iter().any(is_there)
        })
    }

    /// Refuses submitted jobs past their deadline, as their clients no longer wait for a reply.
    pub(super) fn refuse_expired_submissions(&mut self, out: &mut Outbox) {
        let now = out.now;
        for partition in 0..self.partitions.len() {
            let commit = &mut self.partitions[partition].commit;
            let sent: Vec<JobId> = commit.in_flight_jobs().to_vec();
            let expired = commit
                .submissions
                .extract_if(.., |job, submission| submission.deadline < now && !sent.contains(job));
            let expired: Vec<(JobId, Submission)> = expired.collect();
            for (_, submission) in expired {
                self.job_ledger.remove(submission.row.team.as_ref(), submission.size);
                for requester in submission.requesters {
                    self.send_reply(requester, PeerReply::Refused, out);
                }
            }
        }
    }

    /// Replies to all pending requests when this node stops scheduling. Returns the replies to this
    /// node's own requests.
    pub(crate) fn refuse_all(&mut self, out: &mut Outbox) -> Vec<(CallId, PeerReply)> {
        for partition in 0..self.partitions.len() {
            let sent: Vec<JobId> = self.partitions[partition].commit.in_flight_jobs().to_vec();
            for (job, submission) in
                std::mem::take(&mut self.partitions[partition].commit.submissions)
            {
                let reply = match sent.contains(&job) {
                    true => PeerReply::OutcomeUnknown,
                    false => PeerReply::NotLeader,
                };
                for requester in submission.requesters {
                    self.send_reply(requester, reply, out);
                }
            }
        }
        for (_, requesters) in std::mem::take(&mut self.pending_cancellations) {
            for requester in requesters {
                self.send_reply(requester, PeerReply::OutcomeUnknown, out);
            }
        }
        std::mem::take(&mut self.update.replies)
    }
}
