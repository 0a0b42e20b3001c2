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

/// Delay after a failed call; doubles up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay after failed calls.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

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
    /// Changes were missed; the owner must read all rows again.
    Lost,
    /// The call failed.
    Failed(CallFailure),
}

/// Watches one kind of rows.
#[derive(Debug)]
pub(crate) struct Watch {
    kind: WatchKind,
    call: Option<CallId>,
    /// Version after which changes are requested; `None` until the first read is complete.
    after: Option<RowVersion>,
    /// Start of the next page of the first read, and the version of its first page.
    page: Option<(String, RowVersion)>,
    retry_at: Moment,
    retry_delay: Duration,
    /// Consecutive calls that failed.
    failed_calls: u32,
    /// When the last answered call was sent.
    last_contact_at: Option<Moment>,
    sent_at: Moment,
}

impl Watch {
    /// Creates a watch that starts with a read.
    pub(crate) fn new(kind: WatchKind) -> Self {
        Self {
            kind,
            call: None,
            after: None,
            page: None,
            retry_at: Moment::START,
            retry_delay: INITIAL_RETRY_DELAY,
            failed_calls: 0,
            last_contact_at: None,
            sent_at: Moment::START,
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

    /// Makes the next call if none is in flight and the delay has passed.
    pub(crate) fn poll(&mut self, times: &NodeTimes, out: &mut Outbox) {
        if self.call.is_some() || out.now < self.retry_at {
            return;
        }
        // An unresponsive leader must be detected sooner than other changes.
        let wait =
            if self.kind == WatchKind::Lease { times.renewal_interval } else { times.watch_wait };
        let request = match self.after {
            Some(after) => self.watch_request(after, wait),
            None => self.read_request(),
        };
        self.sent_at = out.now;
        self.call = Some(out.call_store(request));
    }

    /// Handles a reply of the store. Returns `None` if the call was not made by this watch.
    pub(crate) fn handle_reply(
        &mut self,
        call: CallId,
        reply: &StoreReply,
        out: &Outbox,
    ) -> Option<WatchUpdate> {
        if self.call != Some(call) {
            return None;
        }
        self.call = None;
        if let StoreReply::Failed(failure) = reply {
            self.retry_at = out.now + self.retry_delay;
            self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
            self.failed_calls += 1;
            log::warn!(
                "event=watch_call_failed watch={:?} failure={failure:?} waited_ms={} \
                 consecutive={} contact_age_ms={}",
                self.kind,
                out.now.since(self.sent_at).as_millis(),
                self.failed_calls,
                self.contact_age_ms(out.now)
            );
            return Some(WatchUpdate::Failed(*failure));
        }
        if std::mem::take(&mut self.failed_calls) > 0 {
            log::info!(
                "event=watch_resumed watch={:?} waited_ms={} contact_age_ms={}",
                self.kind,
                out.now.since(self.sent_at).as_millis(),
                self.contact_age_ms(out.now)
            );
        }
        self.retry_delay = INITIAL_RETRY_DELAY;
        if self.kind == WatchKind::Intake {
            // Most jobs are submitted through the leader; the others can be delayed slightly.
            self.retry_at = out.now + INTAKE_WATCH_INTERVAL;
        }
        self.last_contact_at = Some(self.sent_at);
        let (version, next) = match reply {
            StoreReply::Rows { version, .. } | StoreReply::Site { version, .. } => (*version, None),
            StoreReply::Targets { version, next, .. } => (*version, next.clone()),
            _ => {
                self.after = None;
                self.page = None;
                return Some(WatchUpdate::Lost);
            }
        };
        if self.after.is_some() {
            self.after = Some(version);
            return Some(WatchUpdate::Changed(reply.clone()));
        }
        // Changes are watched from the version of the first page, so that those made while later
        // pages are read are not missed.
        let first = self.page.take().map_or(version, |(_, first)| first);
        match next {
            Some(next) => self.page = Some((next, first)),
            None => self.after = Some(first),
        }
        Some(WatchUpdate::Read(reply.clone()))
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
