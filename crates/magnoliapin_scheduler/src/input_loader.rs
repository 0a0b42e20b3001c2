//! Reads the inputs that are stored apart from their jobs, for the starts that this node sends.
//!
//! Both the leader and its agents send starts. An input is read when the first start of its job is
//! due, and kept for the next ones while there is room. Starts wait until their input is read and
//! until there is room for another copy of it; those that wait for too long fail without being sent,
//! and the leader repeats them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::ByteSize;
use magnoliapin_model::Moment;
use magnoliapin_site::JobId;
use magnoliapin_site::RowRange;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoredInput;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRequest;
use magnoliapin_site::UploadId;

use crate::outbox::Outbox;
use crate::rows;
use crate::CallId;
use crate::NodeAction;

#[cfg(test)]
#[path = "input_loader_tests.rs"]
mod tests;

/// Share of the memory that kept inputs may take. One that is larger is kept by itself.
const KEPT_SHARE: u64 = 32;
/// Share of the memory that copies of inputs in starts without a reply may take. One that is larger is
/// sent by itself.
const SENT_SHARE: u64 = 32;
/// Maximum number of starts that wait; more fail at once.
const MAX_WAITING_STARTS: usize = 2_000;
/// Maximum number of inputs that are read at the same time.
const MAX_READS: usize = 4;

/// A start that lacks its input.
#[derive(Clone, Debug)]
pub(crate) struct PendingStart {
    pub(crate) call: CallId,
    pub(crate) target: TargetName,
    pub(crate) address: SocketAddr,
    /// The start, with an empty input.
    pub(crate) request: TargetRequest,
    /// Time after which the call fails.
    pub(crate) timeout: Duration,
    pub(crate) job: JobId,
    pub(crate) input: StoredInput,
}

/// Reads inputs and adds them to the starts that need them.
#[derive(Debug)]
pub(crate) struct InputLoader {
    partition_count: u32,
    kept_limit: ByteSize,
    sent_limit: ByteSize,
    /// Inputs that are read, the most recently used last.
    kept: IndexMap<UploadId, Rc<str>>,
    /// Inputs that are being read: the bytes so far.
    reads: IndexMap<CallId, InputRead>,
    /// Starts that wait, with their deadlines, in the order in which they came.
    waiting: Vec<(Moment, PendingStart)>,
    /// Sizes of the inputs in starts without a reply.
    sent: IndexMap<CallId, ByteSize>,
}

/// An input that is being read.
#[derive(Debug)]
struct InputRead {
    job: JobId,
    input: StoredInput,
    bytes: Vec<u8>,
}

impl InputLoader {
    /// Creates a loader for a node with this memory.
    pub(crate) fn new(partition_count: u32, memory: ByteSize) -> Self {
        Self {
            partition_count,
            kept_limit: ByteSize(memory.0 / KEPT_SHARE),
            sent_limit: ByteSize(memory.0 / SENT_SHARE),
            kept: IndexMap::new(),
            reads: IndexMap::new(),
            waiting: Vec::new(),
            sent: IndexMap::new(),
        }
    }

    /// Adds a start. Returns its call if it fails at once.
    pub(crate) fn add_start(&mut self, start: PendingStart, out: &mut Outbox) -> Option<CallId> {
        if self.waiting.len() >= MAX_WAITING_STARTS {
            return Some(start.call);
        }
        self.waiting.push((out.now + start.timeout, start));
        self.send_starts(out);
        None
    }

    /// Handles a reply of the store. Returns whether the call was made by the loader.
    pub(crate) fn handle_store_reply(
        &mut self,
        call: CallId,
        reply: &StoreReply,
        out: &mut Outbox,
    ) -> bool {
        let Some(mut read) = self.reads.swap_remove(&call) else { return false };
        // After a failure, the input is read again for the next start.
        let StoreReply::Rows { rows, has_more, .. } = reply else { return true };
        for row in rows {
            read.bytes.extend_from_slice(row.value.as_deref().unwrap_or_default());
        }
        if let Some(last) = rows.last().filter(|_| *has_more) {
            let from = format!("{}\0", last.key);
            self.read_on(read, from, out);
            return true;
        }
        let upload = read.input.upload;
        let size = ByteSize(read.bytes.len() as u64);
        match String::from_utf8(read.bytes).ok().filter(|_| size == read.input.size) {
            Some(input) => self.keep(upload, input.into()),
            None => {
                log::error!("event=input_unreadable job={} upload={upload} size={size}", read.job);
            }
        }
        self.send_starts(out);
        true
    }

    /// Records that a call to a target has its reply.
    pub(crate) fn handle_target_reply(&mut self, call: CallId, out: &mut Outbox) {
        if self.sent.swap_remove(&call).is_some() {
            self.send_starts(out);
        }
    }

    /// Returns the calls of the starts that have waited for too long, and reads the inputs of others
    /// again whose read has failed.
    pub(crate) fn poll(&mut self, out: &mut Outbox) -> Vec<CallId> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let now = out.now;
        let expired = self.waiting.extract_if(.., |(deadline, _)| now >= *deadline);
        let expired = expired.map(|(_, start)| start.call).collect();
        self.send_starts(out);
        expired
    }

    /// Sends the starts whose input is read, and reads the inputs of the others.
    fn send_starts(&mut self, out: &mut Outbox) {
        let mut waiting = Vec::new();
        for (deadline, start) in std::mem::take(&mut self.waiting) {
            let sent: u64 = self.sent.values().map(|size| size.0).sum();
            let exceeds_limit = sent + start.input.size.0 > self.sent_limit.0;
            if exceeds_limit && !self.sent.is_empty() {
                waiting.push((deadline, start));
                continue;
            }
            let upload = start.input.upload;
            let Some(input) = self.kept.get(&upload).cloned() else {
                self.read(&start, out);
                waiting.push((deadline, start));
                continue;
            };
            if let Some(index) = self.kept.get_index_of(&upload) {
                self.kept.move_index(index, self.kept.len() - 1);
            }
            self.send(start, &input, deadline, out);
        }
        self.waiting = waiting;
    }

    fn send(&mut self, start: PendingStart, input: &str, deadline: Moment, out: &mut Outbox) {
        let PendingStart { call, target, address, mut request, .. } = start;
        if let TargetRequest::Start { payload, .. } = &mut request {
            *payload = input.to_owned();
        }
        self.sent.insert(call, start.input.size);
        let timeout = deadline.since(out.now);
        out.push(NodeAction::Target { call, target, address, request, timeout });
    }

    /// Reads an input unless it is being read.
    fn read(&mut self, start: &PendingStart, out: &mut Outbox) {
        let is_read = self.reads.values().any(|read| read.input.upload == start.input.upload);
        if !is_read && self.reads.len() < MAX_READS {
            let (job, input) = (start.job, start.input);
            let from = rows::input_row(job, input.upload, 0, self.partition_count).key;
            self.read_on(InputRead { job, input, bytes: Vec::new() }, from, out);
        }
    }

    fn read_on(&mut self, read: InputRead, from: String, out: &mut Outbox) {
        let (job, upload) = (read.job, read.input.upload);
        let first = rows::input_row(job, upload, 0, self.partition_count);
        let end = rows::input_row(job, upload, read.input.pieces, self.partition_count);
        let range = RowRange {
            from,
            to: end.key,
            ..RowRange::whole_partition(rows::INPUT, first.partition)
        };
        let call = out.call_store(StoreRequest::Read(range));
        self.reads.insert(call, read);
    }

    /// Keeps an input, and drops those that were used least recently.
    fn keep(&mut self, upload: UploadId, input: Rc<str>) {
        let mut total: u64 = self.kept.values().map(|kept| kept.len() as u64).sum();
        total += input.len() as u64;
        while total > self.kept_limit.0 {
            let Some((_, dropped)) = self.kept.shift_remove_index(0) else { break };
            total -= dropped.len() as u64;
        }
        self.kept.insert(upload, input);
    }
}
