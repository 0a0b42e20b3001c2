//! Periodic reads from the platform.

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
/// Minimum time between two reads of the instance list, for each instance in it.
const LIST_INTERVAL_PER_INSTANCE: Duration = Duration::from_micros(2_500);

/// Data that is read periodically.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum PollKind {
    Entries,
    Allotments,
    Placements,
    Instances,
}

/// Schedule of one periodic read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PollTimer {
    next_at: Moment,
    requested_at: Moment,
    call: Option<CallId>,
}

/// A list of instances that is not applied yet, and the call that read it.
#[derive(Debug)]
pub(crate) struct PendingList {
    pub(crate) call: CallId,
    pub(crate) requested_at: Moment,
    pub(crate) records: Vec<InstanceRecord>,
}

impl EntryMachine {
    /// Starts the reads that are due.
    pub(crate) fn poll(&mut self) {
        let list_interval = self.list_interval();
        self.poll_if_due(PollKind::Placements, list_interval);
        self.poll_if_due(PollKind::Allotments, ALLOTMENT_INTERVAL);
        if self.membership.is_registered() {
            self.poll_if_due(PollKind::Instances, list_interval);
            self.poll_if_due(PollKind::Entries, ENTRY_INTERVAL);
        }
    }

    /// Returns the time between two reads of the instance list, which grows with its length.
    ///
    /// Urgent changes are noticed without the list: a target that is leaving or has restarted
    /// refuses work, and a crashed one does not answer.
    fn list_interval(&self) -> Duration {
        let targets = u32::try_from(self.targets.entries.len()).unwrap_or(u32::MAX);
        self.times.list_interval.max(LIST_INTERVAL_PER_INSTANCE.saturating_mul(targets))
    }

    fn poll_if_due(&mut self, kind: PollKind, interval: Duration) {
        let now = self.out.now;
        let timer = self.membership.polls.entry(kind).or_default();
        if timer.call.is_some() || timer.next_at > now {
            return;
        }
        let request = match kind {
            PollKind::Instances => PlatformRequest::Instances,
            PollKind::Placements => read_prefix("instance/"),
            PollKind::Allotments => read_prefix(RowKey::ALLOTMENT_PREFIX),
            PollKind::Entries => read_prefix(RowKey::ENTRY_PREFIX),
        };
        timer.next_at = now + self.out.jitter(interval);
        timer.requested_at = now;
        timer.call = Some(self.out.call_platform(request, self.times.platform_timeout));
    }

    /// Handles the reply to a periodic read.
    pub(crate) fn handle_poll_reply(&mut self, call: CallId, reply: PlatformReply) {
        let mut polls = self.membership.polls.iter_mut();
        let Some((kind, timer)) = polls.find(|(_, timer)| timer.call == Some(call)) else { return };
        let (kind, requested_at) = (*kind, timer.requested_at);
        timer.call = None;
        match (kind, reply) {
            (PollKind::Instances, PlatformReply::Instances(records)) => {
                self.handle_instance_list(PendingList { call, requested_at, records });
            }
            (PollKind::Placements, PlatformReply::Rows(rows)) => self.apply_placements(&rows),
            (PollKind::Allotments, PlatformReply::Rows(rows)) => self.apply_allotment_rows(&rows),
            (PollKind::Entries, PlatformReply::Rows(rows)) => self.apply_entry_rows(&rows),
            _ => {}
        }
    }
}

fn read_prefix(prefix: &str) -> PlatformRequest {
    PlatformRequest::Read(TableRead::Prefix {
        prefix: prefix.to_owned(),
        after: String::new(),
        limit: MAX_SCAN_ROWS,
    })
}
