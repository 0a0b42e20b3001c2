//! Cancels jobs: a cancellation takes effect once its request is stored next to the job.
//!
//! A job that is not stored may still be on its way to the store: in a transaction of the leader or of any
//! node whose reply is missing, or in a submission that arrives later. So its cancellation stores an outcome
//! before the client is told that there is no such job. Every transaction that stores a job expects that
//! it has no outcome.

use magnoliapin_model::RowVersion;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::ClientReply;
use magnoliapin_site::JobId;
use magnoliapin_site::RefusalReason;
use magnoliapin_site::RowRange;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreTransaction;

use super::refusal;
use super::ClientHandler;
use super::PendingRequest;
use super::RequestStage;
use crate::outbox::Outbox;
use crate::rows;

/// The store call that a cancellation waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CancelStage {
    /// The read of the job's row, for its version.
    Job,
    /// The write of the cancellation request, if the job's row still has this version.
    Write(RowVersion),
    /// The read of the job's outcome, because its row was removed or has changed.
    Outcome,
    /// The write of an outcome that keeps the job from being stored, as there is neither.
    Withdraw,
}

impl ClientHandler {
    pub(super) fn cancel_store_request(
        &self,
        job: JobId,
        stage: CancelStage,
        wall_now: UnixMillis,
    ) -> StoreRequest {
        let row = rows::job_row(rows::INTAKE, job, self.partition_count);
        match stage {
            CancelStage::Job => StoreRequest::Read(RowRange::single(&row)),
            CancelStage::Write(version) => StoreRequest::Commit(
                StoreTransaction::default()
                    .with_expected(row, version)
                    .with_write(rows::cancel_row(job, self.partition_count), rows::encode(&())),
            ),
            CancelStage::Outcome => {
                let row = rows::job_row(rows::OUTCOME, job, self.partition_count);
                StoreRequest::Read(RowRange::single(&row))
            }
            CancelStage::Withdraw => {
                let outcome = rows::job_row(rows::OUTCOME, job, self.partition_count);
                let value = rows::encode_withdrawal(wall_now);
                StoreRequest::Commit(
                    StoreTransaction::default()
                        .with_expected(row, RowVersion(0))
                        .with_expected(outcome.clone(), RowVersion(0))
                        .with_write(outcome, value),
                )
            }
        }
    }

    pub(super) fn handle_cancel_reply(
        &mut self,
        request: &PendingRequest,
        stage: CancelStage,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        let job = request.job;
        let next = match (stage, reply) {
            (CancelStage::Job, StoreReply::Rows { rows, .. }) => match rows.first() {
                Some(row) => CancelStage::Write(row.version),
                None => CancelStage::Outcome,
            },
            (CancelStage::Write(_), StoreReply::Committed(_)) => {
                log::info!("event=job_cancelled job={job}");
                out.reply(request.client, ClientReply::Cancelled);
                return;
            }
            (CancelStage::Write(_), StoreReply::Conflict(_)) => CancelStage::Outcome,
            (CancelStage::Outcome, StoreReply::Rows { rows, .. }) => match rows.first() {
                Some(row) => {
                    let client_reply = match self.record_outcome(job, row) {
                        ClientReply::UnknownJob => ClientReply::UnknownJob,
                        _ => ClientReply::Cancelled,
                    };
                    out.reply(request.client, client_reply);
                    return;
                }
                None => CancelStage::Withdraw,
            },
            (CancelStage::Withdraw, StoreReply::Committed(_)) => {
                log::info!("event=job_withdrawn job={job}");
                out.reply(request.client, ClientReply::UnknownJob);
                return;
            }
            // The job, or its outcome, has been stored meanwhile.
            (CancelStage::Withdraw, StoreReply::Conflict(_)) => CancelStage::Job,
            _ => {
                out.reply(request.client, refusal(RefusalReason::StoreUnavailable));
                return;
            }
        };
        self.send_to_store(
            PendingRequest { stage: RequestStage::Cancel(next), ..request.clone() },
            out,
        );
    }
}
