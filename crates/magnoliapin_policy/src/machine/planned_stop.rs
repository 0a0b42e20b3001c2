//! Planned stop: running work finishes first, then the stop is committed to the entry's row.

use std::time::Duration;

use crate::commit::ChangeTag;
use crate::machine::membership::StopStage;
use crate::EntryAction;
use crate::EntryMachine;
use crate::TimelineEvent;
use crate::TimelineName;

/// Longest time in which running work can finish; jobs that still run are then taken over by
/// another entry.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

impl EntryMachine {
    /// Starts a planned stop, if none is under way.
    pub(crate) fn start_planned_stop(&mut self) {
        if self.membership.stop_stage.is_none() {
            self.membership.stop_stage = Some(StopStage::Draining { since: self.out.now });
            self.out.record(TimelineEvent::new(TimelineName::EntryStopping));
        }
    }

    /// Advances a planned stop.
    pub(crate) fn advance_stop(&mut self) {
        let now = self.out.now;
        match self.membership.stop_stage {
            Some(StopStage::Draining { since }) => {
                let is_idle = !self.work.has_requests()
                    && self.tasks.entries.is_empty()
                    && self.job_commits.is_empty()
                    && !self.has_apply_in_flight();
                if !is_idle && now.since(since) < STOP_TIMEOUT {
                    return;
                }
                if !self.membership.is_registered() || !self.membership.is_platform_up() {
                    self.finish_stop();
                } else if !self.control_commits.contains(ChangeTag::Renew) {
                    self.push_renewal(true);
                    self.membership.stop_stage = Some(StopStage::Announcing { since: now });
                }
            }
            Some(StopStage::Announcing { since }) if now.since(since) >= self.times.entry_lease => {
                self.finish_stop();
            }
            Some(StopStage::Announcing { .. } | StopStage::Done) | None => {}
        }
    }

    pub(crate) fn finish_stop(&mut self) {
        if self.membership.stop_stage != Some(StopStage::Done) {
            self.membership.stop_stage = Some(StopStage::Done);
            self.out.push_final(EntryAction::Stopped);
        }
    }
}
