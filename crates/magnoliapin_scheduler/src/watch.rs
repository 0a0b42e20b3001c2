//! Follows one kind of rows: reads them once, then waits for changes.

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

/// Pause after a call that failed; doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after calls that failed.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Least time between two calls that watch the jobs.
const INTAKE_PACE: Duration = Duration::from_millis(150);

/// What a watch follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchKind {
    /// The operator's rows.
    Site,
    /// The scheduler's lease.
    Lease,
    /// Jobs and wishes to cancel them; the first read is its owner's.
    Intake,
    /// Registrations of targets.
    Targets,
}

/// What a watch has learned.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum WatchNews {
    /// All rows, or the first or a later page of them.
    Read(StoreReply),
    /// Rows that changed.
    Changed(StoreReply),
    /// Changes are missing and the owner must read all rows again.
    Lost,
    /// The call failed.
    Failed(CallFailure),
}

/// Follows one kind of rows.
#[derive(Debug)]
pub(crate) struct Watch {
    kind: WatchKind,
    call: Option<CallId>,
    /// Version after which changes count; none before the first read.
    after: Option<RowVersion>,
    /// Where the next page of the first read begins, and the version of its first page.
    page: Option<(String, RowVersion)>,
    retry_at: Moment,
    pause: Duration,
    /// When the last call that was answered had been sent.
    heard_at: Option<Moment>,
    sent_at: Moment,
}

impl Watch {
    /// Makes a watch that begins with a read.
    pub(crate) fn new(kind: WatchKind) -> Self {
        Self {
            kind,
            call: None,
            after: None,
            page: None,
            retry_at: Moment::START,
            pause: FIRST_PAUSE,
            heard_at: None,
            sent_at: Moment::START,
        }
    }

    /// Makes a watch for changes after a version.
    pub(crate) fn new_after(kind: WatchKind, after: RowVersion) -> Self {
        Self { after: Some(after), ..Self::new(kind) }
    }

    /// Returns when the last call that was answered had been sent.
    pub(crate) fn heard_at(&self) -> Option<Moment> {
        self.heard_at
    }

    /// Makes the next call, if none is in flight and it is time.
    pub(crate) fn poll(&mut self, times: &NodeTimes, out: &mut Outbox) {
        if self.call.is_some() || out.now < self.retry_at {
            return;
        }
        // Silence of the scheduler must be noticed sooner than other changes.
        let wait = if self.kind == WatchKind::Lease { times.beat } else { times.watch_wait };
        let request = match self.after {
            Some(after) => self.watch_request(after, wait),
            None => self.read_request(),
        };
        self.sent_at = out.now;
        self.call = Some(out.call_store(request));
    }

    /// Takes the answer of a call; none if the call was not the watch's.
    pub(crate) fn take_reply(
        &mut self,
        call: CallId,
        reply: &StoreReply,
        out: &Outbox,
    ) -> Option<WatchNews> {
        if self.call != Some(call) {
            return None;
        }
        self.call = None;
        if let StoreReply::Failed(failure) = reply {
            self.retry_at = out.now + self.pause;
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
            return Some(WatchNews::Failed(*failure));
        }
        self.pause = FIRST_PAUSE;
        if self.kind == WatchKind::Intake {
            // Most jobs come through the scheduler; the others can wait for a moment.
            self.retry_at = out.now + INTAKE_PACE;
        }
        self.heard_at = Some(self.sent_at);
        let (version, next) = match reply {
            StoreReply::Rows { version, .. } | StoreReply::Site { version, .. } => (*version, None),
            StoreReply::Targets { version, next, .. } => (*version, next.clone()),
            _ => {
                self.after = None;
                self.page = None;
                return Some(WatchNews::Lost);
            }
        };
        if self.after.is_some() {
            self.after = Some(version);
            return Some(WatchNews::Changed(reply.clone()));
        }
        // Changes made while pages are read are told again after the first page's version.
        let first = self.page.take().map_or(version, |(_, first)| first);
        match next {
            Some(next) => self.page = Some((next, first)),
            None => self.after = Some(first),
        }
        Some(WatchNews::Read(reply.clone()))
    }

    /// Returns whether the first read is not complete.
    pub(crate) fn is_reading(&self) -> bool {
        self.after.is_none()
    }

    fn read_request(&self) -> StoreRequest {
        let from = self.page.as_ref().map(|(from, _)| from.clone()).unwrap_or_default();
        match self.kind {
            WatchKind::Site => StoreRequest::ReadSite,
            WatchKind::Targets => StoreRequest::ReadTargets { from },
            WatchKind::Lease => StoreRequest::Read(RowRange::one(&rows::lease_row())),
            WatchKind::Intake => StoreRequest::Read(RowRange::one(&rows::control_fence())),
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
