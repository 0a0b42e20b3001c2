//! Refuses jobs: for lack of room, unless they were accepted before, and for good.

use magnoliapin_model::ByteSize;
use magnoliapin_site::ClientReply;
use magnoliapin_site::RefusalReason;

use super::client_admission::ClientAdmission;
use super::ClientHandler;
use super::PendingRequest;
use super::RequestContext;
use super::RequestStage;
use crate::outbox::Outbox;

impl ClientHandler {
    /// Removes the input of a job that is refused.
    pub(super) fn drop_upload(&self, request: &PendingRequest, out: &mut Outbox) {
        let input = match &request.stage {
            RequestStage::Upload(upload) => {
                Some(upload.stored_input()).filter(|_| !upload.is_new())
            }
            RequestStage::Submit(submission) => submission.input(),
            RequestStage::Read(_) | RequestStage::Cancel(_) => None,
        };
        if let Some(input) = input {
            self.remove_upload(request.job, input, out);
        }
    }

    /// Refuses a job for lack of room, unless the leader or the store knows it from an earlier
    /// submission.
    pub(super) fn refuse_unless_known(&mut self, request: &PendingRequest, out: &mut Outbox) {
        self.drop_upload(request, out);
        let check = request.known_job_check();
        self.forward(check, out);
    }

    /// The same for a job that the leader does not know, but may have finished under an earlier one.
    pub(super) fn refuse_unless_stored(&mut self, request: &PendingRequest, out: &mut Outbox) {
        self.drop_upload(request, out);
        let check = request.known_job_check();
        self.send_to_store(check, out);
    }

    /// Replies to a request whose job was read.
    pub(super) fn reply_to_read(
        &self,
        request: &PendingRequest,
        reply: ClientReply,
        out: &mut Outbox,
    ) {
        match reply {
            ClientReply::State(_) if request.is_refused_if_unknown => {
                out.reply(request.client, ClientReply::Accepted);
            }
            ClientReply::UnknownJob if request.is_refused_if_unknown => {
                self.refuse_full(request, out);
            }
            reply => out.reply(request.client, reply),
        }
    }

    /// Refuses a job for lack of room.
    pub(super) fn refuse_full(&self, request: &PendingRequest, out: &mut Outbox) {
        log::info!("event=request_refused job={} why=too_many_jobs", request.job);
        self.drop_upload(request, out);
        let retry_after = ClientAdmission::return_delay(out);
        let reason = RefusalReason::Overloaded;
        out.reply(request.client, ClientReply::Refused { reason, retry_after });
    }

    /// Refuses for good a job that cannot be stored.
    pub(super) fn refuse_large(
        &self,
        context: RequestContext,
        what: &str,
        limit: ByteSize,
        out: &mut Outbox,
    ) {
        log::info!("event=job_too_large job={} limit={limit}", context.job);
        let reason = format!("{what} takes more than {limit} bytes");
        out.reply(context.client, ClientReply::TooLarge(reason));
    }
}
