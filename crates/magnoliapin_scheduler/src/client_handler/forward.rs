//! Forwards requests to the leader, which stores the jobs of all nodes in shared transactions and
//! has their states in memory. Requests that the leader cannot answer go to the store.

use std::time::Duration;

use magnoliapin_site::CallFailure;
use magnoliapin_site::ClientReply;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;

use super::ClientHandler;
use super::LeaderLocation;
use super::PendingRequest;
use super::RequestStage;
use crate::outbox::Outbox;
use crate::CallId;

/// Longest time that the leader may take to store a change. It can be long: pings detect a leader
/// that is unreachable, and a slow store would be no faster for this node.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Share of the client's remaining time that the leader may use; the rest is for a call to the
/// store.
const LEADER_TIME_SHARE: f64 = 0.75;
/// Timeout of a state query to the leader.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

impl ClientHandler {
    /// Sets where requests are forwarded to.
    pub(crate) fn set_leader(&mut self, location: LeaderLocation) {
        self.leader = location;
    }

    /// Takes the requests for the leader on this node.
    pub(crate) fn take_local_requests(&mut self) -> Vec<(CallId, PeerRequest)> {
        std::mem::take(&mut self.local_requests)
    }

    /// Forwards a request to the leader, or sends it to the store if the leader is unknown.
    pub(super) fn forward(&mut self, request: PendingRequest, out: &mut Outbox) {
        let remaining = request.deadline.since(out.now);
        let (peer_request, max_timeout) = match &request.stage {
            RequestStage::Submit(submission) => {
                let timeout_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
                let row = submission.encoded_row().to_vec();
                (PeerRequest::Submit { job: request.job, row, timeout_ms }, CHANGE_TIMEOUT)
            }
            // A job that is known already needs no upload.
            RequestStage::Upload(_) | RequestStage::Read(_) => {
                (PeerRequest::Read(request.job), READ_TIMEOUT)
            }
            RequestStage::Cancel(_) => (PeerRequest::Cancel(request.job), CHANGE_TIMEOUT),
        };
        match self.leader {
            LeaderLocation::Unknown => self.send_to_store(request, out),
            LeaderLocation::Local => {
                let call = out.next_call();
                self.forwarded.insert(call, request);
                self.local_requests.push((call, peer_request));
            }
            LeaderLocation::Remote(address) => {
                let timeout = max_timeout.min(remaining.mul_f64(LEADER_TIME_SHARE));
                let call = out.call_peer(address, peer_request, timeout);
                self.forwarded.insert(call, request);
            }
        }
    }

    /// Sends all forwarded requests to the store instead, because the leader does not answer or
    /// has changed.
    pub(crate) fn resend_to_store(&mut self, out: &mut Outbox) {
        let forwarded = std::mem::take(&mut self.forwarded);
        if !forwarded.is_empty() {
            log::warn!("event=scheduler_left requests={}", forwarded.len());
        }
        for (_, mut request) in forwarded {
            request.unknown_outcomes += 1;
            self.send_to_store(request, out);
        }
    }

    /// Handles a reply of the leader. Returns whether the leader answered, or `None` if the call
    /// was not made by this handler.
    pub(crate) fn handle_peer_reply(
        &mut self,
        call: CallId,
        reply: PeerReply,
        out: &mut Outbox,
    ) -> Option<bool> {
        let mut request = self.forwarded.swap_remove(&call)?;
        if matches!(request.stage, RequestStage::Upload(_)) {
            let has_answered = !matches!(reply, PeerReply::Failed(_));
            self.handle_known_reply(request, matches!(reply, PeerReply::State(_)), out);
            return Some(has_answered);
        }
        let client_reply = match reply {
            PeerReply::Accepted => {
                self.admission.record_accepted();
                ClientReply::Accepted
            }
            PeerReply::Full | PeerReply::FullIfUnknown => {
                if let RequestStage::Submit(submission) = &request.stage {
                    let (team, size) = (submission.team().cloned(), submission.size());
                    self.admission.record_full(team, size, out.now);
                }
                match reply {
                    PeerReply::Full => self.refuse_full(&request, out),
                    _ => self.refuse_unless_stored(&request, out),
                }
                return Some(true);
            }
            PeerReply::OutcomeUnknown if request.is_refused_if_unknown => {
                ClientReply::OutcomeUnknown
            }
            PeerReply::Cancelled => ClientReply::Cancelled,
            PeerReply::State(state) => {
                if state.is_final() {
                    self.record_final_state(request.job, state);
                }
                self.reply_to_read(&request, ClientReply::State(state), out);
                return Some(true);
            }
            // The leader would have refused the job for the same reason.
            PeerReply::UnknownJob if request.is_refused_if_unknown => {
                self.refuse_full(&request, out);
                return Some(true);
            }
            PeerReply::UnknownJob | PeerReply::Refused | PeerReply::NotLeader => {
                self.send_to_store(request, out);
                return Some(true);
            }
            PeerReply::OutcomeUnknown => {
                request.unknown_outcomes += 1;
                self.send_to_store(request, out);
                return Some(true);
            }
            PeerReply::Failed(failure) => {
                request.unknown_outcomes += u32::from(failure == CallFailure::Unknown);
                self.send_to_store(request, out);
                return Some(false);
            }
            PeerReply::Pong { .. } | PeerReply::Received | PeerReply::Fenced { .. } => {
                return Some(false);
            }
        };
        if matches!(client_reply, ClientReply::Accepted) {
            log::info!("event=job_accepted job={} by=scheduler", request.job);
        }
        out.reply(request.client, client_reply);
        Some(true)
    }
}
