//! Records in the store which runs each target may execute, before they are started there.
//!
//! From these assignment rows, the next leader determines which tasks may still run on a target
//! that does not answer, and starts all others at once.
//!
//! While the store is slow, starts are sent before they are recorded, as they would be late
//! otherwise. The batch row states that runs may then be missing from the rows. The log event
//! `records_opened` reports the change to this mode, in which the records are "open" to unrecorded
//! starts.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::CallFailure;
use magnoliapin_site::RunId;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;
use magnoliapin_site::StoreTransaction;
use magnoliapin_site::TargetName;

use crate::leader::fleet::PlannedOrder;
use crate::leader::target::Run;
use crate::leader::target::RunStage;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::leader::LeaderCall;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::AssignmentBatchRow;
use crate::rows::AssignmentRow;

/// Maximum number of targets in a batch: the store accepts 100 entries per transaction, and the
/// fence and the batch row need three.
const MAX_TARGETS_PER_BATCH: usize = 95;
/// Shortest timeout of a batch: over ten times its usual latency. It is short because starts wait
/// for the batch, and sending a batch twice is harmless.
const MIN_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest timeout of a batch, while the store is slow.
const MAX_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Timeout of a batch as a multiple of the store's latency.
const LATENCY_FACTOR: u32 = 4;
/// Store latency above which starts no longer wait to be recorded, as they would be late.
const SEND_UNRECORDED_LATENCY: Duration = Duration::from_millis(60);
/// Store latency at or below which starts wait to be recorded again.
const RECORD_FIRST_LATENCY: Duration = Duration::from_millis(25);
/// Pause after the store has refused a batch.
const REFUSED_PAUSE: Duration = Duration::from_millis(30);

/// A batch of changes to the assignment rows, as sent to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RecordBatch {
    sent_at: Moment,
    row: AssignmentBatchRow,
    /// Whether it lists the leases of the targets for the next leader.
    hands_over: bool,
    incarnations: Vec<RecordedIncarnation>,
    obsolete_rows: Vec<TargetName>,
    orders: Vec<PlannedOrder>,
}

/// An incarnation of a target whose runs are being recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RecordedIncarnation {
    key: TargetKey,
    name: TargetName,
    started_at: UnixMillis,
    runs: Vec<RunId>,
}

/// State of the record of assignments.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordLog {
    /// Number of the last batch that was sent.
    number: u64,
    /// Version of the row of the last batch. The next batch expects it, because a batch whose reply
    /// was lost may be applied late and must not overwrite a later one.
    version: RowVersion,
    is_in_flight: bool,
    next_at: Moment,
    timeout: Duration,
    /// Whether starts are sent before they are recorded; set only after a batch row that announces
    /// it is stored.
    sends_unrecorded_starts: bool,
    /// Whether such starts may be missing from the rows, as the last stored batch row states.
    has_unrecorded_runs: bool,
    /// Whether the previous leader may have sent such starts.
    previous_had_unrecorded_runs: bool,
}

impl RecordLog {
    /// Creates the log before the first batch.
    pub(super) fn new(now: Moment) -> Self {
        Self {
            number: 0,
            version: RowVersion(0),
            is_in_flight: false,
            next_at: now,
            timeout: MIN_TIMEOUT,
            sends_unrecorded_starts: false,
            has_unrecorded_runs: false,
            previous_had_unrecorded_runs: false,
        }
    }

    /// Sets the last batch of the previous leader; `None` if its row cannot be decoded.
    pub(super) fn set_last_batch(
        &mut self,
        version: RowVersion,
        batch: Option<&AssignmentBatchRow>,
    ) {
        self.version = version;
        // Without a readable batch row, unrecorded starts cannot be ruled out.
        self.previous_had_unrecorded_runs = batch.is_none_or(|batch| batch.has_unrecorded_runs);
        self.has_unrecorded_runs = self.previous_had_unrecorded_runs;
    }

    /// Returns whether runs on targets may be missing from the rows.
    pub(super) fn has_unrecorded_runs(&self) -> bool {
        self.has_unrecorded_runs
    }

    /// Returns whether the previous leader may have sent starts that no row lists.
    pub(super) fn previous_had_unrecorded_runs(&self) -> bool {
        self.previous_had_unrecorded_runs
    }

    /// Returns whether starts are sent before they are recorded.
    pub(super) fn sends_unrecorded_starts(&self) -> bool {
        self.sends_unrecorded_starts
    }
}

impl Leader {
    /// Returns a run on a target for modification; `None` if the target has no run of the task with
    /// this attempt.
    pub(super) fn run_mut(&mut self, key: TargetKey, id: RunId) -> Option<&mut Run> {
        let run = self.targets.get_mut(&key)?.runs.get_mut(&id.task)?;
        (run.attempt == id.attempt).then_some(run)
    }

    /// Sends a batch that records new runs and orders to instances, and removes obsolete rows.
    pub(super) fn record_assignments(&mut self, out: &mut Outbox) {
        let latency = out.store_latency.recent_max();
        let should_send_unrecorded = latency
            > if self.records.sends_unrecorded_starts {
                RECORD_FIRST_LATENCY
            } else {
                SEND_UNRECORDED_LATENCY
            };
        let is_due = out.now >= self.records.next_at && !self.records.is_in_flight;
        let has_changes = !self.unrecorded.is_empty()
            || !self.obsolete_rows.is_empty()
            || self.fleet.has_planned_orders()
            || self.must_record_silence(out.now)
            || self.late_starts.must_record(out.now);
        if !is_due
            || !(has_changes || should_send_unrecorded != self.records.sends_unrecorded_starts)
        {
            return;
        }
        let incarnations = self.take_unrecorded_rows();
        // Starts wait again from the batch on that records all remaining runs.
        let fits_batch = self.unrecorded.is_empty();
        self.records.sends_unrecorded_starts &= should_send_unrecorded || !fits_batch;
        let covers_all_runs = fits_batch || !self.records.has_unrecorded_runs;
        let has_unrecorded_runs =
            should_send_unrecorded || !covers_all_runs || self.may_have_unrecorded_runs();
        self.records.number += 1;
        let number = self.records.number;
        let ordered_instances = self.recently_ordered_instances(out.now);
        let orders = self.fleet.take_planned_orders();
        let row = AssignmentBatchRow {
            generation: self.generation,
            number,
            has_unrecorded_runs,
            ordered_instances,
            silent_targets: self.silent_targets(out.now),
        };
        self.silent_targets.record(&row, out.now);
        let late_starts = self.late_starts.record(out.now);
        let mut transaction = StoreTransaction::default()
            .with_expected(rows::control_fence(), self.control_fence)
            .with_expected(rows::batch_row(), self.records.version)
            .with_write(rows::batch_row(), rows::encode_extended(&row, &late_starts));
        let mut recorded = Vec::new();
        for (value, incarnation) in incarnations {
            transaction = transaction.with_write(rows::assignment_row(&incarnation.name), value);
            recorded.push(incarnation);
        }
        let incarnations = recorded;
        let count = self.obsolete_rows.len().min(MAX_TARGETS_PER_BATCH - incarnations.len());
        let mut obsolete_rows: Vec<TargetName> = self.obsolete_rows.drain(..count).collect();
        // The row of a target that is still known, or has started again, states the runs that it has now.
        obsolete_rows.retain(|name| {
            let key = self.target_keys.get(name);
            self.unrecorded.extend(key);
            key.is_none()
        });
        for name in &obsolete_rows {
            transaction = transaction.with_removal(rows::assignment_row(name));
        }
        let records = &mut self.records;
        records.is_in_flight = true;
        records.timeout =
            records.timeout.max(out.store_latency.recent_max() * LATENCY_FACTOR).min(MAX_TIMEOUT);
        let call = out.call_store_with_timeout(StoreRequest::Commit(transaction), records.timeout);
        self.calls.insert(
            call,
            LeaderCall::Record(RecordBatch {
                sent_at: out.now,
                row,
                hands_over: self.renewal.is_releasing,
                incarnations,
                obsolete_rows,
                orders,
            }),
        );
    }

    /// Removes and returns the rows to write with the next batch: those of as many targets as fit in a
    /// transaction.
    fn take_unrecorded_rows(&mut self) -> Vec<(Vec<u8>, RecordedIncarnation)> {
        // The rest is for the row of the batch.
        let max_bytes = self.identity.store_limits.transaction_bytes() / 2;
        let mut rows = Vec::new();
        let (mut bytes, mut count) = (0, 0);
        for key in self.unrecorded.iter().take(MAX_TARGETS_PER_BATCH) {
            let target = self.targets.get(key);
            let row = target.map(|target| self.assignment_row(*key, target));
            bytes += row.as_ref().map_or(0, |(value, _)| value.len());
            if bytes > max_bytes && !rows.is_empty() {
                break;
            }
            count += 1;
            rows.extend(row);
        }
        self.unrecorded.drain(..count);
        rows
    }

    /// Handles the reply to a batch.
    pub(super) fn handle_record_reply(
        &mut self,
        batch: RecordBatch,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        self.records.is_in_flight = false;
        match reply {
            StoreReply::Committed(version) => {
                self.records.timeout = MIN_TIMEOUT;
                self.records.version = *version;
                self.record_confirmation(batch.sent_at);
                self.send_recorded_orders(batch, out);
            }
            StoreReply::Conflict(rows) => {
                if self.is_fenced_by(rows) {
                    return self.depose("the fence has changed");
                }
                let row = rows.iter().find(|row| row.key == rows::BATCH_KEY);
                self.records.version = row.map_or(RowVersion(0), |row| row.version);
                let last: Option<AssignmentBatchRow> =
                    row.and_then(|row| row.value.as_deref()).and_then(rows::decode);
                if last.as_ref() == Some(&batch.row) {
                    self.send_recorded_orders(batch, out);
                } else {
                    // An earlier batch was applied although its reply was lost.
                    self.requeue_batch(batch, out);
                }
            }
            failed => {
                let is_unknown = matches!(failed, StoreReply::Failed(CallFailure::Unknown));
                log::warn!(
                    "event=record_failed targets={} reply={failed:?}",
                    batch.incarnations.len()
                );
                if is_unknown {
                    self.records.timeout *= 2;
                } else {
                    self.records.next_at = out.now + REFUSED_PAUSE;
                }
                self.requeue_batch(batch, out);
            }
        }
    }

    /// Sends the starts and the orders to instances that a stored batch has recorded.
    fn send_recorded_orders(&mut self, batch: RecordBatch, out: &mut Outbox) {
        self.silent_targets.set_announced(&batch.row);
        if batch.hands_over {
            self.end_handover(out);
        }
        let announces_unrecorded =
            batch.row.has_unrecorded_runs && !self.may_have_unrecorded_runs();
        if announces_unrecorded && !self.records.sends_unrecorded_starts {
            log::info!("event=records_opened number={}", batch.row.number);
            self.records.sends_unrecorded_starts = true;
        }
        self.records.has_unrecorded_runs = batch.row.has_unrecorded_runs;
        for order in batch.orders {
            // The reply may have waited while this process was paused.
            let may_send = self.may_order(out.now) && !self.is_move_outdated(&order);
            match may_send {
                true => self.send_order(order, out),
                false => self.drop_order(&order, out.now),
            }
        }
        for incarnation in batch.incarnations {
            let Some(target) = self.targets.get_mut(&incarnation.key) else {
                // The target was removed while the batch was in flight.
                self.obsolete_rows.push(incarnation.name);
                continue;
            };
            target.has_row = true;
            if target.started_at() != incarnation.started_at {
                continue;
            }
            for id in incarnation.runs {
                self.start_planned(incarnation.key, id, out);
            }
        }
    }

    /// Sends the start of a run if the run is still planned.
    pub(super) fn start_planned(&mut self, key: TargetKey, id: RunId, out: &mut Outbox) {
        let run = self.run_mut(key, id);
        if let Some(run) = run.filter(|run| run.stage == RunStage::Planned) {
            run.stage = RunStage::Starting;
            self.send_start(key, id, out);
        }
    }

    /// Plans a run again whose start may not be sent. The batch that records it confirms this leader,
    /// or shows that another one has taken over.
    pub(super) fn plan_again(&mut self, key: TargetKey, id: RunId) {
        if let Some(run) = self.run_mut(key, id) {
            run.stage = RunStage::Planned;
            self.unrecorded.insert(key);
        }
    }

    /// Returns the encoded assignment row of a target, and its content.
    fn assignment_row(&self, key: TargetKey, target: &Target) -> (Vec<u8>, RecordedIncarnation) {
        let record = &target.record;
        let (started_at, name) = (record.started_at, record.name.clone());
        // Completions that are not stored yet are known to this leader only.
        let mut runs: Vec<RunId> =
            target.unstored.iter().map(|completion| completion.run).collect();
        let mut orphans = Vec::new();
        for (task, run) in &target.runs {
            runs.push(RunId { task: *task, attempt: run.attempt });
            let job = run.job.and_then(|job| self.jobs.get(&job));
            if job.is_none_or(|job| job.final_state.is_some()) {
                orphans.extend(run.team.clone().map(|team| (team, run.demand)));
            }
        }
        let instance = record.instance.clone();
        let row = AssignmentRow { started_at, instance, runs: runs.clone(), orphans };
        (rows::encode(&row), RecordedIncarnation { key, name, started_at, runs })
    }

    /// Queues the changes of a failed batch again and drops its orders to instances.
    fn requeue_batch(&mut self, batch: RecordBatch, out: &Outbox) {
        self.late_starts.record_again(out.now);
        for order in batch.orders {
            self.drop_order(&order, out.now);
        }
        self.obsolete_rows.extend(batch.obsolete_rows);
        self.unrecorded.extend(batch.incarnations.into_iter().map(|incarnation| incarnation.key));
    }

    /// Returns whether the rows of a conflict show the fence of another leader.
    fn is_fenced_by(&self, rows: &[StoreRow]) -> bool {
        let fence = rows::control_fence();
        rows.iter().any(|row| row.key == fence.key && row.version != self.control_fence)
    }
}
