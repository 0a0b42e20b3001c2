//! Accepts jobs: a job is accepted once its row is stored.

use magnoliapin_model::RowVersion;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::ClientAnswer;
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
use super::Desk;
use super::DeskRequest;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::JobRow;
use crate::rows::JobRule;

/// A job that is being stored.
#[derive(Clone, Debug)]
pub(super) struct Submission {
    queue: QueueName,
    tasks: u32,
    /// The row, encoded.
    value: Vec<u8>,
}

impl Submission {
    /// Makes the row of a job.
    pub(super) fn new(
        spec: JobSpec,
        queue: &QueueRule,
        team: Option<TeamName>,
        accepted_at: UnixMillis,
    ) -> Self {
        let tasks = spec.steps.iter().map(|step| step.tasks).sum();
        let row = JobRow {
            spec,
            queue: queue.name.clone(),
            pool: queue.pool.clone(),
            rule: JobRule::new(queue),
            team,
            accepted_at,
        };
        Self { queue: row.queue.clone(), tasks, value: rows::encode(&row) }
    }
}

impl Submission {
    /// Returns the row, encoded.
    pub(super) fn row(&self) -> &[u8] {
        &self.value
    }
}

impl Desk {
    pub(super) fn submit_call(&self, job: JobId, submission: &Submission) -> StoreRequest {
        let row = rows::job_row(rows::INTAKE, job, self.parts);
        let outcome = rows::job_row(rows::OUTCOME, job, self.parts);
        // A job that came before, and one that has ended already, is found by these conditions.
        let transaction = StoreTransaction::default()
            .with_expected(row.clone(), RowVersion(0))
            .with_expected(outcome, RowVersion(0))
            .with_write(row, submission.value.clone());
        StoreRequest::Commit(transaction)
    }

    pub(super) fn take_submit_reply(
        &mut self,
        request: &DeskRequest,
        submission: &Submission,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        let job = request.job;
        let answer = match reply {
            StoreReply::Committed(version) => {
                log::info!(
                    "event=job_accepted job={job} queue={} tasks={} version={version}",
                    submission.queue,
                    submission.tasks
                );
                self.remember(job).version = Some(*version);
                ClientAnswer::Accepted
            }
            // The rows hold the job, or its outcome, from an earlier submission.
            StoreReply::Conflict(_) => {
                log::info!("event=job_known_already job={job} queue={}", submission.queue);
                ClientAnswer::Accepted
            }
            other => {
                log::warn!("event=request_refused job={job} why=unexpected_reply reply={other:?}");
                refusal(RefusalReason::StoreUnavailable)
            }
        };
        out.answer(request.client, answer);
    }
}
