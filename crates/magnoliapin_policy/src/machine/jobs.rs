//! Jobs: every step is a compare-and-set on the job's row.

use std::time::Duration;

use magnoliapin_model::Attempt;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::KeyHash;
use magnoliapin_model::RowVersion;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_wire::rows::BoundTarget;
use magnoliapin_wire::rows::JobRow;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::JobState;
use magnoliapin_wire::JobView;
use magnoliapin_wire::TableRow;

use crate::commit::ChangeOutcome;
use crate::commit::ChangeTag;
use crate::commit::RowChange;
use crate::machine::outcomes::STOPPED_REASON;
use crate::reads::ReadTag;
use crate::work::CancelWait;
use crate::work::WorkStage;
use crate::CallId;
use crate::EntryMachine;
use crate::TimelineEvent;
use crate::TimelineName;

/// A caller that hands in a job is answered at the latest after this long.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);
/// A slot is kept for a job for this long while its row is being committed.
const BINDING_TIME: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(5);

impl EntryMachine {
    /// Lets a caller wait with the first one that handed in the same job. Returns whether it can.
    pub(crate) fn join_accept(&mut self, call: CallId, work: WorkId) -> bool {
        let Some(hold) = self.work.get_mut(work).and_then(|entry| entry.job_mut()) else {
            return false;
        };
        if hold.version == RowVersion(0) {
            hold.accepting.push(call);
        } else {
            let view = view_of(work, &hold.row);
            self.out.answer(call, CallerAnswer::Accepted(view));
        }
        true
    }

    /// Commits the row of a new job, bound to a target at once if one has room.
    pub(crate) fn store_job(&mut self, work: WorkId) {
        let Some(entry) = self.work.get(work) else { return };
        let (pool, team) = (entry.pool, entry.team);
        let target = self.direct_target(pool, team);
        if let Some(target) = target {
            self.reserve(team, target);
        }
        let Some(entry) = self.work.get_mut(work) else { return };
        if let Some(target) = target {
            entry.stage = WorkStage::Binding(target);
            entry.attempt = Attempt(1);
        }
        let attempt = entry.attempt;
        let Some(hold) = entry.job_mut() else { return };
        hold.row.target = target;
        hold.row.attempt = attempt;
        let change = RowChange::new(ChangeTag::Accept(work))
            .with_guard(RowKey::Job(work), RowVersion(0))
            .with_guard(RowKey::Done(work), RowVersion(0))
            .with_write(RowKey::Job(work), Some(hold.row.to_json()));
        let change = self.guard_member(change);
        self.job_commits.push(change);
    }

    /// Binds the next attempt of a job to a target.
    pub(crate) fn bind_job(&mut self, work: WorkId, target: BoundTarget) {
        let Some(entry) = self.work.get_mut(work) else { return };
        entry.attempt = Attempt(entry.attempt.0 + 1);
        entry.stage = WorkStage::Binding(target);
        entry.staged_at = self.out.now;
        let (team, attempt) = (entry.team, entry.attempt);
        let Some(hold) = entry.job_mut() else { return };
        hold.row.attempt = attempt;
        hold.row.target = Some(target);
        let change = RowChange::new(ChangeTag::Bind(work))
            .with_guard(RowKey::Job(work), hold.version)
            .with_write(RowKey::Job(work), Some(hold.row.to_json()));
        let change = self.guard_member(change);
        self.job_commits.push(change);
        self.reserve(team, target);
    }

    /// Ends a job: its row moves to the finished ones.
    pub(crate) fn end_job(&mut self, work: WorkId, state: JobState, reason: Option<String>) {
        let ended_at = self.wall_time();
        let Some(entry) = self.work.get_mut(work) else { return };
        entry.stage = WorkStage::Ending;
        let Some(hold) = entry.job_mut() else { return };
        hold.row.state = state;
        hold.row.reason = reason;
        hold.row.ended_at = ended_at;
        self.push_end(work);
    }

    fn push_end(&mut self, work: WorkId) {
        let Some(hold) = self.work.get(work).and_then(|entry| entry.job()) else { return };
        let change = end_change(ChangeTag::End(work), work, &hold.row, hold.version);
        self.job_commits.push(change);
    }

    /// Takes word of what became of a change of a job's row.
    pub(crate) fn take_job_change(&mut self, tag: ChangeTag, outcome: ChangeOutcome) {
        match (tag, outcome) {
            (ChangeTag::Accept(work), ChangeOutcome::Committed(versions)) => {
                self.take_accepted(work, first(&versions));
            }
            (ChangeTag::Accept(work), ChangeOutcome::Conflict(rows)) => {
                self.take_existing(work, &rows);
            }
            (ChangeTag::Bind(work), ChangeOutcome::Committed(versions)) => {
                self.take_stored(work, first(&versions));
            }
            (ChangeTag::End(work), ChangeOutcome::Committed(_)) => self.take_ended(work),
            (ChangeTag::Bind(work) | ChangeTag::End(work), ChangeOutcome::Conflict(_)) => {
                self.check_job(work);
            }
            (ChangeTag::Cancel(call, work), ChangeOutcome::Committed(_)) => {
                self.push_read(ReadTag::ShowJob(call, work), work);
            }
            (ChangeTag::Cancel(call, work), ChangeOutcome::Conflict(_)) => {
                self.push_read(ReadTag::CancelJob(call, work), work);
            }
            _ => {}
        }
    }

    fn take_accepted(&mut self, work: WorkId, version: RowVersion) {
        self.out.counts.jobs_accepted += 1;
        self.out.record(TimelineEvent::new(TimelineName::JobAccepted).with_work(work));
        let Some(hold) = self.work.get_mut(work).and_then(|entry| entry.job_mut()) else { return };
        let view = view_of(work, &hold.row);
        for call in std::mem::take(&mut hold.accepting) {
            self.out.answer(call, CallerAnswer::Accepted(view.clone()));
        }
        self.take_stored(work, version);
    }

    /// Goes on with a job whose row is committed as this entry wrote it.
    pub(crate) fn take_stored(&mut self, work: WorkId, version: RowVersion) {
        let Some(entry) = self.work.get_mut(work) else { return };
        let (team, stage) = (entry.team, entry.stage);
        let Some(hold) = entry.job_mut() else { return };
        hold.version = version;
        let task = TaskId::new(work, hold.row.attempt);
        let cancelled = hold.row.cancel_requested;
        match stage {
            WorkStage::Binding(target) if cancelled => {
                self.release(team, target.instance);
                self.end_job(work, JobState::Cancelled, None);
            }
            WorkStage::Binding(target) => {
                let event = TimelineEvent::new(TimelineName::JobBound).with_work(work);
                self.out.record(event.with_instance(target.instance));
                self.send_start(work, task, target);
            }
            WorkStage::Storing if cancelled => self.end_job(work, JobState::Cancelled, None),
            WorkStage::Storing => self.wait_for_slot(work),
            WorkStage::Pausing | WorkStage::Waiting | WorkStage::Running(_) | WorkStage::Ending => {
            }
        }
    }

    /// Answers with the job that an earlier submission made.
    fn take_existing(&mut self, work: WorkId, rows: &[TableRow]) {
        let Some(mut entry) = self.work.remove(work) else { return };
        if let Some(target) = entry.reserved() {
            self.release(entry.team, target.instance);
        }
        let Some(hold) = entry.job_mut() else { return };
        let (callers, waits) =
            (std::mem::take(&mut hold.accepting), std::mem::take(&mut hold.cancelling));
        let found = find_job(work, rows);
        for wait in waits {
            let message = "the job was handed in before and is held elsewhere; cancel it again";
            self.out.refuse(wait.call, ErrorKind::Conflict, message);
        }
        for call in callers {
            match &found {
                Some((_, row)) => {
                    let view = view_of(work, row);
                    self.out.answer(call, CallerAnswer::Accepted(view));
                }
                None => self.out.refuse(call, ErrorKind::Conflict, "the job's row cannot be read"),
            }
        }
    }

    fn take_ended(&mut self, work: WorkId) {
        let Some(mut entry) = self.work.remove(work) else { return };
        self.out.counts.jobs_ended += 1;
        self.out.record(TimelineEvent::new(TimelineName::JobEnded).with_work(work));
        let Some(hold) = entry.job_mut() else { return };
        if hold.row.state == JobState::Unknown {
            self.out.counts.unknown_outcomes += 1;
        }
        let (row, waits) = (hold.row.clone(), std::mem::take(&mut hold.cancelling));
        self.answer_cancels(work, &row, waits);
    }

    /// Answers callers who wait for the end of a cancellation.
    fn answer_cancels(&mut self, work: WorkId, row: &JobRow, waits: Vec<CancelWait>) {
        for wait in waits {
            self.out.answer(wait.call, CallerAnswer::Job(view_of(work, row)));
        }
    }

    /// Tells callers who have waited long for the end of a cancellation how their jobs stand.
    pub(crate) fn expire_cancels(&mut self) {
        let now = self.out.now;
        let mut due = Vec::new();
        for (work, entry) in &mut self.work.entries {
            let Some(hold) = entry.job_mut() else { continue };
            if hold.cancelling.iter().any(|wait| wait.deadline <= now) {
                due.push((*work, hold.row.clone(), std::mem::take(&mut hold.cancelling)));
            }
        }
        for (work, row, waits) in due {
            self.answer_cancels(work, &row, waits);
        }
    }

    /// Reads a job's row again after somebody else changed it.
    fn check_job(&mut self, work: WorkId) {
        self.release_binding(work);
        self.push_read(ReadTag::CheckJob(work), work);
    }

    fn push_read(&mut self, tag: ReadTag, work: WorkId) {
        let keys = vec![RowKey::Job(work).to_string(), RowKey::Done(work).to_string()];
        self.reads.push(tag, keys, self.out.now + READ_TIMEOUT);
    }

    /// Goes on with a job according to its row as somebody else left it.
    pub(crate) fn take_checked(&mut self, work: WorkId, rows: Option<&[TableRow]>) {
        let Some(rows) = rows else {
            self.push_read(ReadTag::CheckJob(work), work);
            return;
        };
        let own = self.identity.entry;
        let Some(entry) = self.work.get_mut(work) else { return };
        let stage = entry.stage;
        let Some(hold) = entry.job_mut() else { return };
        let found = find_job(work, rows).filter(|(_, row)| row.state == JobState::Accepted);
        let Some((version, row)) = found else {
            self.drop_job(work, rows);
            return;
        };
        let is_ending = stage == WorkStage::Ending;
        let is_own = row.holder == own || (is_ending && row.attempt == hold.row.attempt);
        if !is_own {
            self.drop_job(work, rows);
            return;
        }
        hold.version = version;
        hold.row.cancel_requested = row.cancel_requested;
        if is_ending {
            let was_stopped = hold.row.reason.as_deref() == Some(STOPPED_REASON);
            if row.cancel_requested && was_stopped {
                hold.row.state = JobState::Cancelled;
            }
            self.push_end(work);
            return;
        }
        hold.row = row;
        entry.attempt = hold_attempt(entry.attempt, entry.job().map(|hold| hold.row.attempt));
        if entry.job().is_some_and(|hold| hold.row.cancel_requested) {
            self.end_job(work, JobState::Cancelled, None);
        } else if stage == WorkStage::Storing {
            self.wait_for_slot(work);
        }
    }

    /// Forgets a job that somebody else has taken over or ended.
    fn drop_job(&mut self, work: WorkId, rows: &[TableRow]) {
        let Some(mut entry) = self.work.remove(work) else { return };
        if let WorkStage::Running(task) = entry.stage {
            self.tasks.abandon(task);
        }
        let Some(hold) = entry.job_mut() else { return };
        let waits = std::mem::take(&mut hold.cancelling);
        let row = find_job(work, rows).map_or_else(|| hold.row.clone(), |(_, row)| row);
        self.answer_cancels(work, &row, waits);
    }

    /// Gives back slots that were kept too long for jobs whose rows are not committed.
    pub(crate) fn expire_bindings(&mut self) {
        let now = self.out.now;
        let entries = self.work.entries.iter().filter(|(_, entry)| entry.reserved().is_some());
        let due = entries.filter(|(_, entry)| now.since(entry.staged_at) >= BINDING_TIME);
        for work in due.map(|(work, _)| *work).collect::<Vec<_>>() {
            self.release_binding(work);
        }
    }

    fn release_binding(&mut self, work: WorkId) {
        let Some(entry) = self.work.get_mut(work) else { return };
        let Some(target) = entry.reserved() else { return };
        entry.stage = WorkStage::Storing;
        let team = entry.team;
        self.release(team, target.instance);
    }

    /// Answers callers whose jobs could not be stored in time.
    pub(crate) fn expire_accepts(&mut self) {
        let now = self.out.now;
        let waits = |work: &WorkId| {
            let entry = self.work.get(*work)?;
            let hold = entry.job()?;
            let is_due = now.since(entry.staged_at) >= ACCEPT_TIMEOUT;
            (is_due && !hold.accepting.is_empty()).then_some(())
        };
        let due = self.work.entries.keys().copied().filter(|work| waits(work).is_some());
        for work in due.collect::<Vec<_>>() {
            self.expire_accept(work);
        }
    }

    fn expire_accept(&mut self, work: WorkId) {
        let Some(hold) = self.work.get_mut(work).and_then(|entry| entry.job_mut()) else { return };
        let callers = std::mem::take(&mut hold.accepting);
        let kind = if self.job_commits.withdraw(ChangeTag::Accept(work)) {
            self.release_binding(work);
            self.drop_unstored(work);
            ErrorKind::PlatformDown
        } else {
            ErrorKind::PlatformUnknown
        };
        for call in callers {
            self.out.refuse(call, kind, "the platform's store did not answer in time");
        }
    }

    /// Forgets a job whose row was never sent.
    fn drop_unstored(&mut self, work: WorkId) {
        let Some(mut entry) = self.work.remove(work) else { return };
        let waits = entry.job_mut().map(|hold| std::mem::take(&mut hold.cancelling));
        for wait in waits.unwrap_or_default() {
            self.out.refuse(wait.call, ErrorKind::NotFound, "the job was not accepted");
        }
    }

    pub(crate) fn read_job(&mut self, call: CallId, key: Option<KeyHash>, work: WorkId) {
        let Some(team) = self.reader(call, key) else { return };
        let held = self.work.get(work).and_then(|entry| entry.job());
        match held.filter(|hold| hold.version > RowVersion(0)) {
            Some(hold) if hold.row.team == team => {
                let view = view_of(work, &hold.row);
                self.out.answer(call, CallerAnswer::Job(view));
            }
            _ => {
                self.callers_team.insert(call, team);
                self.push_read(ReadTag::ShowJob(call, work), work);
            }
        }
    }

    pub(crate) fn cancel_job(&mut self, call: CallId, key: Option<KeyHash>, work: WorkId) {
        let Some(team) = self.reader(call, key) else { return };
        let now = self.out.now;
        let entry = self.work.get_mut(work).filter(|entry| entry.team == team);
        let Some(entry) = entry else {
            self.callers_team.insert(call, team);
            self.push_read(ReadTag::CancelJob(call, work), work);
            return;
        };
        let stage = entry.stage;
        let Some(hold) = entry.job_mut() else { return };
        hold.cancelling.push(CancelWait { call, deadline: now + ACCEPT_TIMEOUT });
        hold.row.cancel_requested = true;
        match stage {
            WorkStage::Waiting => {
                self.leave_line(work);
                self.end_job(work, JobState::Cancelled, None);
            }
            WorkStage::Pausing => self.end_job(work, JobState::Cancelled, None),
            WorkStage::Running(task) => self.tasks.stop_once(task, now),
            WorkStage::Storing | WorkStage::Binding(_) | WorkStage::Ending => {}
        }
    }

    fn reader(&mut self, call: CallId, key: Option<KeyHash>) -> Option<TeamId> {
        let Some(key) = key else {
            self.out.refuse(call, ErrorKind::BadKey, "this needs a team's key");
            return None;
        };
        match self.team_of(key) {
            Ok(team) => Some(team),
            Err(error) => {
                self.reject(call, error);
                None
            }
        }
    }

    /// Answers a caller who asked for a job that this entry does not hold.
    pub(crate) fn take_shown(&mut self, call: CallId, work: WorkId, rows: Option<&[TableRow]>) {
        let Some(team) = self.callers_team.swap_remove(&call) else { return };
        let Some(rows) = rows else {
            self.out.refuse(call, ErrorKind::PlatformDown, "the platform's store does not answer");
            return;
        };
        match find_job(work, rows).filter(|(_, row)| row.team == team) {
            Some((_, row)) => self.out.answer(call, CallerAnswer::Job(view_of(work, &row))),
            None => self.out.refuse(call, ErrorKind::NotFound, "your team has no such job"),
        }
    }

    /// Cancels a job that another entry holds.
    ///
    /// A job that is bound to no target is ended here and now. Another one is marked, so that its
    /// holder ends it as cancelled, and stopped at its target.
    pub(crate) fn take_cancel(&mut self, call: CallId, work: WorkId, rows: Option<&[TableRow]>) {
        let team = self.callers_team.get(&call).copied();
        let found = rows.and_then(|rows| find_job(work, rows));
        let found = found.filter(|(_, row)| Some(row.team) == team);
        let Some((version, mut row)) = found.filter(|(_, row)| row.state == JobState::Accepted)
        else {
            self.take_shown(call, work, rows);
            return;
        };
        let Some(target) = row.target else {
            row.state = JobState::Cancelled;
            row.ended_at = self.wall_time();
            let change = end_change(ChangeTag::Cancel(call, work), work, &row, version);
            self.job_commits.push(change);
            return;
        };
        let task = TaskId::new(work, row.attempt);
        if self.tasks.entries.contains_key(&task) {
            self.tasks.stop_once(task, self.out.now);
        } else {
            self.tasks.adopt(task, row.team, target, self.out.now);
            self.tasks.abandon(task);
            self.tasks.stop_once(task, self.out.now);
        }
        if row.cancel_requested {
            self.take_shown(call, work, rows);
            return;
        }
        row.cancel_requested = true;
        let change = RowChange::new(ChangeTag::Cancel(call, work))
            .with_guard(RowKey::Job(work), version)
            .with_write(RowKey::Job(work), Some(row.to_json()));
        self.job_commits.push(change);
    }
}

/// Returns the version of the first row that a change wrote.
pub(crate) fn first(versions: &[RowVersion]) -> RowVersion {
    versions.first().copied().unwrap_or_default()
}

fn hold_attempt(own: Attempt, row: Option<Attempt>) -> Attempt {
    own.max(row.unwrap_or_default())
}

fn end_change(tag: ChangeTag, work: WorkId, row: &JobRow, version: RowVersion) -> RowChange {
    let mut ended = row.clone();
    ended.payload = Vec::new();
    RowChange::new(tag)
        .with_guard(RowKey::Job(work), version)
        .with_guard(RowKey::Done(work), RowVersion(0))
        .with_write(RowKey::Done(work), Some(ended.to_json()))
        .with_write(RowKey::Job(work), None)
}

/// Finds a job among rows that were read, in whichever state it is.
pub(crate) fn find_job(work: WorkId, rows: &[TableRow]) -> Option<(RowVersion, JobRow)> {
    let keys = [RowKey::Done(work).to_string(), RowKey::Job(work).to_string()];
    let row = keys
        .iter()
        .find_map(|key| rows.iter().find(|row| row.key == *key && row.version > RowVersion(0)))?;
    Some((row.version, JobRow::from_json(&row.value).ok()?))
}

/// Returns a job as its team sees it.
pub(crate) fn view_of(work: WorkId, row: &JobRow) -> JobView {
    JobView {
        id: work,
        team: row.team,
        queue: row.queue,
        state: row.state,
        attempt: row.attempt,
        output: row.output.as_ref().map(|output| String::from_utf8_lossy(output).into_owned()),
        reason: row.reason.clone(),
    }
}
