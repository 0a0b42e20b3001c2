//! Removal of finished jobs, whatever their final state, when their retention period has elapsed.
//!
//! Within the retention period a job can be read, and a second submission with its idempotency key
//! finds it. Only one entry sweeps, one page at a time, to keep the load on the platform low.

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
const PAGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two sweeps over all finished jobs.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Progress of the sweep, and the wall clock used for the age of jobs.
#[derive(Debug, Default)]
pub(crate) struct RetentionState {
    wall_clock: Option<(Moment, UnixMillis)>,
    call: Option<CallId>,
    page_after: String,
    next_page_at: Moment,
}

impl RetentionState {
    /// Sets the wall clock's time at `now`.
    pub(crate) fn set_wall_clock(&mut self, now: Moment, wall: UnixMillis) {
        self.wall_clock = Some((now, wall));
    }

    /// Returns the wall clock's time, or `None` if it was never set.
    pub(crate) fn wall(&self, now: Moment) -> Option<UnixMillis> {
        let (set_at, wall) = self.wall_clock?;
        let since = u64::try_from(now.since(set_at).as_millis()).unwrap_or(u64::MAX);
        Some(UnixMillis(wall.0.saturating_add(since)))
    }
}

impl EntryMachine {
    /// Returns the wall clock's time for rows; 0 if it was never set.
    pub(crate) fn wall_time(&self) -> UnixMillis {
        self.retention.wall(self.out.now).unwrap_or_default()
    }

    /// Reads the next page of finished jobs if it is due and this entry is the sweeper.
    pub(crate) fn sweep_finished_jobs(&mut self) {
        let now = self.out.now;
        let is_due = self.retention.call.is_none() && self.retention.next_page_at <= now;
        if !is_due || !self.can_start_jobs() || !self.has_started() || !self.is_sweeper() {
            return;
        }
        let read = TableRead::Prefix {
            prefix: RowKey::DONE_PREFIX.to_owned(),
            after: self.retention.page_after.clone(),
            limit: PAGE_ROWS,
        };
        let request = PlatformRequest::Read(read);
        let call = self.out.call_platform(request, self.times.platform_timeout);
        self.retention.call = Some(call);
        self.retention.next_page_at = now + self.out.jitter(PAGE_INTERVAL);
    }

    /// Returns whether this entry has the lowest identifier among the ready entries.
    fn is_sweeper(&self) -> bool {
        let ready = self.peers.ready(self.out.now, &self.times);
        ready.into_iter().all(|id| id > self.identity.entry)
    }

    /// Handles a page of finished jobs if `call` read one. Returns whether it did.
    pub(crate) fn handle_sweep_reply(&mut self, call: CallId, reply: &PlatformReply) -> bool {
        if self.retention.call.take_if(|sweep| *sweep == call).is_none() {
            return false;
        }
        let PlatformReply::Rows(rows) = reply else { return true };
        self.retention.page_after = rows.last().map(|row| row.key.clone()).unwrap_or_default();
        if rows.len() < PAGE_ROWS as usize {
            self.retention.page_after.clear();
            self.retention.next_page_at = self.out.now + self.out.jitter(SWEEP_INTERVAL);
        }
        for row in rows {
            self.remove_if_expired(row);
        }
        true
    }

    fn remove_if_expired(&mut self, row: &TableRow) {
        let Ok(RowKey::Done(work)) = row.key.parse() else { return };
        let Some(now) = self.retention.wall(self.out.now) else { return };
        let ended_at = JobRow::from_json(&row.value).map(|job| job.ended_at).unwrap_or_default();
        let age = Duration::from_millis(now.0.saturating_sub(ended_at.0));
        if ended_at > UnixMillis(0) && age >= self.times.job_retention {
            self.remove_finished_job(work, row.version);
        }
    }

    fn remove_finished_job(&mut self, work: WorkId, version: RowVersion) {
        let key = RowKey::Done(work);
        let change =
            RowChange::new(ChangeTag::Remove(work)).with_guard(key, version).with_write(key, None);
        self.job_commits.push(change);
    }
}
