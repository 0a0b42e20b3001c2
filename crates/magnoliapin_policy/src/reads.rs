//! Grouped reads: many keys in one call, one call in flight.

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

/// Most reads grouped in one call.
const MAX_BATCH_READS: usize = 300;

/// What rows are read for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ReadTag {
    /// Answers a caller who asks for a job.
    ShowJob(CallId, WorkId),
    /// Carries on with a caller's cancellation.
    CancelJob(CallId, WorkId),
    /// Finds out what became of a job that lost a race.
    CheckJob(WorkId),
    /// Finds out whether others took this entry for lost.
    CheckSelf,
    /// Makes sure that this entry is still a member, before it uses a list of instances.
    ConfirmList(CallId),
    /// Reads an allotment that somebody else changed.
    CheckPart(TeamId),
}

#[derive(Debug)]
struct RowsWanted {
    tag: ReadTag,
    keys: Vec<String>,
    give_up_at: Moment,
}

/// Rows that were read, or none if the platform did not answer in time.
#[derive(Debug)]
pub(crate) struct ReadResult {
    pub(crate) tag: ReadTag,
    pub(crate) rows: Option<Vec<TableRow>>,
}

/// Reads that wait, and the call in flight.
#[derive(Debug, Default)]
pub(crate) struct ReadQueue {
    waiting: Vec<RowsWanted>,
    flight: Option<(CallId, Vec<RowsWanted>)>,
    retry_at: Moment,
    failures: u32,
}

impl ReadQueue {
    pub(crate) fn push(&mut self, tag: ReadTag, keys: Vec<String>, give_up_at: Moment) {
        if !self.contains(tag) {
            self.waiting.push(RowsWanted { tag, keys, give_up_at });
        }
    }

    fn contains(&self, tag: ReadTag) -> bool {
        self.waiting.iter().any(|wanted| wanted.tag == tag)
    }

    /// Sends the next call, and gives up reads that have waited too long.
    pub(crate) fn pump(&mut self, out: &mut Outbox, times: &PolicyTimes) -> Vec<ReadResult> {
        if self.flight.is_none() && !self.waiting.is_empty() && self.retry_at <= out.now {
            let rest = self.waiting.split_off(self.waiting.len().min(MAX_BATCH_READS));
            let batch = std::mem::replace(&mut self.waiting, rest);
            let keys = batch.iter().flat_map(|wanted| wanted.keys.clone()).collect();
            let request = PlatformRequest::Read(TableRead::Keys(keys));
            self.flight = Some((out.call_platform(request, times.platform_timeout), batch));
        }
        let now = out.now;
        let expired = self.waiting.extract_if(.., |wanted| wanted.give_up_at <= now);
        expired.map(|wanted| ReadResult { tag: wanted.tag, rows: None }).collect()
    }

    /// Takes the platform's answer if `call` is this queue's. Returns none if it is not.
    pub(crate) fn take_reply(
        &mut self,
        call: CallId,
        reply: &PlatformReply,
        out: &mut Outbox,
    ) -> Option<Vec<ReadResult>> {
        let (_, batch) = self.flight.take_if(|(flying, _)| *flying == call)?;
        let PlatformReply::Rows(rows) = reply else {
            self.failures += 1;
            self.retry_at = out.now + backoff(self.failures, out);
            self.waiting.extend(batch);
            return Some(Vec::new());
        };
        self.failures = 0;
        Some(batch.into_iter().map(|wanted| wanted.settle(rows)).collect())
    }
}

impl RowsWanted {
    fn settle(self, rows: &[TableRow]) -> ReadResult {
        let own = rows.iter().filter(|row| self.keys.contains(&row.key)).cloned().collect();
        ReadResult { tag: self.tag, rows: Some(own) }
    }
}
