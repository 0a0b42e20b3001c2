//! What is read from the platform from time to time.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::TableRead;

use crate::CallId;
use crate::EntryMachine;

const ENTRY_INTERVAL: Duration = Duration::from_secs(2);
const ALLOTMENT_INTERVAL: Duration = Duration::from_secs(5);
const MAX_SCAN_ROWS: u32 = 10_000;
/// Least time between two reads of the instance list for each instance in it.
const LIST_TIME_EACH: Duration = Duration::from_micros(2_500);

/// What is read from time to time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum PollKind {
    Entries,
    Allotments,
    Places,
    Instances,
}

/// When something is read next, and the call that reads it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PollTimer {
    next: Moment,
    asked_at: Moment,
    call: Option<CallId>,
}

/// A list of instances and the call that brought it.
#[derive(Debug)]
pub(crate) struct PendingList {
    pub(crate) call: CallId,
    pub(crate) asked_at: Moment,
    pub(crate) records: Vec<InstanceRecord>,
}

impl EntryMachine {
    /// Reads what is due from the platform.
    pub(crate) fn poll(&mut self) {
        let list_interval = self.list_interval();
        self.poll_one(PollKind::Places, list_interval);
        self.poll_one(PollKind::Allotments, ALLOTMENT_INTERVAL);
        if self.membership.is_registered() {
            self.poll_one(PollKind::Instances, list_interval);
            self.poll_one(PollKind::Entries, ENTRY_INTERVAL);
        }
    }

    /// Returns the time between two reads of the instance list, which grows with its length.
    ///
    /// What cannot wait is learnt in other ways: a target that is leaving or runs anew refuses
    /// work, and one that is dead does not answer.
    fn list_interval(&self) -> Duration {
        let targets = u32::try_from(self.targets.entries.len()).unwrap_or(u32::MAX);
        self.times.list_interval.max(LIST_TIME_EACH.saturating_mul(targets))
    }

    fn poll_one(&mut self, kind: PollKind, interval: Duration) {
        let now = self.out.now;
        let timer = self.membership.polls.entry(kind).or_default();
        if timer.call.is_some() || timer.next > now {
            return;
        }
        let request = match kind {
            PollKind::Instances => PlatformRequest::Instances,
            PollKind::Places => scan("instance/"),
            PollKind::Allotments => scan(RowKey::ALLOTMENT_PREFIX),
            PollKind::Entries => scan(RowKey::ENTRY_PREFIX),
        };
        timer.next = now + self.out.jitter(interval);
        timer.asked_at = now;
        timer.call = Some(self.out.call_platform(request, self.times.platform_timeout));
    }

    /// Takes the answer to a poll.
    pub(crate) fn take_poll(&mut self, call: CallId, reply: PlatformReply) {
        let mut polls = self.membership.polls.iter_mut();
        let Some((kind, timer)) = polls.find(|(_, timer)| timer.call == Some(call)) else { return };
        let (kind, asked_at) = (*kind, timer.asked_at);
        timer.call = None;
        match (kind, reply) {
            (PollKind::Instances, PlatformReply::Instances(records)) => {
                self.take_list(PendingList { call, asked_at, records });
            }
            (PollKind::Places, PlatformReply::Rows(rows)) => self.take_places(&rows),
            (PollKind::Allotments, PlatformReply::Rows(rows)) => self.take_allotments(&rows),
            (PollKind::Entries, PlatformReply::Rows(rows)) => self.take_entries(&rows),
            _ => {}
        }
    }
}

fn scan(prefix: &str) -> PlatformRequest {
    PlatformRequest::Read(TableRead::Prefix {
        prefix: prefix.to_owned(),
        after: String::new(),
        limit: MAX_SCAN_ROWS,
    })
}
