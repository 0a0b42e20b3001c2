//! Takeover of lost entries: their jobs, their tasks and their parts of allotments.
//!
//! No step depends on a clock. The lost entry is fenced at every target first, so that it cannot
//! start anything any more even if it only was paused. Its row is removed once no target runs
//! anything that it started, and only then may the others share out its parts.

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
use crate::machine::jobs::first;
use crate::work::JobHold;
use crate::work::WorkEntry;
use crate::work::WorkKind;
use crate::work::WorkStage;
use crate::CallId;
use crate::EntryAction;
use crate::EntryMachine;
use crate::TimelineEvent;
use crate::TimelineName;

/// Each further entry in line waits this much longer before it takes a lost one over.
const RANK_DELAY: Duration = Duration::from_secs(2);
const FENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
const FENCE_PAUSE: Duration = Duration::from_millis(500);
const SCAN_ROWS: u32 = 500;

/// What a target said of a lost entry.
#[derive(Clone, Debug, Default)]
struct FenceRecord {
    call: Option<CallId>,
    next: Moment,
    /// Tasks of the lost entry that still run there; none before the target has answered.
    running: Option<Vec<TaskId>>,
}

/// Progress of one takeover.
#[derive(Clone, Debug, Default)]
pub(crate) struct TakeoverState {
    /// When the claim was known to be committed.
    claimed_at: Option<Moment>,
    fences: IndexMap<InstanceId, FenceRecord>,
    scan_call: Option<CallId>,
    scan_after: Option<String>,
    next_scan: Moment,
    /// Whether the scan skipped a job that is about to leave this entry's own book.
    has_skipped: bool,
    scan_done: bool,
    adopting: IndexSet<WorkId>,
    forgetting: bool,
}

impl EntryMachine {
    /// Looks for lost entries that it is this entry's turn to take over.
    pub(crate) fn watch_entries(&mut self) {
        let now = self.out.now;
        let settled = self.membership.platform_up_for(now) >= self.times.entry_lease;
        if !settled || !self.has_started() || self.membership.is_stopping() {
            return;
        }
        let lost = self.peers.records.iter().filter(|(_, record)| record.is_lost(now, &self.times));
        let lost = lost.map(|(id, record)| (*id, record.renewed_at)).collect::<Vec<_>>();
        for (id, renewed_at) in lost {
            let rank = self.rank_for(id);
            let patience = self.times.entry_lease + RANK_DELAY * rank;
            let is_due = rank == 0 || now.since(renewed_at) >= patience;
            if is_due && !self.takeovers.contains_key(&id) {
                self.claim(id);
            }
        }
    }

    /// Returns this entry's place in the line of those that may take `lost` over.
    fn rank_for(&self, lost: EntryId) -> u32 {
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
        let change = self.guard_member(change);
        self.control_commits.push(change);
    }

    /// Takes word of what became of a claim.
    pub(crate) fn take_claim(&mut self, lost: EntryId, outcome: &ChangeOutcome) {
        match outcome {
            ChangeOutcome::Committed(versions) => {
                let version = first(versions);
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

    /// Goes on with every takeover.
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
                state.fences.insert(*instance, FenceRecord::gone());
                continue;
            }
            let fence = state.fences.entry(*instance).or_default();
            let is_settled = fence.running.as_ref().is_some_and(Vec::is_empty);
            if is_settled || fence.call.is_some() || fence.next > now {
                continue;
            }
            let call = self.out.next_call();
            fence.call = Some(call);
            fence.next = now + FENCE_PAUSE;
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

    /// Takes the answer to a fence or a lease renewal if `call` is one. Returns whether it was.
    pub(crate) fn take_entry_tasks(&mut self, call: CallId, reply: &TargetReply) -> bool {
        if self.take_task_renewal(call, reply) {
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

    /// Takes a page of jobs if `call` read one. Returns whether it did.
    pub(crate) fn take_scan(&mut self, call: CallId, reply: &PlatformReply) -> bool {
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
            self.end_scan(lost);
        }
        true
    }

    /// Ends a scan, or starts it again if it skipped a job.
    fn end_scan(&mut self, lost: EntryId) {
        let Some(state) = self.takeovers.get_mut(&lost) else { return };
        state.scan_done = !std::mem::take(&mut state.has_skipped);
        if !state.scan_done {
            state.scan_after = None;
            state.next_scan = self.out.now + FENCE_PAUSE;
        }
    }

    fn adopt_job(&mut self, lost: EntryId, row: &TableRow) {
        let Ok(RowKey::Job(work)) = row.key.parse() else { return };
        let Ok(mut job) = JobRow::from_json(&row.value) else {
            self.out.counts.unreadable_rows += 1;
            return;
        };
        if job.holder != lost {
            return;
        }
        if self.work.get(work).is_some() {
            if let Some(state) = self.takeovers.get_mut(&lost) {
                state.has_skipped |= !state.adopting.contains(&work);
            }
            return;
        }
        job.holder = self.identity.entry;
        let change = RowChange::new(ChangeTag::Adopt(work))
            .with_guard(RowKey::Job(work), row.version)
            .with_write(RowKey::Job(work), Some(job.to_json()));
        let change = self.guard_member(change);
        if let Some(state) = self.takeovers.get_mut(&lost) {
            state.adopting.insert(work);
        }
        self.out.counts.jobs_taken_over += 1;
        self.out.record(TimelineEvent::new(TimelineName::JobTakenOver).with_work(work));
        let entry = self.adopted_entry(job, row.version);
        self.work.insert(work, entry, None);
        self.job_commits.push(change);
    }

    fn adopted_entry(&self, job: JobRow, version: RowVersion) -> WorkEntry {
        WorkEntry {
            team: job.team,
            queue: job.queue,
            pool: job.pool,
            payload: job.payload.clone(),
            idempotent: job.idempotent,
            max_run: Duration::from_millis(job.max_run_ms),
            deadline: self.out.now,
            attempt: job.attempt,
            stage: WorkStage::Storing,
            staged_at: self.out.now,
            failed_at: IndexSet::new(),
            unfit_at: IndexSet::new(),
            was_started: job.target.is_some(),
            may_have_run: job.target.is_some(),
            kind: WorkKind::Job(Box::new(JobHold::read(job, version))),
        }
    }

    /// Goes on with an adopted job: asks its target, or lets it wait for a slot.
    ///
    /// A conflict means that the job was cancelled or ended meanwhile, or that the scan saw it
    /// before its last change; the scan starts again.
    pub(crate) fn take_adopted(&mut self, work: WorkId, outcome: &ChangeOutcome) {
        let is_committed = matches!(outcome, ChangeOutcome::Committed(_));
        for state in self.takeovers.values_mut() {
            if state.adopting.swap_remove(&work) && !is_committed {
                state.has_skipped = true;
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
        let version = first(versions);
        let Some(entry) = self.work.get_mut(work) else { return };
        let team = entry.team;
        let Some(hold) = entry.job_mut() else { return };
        hold.version = version;
        let Some(target) = hold.row.target else {
            self.take_stored(work, version);
            return;
        };
        let task = TaskId::new(work, hold.row.attempt);
        let stop = hold.row.cancel_requested;
        entry.stage = WorkStage::Running(task);
        self.tasks.adopt(task, team, target, self.out.now);
        if stop {
            self.tasks.stop_once(task, self.out.now);
        }
    }

    /// Removes the lost entry's row once its jobs are adopted and nothing of it runs any more.
    ///
    /// Whoever sees that the row is gone may take back the parts that it held.
    fn finish_takeover(&mut self, lost: EntryId) {
        let Some(state) = self.takeovers.get(&lost) else { return };
        let Some(claimed_at) = state.claimed_at else { return };
        let is_scanned = state.scan_done
            && state.adopting.is_empty()
            && self.membership.is_listed_after(claimed_at);
        if is_scanned && !state.forgetting && self.is_fenced_everywhere(state) {
            self.forget(lost);
        }
    }

    fn is_fenced_everywhere(&self, state: &TakeoverState) -> bool {
        self.targets.entries.keys().all(|instance| {
            let fence = state.fences.get(instance);
            fence.and_then(|fence| fence.running.as_ref()).is_some_and(Vec::is_empty)
        })
    }

    /// Removes the lost entry's row, as nothing of it is left.
    fn forget(&mut self, lost: EntryId) {
        let Some(state) = self.takeovers.get_mut(&lost) else { return };
        state.forgetting = true;
        let Some(record) = self.peers.records.get(&lost) else {
            self.takeovers.swap_remove(&lost);
            return;
        };
        let version = record.row.as_ref().map(|(version, _)| *version).unwrap_or_default();
        let key = RowKey::Entry(lost);
        let change =
            RowChange::new(ChangeTag::Forget(lost)).with_guard(key, version).with_write(key, None);
        self.control_commits.push(change);
    }

    /// Takes word of what became of the removal of a lost entry's row.
    pub(crate) fn take_forgotten(&mut self, lost: EntryId) {
        self.takeovers.swap_remove(&lost);
        self.peers.remove(lost);
    }
}

impl FenceRecord {
    fn gone() -> Self {
        Self { call: None, next: Moment::START, running: Some(Vec::new()) }
    }
}
