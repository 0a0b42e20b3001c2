//! A planned stop: what runs ends first, then the entry's row says so.

use std::time::Duration;

use crate::commit::ChangeTag;
use crate::machine::membership::StopStage;
use crate::EntryAction;
use crate::EntryMachine;
use crate::TimelineEvent;
use crate::TimelineName;

/// A planned stop ends at the latest after this long; running jobs are then taken over.
const STOP_LIMIT: Duration = Duration::from_secs(30);

impl EntryMachine {
    /// Begins a planned stop.
    pub(crate) fn begin_stop(&mut self) {
        if self.membership.stop.is_none() {
            self.membership.stop = Some(StopStage::Draining { since: self.out.now });
            self.out.record(TimelineEvent::new(TimelineName::EntryStopping));
        }
    }

    /// Goes on with a planned stop: what runs ends first, then the entry's row says so.
    pub(crate) fn advance_stop(&mut self) {
        let now = self.out.now;
        match self.membership.stop {
            Some(StopStage::Draining { since }) => {
                let is_idle = !self.work.has_requests()
                    && self.tasks.entries.is_empty()
                    && self.job_commits.is_empty()
                    && !self.has_apply_in_flight();
                if !is_idle && now.since(since) < STOP_LIMIT {
                    return;
                }
                if !self.membership.is_registered() || !self.membership.is_platform_up() {
                    self.finish_stop();
                } else if !self.control_commits.contains(ChangeTag::Renew) {
                    self.push_renewal(true);
                    self.membership.stop = Some(StopStage::Saying { since: now });
                }
            }
            Some(StopStage::Saying { since }) if now.since(since) >= self.times.entry_lease => {
                self.finish_stop();
            }
            Some(StopStage::Saying { .. } | StopStage::Done) | None => {}
        }
    }

    pub(crate) fn finish_stop(&mut self) {
        if self.membership.stop != Some(StopStage::Done) {
            self.membership.stop = Some(StopStage::Done);
            self.out.push_end(EntryAction::Stopped);
        }
    }
}
