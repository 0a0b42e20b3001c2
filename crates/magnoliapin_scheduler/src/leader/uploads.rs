//! Removes inputs that are stored apart from their jobs, once no job needs them.
//!
//! The input of a finished job is removed at once. A node that stops between the upload of an input
//! and the acceptance of its job leaves one behind, and so may a change of leader; these are found by
//! listing the uploads. A node may still be submitting the job of an upload that no job needs, so it is
//! removed only if it is listed again later. If it is removed too early nevertheless, the job is
//! refused.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::JobId;
use magnoliapin_site::RowRange;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreTransaction;
use magnoliapin_site::UploadId;

use crate::leader::recovery::next_page;
use crate::leader::submissions::Submission;
use crate::leader::Leader;
use crate::leader::LeaderCall;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::UploadRow;

#[cfg(test)]
#[path = "uploads_tests.rs"]
mod tests;

/// Time between two lists of all uploads.
const LIST_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of removals in flight.
const MAX_REMOVALS: usize = 4;
/// Maximum number of pieces that a transaction removes, which has at most 100 entries.
const MAX_PIECES_PER_CALL: u32 = 90;
/// Pause after a removal has failed.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// An input that is being removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UploadRemoval {
    job: JobId,
    upload: UploadId,
    /// Number of pieces that remain; the last ones are removed first.
    pieces: u32,
}

/// Inputs that no job needs.
#[derive(Debug)]
pub(crate) struct UploadCleaner {
    queue: VecDeque<UploadRemoval>,
    in_flight: usize,
    paused_until: Moment,
    next_list_at: Moment,
    /// Uploads without a job in the last list of their partition.
    unneeded: IndexMap<u32, Vec<UploadId>>,
}

impl UploadCleaner {
    /// Creates the state of a new leader.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            queue: VecDeque::new(),
            in_flight: 0,
            paused_until: now,
            next_list_at: now + LIST_INTERVAL,
            unneeded: IndexMap::new(),
        }
    }

    /// Adds the input of a job that has finished.
    pub(crate) fn add(&mut self, job: JobId, upload: UploadId, pieces: u32) {
        self.queue.push_back(UploadRemoval { job, upload, pieces });
    }
}

impl Leader {
    /// Lists the uploads when that is due, and sends removals.
    pub(super) fn poll_uploads(&mut self, out: &mut Outbox) {
        if out.now >= self.upload_cleaner.next_list_at {
            self.upload_cleaner.next_list_at = out.now + LIST_INTERVAL;
            for partition in 0..self.identity.partition_count {
                let range = RowRange::whole_partition(rows::UPLOAD, partition.to_string());
                let kind = LeaderCall::ListUploads(partition, Vec::new());
                self.call(kind, StoreRequest::Read(range), out);
            }
        }
        while out.now >= self.upload_cleaner.paused_until
            && self.upload_cleaner.in_flight < MAX_REMOVALS
        {
            let Some(removal) = self.upload_cleaner.queue.pop_front() else { return };
            self.send_upload_removal(removal, out);
        }
    }

    fn send_upload_removal(&mut self, removal: UploadRemoval, out: &mut Outbox) {
        let UploadRemoval { job, upload, pieces } = removal;
        let count = self.identity.partition_count;
        let partition = rows::partition_of(job, count);
        let Some(fence) = self.partitions[partition as usize].load.fence() else { return };
        let mut transaction =
            StoreTransaction::default().with_expected(rows::fence_row(partition), fence);
        // A job that is known has another input, or this one would not be removed.
        if !self.job_keys.contains_key(&job) {
            let row = rows::job_row(rows::INTAKE, job, count);
            transaction = transaction.with_expected(row, RowVersion(0));
        }
        let first = pieces.saturating_sub(MAX_PIECES_PER_CALL);
        let removed = (first..pieces).map(|piece| rows::input_row(job, upload, piece, count));
        transaction.removals.extend(removed);
        if first == 0 {
            transaction.removals.push(rows::upload_row(job, upload, count));
        }
        self.upload_cleaner.in_flight += 1;
        self.call(LeaderCall::RemoveUpload(removal), StoreRequest::Commit(transaction), out);
    }

    /// Handles the reply to a removal.
    pub(super) fn handle_upload_removal_reply(
        &mut self,
        removal: UploadRemoval,
        reply: &StoreReply,
        now: Moment,
    ) {
        let cleaner = &mut self.upload_cleaner;
        cleaner.in_flight -= 1;
        match reply {
            StoreReply::Committed(_) => {
                let pieces = removal.pieces.saturating_sub(MAX_PIECES_PER_CALL);
                if pieces > 0 {
                    cleaner.queue.push_back(UploadRemoval { pieces, ..removal });
                }
            }
            // A job that this leader does not know yet needs the input, or a newer leader has taken
            // over.
            StoreReply::Conflict(_) => {}
            _ => {
                cleaner.queue.push_back(removal);
                cleaner.paused_until = now + RETRY_PAUSE;
            }
        }
    }

    /// Handles a page of the uploads of a partition. `unneeded` are those of the pages before that no
    /// job needs.
    pub(super) fn handle_uploads_reply(
        &mut self,
        partition: u32,
        mut unneeded: Vec<UploadId>,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        let StoreReply::Rows { rows: found, has_more, .. } = reply else { return };
        for row in found {
            let Some((job, upload)) = rows::parse_upload_key(&row.key) else { continue };
            let value: Option<UploadRow> = row.value.as_deref().and_then(rows::decode);
            let Some(value) = value.filter(|_| !self.needs_upload(job, upload)) else { continue };
            let last = self.upload_cleaner.unneeded.get(&partition);
            if last.is_some_and(|last| last.contains(&upload)) {
                log::info!("event=input_removed job={job} upload={upload}");
                self.upload_cleaner.add(job, upload, value.pieces);
            } else {
                unneeded.push(upload);
            }
        }
        if let Some(from) = next_page(found, *has_more) {
            let range =
                RowRange { from, ..RowRange::whole_partition(rows::UPLOAD, partition.to_string()) };
            let kind = LeaderCall::ListUploads(partition, unneeded);
            return self.call(kind, StoreRequest::Read(range), out);
        }
        self.upload_cleaner.unneeded.insert(partition, unneeded);
    }

    /// Returns whether a job that has not finished, or waits to be stored, needs an input.
    fn needs_upload(&self, job: JobId, upload: UploadId) -> bool {
        let known = self.job_keys.get(&job).and_then(|key| self.jobs.get(key));
        let known_input = known.and_then(|job| job.input);
        let partition = rows::partition_of(job, self.identity.partition_count) as usize;
        let submitted = self.partitions[partition].commit.submissions.get(&job);
        let submitted_input = submitted.and_then(Submission::input);
        [known_input, submitted_input].into_iter().flatten().any(|input| input.upload == upload)
    }
}
