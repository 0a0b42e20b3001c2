//! Takeover of lost entries: their jobs, their tasks and their quota slices.
//!
//! The safety of a takeover does not depend on a clock. The lost entry is first fenced at every
//! target, so that it cannot start anything even if it was only paused. Its row is removed once no
//! target runs a task of it, and only then can the other entries reclaim its quota slices.

use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::EntryId;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::TaskId;
use magnoliapin_model::WorkId;
use magnoliapin_wire::rows::JobRow;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::EntryFence;
use magnoliapin_wire::ListedState;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;
use magnoliapin_wire::TargetReply;
use magnoliapin_wire::TargetRequest;
use magnoliapin_wire::TaskState;

use crate::commit::ChangeOutcome;
use crate::commit::ChangeTag;
use crate::commit::RowChange;
use crate::machine::jobs::first_version;
use crate::work::JobOwnership;
use crate::work::WorkEntry;
use crate::work::WorkKind;
use crate::work::WorkStage;
use crate::CallId;
use crate::EntryAction;
use crate::EntryMachine;
use crate::TimelineEvent;
use crate::TimelineName;

/// Additional delay per rank before an entry takes over a lost one.
const RANK_DELAY: Duration = Duration::from_secs(2);
const FENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
const FENCE_PAUSE: Duration = Duration::from_millis(500);
const SCAN_ROWS: u32 = 500;

/// Progress of the fence of a lost entry at one target.
#[derive(Clone, Debug, Default)]
struct FenceRecord {
    call: Option<CallId>,
    next_at: Moment,
    /// Tasks of the lost entry that still run there; `None` before the target has answered.
    running: Option<Vec<TaskId>>,
}

/// Progress of one takeover.
#[derive(Clone, Debug, Default)]
pub(crate) struct TakeoverState {
    /// When this entry received the reply that its claim was committed.
    claimed_at: Option<Moment>,
    fences: IndexMap<InstanceId, FenceRecord>,
    scan_call: Option<CallId>,
    scan_after: Option<String>,
    next_scan: Moment,
    /// Whether the scan has to be repeated: it skipped a job that is in this entry's own registry
    /// of work and about to be removed from it, or an adoption conflicted.
    skipped_job: bool,
    scan_done: bool,
    adopting: IndexSet<WorkId>,
    is_removing: bool,
}

impl EntryMachine {
    /// Claims the lost entries that are due for takeover by this entry.
    pub(crate) fn claim_lost_entries(&mut self) {
        let now = self.out.now;
        let is_platform_stable = self.membership.platform_up_for(now) >= self.times.entry_lease;
        if !is_platform_stable || !self.has_started() || self.membership.is_stopping() {
            return;
        }
        let lost = self.peers.records.iter().filter(|(_, record)| record.is_lost(now, &self.times));
        let lost = lost.map(|(id, record)| (*id, record.renewed_at)).collect::<Vec<_>>();
        for (id, renewed_at) in lost {
            let rank = self.takeover_rank(id);
            let takeover_delay = self.times.entry_lease + RANK_DELAY * rank;
            let is_due = rank == 0 || now.since(renewed_at) >= takeover_delay;
            if is_due && !self.takeovers.contains_key(&id) {
                self.claim(id);
            }
        }
    }

    /// Returns this entry's rank among the ready entries for the takeover of `lost`; 0 goes first.
    fn takeover_rank(&self, lost: EntryId) -> u32 {
        let hasher = BuildHasherDefault::<DefaultHasher>::default();
        let score = |id: EntryId| hasher.hash_one((lost, id));
        let own = score(self.identity.entry);
        let ready = self.peers.ready(self.out.now, &self.times);
        let ahead = ready.into_iter().filter(|id| *id != lost && score(*id) < own);
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }

    fn claim(&mut self, lost: EntryId) {
        let Some((version, row)) = self.peers.records.get(&lost).and_then(|peer| peer.row.clone())
        else {
            return;
        };
        self.takeovers.insert(lost, TakeoverState::default());
        let mut claimed = row;
        claimed.heir = Some(self.identity.entry);
        let key = RowKey::Entry(lost);
        let change = RowChange::new(ChangeTag::Claim(lost))
            .with_guard(key, version)
            .with_write(key, Some(claimed.to_json()))
            .with_write(RowKey::Member(lost), None);
        let change = self.guard_membership(change);
        self.control_commits.push(change);
    }

    /// Handles the outcome of a claim.
    pub(crate) fn handle_claim_result(&mut self, lost: EntryId, outcome: &ChangeOutcome) {
        match outcome {
            ChangeOutcome::Committed(versions) => {
                let version = first_version(versions);
                self.out.counts.entries_lost += 1;
                self.out.record(TimelineEvent::new(TimelineName::PeerLost).with_number(lost.0));
                if let Some(state) = self.takeovers.get_mut(&lost) {
                    state.claimed_at = Some(self.out.now);
                }
                if let Some(record) = self.peers.records.get_mut(&lost) {
                    record.row.iter_mut().for_each(|(known, _)| *known = version);
                }
            }
            ChangeOutcome::Conflict(_) => {
                self.takeovers.swap_remove(&lost);
            }
        }
    }

    /// Advances every claimed takeover.
    pub(crate) fn advance_takeovers(&mut self) {
        let lost = self.takeovers.iter().filter(|(_, state)| state.claimed_at.is_some());
        for lost in lost.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.send_fences(lost);
            self.scan_jobs(lost);
            self.finish_takeover(lost);
        }
    }

    fn send_fences(&mut self, lost: EntryId) {
        let now = self.out.now;
        let lease_ms = u64::try_from(self.times.task_lease.as_millis()).unwrap_or(u64::MAX);
        let Some(state) = self.takeovers.get_mut(&lost) else { return };
        for (instance, target) in &self.targets.entries {
            if target.record.state == ListedState::Gone {
                state.fences.insert(*instance, FenceRecord::for_removed_target());
                continue;
            }
            let fence = state.fences.entry(*instance).or_default();
            let has_no_tasks = fence.running.as_ref().is_some_and(Vec::is_empty);
            if has_no_tasks || fence.call.is_some() || fence.next_at > now {
                continue;
            }
            let call = self.out.next_call();
            fence.call = Some(call);
            fence.next_at = now + FENCE_PAUSE;
            let request = EntryFence { heir: self.identity.entry, lease_ms };
            self.out.push(EntryAction::Target {
                call,
                instance: *instance,
                address: target.record.address,
                request: TargetRequest::FenceEntry(lost, request),
                timeout: FENCE_TIMEOUT,
                new_connection: true,
                send_before: now + FENCE_TIMEOUT,
            });
        }
    }

    /// Handles the reply to a fence or a lease renewal if `call` is one. Returns whether it was.
    pub(crate) fn handle_entry_reply(&mut self, call: CallId, reply: &TargetReply) -> bool {
        if self.handle_task_renewal_reply(call, reply) {
            return true;
        }
        let mut fences = self.takeovers.values_mut().flat_map(|state| state.fences.values_mut());
        let Some(fence) = fences.find(|fence| fence.call == Some(call)) else { return false };
        fence.call = None;
        if let TargetReply::Entry(tasks) = reply {
            let running = tasks.tasks.iter().filter(|task| task.state == TaskState::Running);
            fence.running = Some(running.map(|task| task.task).collect());
        }
        true
    }

    fn scan_jobs(&mut self, lost: EntryId) {
        let Some(state) = self.takeovers.get_mut(&lost) else { return };
        if state.scan_done || state.scan_call.is_some() || state.next_scan > self.out.now {
            return;
        }
        let read = TableRead::Prefix {
            prefix: RowKey::JOB_PREFIX.to_owned(),
            after: state.scan_after.clone().unwrap_or_default(),
            limit: SCAN_ROWS,
        };
        let request = PlatformRequest::Read(read);
        state.scan_call = Some(self.out.call_platform(request, self.times.platform_timeout));
    }

    /// Handles a page of jobs if `call` read one. Returns whether it did.
    pub(crate) fn handle_scan_reply(&mut self, call: CallId, reply: &PlatformReply) -> bool {
        let mut takeovers = self.takeovers.iter_mut();
        let found = takeovers.find(|(_, state)| state.scan_call == Some(call));
        let Some((lost, state)) = found else { return false };
        let lost = *lost;
        state.scan_call = None;
        let PlatformReply::Rows(rows) = reply else { return true };
        state.scan_after = rows.last().map(|row| row.key.clone());
        let is_last = rows.len() < SCAN_ROWS as usize;
        for row in rows {
            self.adopt_job(lost, row);
        }
        if is_last {
            self.finish_scan(lost);
        }
        true
    }

    /// Finishes a scan, or restarts it if it skipped a job.
    fn finish_scan(&mut self, lost: EntryId) {
        let Some(state) = self.takeovers.get_mut(&lost) else { return };
        state.scan_done = !std::mem::take(&mut state.skipped_job);
        if !state.scan_done {
            state.scan_after = None;
            state.next_scan = self.out.now + FENCE_PAUSE;
        }
    }

    fn adopt_job(&mut self, lost: EntryId, row: &TableRow) {
        let Ok(RowKey::Job(work)) = row.key.parse() else { return };
        let Ok(mut job_row) = JobRow::from_json(&row.value) else {
            self.out.counts.unreadable_rows += 1;
            return;
        };
        if job_row.holder != lost {
            return;
        }
        if self.work.get(work).is_some() {
            if let Some(state) = self.takeovers.get_mut(&lost) {
                state.skipped_job |= !state.adopting.contains(&work);
            }
            return;
        }
        job_row.holder = self.identity.entry;
        let change = RowChange::new(ChangeTag::Adopt(work))
            .with_guard(RowKey::Job(work), row.version)
            .with_write(RowKey::Job(work), Some(job_row.to_json()));
        let change = self.guard_membership(change);
        if let Some(state) = self.takeovers.get_mut(&lost) {
            state.adopting.insert(work);
        }
        self.out.counts.jobs_taken_over += 1;
        self.out.record(TimelineEvent::new(TimelineName::JobTakenOver).with_work(work));
        let entry = self.adopted_entry(job_row, row.version);
        self.work.insert(work, entry, None);
        self.job_commits.push(change);
    }

    fn adopted_entry(&self, job_row: JobRow, version: RowVersion) -> WorkEntry {
        WorkEntry {
            team: job_row.team,
            queue: job_row.queue,
            pool: job_row.pool,
            payload: job_row.payload.clone(),
            idempotent: job_row.idempotent,
            max_run: Duration::from_millis(job_row.max_run_ms),
            deadline: self.out.now,
            attempt: job_row.attempt,
            stage: WorkStage::Storing,
            stage_time: self.out.now,
            failed_on: IndexSet::new(),
            unfit_on: IndexSet::new(),
            crashed: job_row.crashed.clone(),
            was_started: job_row.target.is_some(),
            may_have_run: job_row.target.is_some(),
            kind: WorkKind::Job(Box::new(JobOwnership::from_row(job_row, version))),
        }
    }

    /// Continues an adopted job: queries its target, or queues it for a slot.
    ///
    /// A conflict means that the job was cancelled or finished in the meantime, or that the scan
    /// read it before its last change; the scan is restarted.
    pub(crate) fn handle_adoption_result(&mut self, work: WorkId, outcome: &ChangeOutcome) {
        let is_committed = matches!(outcome, ChangeOutcome::Committed(_));
        for state in self.takeovers.values_mut() {
            if state.adopting.swap_remove(&work) && !is_committed {
                state.skipped_job = true;
                if state.scan_done {
                    state.scan_after = None;
                    state.scan_done = false;
                }
            }
        }
        let ChangeOutcome::Committed(versions) = outcome else {
            self.work.remove(work);
            return;
        };
        let version = first_version(versions);
        let Some(entry) = self.work.get_mut(work) else { return };
        let team = entry.team;
        let Some(job) = entry.job_mut() else { return };
        job.version = version;
        let Some(target) = job.row.target else {
            self.advance_stored_job(work, version);
            return;
        };
        let task = TaskId::new(work, job.row.attempt);
        let stop = job.row.cancel_requested;
        entry.stage = WorkStage::Running(task);
        self.tasks.adopt(task, team, target, self.out.now);
        if stop {
            self.tasks.request_stop(task, self.out.now);
        }
    }

    /// Removes the lost entry's row once its jobs are adopted and none of its tasks run.
    ///
    /// Any entry that finds the row removed may reclaim the quota slices of the lost entry.
    fn finish_takeover(&mut self, lost: EntryId) {
        let Some(state) = self.takeovers.get(&lost) else { return };
        let Some(claimed_at) = state.claimed_at else { return };
        let is_scanned = state.scan_done
            && state.adopting.is_empty()
            && self.membership.is_list_newer_than(claimed_at);
        if is_scanned && !state.is_removing && self.is_fenced_at_every_target(state) {
            self.remove_lost_row(lost);
        }
    }

    fn is_fenced_at_every_target(&self, state: &TakeoverState) -> bool {
        self.targets.entries.keys().all(|instance| {
            let fence = state.fences.get(instance);
            fence.and_then(|fence| fence.running.as_ref()).is_some_and(Vec::is_empty)
        })
    }

    /// Commits the removal of the lost entry's row.
    fn remove_lost_row(&mut self, lost: EntryId) {
        let Some(state) = self.takeovers.get_mut(&lost) else { return };
        state.is_removing = true;
        let Some(record) = self.peers.records.get(&lost) else {
            self.takeovers.swap_remove(&lost);
            return;
        };
        let version = record.row.as_ref().map(|(version, _)| *version).unwrap_or_default();
        let key = RowKey::Entry(lost);
        let change = RowChange::new(ChangeTag::RemoveEntry(lost))
            .with_guard(key, version)
            .with_write(key, None);
        self.control_commits.push(change);
    }

    /// Handles the outcome of the removal of a lost entry's row.
    pub(crate) fn handle_removal_result(&mut self, lost: EntryId) {
        self.takeovers.swap_remove(&lost);
        self.peers.remove(lost);
    }
}

impl FenceRecord {
    /// Returns the record of a target that was removed. It needs no fence, as nothing runs on it.
    fn for_removed_target() -> Self {
        Self { call: None, next_at: Moment::START, running: Some(Vec::new()) }
    }
}
