//! Removal of ended jobs from the table when their retention is over.
//!
//! Within the retention a job can be read, and a second submission under its idempotency key finds
//! it. One entry sweeps, a page at a time, so that the sweep costs the platform next to nothing.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::UnixMillis;
use magnoliapin_model::WorkId;
use magnoliapin_wire::rows::JobRow;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;

use crate::commit::ChangeTag;
use crate::commit::RowChange;
use crate::CallId;
use crate::EntryMachine;

const PAGE_ROWS: u32 = 100;
const PAGE_PAUSE: Duration = Duration::from_secs(1);
/// Time between two sweeps of all ended jobs.
const SWEEP_PAUSE: Duration = Duration::from_secs(60);

/// Progress of the sweep, and the wall clock that it goes by.
#[derive(Debug, Default)]
pub(crate) struct RetentionState {
    wall: Option<(Moment, UnixMillis)>,
    call: Option<CallId>,
    after: String,
    next: Moment,
}

impl RetentionState {
    /// Takes the wall clock.
    pub(crate) fn take_wall(&mut self, now: Moment, wall: UnixMillis) {
        self.wall = Some((now, wall));
    }

    /// Returns the wall clock's time, or none if it was never told.
    pub(crate) fn wall(&self, now: Moment) -> Option<UnixMillis> {
        let (told_at, wall) = self.wall?;
        let since = u64::try_from(now.since(told_at).as_millis()).unwrap_or(u64::MAX);
        Some(UnixMillis(wall.0.saturating_add(since)))
    }
}

impl EntryMachine {
    /// Returns the wall clock's time for rows; 0 if it was never told.
    pub(crate) fn wall_time(&self) -> UnixMillis {
        self.retention.wall(self.out.now).unwrap_or_default()
    }

    /// Reads the next page of ended jobs, if it is this entry's turn to sweep.
    pub(crate) fn sweep_ended(&mut self) {
        let now = self.out.now;
        let is_due = self.retention.call.is_none() && self.retention.next <= now;
        if !is_due || !self.jobs_may_start() || !self.has_started() || !self.is_sweeper() {
            return;
        }
        let read = TableRead::Prefix {
            prefix: RowKey::DONE_PREFIX.to_owned(),
            after: self.retention.after.clone(),
            limit: PAGE_ROWS,
        };
        let request = PlatformRequest::Read(read);
        let call = self.out.call_platform(request, self.times.platform_timeout);
        self.retention.call = Some(call);
        self.retention.next = now + self.out.jitter(PAGE_PAUSE);
    }

    /// Returns whether this entry has the lowest identifier of those that are ready.
    fn is_sweeper(&self) -> bool {
        let ready = self.peers.ready(self.out.now, &self.times);
        ready.into_iter().all(|id| id > self.identity.entry)
    }

    /// Takes a page of ended jobs if `call` read one. Returns whether it did.
    pub(crate) fn take_ended_page(&mut self, call: CallId, reply: &PlatformReply) -> bool {
        if self.retention.call.take_if(|sweep| *sweep == call).is_none() {
            return false;
        }
        let PlatformReply::Rows(rows) = reply else { return true };
        self.retention.after = rows.last().map(|row| row.key.clone()).unwrap_or_default();
        if rows.len() < PAGE_ROWS as usize {
            self.retention.after.clear();
            self.retention.next = self.out.now + self.out.jitter(SWEEP_PAUSE);
        }
        for row in rows {
            self.remove_if_over(row);
        }
        true
    }

    fn remove_if_over(&mut self, row: &TableRow) {
        let Ok(RowKey::Done(work)) = row.key.parse() else { return };
        let Some(now) = self.retention.wall(self.out.now) else { return };
        let ended_at = JobRow::from_json(&row.value).map(|job| job.ended_at).unwrap_or_default();
        let age = Duration::from_millis(now.0.saturating_sub(ended_at.0));
        if ended_at > UnixMillis(0) && age >= self.times.job_retention {
            self.remove_ended(work, row.version);
        }
    }

    fn remove_ended(&mut self, work: WorkId, version: RowVersion) {
        let key = RowKey::Done(work);
        let change =
            RowChange::new(ChangeTag::Remove(work)).with_guard(key, version).with_write(key, None);
        self.job_commits.push(change);
    }
}
