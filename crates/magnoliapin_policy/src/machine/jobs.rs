//! Life cycle of jobs, in which every step is a compare-and-set on the job's row.

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

/// Longest time until a submission or a cancellation of a job is answered.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for which a slot stays reserved while the row of its job is being committed.
const BINDING_TIMEOUT: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(5);

impl EntryMachine {
    /// Attaches a caller to a job that is already known here under the same identifier.
    ///
    /// The caller is answered at once if the job's row is committed. Returns whether there is such
    /// a job.
    pub(crate) fn join_known_job(&mut self, call: CallId, work: WorkId) -> bool {
        let Some(job) = self.work.get_mut(work).and_then(|entry| entry.job_mut()) else {
            return false;
        };
        if job.version == RowVersion(0) {
            job.accepting.push(call);
        } else {
            let view = job_view(work, &job.row);
            self.out.answer(call, CallerAnswer::Accepted(view));
        }
        true
    }

    /// Commits the row of a new job, bound to a target at once if one has a free slot.
    pub(crate) fn store_job(&mut self, work: WorkId) {
        let Some(entry) = self.work.get(work) else { return };
        let (pool, team) = (entry.pool, entry.team);
        let target = self.direct_target(pool, team);
        if let Some(target) = target {
            self.reserve_slot(team, target);
        }
        let Some(entry) = self.work.get_mut(work) else { return };
        if let Some(target) = target {
            entry.stage = WorkStage::Binding(target);
            entry.attempt = Attempt(1);
        }
        let attempt = entry.attempt;
        let Some(job) = entry.job_mut() else { return };
        job.row.target = target;
        job.row.attempt = attempt;
        let change = RowChange::new(ChangeTag::Accept(work))
            .with_guard(RowKey::Job(work), RowVersion(0))
            .with_guard(RowKey::Done(work), RowVersion(0))
            .with_write(RowKey::Job(work), Some(job.row.to_json()));
        let change = self.guard_membership(change);
        self.job_commits.push(change);
    }

    /// Binds the next attempt of a job to a target.
    pub(crate) fn bind_job(&mut self, work: WorkId, target: BoundTarget) {
        let Some(entry) = self.work.get_mut(work) else { return };
        entry.attempt = Attempt(entry.attempt.0 + 1);
        entry.stage = WorkStage::Binding(target);
        entry.stage_time = self.out.now;
        let (team, attempt) = (entry.team, entry.attempt);
        let crashed = entry.crashed.clone();
        let Some(job) = entry.job_mut() else { return };
        job.row.attempt = attempt;
        job.row.target = Some(target);
        job.row.crashed = crashed;
        let change = RowChange::new(ChangeTag::Bind(work))
            .with_guard(RowKey::Job(work), job.version)
            .with_write(RowKey::Job(work), Some(job.row.to_json()));
        let change = self.guard_membership(change);
        self.job_commits.push(change);
        self.reserve_slot(team, target);
    }

    /// Finishes a job in any final state: its row moves to the `done/` prefix.
    pub(crate) fn finish_job(&mut self, work: WorkId, state: JobState, reason: Option<String>) {
        let ended_at = self.wall_time();
        let Some(entry) = self.work.get_mut(work) else { return };
        entry.stage = WorkStage::Finishing;
        let crashed = entry.crashed.clone();
        let Some(job) = entry.job_mut() else { return };
        job.row.state = state;
        job.row.reason = reason;
        job.row.crashed = crashed;
        job.row.ended_at = ended_at;
        self.push_finish(work);
    }

    fn push_finish(&mut self, work: WorkId) {
        let Some(job) = self.work.get(work).and_then(|entry| entry.job()) else { return };
        let change = finish_change(ChangeTag::Finish(work), work, &job.row, job.version);
        self.job_commits.push(change);
    }

    /// Handles the outcome of a change of a job's row.
    pub(crate) fn handle_job_change(&mut self, tag: ChangeTag, outcome: ChangeOutcome) {
        match (tag, outcome) {
            (ChangeTag::Accept(work), ChangeOutcome::Committed(versions)) => {
                self.handle_accepted(work, first_version(&versions));
            }
            (ChangeTag::Accept(work), ChangeOutcome::Conflict(rows)) => {
                self.answer_with_existing(work, &rows);
            }
            (ChangeTag::Bind(work), ChangeOutcome::Committed(versions)) => {
                self.advance_stored_job(work, first_version(&versions));
            }
            (ChangeTag::Finish(work), ChangeOutcome::Committed(_)) => self.handle_finished(work),
            (ChangeTag::Bind(work) | ChangeTag::Finish(work), ChangeOutcome::Conflict(_)) => {
                self.reread_job(work);
            }
            (ChangeTag::Cancel(call, work), ChangeOutcome::Committed(_)) => {
                self.read_job_rows(ReadTag::ShowJob(call, work), work);
            }
            (ChangeTag::Cancel(call, work), ChangeOutcome::Conflict(_)) => {
                self.read_job_rows(ReadTag::CancelJob(call, work), work);
            }
            _ => {}
        }
    }

    fn handle_accepted(&mut self, work: WorkId, version: RowVersion) {
        self.out.counts.jobs_accepted += 1;
        self.out.record(TimelineEvent::new(TimelineName::JobAccepted).with_work(work));
        let Some(job) = self.work.get_mut(work).and_then(|entry| entry.job_mut()) else { return };
        let view = job_view(work, &job.row);
        for call in std::mem::take(&mut job.accepting) {
            self.out.answer(call, CallerAnswer::Accepted(view.clone()));
        }
        self.advance_stored_job(work, version);
    }

    /// Continues a job after its row was committed as this entry wrote it.
    pub(crate) fn advance_stored_job(&mut self, work: WorkId, version: RowVersion) {
        let Some(entry) = self.work.get_mut(work) else { return };
        let (team, stage) = (entry.team, entry.stage);
        let Some(job) = entry.job_mut() else { return };
        job.version = version;
        let task = TaskId::new(work, job.row.attempt);
        let cancelled = job.row.cancel_requested;
        match stage {
            WorkStage::Binding(target) if cancelled => {
                self.release_slot(team, target.instance);
                self.finish_job(work, JobState::Cancelled, None);
            }
            WorkStage::Binding(target) => {
                let event = TimelineEvent::new(TimelineName::JobBound).with_work(work);
                self.out.record(event.with_instance(target.instance));
                self.send_start(work, task, target);
            }
            WorkStage::Storing if cancelled => self.finish_job(work, JobState::Cancelled, None),
            WorkStage::Storing => self.enqueue_work(work),
            WorkStage::Backoff
            | WorkStage::Waiting
            | WorkStage::Running(_)
            | WorkStage::Finishing => {}
        }
    }

    /// Answers a repeated submission with the job that the earlier one created.
    fn answer_with_existing(&mut self, work: WorkId, rows: &[TableRow]) {
        let Some(mut entry) = self.work.remove(work) else { return };
        if let Some(target) = entry.reserved_target() {
            self.release_slot(entry.team, target.instance);
        }
        let Some(job) = entry.job_mut() else { return };
        let (callers, waits) =
            (std::mem::take(&mut job.accepting), std::mem::take(&mut job.cancelling));
        let found = find_job_row(work, rows);
        for wait in waits {
            let message =
                "the job was submitted before and this entry does not hold it; cancel it again";
            self.out.refuse(wait.call, ErrorKind::Conflict, message);
        }
        for call in callers {
            match &found {
                Some((_, row)) => {
                    let view = job_view(work, row);
                    self.out.answer(call, CallerAnswer::Accepted(view));
                }
                None => self.out.refuse(call, ErrorKind::Conflict, "the job's row cannot be read"),
            }
        }
    }

    fn handle_finished(&mut self, work: WorkId) {
        let Some(mut entry) = self.work.remove(work) else { return };
        self.out.counts.jobs_ended += 1;
        self.out.record(TimelineEvent::new(TimelineName::JobEnded).with_work(work));
        let Some(job) = entry.job_mut() else { return };
        if job.row.state == JobState::Unknown {
            self.out.counts.unknown_outcomes += 1;
        }
        let (row, waits) = (job.row.clone(), std::mem::take(&mut job.cancelling));
        self.answer_cancels(work, &row, waits);
    }

    /// Answers callers that wait for a cancellation.
    fn answer_cancels(&mut self, work: WorkId, row: &JobRow, waits: Vec<CancelWait>) {
        for wait in waits {
            self.out.answer(wait.call, CallerAnswer::Job(job_view(work, row)));
        }
    }

    /// Answers callers whose wait for a cancellation has timed out with the current state of the
    /// job.
    pub(crate) fn expire_cancels(&mut self) {
        let now = self.out.now;
        let mut due = Vec::new();
        for (work, entry) in &mut self.work.entries {
            let Some(job) = entry.job_mut() else { continue };
            if job.cancelling.iter().any(|wait| wait.deadline <= now) {
                due.push((*work, job.row.clone(), std::mem::take(&mut job.cancelling)));
            }
        }
        for (work, row, waits) in due {
            self.answer_cancels(work, &row, waits);
        }
    }

    /// Reads a job's row again after another writer changed it.
    fn reread_job(&mut self, work: WorkId) {
        self.release_binding(work);
        self.read_job_rows(ReadTag::CheckJob(work), work);
    }

    fn read_job_rows(&mut self, tag: ReadTag, work: WorkId) {
        let keys = vec![RowKey::Job(work).to_string(), RowKey::Done(work).to_string()];
        self.reads.push(tag, keys, self.out.now + READ_TIMEOUT);
    }

    /// Continues, or drops, a job according to its row after another writer changed it.
    pub(crate) fn handle_reread_job(&mut self, work: WorkId, rows: Option<&[TableRow]>) {
        let Some(rows) = rows else {
            self.read_job_rows(ReadTag::CheckJob(work), work);
            return;
        };
        let own = self.identity.entry;
        let Some(entry) = self.work.get_mut(work) else { return };
        let stage = entry.stage;
        let Some(job) = entry.job_mut() else { return };
        let found = find_job_row(work, rows).filter(|(_, row)| row.state == JobState::Accepted);
        let Some((version, row)) = found else {
            self.drop_job(work, rows);
            return;
        };
        let is_finishing = stage == WorkStage::Finishing;
        let is_own = row.holder == own || (is_finishing && row.attempt == job.row.attempt);
        if !is_own {
            self.drop_job(work, rows);
            return;
        }
        job.version = version;
        job.row.cancel_requested = row.cancel_requested;
        if is_finishing {
            let was_stopped = job.row.reason.as_deref() == Some(STOPPED_REASON);
            if row.cancel_requested && was_stopped {
                job.row.state = JobState::Cancelled;
            }
            self.push_finish(work);
            return;
        }
        job.row = row;
        entry.attempt = latest_attempt(entry.attempt, entry.job().map(|job| job.row.attempt));
        if entry.job().is_some_and(|job| job.row.cancel_requested) {
            self.finish_job(work, JobState::Cancelled, None);
        } else if stage == WorkStage::Storing {
            self.enqueue_work(work);
        }
    }

    /// Drops a job that another entry has taken over or finished.
    fn drop_job(&mut self, work: WorkId, rows: &[TableRow]) {
        let Some(mut entry) = self.work.remove(work) else { return };
        if let WorkStage::Running(task) = entry.stage {
            self.tasks.detach(task);
        }
        let Some(job) = entry.job_mut() else { return };
        let waits = std::mem::take(&mut job.cancelling);
        let row = find_job_row(work, rows).map_or_else(|| job.row.clone(), |(_, row)| row);
        self.answer_cancels(work, &row, waits);
    }

    /// Releases slots that stayed reserved too long for jobs whose rows are not committed.
    pub(crate) fn expire_bindings(&mut self) {
        let now = self.out.now;
        let entries =
            self.work.entries.iter().filter(|(_, entry)| entry.reserved_target().is_some());
        let due = entries.filter(|(_, entry)| now.since(entry.stage_time) >= BINDING_TIMEOUT);
        for work in due.map(|(work, _)| *work).collect::<Vec<_>>() {
            self.release_binding(work);
        }
    }

    fn release_binding(&mut self, work: WorkId) {
        let Some(entry) = self.work.get_mut(work) else { return };
        let Some(target) = entry.reserved_target() else { return };
        entry.stage = WorkStage::Storing;
        let team = entry.team;
        self.release_slot(team, target.instance);
    }

    /// Refuses callers whose jobs could not be stored in time.
    pub(crate) fn expire_accepts(&mut self) {
        let now = self.out.now;
        let is_overdue = |work: &WorkId| {
            let entry = self.work.get(*work)?;
            let job = entry.job()?;
            let is_due = now.since(entry.stage_time) >= ACCEPT_TIMEOUT;
            (is_due && !job.accepting.is_empty()).then_some(())
        };
        let due = self.work.entries.keys().copied().filter(|work| is_overdue(work).is_some());
        for work in due.collect::<Vec<_>>() {
            self.expire_accept(work);
        }
    }

    fn expire_accept(&mut self, work: WorkId) {
        let Some(job) = self.work.get_mut(work).and_then(|entry| entry.job_mut()) else { return };
        let callers = std::mem::take(&mut job.accepting);
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

    /// Drops a job whose row was withdrawn before it was committed.
    fn drop_unstored(&mut self, work: WorkId) {
        let Some(mut entry) = self.work.remove(work) else { return };
        let waits = entry.job_mut().map(|job| std::mem::take(&mut job.cancelling));
        for wait in waits.unwrap_or_default() {
            self.out.refuse(wait.call, ErrorKind::NotFound, "the job was not accepted");
        }
    }

    pub(crate) fn read_job(&mut self, call: CallId, key: Option<KeyHash>, work: WorkId) {
        let Some(team) = self.team_for_job_access(call, key) else { return };
        let owned = self.work.get(work).and_then(|entry| entry.job());
        match owned.filter(|job| job.version > RowVersion(0)) {
            Some(job) if job.row.team == team => {
                let view = job_view(work, &job.row);
                self.out.answer(call, CallerAnswer::Job(view));
            }
            _ => {
                self.caller_teams.insert(call, team);
                self.read_job_rows(ReadTag::ShowJob(call, work), work);
            }
        }
    }

    pub(crate) fn cancel_job(&mut self, call: CallId, key: Option<KeyHash>, work: WorkId) {
        let Some(team) = self.team_for_job_access(call, key) else { return };
        let now = self.out.now;
        let entry = self.work.get_mut(work).filter(|entry| entry.team == team);
        let Some(entry) = entry else {
            self.caller_teams.insert(call, team);
            self.read_job_rows(ReadTag::CancelJob(call, work), work);
            return;
        };
        let stage = entry.stage;
        let Some(job) = entry.job_mut() else { return };
        job.cancelling.push(CancelWait { call, deadline: now + ACCEPT_TIMEOUT });
        job.row.cancel_requested = true;
        match stage {
            WorkStage::Waiting => {
                self.dequeue_work(work);
                self.finish_job(work, JobState::Cancelled, None);
            }
            WorkStage::Backoff => self.finish_job(work, JobState::Cancelled, None),
            WorkStage::Running(task) => self.tasks.request_stop(task, now),
            WorkStage::Storing | WorkStage::Binding(_) | WorkStage::Finishing => {}
        }
    }

    fn team_for_job_access(&mut self, call: CallId, key: Option<KeyHash>) -> Option<TeamId> {
        let Some(key) = key else {
            self.out.refuse(call, ErrorKind::BadKey, "this needs a team's key");
            return None;
        };
        match self.team_of_key(key) {
            Ok(team) => Some(team),
            Err(error) => {
                self.reject(call, error);
                None
            }
        }
    }

    /// Answers a caller with a job that was read from the platform.
    pub(crate) fn answer_job_read(
        &mut self,
        call: CallId,
        work: WorkId,
        rows: Option<&[TableRow]>,
    ) {
        let Some(team) = self.caller_teams.swap_remove(&call) else { return };
        let Some(rows) = rows else {
            self.out.refuse(call, ErrorKind::PlatformDown, "the platform's store does not answer");
            return;
        };
        match find_job_row(work, rows).filter(|(_, row)| row.team == team) {
            Some((_, row)) => self.out.answer(call, CallerAnswer::Job(job_view(work, &row))),
            None => self.out.refuse(call, ErrorKind::NotFound, "your team has no such job"),
        }
    }

    /// Cancels a job that this entry does not hold.
    ///
    /// A job that is not bound to a target is finished directly. A bound job is marked, so that
    /// its holder finishes it as cancelled, and is stopped at its target.
    pub(crate) fn cancel_unowned_job(
        &mut self,
        call: CallId,
        work: WorkId,
        rows: Option<&[TableRow]>,
    ) {
        let team = self.caller_teams.get(&call).copied();
        let found = rows.and_then(|rows| find_job_row(work, rows));
        let found = found.filter(|(_, row)| Some(row.team) == team);
        let Some((version, mut row)) = found.filter(|(_, row)| row.state == JobState::Accepted)
        else {
            self.answer_job_read(call, work, rows);
            return;
        };
        let Some(target) = row.target else {
            row.state = JobState::Cancelled;
            row.ended_at = self.wall_time();
            let change = finish_change(ChangeTag::Cancel(call, work), work, &row, version);
            self.job_commits.push(change);
            return;
        };
        let task = TaskId::new(work, row.attempt);
        if self.tasks.entries.contains_key(&task) {
            self.tasks.request_stop(task, self.out.now);
        } else {
            self.tasks.adopt(task, row.team, target, self.out.now);
            self.tasks.detach(task);
            self.tasks.request_stop(task, self.out.now);
        }
        if row.cancel_requested {
            self.answer_job_read(call, work, rows);
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
pub(crate) fn first_version(versions: &[RowVersion]) -> RowVersion {
    versions.first().copied().unwrap_or_default()
}

fn latest_attempt(own: Attempt, row: Option<Attempt>) -> Attempt {
    own.max(row.unwrap_or_default())
}

fn finish_change(tag: ChangeTag, work: WorkId, row: &JobRow, version: RowVersion) -> RowChange {
    let mut finished = row.clone();
    finished.payload = Vec::new();
    RowChange::new(tag)
        .with_guard(RowKey::Job(work), version)
        .with_guard(RowKey::Done(work), RowVersion(0))
        .with_write(RowKey::Done(work), Some(finished.to_json()))
        .with_write(RowKey::Job(work), None)
}

/// Finds the row of a job, unfinished or finished, among the rows that were read.
pub(crate) fn find_job_row(work: WorkId, rows: &[TableRow]) -> Option<(RowVersion, JobRow)> {
    let keys = [RowKey::Done(work).to_string(), RowKey::Job(work).to_string()];
    let row = keys
        .iter()
        .find_map(|key| rows.iter().find(|row| row.key == *key && row.version > RowVersion(0)))?;
    Some((row.version, JobRow::from_json(&row.value).ok()?))
}

/// Returns the view of a job that its team gets.
pub(crate) fn job_view(work: WorkId, row: &JobRow) -> JobView {
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
