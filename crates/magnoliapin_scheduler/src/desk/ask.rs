//! Asks the scheduler first: it stores jobs of all nodes together and knows their states. What it
//! cannot answer, the store can.

use std::time::Duration;

use magnoliapin_site::CallFailure;
use magnoliapin_site::ClientAnswer;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;

use super::Desk;
use super::DeskRequest;
use super::DeskStage;
use super::SchedulerPlace;
use crate::outbox::Outbox;
use crate::CallId;

/// Longest time in which the scheduler may store a change: the pings tell whether it is there, and
/// a slow store would be no faster for this node.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Part of the client's patience that the scheduler may use of it; the rest is for the store.
const CHANGE_SHARE: f64 = 0.75;
/// Time after which the scheduler has failed to tell a state.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

impl Desk {
    /// Notes where the scheduler is.
    pub(crate) fn set_scheduler(&mut self, place: SchedulerPlace) {
        self.scheduler = place;
    }

    /// Hands over what the scheduler of this node is asked for.
    pub(crate) fn take_local(&mut self) -> Vec<(CallId, PeerRequest)> {
        std::mem::take(&mut self.local)
    }

    /// Asks the scheduler, or the store if the scheduler cannot be asked.
    pub(super) fn ask(&mut self, request: DeskRequest, out: &mut Outbox) {
        let left = request.deadline.since(out.now);
        let (peer_request, longest) = match &request.stage {
            DeskStage::Submit(submission) => {
                let patience_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
                let row = submission.row().to_vec();
                (PeerRequest::Submit { job: request.job, row, patience_ms }, CHANGE_TIMEOUT)
            }
            DeskStage::Read(_) => (PeerRequest::Read(request.job), READ_TIMEOUT),
            DeskStage::Cancel(_) => (PeerRequest::Cancel(request.job), CHANGE_TIMEOUT),
        };
        match self.scheduler {
            SchedulerPlace::Unknown => self.send(request, out),
            SchedulerPlace::Here => {
                let call = out.next_call();
                self.asked.insert(call, request);
                self.local.push((call, peer_request));
            }
            SchedulerPlace::At(address) => {
                let timeout = longest.min(left.mul_f64(CHANGE_SHARE));
                let call = out.call_peer(address, peer_request, timeout);
                self.asked.insert(call, request);
            }
        }
    }

    /// Asks the store for all that the scheduler was asked for: it does not answer.
    pub(crate) fn ask_store(&mut self, out: &mut Outbox) {
        let asked = std::mem::take(&mut self.asked);
        if !asked.is_empty() {
            log::warn!("event=scheduler_left requests={}", asked.len());
        }
        for (_, mut request) in asked {
            request.unknown += 1;
            self.send(request, out);
        }
    }

    /// Takes an answer of the scheduler. Returns whether it could be asked; none if the call was
    /// not the desk's.
    pub(crate) fn take_peer_reply(
        &mut self,
        call: CallId,
        reply: PeerReply,
        out: &mut Outbox,
    ) -> Option<bool> {
        let mut request = self.asked.swap_remove(&call)?;
        let answer = match reply {
            PeerReply::Accepted => ClientAnswer::Accepted,
            PeerReply::Cancelled => ClientAnswer::Cancelled,
            PeerReply::State(state) => {
                if state.is_final() {
                    self.note_ended(request.job, state);
                }
                ClientAnswer::State(state)
            }
            PeerReply::UnknownHere | PeerReply::Refused | PeerReply::NotScheduler => {
                self.send(request, out);
                return Some(true);
            }
            PeerReply::OutcomeUnknown => {
                request.unknown += 1;
                self.send(request, out);
                return Some(true);
            }
            PeerReply::Failed(failure) => {
                request.unknown += u32::from(failure == CallFailure::Unknown);
                self.send(request, out);
                return Some(false);
            }
            PeerReply::Pong { .. } => return Some(false),
        };
        if matches!(answer, ClientAnswer::Accepted) {
            log::info!("event=job_accepted job={} by=scheduler", request.job);
        }
        out.answer(request.client, answer);
        Some(true)
    }
}
