//! Accepts jobs: a job is accepted once its row is stored.

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
use magnoliapin_site::StoreTransaction;
use magnoliapin_site::TeamName;

use super::refusal;
use super::ClientHandler;
use super::PendingRequest;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::JobRow;
use crate::rows::JobRule;

/// A job that is being stored.
#[derive(Clone, Debug)]
pub(super) struct Submission {
    queue: QueueName,
    task_count: u32,
    encoded_row: Vec<u8>,
}

impl Submission {
    /// Creates and encodes the row of a job.
    pub(super) fn new(
        spec: JobSpec,
        queue: &QueueRule,
        team: Option<TeamName>,
        accepted_at: UnixMillis,
    ) -> Self {
        let task_count = spec.steps.iter().map(|step| step.tasks).sum();
        let row = JobRow {
            spec,
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
            rule: JobRule::new(queue),
            team,
            accepted_at,
        };
        Self { queue: row.queue.clone(), task_count, encoded_row: rows::encode(&row) }
    }
}

impl Submission {
    /// Returns the encoded row.
    pub(super) fn encoded_row(&self) -> &[u8] {
        &self.encoded_row
    }
}

impl ClientHandler {
    pub(super) fn submit_store_request(&self, job: JobId, submission: &Submission) -> StoreRequest {
        let row = rows::job_row(rows::INTAKE, job, self.partition_count);
        let outcome = rows::job_row(rows::OUTCOME, job, self.partition_count);
        // The conditions detect a job that was submitted before, whether or not it has finished.
        let transaction = StoreTransaction::default()
            .with_expected(row.clone(), RowVersion(0))
            .with_expected(outcome, RowVersion(0))
            .with_write(row, submission.encoded_row.clone());
        StoreRequest::Commit(transaction)
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
                ClientReply::Accepted
            }
            // The store holds the job, or its outcome, from an earlier submission.
            StoreReply::Conflict(_) => {
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
