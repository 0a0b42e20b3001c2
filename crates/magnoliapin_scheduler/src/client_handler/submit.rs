//! Accepts jobs: a job is accepted once its row is stored.

use std::time::Duration;

use magnoliapin_model::RowVersion;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::ClientReply;
use magnoliapin_site::JobId;
use magnoliapin_site::JobSpec;
use magnoliapin_site::QueueName;
use magnoliapin_site::QueueRule;
use magnoliapin_site::RefusalReason;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;
use magnoliapin_site::StoreTransaction;
use magnoliapin_site::StoredInput;
use magnoliapin_site::TeamName;

use super::refusal;
use super::ClientHandler;
use super::PendingRequest;
use crate::job_size::JobSize;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::has_job;
use crate::rows::JobRow;
use crate::rows::JobRule;

/// Time after which a client may submit a job again that it has cancelled before it was stored. It is long,
/// as the job stays cancelled.
const CANCELLED_RETRY_DELAY: Duration = Duration::from_secs(60);

/// A job that is being stored.
#[derive(Clone, Debug)]
pub(super) struct Submission {
    queue: QueueName,
    team: Option<TeamName>,
    task_count: u32,
    size: JobSize,
    encoded_row: Vec<u8>,
    /// Where its input is stored, if that is not in the row.
    input: Option<StoredInput>,
}

impl Submission {
    /// Encodes the row of a job.
    pub(super) fn new(row: &JobRow, input: Option<StoredInput>) -> Self {
        Self {
            queue: row.queue.clone(),
            team: row.team.clone(),
            task_count: row.spec.steps.iter().map(|step| step.tasks).sum(),
            size: JobSize::new(&row.spec, input.as_ref()),
            encoded_row: rows::encode_job(row, input.as_ref()),
            input,
        }
    }

    /// Returns the encoded row.
    pub(super) fn encoded_row(&self) -> &[u8] {
        &self.encoded_row
    }

    /// Returns the team whose key was presented.
    pub(super) fn team(&self) -> Option<&TeamName> {
        self.team.as_ref()
    }

    /// Returns what the job takes until it has finished.
    pub(super) fn size(&self) -> JobSize {
        self.size
    }

    /// Returns where the input of the job is stored, if that is not in the row.
    pub(super) fn input(&self) -> Option<StoredInput> {
        self.input
    }
}

/// Returns the row of a job.
pub(super) fn new_row(
    spec: JobSpec,
    queue: &QueueRule,
    team: Option<TeamName>,
    accepted_at: UnixMillis,
) -> JobRow {
    JobRow {
        spec,
        queue: queue.name.clone(),
        pool: queue.pool.clone(),
        rule: JobRule::new(queue),
        team,
        accepted_at,
    }
}

impl ClientHandler {
    pub(super) fn submit_store_request(&self, job: JobId, submission: &Submission) -> StoreRequest {
        let row = rows::job_row(rows::INTAKE, job, self.partition_count);
        let outcome = rows::job_row(rows::OUTCOME, job, self.partition_count);
        // The conditions detect a job that was submitted before, whether or not it has finished.
        let mut transaction = StoreTransaction::default()
            .with_expected(row.clone(), RowVersion(0))
            .with_expected(outcome, RowVersion(0))
            .with_write(row, submission.encoded_row.clone());
        if let Some(input) = submission.input {
            let upload = rows::upload_row(job, input.upload, self.partition_count);
            transaction = transaction.with_expected(upload, input.version);
        }
        StoreRequest::Commit(transaction)
    }

    /// Removes the input of a submission if the job was stored with another one.
    fn drop_unused_upload(
        &self,
        job: JobId,
        submission: &Submission,
        found: &[StoreRow],
        out: &mut Outbox,
    ) {
        let Some(input) = submission.input else { return };
        let stored = found.iter().find(|row| row.table == rows::INTAKE);
        let stored = stored.and_then(|row| row.value.as_deref()).and_then(rows::decode_job);
        if stored.is_some_and(|(_, stored_input)| stored_input != Some(input)) {
            self.remove_upload(job, input, out);
        }
    }

    pub(super) fn handle_submit_reply(
        &mut self,
        request: &PendingRequest,
        submission: &Submission,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        let job = request.job;
        let client_reply = match reply {
            StoreReply::Committed(version) => {
                log::info!(
                    "event=job_accepted job={job} queue={} tasks={} version={version}",
                    submission.queue,
                    submission.task_count
                );
                self.known_job_mut(job).version = Some(*version);
                self.admission.record_direct(submission.size);
                ClientReply::Accepted
            }
            StoreReply::Conflict(found) if rows::is_withdrawn(found, job) => {
                log::info!("event=request_refused job={job} why=cancelled");
                if let Some(input) = submission.input {
                    self.remove_upload(job, input, out);
                }
                let (reason, retry_after) = (RefusalReason::Cancelled, CANCELLED_RETRY_DELAY);
                ClientReply::Refused { reason, retry_after }
            }
            // The input has been removed, as no job needed it.
            StoreReply::Conflict(found) if submission.input.is_some() && !has_job(found, job) => {
                log::warn!("event=request_refused job={job} why=upload_removed");
                refusal(RefusalReason::StoreUnavailable)
            }
            // The store holds the job, or its outcome, from an earlier submission.
            StoreReply::Conflict(found) => {
                self.drop_unused_upload(job, submission, found, out);
                log::info!("event=job_known_already job={job} queue={}", submission.queue);
                ClientReply::Accepted
            }
            other => {
                log::warn!("event=request_refused job={job} why=unexpected_reply reply={other:?}");
                refusal(RefusalReason::StoreUnavailable)
            }
        };
        out.reply(request.client, client_reply);
    }
}
