//! Watches one kind of rows: reads them once, then waits for changes.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::CallFailure;
use magnoliapin_site::RowRange;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;

use crate::outbox::Outbox;
use crate::rows;
use crate::CallId;
use crate::NodeTimes;

#[cfg(test)]
#[path = "watch_tests.rs"]
pub(crate) mod tests;

/// Delay after a refused call; doubles up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay after refused calls.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time that a reply may take beyond the requested wait before it is overdue.
const OVERDUE_TIME: Duration = Duration::from_millis(400);
/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a probe fails. It does not depend on the store's latency, which an outage
/// distorts.
const PROBE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Minimum time between two watch calls for the jobs.
const INTAKE_WATCH_INTERVAL: Duration = Duration::from_millis(150);

/// The rows that a watch follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchKind {
    /// The operator's rows.
    Site,
    /// The leader's lease.
    Lease,
    /// Jobs and their cancellation requests; the owner of the watch makes the first read.
    Intake,
    /// Registrations of targets.
    Targets,
}

/// An update from a watch.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WatchUpdate {
    /// All rows, or one page of them.
    Read(StoreReply),
    /// Rows that changed.
    Changed(StoreReply),
    /// Nothing has changed.
    Unchanged,
    /// Changes were missed; the owner must read all rows again.
    Lost,
    /// The call failed.
    Failed(CallFailure),
}

/// Watches one kind of rows.
///
/// A call that waits for changes may be lost together with its connection, and its timeout is long.
/// Once its reply is overdue, or a call has failed, probes that do not wait are sent in short
/// intervals, each on a new connection, until a call is answered.
#[derive(Debug)]
pub(crate) struct Watch {
    kind: WatchKind,
    /// Calls without a reply, in the order in which they were sent.
    pending_calls: Vec<PendingCall>,
    /// Version after which changes are requested; `None` until the first read is complete.
    after: Option<RowVersion>,
    /// Start of the next page of the first read, and the version of its first page.
    page: Option<(String, RowVersion)>,
    /// Earliest time of the next call that waits for changes.
    next_call_at: Moment,
    /// Earliest time of the next probe.
    next_probe_at: Moment,
    retry_delay: Duration,
    /// Consecutive calls that failed.
    failed_calls: u32,
    /// When the last answered call was sent.
    last_contact_at: Option<Moment>,
    /// Since when no call has failed.
    answered_since: Option<Moment>,
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    call: CallId,
    sent_at: Moment,
    is_probe: bool,
}

impl Watch {
    /// Creates a watch that starts with a read.
    pub(crate) fn new(kind: WatchKind) -> Self {
        Self {
            kind,
            pending_calls: Vec::new(),
            after: None,
            page: None,
            next_call_at: Moment::START,
            next_probe_at: Moment::START,
            retry_delay: INITIAL_RETRY_DELAY,
            failed_calls: 0,
            last_contact_at: None,
            answered_since: None,
        }
    }

    /// Creates a watch for changes after a version.
    pub(crate) fn new_after(kind: WatchKind, after: RowVersion) -> Self {
        Self { after: Some(after), ..Self::new(kind) }
    }

    /// Returns when the last answered call was sent.
    pub(crate) fn last_contact_at(&self) -> Option<Moment> {
        self.last_contact_at
    }

    /// Returns since when all calls have been answered; `None` if the last one was not.
    pub(crate) fn answered_since(&self) -> Option<Moment> {
        self.answered_since
    }

    /// Makes the next call if one is due.
    pub(crate) fn poll(&mut self, times: &NodeTimes, out: &mut Outbox) {
        let is_waiting = self.pending_calls.iter().any(|pending| !pending.is_probe);
        if is_waiting || self.failed_calls > 0 {
            if out.now >= self.next_probe_at {
                self.send_probe(out);
            }
        } else if out.now >= self.next_call_at {
            self.send_call(times, out);
        }
    }

    fn send_call(&mut self, times: &NodeTimes, out: &mut Outbox) {
        // An unresponsive leader must be detected sooner than other changes.
        let wait =
            if self.kind == WatchKind::Lease { times.renewal_interval } else { times.watch_wait };
        let (request, wait) = match self.after {
            Some(after) => (self.watch_request(after, wait), wait),
            None => (self.read_request(), Duration::ZERO),
        };
        let call = out.call_store(request);
        self.pending_calls.push(PendingCall { call, sent_at: out.now, is_probe: false });
        self.next_probe_at = out.now + wait + OVERDUE_TIME;
    }

    fn send_probe(&mut self, out: &mut Outbox) {
        let request = match self.after {
            Some(after) => self.watch_request(after, Duration::ZERO),
            None => self.read_request(),
        };
        let call = out.probe_store(request, PROBE_TIMEOUT);
        self.pending_calls.push(PendingCall { call, sent_at: out.now, is_probe: true });
        self.next_probe_at = out.now + PROBE_INTERVAL;
    }

    /// Handles a reply of the store. Returns `None` if the call was not made by this watch.
    pub(crate) fn handle_reply(
        &mut self,
        call: CallId,
        reply: &StoreReply,
        out: &Outbox,
    ) -> Option<WatchUpdate> {
        let index = self.pending_calls.iter().position(|pending| pending.call == call)?;
        let sent_at = self.pending_calls.remove(index).sent_at;
        if let StoreReply::Failed(failure) = reply {
            self.record_failure(*failure, sent_at, out.now);
            return Some(WatchUpdate::Failed(*failure));
        }
        // Calls that were sent earlier would report nothing else. Those sent later show, when a slow
        // store answers them, that nothing has changed since.
        self.pending_calls.retain(|pending| pending.sent_at > sent_at);
        self.record_contact(sent_at, out.now);
        let (version, next) = match reply {
            StoreReply::Rows { version, .. } | StoreReply::Site { version, .. } => (*version, None),
            StoreReply::Targets { version, next, .. } => (*version, next.clone()),
            _ => {
                self.pending_calls.clear();
                self.after = None;
                self.page = None;
                return Some(WatchUpdate::Lost);
            }
        };
        if let Some(after) = self.after {
            self.after = Some(version.max(after));
            let is_newer = version > after;
            return Some(if is_newer {
                WatchUpdate::Changed(reply.clone())
            } else {
                WatchUpdate::Unchanged
            });
        }
        // No reply belongs to another page than the next one.
        self.pending_calls.clear();
        // Changes are watched from the version of the first page, so that those made while later
        // pages are read are not missed.
        let first = self.page.take().map_or(version, |(_, first)| first);
        match next {
            Some(next) => self.page = Some((next, first)),
            None => self.after = Some(first),
        }
        Some(WatchUpdate::Read(reply.clone()))
    }

    fn record_failure(&mut self, failure: CallFailure, sent_at: Moment, now: Moment) {
        if failure == CallFailure::NotDone {
            self.next_probe_at = now + self.retry_delay;
            self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        }
        self.failed_calls += 1;
        self.answered_since = None;
        // Not every one of a series, as a refusing store is called every 400 ms.
        if self.failed_calls.is_power_of_two() {
            log::warn!(
                "event=watch_call_failed watch={:?} failure={failure:?} waited_ms={} \
                 consecutive={} contact_age_ms={}",
                self.kind,
                now.since(sent_at).as_millis(),
                self.failed_calls,
                self.contact_age_ms(now)
            );
        }
    }

    fn record_contact(&mut self, sent_at: Moment, now: Moment) {
        if std::mem::take(&mut self.failed_calls) > 0 {
            log::info!(
                "event=watch_resumed watch={:?} waited_ms={} contact_age_ms={}",
                self.kind,
                now.since(sent_at).as_millis(),
                self.contact_age_ms(now)
            );
        }
        self.retry_delay = INITIAL_RETRY_DELAY;
        if self.kind == WatchKind::Intake {
            // Most jobs are submitted through the leader; the others can be delayed slightly.
            self.next_call_at = now + INTAKE_WATCH_INTERVAL;
        }
        self.last_contact_at = self.last_contact_at.max(Some(sent_at));
        self.answered_since.get_or_insert(now);
    }

    /// Returns whether the first read is still incomplete.
    pub(crate) fn is_reading(&self) -> bool {
        self.after.is_none()
    }

    /// Returns the time since the last answered call was sent, or since the start of the process.
    fn contact_age_ms(&self, now: Moment) -> u128 {
        now.since(self.last_contact_at.unwrap_or(Moment::START)).as_millis()
    }

    fn read_request(&self) -> StoreRequest {
        let from = self.page.as_ref().map(|(from, _)| from.clone()).unwrap_or_default();
        match self.kind {
            WatchKind::Site => StoreRequest::ReadSite,
            WatchKind::Targets => StoreRequest::ReadTargets { from },
            WatchKind::Lease => StoreRequest::Read(RowRange::single(&rows::lease_row())),
            WatchKind::Intake => StoreRequest::Read(RowRange::single(&rows::control_fence())),
        }
    }

    fn watch_request(&self, after: RowVersion, wait: Duration) -> StoreRequest {
        match self.kind {
            WatchKind::Site => StoreRequest::WatchSite { after, wait },
            WatchKind::Targets => StoreRequest::WatchTargets { after, wait },
            WatchKind::Lease => StoreRequest::Watch { table: rows::LEASE, after, wait },
            WatchKind::Intake => StoreRequest::Watch { table: rows::INTAKE, after, wait },
        }
    }
}
