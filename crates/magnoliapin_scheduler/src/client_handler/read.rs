//! Reads the state of jobs from the store.

use magnoliapin_site::ClientReply;
use magnoliapin_site::JobId;
use magnoliapin_site::JobState;
use magnoliapin_site::RefusalReason;
use magnoliapin_site::RowRange;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;

use super::refusal;
use super::ClientHandler;
use super::PendingRequest;
use super::RequestStage;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::OutcomeRow;

/// State reported for an unfinished job: only the leader knows whether a task has started.
const UNFINISHED_STATE: ClientReply = ClientReply::State(JobState::Queued);

/// The row that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadStage {
    /// The job's outcome.
    Outcome,
    /// The job itself, because there is no outcome.
    Job,
    /// The outcome again, because the job may have finished between the first two reads.
    OutcomeAgain,
}

impl ClientHandler {
    pub(super) fn read_store_request(&self, job: JobId, stage: ReadStage) -> StoreRequest {
        let table = match stage {
            ReadStage::Outcome | ReadStage::OutcomeAgain => rows::OUTCOME,
            ReadStage::Job => rows::INTAKE,
        };
        StoreRequest::Read(RowRange::single(&rows::job_row(table, job, self.partition_count)))
    }

    pub(super) fn handle_read_reply(
        &mut self,
        request: &PendingRequest,
        stage: ReadStage,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        let StoreReply::Rows { rows, .. } = reply else {
            self.reply_to_read(request, refusal(RefusalReason::StoreUnavailable), out);
            return;
        };
        let job = request.job;
        let row = rows.first();
        let next = match (stage, row) {
            (ReadStage::Outcome | ReadStage::OutcomeAgain, Some(row)) => {
                let client_reply = self.record_outcome(job, row);
                self.reply_to_read(request, client_reply, out);
                return;
            }
            (ReadStage::Job, Some(row)) => {
                self.known_job_mut(job).version = Some(row.version);
                self.reply_to_read(request, UNFINISHED_STATE, out);
                return;
            }
            (ReadStage::Outcome, None) => {
                let is_accepted =
                    self.known_jobs.get(&job).is_some_and(|known| known.version.is_some());
                if is_accepted {
                    self.reply_to_read(request, UNFINISHED_STATE, out);
                    return;
                }
                ReadStage::Job
            }
            (ReadStage::Job, None) => ReadStage::OutcomeAgain,
            (ReadStage::OutcomeAgain, None) => {
                log::info!("event=unknown_job job={job}");
                self.reply_to_read(request, ClientReply::UnknownJob, out);
                return;
            }
        };
        let stage = RequestStage::Read(next);
        self.send_to_store(PendingRequest { stage, ..request.clone() }, out);
    }

    /// Records the outcome of a job and returns the reply for the client.
    pub(super) fn record_outcome(&mut self, job: JobId, row: &StoreRow) -> ClientReply {
        if rows::is_withdrawn(std::slice::from_ref(row), job) {
            return ClientReply::UnknownJob;
        }
        let outcome: Option<OutcomeRow> = row.value.as_deref().and_then(rows::decode);
        match outcome {
            Some(outcome) => {
                self.known_job_mut(job).final_state = Some(outcome.state);
                ClientReply::State(outcome.state)
            }
            None => {
                log::error!("event=row_unreadable table={} job={job}", rows::OUTCOME);
                refusal(RefusalReason::StoreUnavailable)
            }
        }
    }
}
