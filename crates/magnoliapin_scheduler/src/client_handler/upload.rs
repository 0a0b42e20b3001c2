//! Stores the input of a job that is too large for the row of its job, before the job itself.
//!
//! The row of the upload is written with the first pieces, and the job is stored only while that row
//! is there. So inputs that belong to no job can be removed at any time, and a job whose input has been
//! removed is refused.

use std::ops::Range;
use std::rc::Rc;

use magnoliapin_model::ByteSize;
use magnoliapin_model::RowVersion;
use magnoliapin_site::ClientReply;
use magnoliapin_site::JobId;
use magnoliapin_site::RefusalReason;
use magnoliapin_site::StoreLimits;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreTransaction;
use magnoliapin_site::StoredInput;
use magnoliapin_site::UploadId;

use super::refusal;
use super::submit::Submission;
use super::ClientHandler;
use super::PendingRequest;
use super::RequestStage;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::JobRow;
use crate::rows::UploadRow;

/// Maximum number of pieces in a transaction, which has at most 100 entries.
const MAX_PIECES_PER_CALL: u32 = 90;

/// An input that is being stored.
#[derive(Clone, Debug)]
pub(super) struct Upload {
    /// The job without its input.
    row: Rc<JobRow>,
    input: Rc<str>,
    upload: UploadId,
    piece_bytes: usize,
    /// Number of all pieces.
    pieces: u32,
    /// Number of pieces that are stored.
    stored_pieces: u32,
    pieces_per_call: u32,
    /// Version of the row of the upload, once it is stored.
    version: Option<RowVersion>,
}

impl Upload {
    /// Creates the upload of a job's input.
    pub(super) fn new(mut row: JobRow, upload: UploadId, limits: StoreLimits) -> Self {
        let input: Rc<str> = std::mem::take(&mut row.spec.payload).into();
        let piece_bytes = limits.value_bytes();
        let pieces = u32::try_from(input.len().div_ceil(piece_bytes)).unwrap_or(u32::MAX);
        let by_size = limits.transaction_bytes() / piece_bytes;
        let pieces_per_call = u32::try_from(by_size).unwrap_or(u32::MAX);
        Self {
            row: Rc::new(row),
            input,
            upload,
            piece_bytes,
            pieces,
            stored_pieces: 0,
            pieces_per_call: pieces_per_call.clamp(1, MAX_PIECES_PER_CALL),
            version: None,
        }
    }

    /// Returns where the input is stored, once its first pieces are.
    pub(super) fn stored_input(&self) -> StoredInput {
        StoredInput {
            upload: self.upload,
            pieces: self.pieces,
            size: ByteSize(self.input.len() as u64),
            version: self.version.unwrap_or_default(),
        }
    }

    /// Returns the job without its input.
    pub(super) fn row(&self) -> &JobRow {
        &self.row
    }

    /// Returns whether no piece is stored yet.
    pub(super) fn is_new(&self) -> bool {
        self.version.is_none()
    }

    /// Returns the pieces of the next call.
    fn next_pieces(&self) -> Range<u32> {
        self.stored_pieces..self.pieces.min(self.stored_pieces + self.pieces_per_call)
    }

    fn piece(&self, number: u32) -> Vec<u8> {
        let start = number as usize * self.piece_bytes;
        let end = self.input.len().min(start + self.piece_bytes);
        self.input.as_bytes()[start..end].to_vec()
    }
}

impl ClientHandler {
    pub(super) fn upload_store_request(&self, job: JobId, upload: &Upload) -> StoreRequest {
        let row = rows::upload_row(job, upload.upload, self.partition_count);
        let version = upload.version.unwrap_or_default();
        let mut transaction = StoreTransaction::default().with_expected(row.clone(), version);
        if upload.is_new() {
            let value = rows::encode(&UploadRow { pieces: upload.pieces });
            transaction = transaction.with_write(row, value);
        }
        for number in upload.next_pieces() {
            let row = rows::input_row(job, upload.upload, number, self.partition_count);
            transaction = transaction.with_write(row, upload.piece(number));
        }
        StoreRequest::Commit(transaction)
    }

    pub(super) fn handle_upload_reply(
        &mut self,
        request: &PendingRequest,
        mut upload: Upload,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        let key = rows::upload_row(request.job, upload.upload, self.partition_count).key;
        let version = match reply {
            StoreReply::Committed(version) => Some(*version),
            // An earlier try was applied although its reply was lost.
            StoreReply::Conflict(found) if upload.is_new() => {
                found.iter().find(|row| row.key == key).map(|row| row.version)
            }
            _ => None,
        };
        let Some(version) = version else {
            log::warn!("event=request_refused job={} why=upload_removed", request.job);
            return out.reply(request.client, refusal(RefusalReason::StoreUnavailable));
        };
        upload.version.get_or_insert(version);
        upload.stored_pieces = upload.next_pieces().end;
        let context = request.context();
        if upload.stored_pieces < upload.pieces {
            let stage = RequestStage::Upload(upload);
            return self.send_to_store(context.with_stage(stage), out);
        }
        let submission = Submission::new(&upload.row, Some(upload.stored_input()));
        self.forward(context.with_stage(RequestStage::Submit(submission)), out);
    }

    /// Removes the input of a job that was refused, without waiting for the reply; what remains is
    /// removed by the leader.
    pub(super) fn remove_upload(&self, job: JobId, input: StoredInput, out: &mut Outbox) {
        if input.pieces > MAX_PIECES_PER_CALL {
            return;
        }
        let row = rows::upload_row(job, input.upload, self.partition_count);
        let transaction =
            StoreTransaction::default().with_expected(row.clone(), input.version).with_removal(row);
        let piece = |number| rows::input_row(job, input.upload, number, self.partition_count);
        let transaction =
            (0..input.pieces).map(piece).fold(transaction, StoreTransaction::with_removal);
        out.call_store(StoreRequest::Commit(transaction));
    }

    /// Handles the leader's reply to the question whether a job is known that is to be uploaded.
    pub(super) fn handle_known_reply(
        &mut self,
        request: PendingRequest,
        is_known: bool,
        out: &mut Outbox,
    ) {
        if is_known {
            log::info!("event=job_known_already job={}", request.job);
            return out.reply(request.client, ClientReply::Accepted);
        }
        self.send_to_store(request, out);
    }
}
