//! Tells clients the state of their jobs.

use magnoliapin_site::ClientAnswer;
use magnoliapin_site::JobId;
use magnoliapin_site::JobState;
use magnoliapin_site::RefusalReason;
use magnoliapin_site::RowRange;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;

use super::refusal;
use super::Desk;
use super::DeskRequest;
use super::DeskStage;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::OutcomeRow;

/// State of a job that has not ended: only the scheduler knows whether a task has started.
const OPEN_STATE: ClientAnswer = ClientAnswer::State(JobState::Queued);

/// Which row is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadStage {
    /// How the job ended.
    Outcome,
    /// The job itself, as it has not ended.
    Job,
    /// How the job ended once more, as it may have ended between the two reads before.
    OutcomeAgain,
}

impl Desk {
    pub(super) fn read_call(&self, job: JobId, stage: ReadStage) -> StoreRequest {
        let table = match stage {
            ReadStage::Outcome | ReadStage::OutcomeAgain => rows::OUTCOME,
            ReadStage::Job => rows::INTAKE,
        };
        StoreRequest::Read(RowRange::one(&rows::job_row(table, job, self.parts)))
    }

    pub(super) fn take_read_reply(
        &mut self,
        request: &DeskRequest,
        stage: ReadStage,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        let StoreReply::Rows { rows, .. } = reply else {
            out.answer(request.client, refusal(RefusalReason::StoreUnavailable));
            return;
        };
        let job = request.job;
        let row = rows.first();
        let next = match (stage, row) {
            (ReadStage::Outcome | ReadStage::OutcomeAgain, Some(row)) => {
                let answer = self.take_outcome(job, row);
                out.answer(request.client, answer);
                return;
            }
            (ReadStage::Job, Some(row)) => {
                self.remember(job).version = Some(row.version);
                out.answer(request.client, OPEN_STATE);
                return;
            }
            (ReadStage::Outcome, None) => {
                let is_accepted = self.known.get(&job).is_some_and(|known| known.version.is_some());
                if is_accepted {
                    out.answer(request.client, OPEN_STATE);
                    return;
                }
                ReadStage::Job
            }
            (ReadStage::Job, None) => ReadStage::OutcomeAgain,
            (ReadStage::OutcomeAgain, None) => {
                log::info!("event=unknown_job job={job}");
                out.answer(request.client, ClientAnswer::UnknownJob);
                return;
            }
        };
        let stage = DeskStage::Read(next);
        self.send(DeskRequest { stage, ..request.clone() }, out);
    }

    /// Remembers how a job ended.
    pub(super) fn take_outcome(&mut self, job: JobId, row: &StoreRow) -> ClientAnswer {
        let outcome: Option<OutcomeRow> = row.value.as_deref().and_then(rows::decode);
        match outcome {
            Some(outcome) => {
                self.remember(job).ended = Some(outcome.state);
                ClientAnswer::State(outcome.state)
            }
            None => {
                log::error!("event=row_unreadable table={} job={job}", rows::OUTCOME);
                refusal(RefusalReason::StoreUnavailable)
            }
        }
    }
}
