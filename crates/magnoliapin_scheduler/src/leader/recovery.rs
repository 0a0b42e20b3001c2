//! Fences the partitions and loads their rows before scheduling starts.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::RowRange;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;
use magnoliapin_site::StoreTransaction;
use magnoliapin_site::TargetName;

use crate::leader::intake::StoredProgress;
use crate::leader::previous_runs::PreviousIncarnation;
use crate::leader::Leader;
use crate::leader::LeaderCall;
use crate::leader::LeaderPhase;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::AssignmentBatchRow;
use crate::rows::AssignmentRow;
use crate::rows::FenceRow;
use crate::rows::IntakeKey;
use crate::rows::LateStartRow;
use crate::rows::ProgressRow;
use crate::rows::TaskCrashes;
use crate::watch::Watch;
use crate::watch::WatchKind;

#[cfg(test)]
#[path = "recovery_tests.rs"]
pub(super) mod tests;

const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Timeout of the first try of a call; many times its usual duration. It is short because nothing
/// starts before all rows are loaded, and repeating a call is harmless.
const FIRST_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of the first try as a multiple of the store's latency.
const LATENCY_FACTOR: u32 = 4;
/// Longest timeout of a call, while the store is slow; doubled up to here with each failure.
const MAX_TIMEOUT: Duration = Duration::from_millis(2_400);

/// Progress of loading a partition.
#[derive(Debug, Default)]
pub(crate) struct PartitionLoad {
    /// Version of the fence that this leader wrote.
    fence: Option<RowVersion>,
    /// Rows of the intake table read so far; applied once every partition is loaded.
    jobs: Vec<StoreRow>,
    progress: Vec<StoreRow>,
    /// Version of the store at the first page of jobs; changes after it are watched.
    version: Option<RowVersion>,
    stage: LoadStage,
    retry_at: Option<Moment>,
    /// Number of calls that have failed.
    failures: u32,
}

/// Progress of loading the assignment rows.
#[derive(Debug, Default)]
pub(crate) struct AssignmentLoad {
    /// Key at which the next page starts.
    from: String,
    retry_at: Option<Moment>,
    /// Number of calls that have failed.
    failures: u32,
    is_done: bool,
}

/// The next call that loading a partition needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum LoadStage {
    #[default]
    ReadFence,
    /// Replaces the fence with this version.
    WriteFence(RowVersion),
    /// Reads a page of jobs from this key on.
    Jobs(String),
    /// Reads a page of progress from this key on.
    Progress(String),
    Done,
}

impl PartitionLoad {
    /// Returns the version of the store at which the load of the partition started.
    pub(crate) fn version(&self) -> Option<RowVersion> {
        self.version
    }

    /// Returns the version of the partition's fence once this leader has written it.
    pub(crate) fn fence(&self) -> Option<RowVersion> {
        self.fence
    }
}

impl Leader {
    /// Starts to load all partitions. The control partition was fenced when the lease was acquired.
    pub(super) fn start_loading(&mut self, fence: RowVersion, out: &mut Outbox) {
        self.control_fence = fence;
        for partition in 0..self.identity.partition_count {
            self.load_partition(partition, out);
        }
        self.load_assignments(out);
    }

    /// Reads the next page of assignment rows.
    fn load_assignments(&mut self, out: &mut Outbox) {
        let from = self.assignment_load.from.clone();
        let range = RowRange {
            from,
            ..RowRange::whole_partition(rows::ASSIGNMENTS, rows::CONTROL_PARTITION)
        };
        let failures = self.assignment_load.failures;
        self.call_to_load(LeaderCall::LoadAssignments, StoreRequest::Read(range), failures, out);
    }

    /// Sends a call of which `failures` tries have failed.
    fn call_to_load(
        &mut self,
        kind: LeaderCall,
        request: StoreRequest,
        failures: u32,
        out: &mut Outbox,
    ) {
        let first = FIRST_TIMEOUT.max(out.store_latency.recent_max() * LATENCY_FACTOR);
        let timeout = first.saturating_mul(2_u32.saturating_pow(failures)).min(MAX_TIMEOUT);
        let call = out.call_store_with_timeout(request, timeout);
        self.calls.insert(call, kind);
    }

    /// Retries failed calls.
    pub(super) fn retry_loading(&mut self, out: &mut Outbox) {
        if self.assignment_load.retry_at.is_some_and(|at| out.now >= at) {
            self.assignment_load.retry_at = None;
            self.load_assignments(out);
        }
        for partition in 0..self.identity.partition_count {
            let load = &mut self.partitions[partition as usize].load;
            if load.retry_at.is_some_and(|at| out.now >= at) {
                load.retry_at = None;
                self.load_partition(partition, out);
            }
        }
    }

    /// Sends the next call that loading a partition needs.
    fn load_partition(&mut self, partition: u32, out: &mut Outbox) {
        let generation = self.generation;
        let range = |table, from: &str| RowRange {
            from: from.to_owned(),
            ..RowRange::whole_partition(table, partition.to_string())
        };
        let fence = rows::fence_row(partition);
        let (kind, request) = match &self.partitions[partition as usize].load.stage {
            LoadStage::ReadFence => {
                (LeaderCall::ReadFence(partition), StoreRequest::Read(RowRange::single(&fence)))
            }
            LoadStage::WriteFence(version) => {
                let transaction = StoreTransaction::default()
                    .with_expected(fence.clone(), *version)
                    .with_write(fence, rows::encode(&FenceRow { generation }));
                (LeaderCall::WriteFence(partition), StoreRequest::Commit(transaction))
            }
            LoadStage::Jobs(from) => {
                (LeaderCall::LoadJobs(partition), StoreRequest::Read(range(rows::INTAKE, from)))
            }
            LoadStage::Progress(from) => (
                LeaderCall::LoadProgress(partition),
                StoreRequest::Read(range(rows::PROGRESS, from)),
            ),
            LoadStage::Done => return,
        };
        let failures = self.partitions[partition as usize].load.failures;
        self.call_to_load(kind, request, failures, out);
    }

    fn schedule_load_retry(&mut self, partition: u32, out: &Outbox) {
        let load = &mut self.partitions[partition as usize].load;
        load.failures += 1;
        load.retry_at = Some(out.now + RETRY_PAUSE);
    }

    fn set_fence(&mut self, partition: u32, version: RowVersion, out: &mut Outbox) {
        let load = &mut self.partitions[partition as usize].load;
        load.fence = Some(version);
        load.stage = LoadStage::Jobs(String::new());
        self.load_partition(partition, out);
    }

    /// Handles the reply to the read of a partition's fence.
    pub(super) fn handle_fence_read_reply(
        &mut self,
        partition: u32,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        let StoreReply::Rows { rows, .. } = reply else {
            return self.schedule_load_retry(partition, out);
        };
        let row = rows.first();
        let fence: Option<FenceRow> =
            row.and_then(|row| row.value.as_deref()).and_then(rows::decode);
        let version = row.map_or(RowVersion(0), |row| row.version);
        if fence.is_some_and(|fence| fence.generation > self.generation) {
            return self.depose("a partition has a newer fence");
        }
        if fence.is_some_and(|fence| fence.generation == self.generation) {
            // An earlier write of this leader was applied although its reply was lost.
            return self.set_fence(partition, version, out);
        }
        self.partitions[partition as usize].load.stage = LoadStage::WriteFence(version);
        self.load_partition(partition, out);
    }

    /// Handles the reply to the write of a fence.
    pub(super) fn handle_fence_write_reply(
        &mut self,
        partition: u32,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        match reply {
            StoreReply::Committed(version) => self.set_fence(partition, *version, out),
            _ => {
                self.partitions[partition as usize].load.stage = LoadStage::ReadFence;
                self.schedule_load_retry(partition, out);
            }
        }
    }

    /// Handles a page of jobs.
    pub(super) fn handle_jobs_reply(
        &mut self,
        partition: u32,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        let StoreReply::Rows { rows, has_more, version } = reply else {
            return self.schedule_load_retry(partition, out);
        };
        let load = &mut self.partitions[partition as usize].load;
        load.version.get_or_insert(*version);
        load.stage = match next_page(rows, *has_more) {
            Some(from) => LoadStage::Jobs(from),
            None => LoadStage::Progress(String::new()),
        };
        load.jobs.extend(rows.iter().cloned());
        self.load_partition(partition, out);
    }

    /// Handles a page of the jobs' progress.
    pub(super) fn handle_progress_reply(
        &mut self,
        partition: u32,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        let StoreReply::Rows { rows, has_more, .. } = reply else {
            return self.schedule_load_retry(partition, out);
        };
        let load = &mut self.partitions[partition as usize].load;
        load.progress.extend(rows.iter().cloned());
        if let Some(from) = next_page(rows, *has_more) {
            load.stage = LoadStage::Progress(from);
            return self.load_partition(partition, out);
        }
        load.stage = LoadStage::Done;
        self.finish_loading(out);
    }

    /// Handles a page of assignment rows.
    pub(super) fn handle_assignments_reply(&mut self, reply: &StoreReply, out: &mut Outbox) {
        let StoreReply::Rows { rows, has_more, .. } = reply else {
            self.assignment_load.failures += 1;
            self.assignment_load.retry_at = Some(out.now + RETRY_PAUSE);
            return;
        };
        for row in rows {
            if row.key == rows::BATCH_KEY {
                let decoded = row.value.as_deref().and_then(rows::decode_extended);
                let (batch, late_starts): (Option<AssignmentBatchRow>, Vec<LateStartRow>) =
                    decoded.map_or((None, Vec::new()), |(batch, starts)| (Some(batch), starts));
                self.inherited_late_starts = late_starts;
                self.pause_inherited_orders(batch.as_ref());
                self.records.set_last_batch(row.version, batch.as_ref());
                if let Some(batch) = &batch {
                    self.silent_targets.set_announced(batch);
                }
                continue;
            }
            let assignment: Option<AssignmentRow> = row.value.as_deref().and_then(rows::decode);
            match assignment {
                Some(assignment) => {
                    let name = TargetName::new(&row.key);
                    let incarnation = PreviousIncarnation {
                        started_at: assignment.started_at,
                        instance: assignment.instance,
                        runs: assignment.runs,
                        orphans: assignment.orphans,
                        silent_for: self.silent_targets.silent_for(&name),
                    };
                    self.add_previous_incarnation(name, incarnation);
                }
                None => {
                    log::error!("event=row_unreadable table={} key={}", rows::ASSIGNMENTS, row.key);
                }
            }
        }
        if let Some(from) = next_page(rows, *has_more) {
            self.assignment_load.from = from;
            return self.load_assignments(out);
        }
        self.assignment_load.is_done = true;
        self.finish_loading(out);
    }

    /// Starts scheduling once all rows are loaded.
    fn finish_loading(&mut self, out: &mut Outbox) {
        let is_done = |load: &PartitionLoad| load.stage == LoadStage::Done;
        if self.phase != LeaderPhase::Loading
            || !self.assignment_load.is_done
            || !self.partitions.iter().all(|partition| is_done(&partition.load))
        {
            return;
        }
        self.phase = LeaderPhase::Active;
        let mut from = RowVersion(u64::MAX);
        for partition in 0..self.partitions.len() {
            let load = &mut self.partitions[partition].load;
            from = from.min(load.version.unwrap_or_default());
            let jobs = std::mem::take(&mut load.jobs);
            let progress = std::mem::take(&mut load.progress);
            self.apply_loaded_rows(&jobs, &progress, out);
        }
        self.charge_unconfirmed();
        self.inherit_late_starts(out.now);
        self.intake = Some(Watch::new_after(WatchKind::Intake, from));
        log::info!(
            "event=scheduler_loaded generation={} jobs={} old_lives={} after_ms={}",
            self.generation,
            self.jobs.len(),
            self.previous_incarnations.len(),
            out.now.since(self.acquired_at).as_millis()
        );
        self.tick(out);
    }

    pub(super) fn apply_loaded_rows(
        &mut self,
        jobs: &[StoreRow],
        progress: &[StoreRow],
        out: &mut Outbox,
    ) {
        for row in jobs {
            self.apply_intake_row(row, true, out);
        }
        for (number, row) in progress.iter().enumerate() {
            let Some(IntakeKey::Job(job)) = IntakeKey::parse(&row.key) else { continue };
            // The further rows of a progress follow its first one.
            let prefix = format!("{job}{}", rows::PIECE_MARK);
            let further = progress[number + 1..].iter();
            let further = further.take_while(|piece| piece.key.starts_with(&prefix));
            let further: Vec<&[u8]> =
                further.map(|piece| piece.value.as_deref().unwrap_or_default()).collect();
            let joined = rows::join_pieces(row.value.as_deref().unwrap_or_default(), &further);
            let decoded = joined.and_then(|(value, _)| {
                rows::decode_extended::<ProgressRow, Vec<TaskCrashes>>(&value)
            });
            match decoded {
                Some((progress, crashes)) => {
                    let pieces = u32::try_from(further.len()).unwrap_or(u32::MAX);
                    let stored = StoredProgress { version: row.version, pieces };
                    self.restore_job(job, &progress, &crashes, stored, out);
                }
                None => log::error!("event=row_unreadable table={} job={job}", rows::PROGRESS),
            }
        }
    }
}

/// Returns the key at which the next page starts; `None` after the last page.
pub(super) fn next_page(rows: &[StoreRow], has_more: bool) -> Option<String> {
    rows.last().filter(|_| has_more).map(|row| format!("{}\0", row.key))
}
