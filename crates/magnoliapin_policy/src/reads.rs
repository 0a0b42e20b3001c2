//! Batched reads: many keys in one call, one call in flight.

use magnoliapin_model::Moment;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;

use crate::commit::backoff;
use crate::outbox::Outbox;
use crate::CallId;
use crate::PolicyTimes;

/// Maximum number of reads in one call.
const MAX_BATCH_READS: usize = 300;

/// Purpose of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ReadTag {
    /// Answers a client that requests a job.
    ShowJob(CallId, WorkId),
    /// Continues a client's cancellation.
    CancelJob(CallId, WorkId),
    /// Determines the state of a job whose row another writer changed first.
    CheckJob(WorkId),
    /// Determines whether other entries have declared this entry lost.
    CheckSelf,
    /// Confirms that this entry is still a member before it uses a list of instances.
    ConfirmList(CallId),
    /// Reads an allotment that another entry changed.
    CheckAllotment(TeamId),
}

#[derive(Debug)]
struct PendingRead {
    tag: ReadTag,
    keys: Vec<String>,
    give_up_at: Moment,
}

/// Result of a read.
#[derive(Debug)]
pub(crate) struct ReadResult {
    pub(crate) tag: ReadTag,
    /// Rows that exist; `None` if the platform did not reply in time.
    pub(crate) rows: Option<Vec<TableRow>>,
}

/// Queue of reads, and the call in flight.
#[derive(Debug, Default)]
pub(crate) struct ReadQueue {
    waiting: Vec<PendingRead>,
    in_flight: Option<(CallId, Vec<PendingRead>)>,
    retry_at: Moment,
    failures: u32,
}

impl ReadQueue {
    pub(crate) fn push(&mut self, tag: ReadTag, keys: Vec<String>, give_up_at: Moment) {
        if !self.contains(tag) {
            self.waiting.push(PendingRead { tag, keys, give_up_at });
        }
    }

    fn contains(&self, tag: ReadTag) -> bool {
        self.waiting.iter().any(|read| read.tag == tag)
    }

    /// Sends the next call if it is due, and returns the reads that have expired in the queue.
    pub(crate) fn pump(&mut self, out: &mut Outbox, times: &PolicyTimes) -> Vec<ReadResult> {
        if self.in_flight.is_none() && !self.waiting.is_empty() && self.retry_at <= out.now {
            let rest = self.waiting.split_off(self.waiting.len().min(MAX_BATCH_READS));
            let batch = std::mem::replace(&mut self.waiting, rest);
            let keys = batch.iter().flat_map(|read| read.keys.clone()).collect();
            let request = PlatformRequest::Read(TableRead::Keys(keys));
            self.in_flight = Some((out.call_platform(request, times.platform_timeout), batch));
        }
        let now = out.now;
        let expired = self.waiting.extract_if(.., |read| read.give_up_at <= now);
        expired.map(|read| ReadResult { tag: read.tag, rows: None }).collect()
    }

    /// Handles the platform's reply to this queue's call. Returns `None` for any other call.
    pub(crate) fn handle_reply(
        &mut self,
        call: CallId,
        reply: &PlatformReply,
        out: &mut Outbox,
    ) -> Option<Vec<ReadResult>> {
        let (_, batch) = self.in_flight.take_if(|(sent, _)| *sent == call)?;
        let PlatformReply::Rows(rows) = reply else {
            self.failures += 1;
            self.retry_at = out.now + backoff(self.failures, out);
            self.waiting.extend(batch);
            return Some(Vec::new());
        };
        self.failures = 0;
        Some(batch.into_iter().map(|read| read.into_result(rows)).collect())
    }
}

impl PendingRead {
    fn into_result(self, rows: &[TableRow]) -> ReadResult {
        let own = rows.iter().filter(|row| self.keys.contains(&row.key)).cloned().collect();
        ReadResult { tag: self.tag, rows: Some(own) }
    }
}
