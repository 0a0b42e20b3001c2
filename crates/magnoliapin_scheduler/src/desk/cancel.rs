//! Cancels jobs: a wish to cancel counts once it is stored beside the job.

use magnoliapin_model::RowVersion;
use magnoliapin_site::ClientAnswer;
use magnoliapin_site::JobId;
use magnoliapin_site::RefusalReason;
use magnoliapin_site::RowRange;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreTransaction;

use super::refusal;
use super::Desk;
use super::DeskRequest;
use super::DeskStage;
use crate::outbox::Outbox;
use crate::rows;

/// What a cancellation waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CancelStage {
    /// The job's row, for its version.
    Job,
    /// The wish, stored if the job's row still has this version.
    Write(RowVersion),
    /// How the job ended, as its row is gone.
    Outcome,
}

impl Desk {
    pub(super) fn cancel_call(&self, job: JobId, stage: CancelStage) -> StoreRequest {
        let row = rows::job_row(rows::INTAKE, job, self.parts);
        match stage {
            CancelStage::Job => StoreRequest::Read(RowRange::one(&row)),
            CancelStage::Write(version) => StoreRequest::Commit(
                StoreTransaction::default()
                    .with_expected(row, version)
                    .with_write(rows::cancel_row(job, self.parts), rows::encode(&())),
            ),
            CancelStage::Outcome => {
                let row = rows::job_row(rows::OUTCOME, job, self.parts);
                StoreRequest::Read(RowRange::one(&row))
            }
        }
    }

    pub(super) fn take_cancel_reply(
        &mut self,
        request: &DeskRequest,
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
                out.answer(request.client, ClientAnswer::Cancelled);
                return;
            }
            (CancelStage::Write(_), StoreReply::Conflict(_)) => CancelStage::Outcome,
            (CancelStage::Outcome, StoreReply::Rows { rows, .. }) => {
                let answer = match rows.first() {
                    Some(row) => {
                        self.take_outcome(job, row);
                        ClientAnswer::Cancelled
                    }
                    None => ClientAnswer::UnknownJob,
                };
                out.answer(request.client, answer);
                return;
            }
            _ => {
                out.answer(request.client, refusal(RefusalReason::StoreUnavailable));
                return;
            }
        };
        self.send(DeskRequest { stage: DeskStage::Cancel(next), ..request.clone() }, out);
    }
}
