//! Tells the store what the targets may run, before anything is started there.
//!
//! So the next scheduler knows which tasks may run on a target that does not answer, and starts all
//! others at once.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::CallFailure;
use magnoliapin_site::Resources;
use magnoliapin_site::RunId;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;
use magnoliapin_site::StoreTransaction;
use magnoliapin_site::TargetName;
use magnoliapin_site::TeamName;

use crate::leader::fleet::PlannedOrder;
use crate::leader::target::Run;
use crate::leader::target::RunStage;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::leader::LeaderCall;
use crate::leader::OldLife;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::BatchRow;
use crate::rows::LedRow;

/// Targets that one transaction is about: the store takes 100 entries, and three are for the fence
/// and the batch.
const ROWS_PER_CALL: usize = 95;
/// Time after which a record is made again: over ten times what one takes. To make it twice is
/// harmless, and starts wait for it.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest such time, while the store is slow.
const LONGEST_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Multiple of the store's time after which a record is made again.
const LAG_FACTOR: u32 = 4;
/// Time of the store's answers from which starts no longer wait to be recorded: they would be late.
const OPEN_LAG: Duration = Duration::from_millis(60);
/// Time of the store's answers below which starts wait again.
const CLOSE_LAG: Duration = Duration::from_millis(25);
/// Pause after the store has refused a record.
const REFUSED_PAUSE: Duration = Duration::from_millis(30);

/// A batch that was sent to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RecordBatch {
    row: BatchRow,
    lives: Vec<RecordedLife>,
    forgotten: Vec<TargetName>,
    orders: Vec<PlannedOrder>,
}

/// A life of a target as it is being recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RecordedLife {
    key: TargetKey,
    name: TargetName,
    born_at: UnixMillis,
    runs: Vec<RunId>,
}

/// The latest run of a task that the scheduler before may have started on a target which has not
/// told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct UnheardRun {
    attempt: u32,
    target: TargetName,
    /// What it takes, and from which team's cap.
    pub(super) charge: Option<(TeamName, Resources)>,
}

/// Where the record of what the targets may run stands.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecordLog {
    /// Number of the last batch that was sent.
    number: u64,
    /// Version of the row of the last batch. It is expected by the next one, as a batch whose
    /// answer was lost may be carried out late and must not undo a later one.
    version: RowVersion,
    is_in_flight: bool,
    next_at: Moment,
    timeout: Duration,
    /// Whether the store knows that starts are sent before they are recorded.
    is_open: bool,
    /// Whether such starts may be missing in the rows.
    has_gaps: bool,
    /// Whether the scheduler before may have sent such starts.
    was_open: bool,
}

impl RecordLog {
    /// Makes the log before the first batch.
    pub(super) fn new(now: Moment) -> Self {
        Self {
            number: 0,
            version: RowVersion(0),
            is_in_flight: false,
            next_at: now,
            timeout: SHORTEST_TIMEOUT,
            is_open: false,
            has_gaps: false,
            was_open: false,
        }
    }

    /// Takes the last batch of the scheduler before.
    pub(super) fn take_last(&mut self, version: RowVersion, batch: Option<&BatchRow>) {
        self.version = version;
        // One that cannot be read says nothing of what was sent.
        self.was_open = batch.is_none_or(|batch| batch.is_open);
        self.has_gaps = self.was_open;
    }

    /// Returns whether the rows may miss runs that are found on targets.
    pub(super) fn has_gaps(&self) -> bool {
        self.has_gaps
    }

    /// Returns whether starts are sent before they are recorded.
    pub(super) fn is_open(&self) -> bool {
        self.is_open
    }
}

impl Leader {
    /// Notes a life of a target that may run what the scheduler before started.
    pub(super) fn expect_life(&mut self, name: TargetName, life: OldLife) {
        for run in &life.runs {
            let here = UnheardRun { attempt: run.attempt, target: name.clone(), charge: None };
            let latest = self.unheard.entry(run.task).or_insert_with(|| here.clone());
            // The runs before the latest were known to be over when that one was recorded.
            if run.attempt > latest.attempt {
                *latest = here;
            }
        }
        self.old_lives.insert(name, life);
    }

    /// Notes what the runs that were not heard of take from their teams' caps, as their jobs may
    /// end before they do.
    pub(super) fn charge_unheard(&mut self) {
        for (task, run) in &mut self.unheard {
            let job = self.job_keys.get(&task.job).and_then(|key| self.jobs.get(key));
            let charge =
                job.and_then(|job| Some((job.team.clone()?, job.step_spec(*task)?.demand)));
            run.charge = charge;
        }
    }

    /// Takes note that what the scheduler before started on a target is known, or is over.
    pub(super) fn settle_life(&mut self, name: &TargetName) -> Option<OldLife> {
        let life = self.old_lives.swap_remove(name)?;
        for run in &life.runs {
            let latest = self.unheard.get(&run.task);
            if latest.is_none_or(|latest| latest.target != *name) {
                continue;
            }
            self.unheard.swap_remove(&run.task);
            let job = self.job_keys.get(&run.task.job).and_then(|key| self.jobs.get(key));
            if let Some(pool) = job.map(|job| job.pool.clone()) {
                self.stir(&pool);
            }
        }
        Some(life)
    }

    /// Returns whether targets may run what no row names and has not been told yet.
    pub(super) fn has_unrecorded(&self) -> bool {
        self.records.was_open && !self.is_accounted
    }

    /// Returns whether nothing that the scheduler before has started can run on a target unheard of.
    pub(super) fn is_clear(&self, name: &TargetName) -> bool {
        !self.has_unrecorded() && !self.old_lives.contains_key(name)
    }

    /// Returns a run on a target, for changes.
    pub(super) fn run_mut(&mut self, key: TargetKey, id: RunId) -> Option<&mut Run> {
        let run = self.targets.get_mut(&key)?.runs.get_mut(&id.task)?;
        (run.attempt == id.attempt).then_some(run)
    }

    /// Records the targets that have runs which the store does not know of.
    pub(super) fn record_targets(&mut self, out: &mut Outbox) {
        let lag = out.store_pace.lag();
        let wants_open = lag > if self.records.is_open { CLOSE_LAG } else { OPEN_LAG };
        let is_due = out.now >= self.records.next_at && !self.records.is_in_flight;
        let has_news = !self.unrecorded.is_empty()
            || !self.forgotten.is_empty()
            || self.fleet.has_planned_orders();
        if !is_due || !(has_news || wants_open != self.records.is_open) {
            return;
        }
        // Starts wait again from the batch on with which all is recorded.
        let is_whole = self.unrecorded.len() <= ROWS_PER_CALL;
        self.records.is_open &= wants_open || !is_whole;
        let is_covered = is_whole || !self.records.has_gaps;
        let has_open = wants_open || !is_covered || self.has_unrecorded();
        self.records.number += 1;
        let number = self.records.number;
        let ordered = self.recent_orders(out.now);
        let orders = self.fleet.take_planned_orders();
        let row = BatchRow { generation: self.generation, number, is_open: has_open, ordered };
        let mut transaction = StoreTransaction::default()
            .with_expected(rows::control_fence(), self.control_fence)
            .with_expected(rows::batch_row(), self.records.version)
            .with_write(rows::batch_row(), rows::encode(&row));
        let mut lives = Vec::new();
        let count = self.unrecorded.len().min(ROWS_PER_CALL);
        let keys: Vec<TargetKey> = self.unrecorded.drain(..count).collect();
        for key in keys {
            let Some(target) = self.targets.get(&key) else { continue };
            let (value, life) = self.record_of(key, target);
            transaction = transaction.with_write(rows::led_row(&life.name), value);
            lives.push(life);
        }
        let count = self.forgotten.len().min(ROWS_PER_CALL - lives.len());
        let mut forgotten: Vec<TargetName> = self.forgotten.drain(..count).collect();
        // Another life under the same name needs the row.
        forgotten.retain(|name| !self.target_keys.contains_key(name));
        for name in &forgotten {
            transaction = transaction.with_removal(rows::led_row(name));
        }
        let records = &mut self.records;
        records.is_in_flight = true;
        records.timeout =
            records.timeout.max(out.store_pace.lag() * LAG_FACTOR).min(LONGEST_TIMEOUT);
        let call = out.call_store_within(StoreRequest::Commit(transaction), records.timeout);
        self.calls.insert(call, LeaderCall::Record(RecordBatch { row, lives, forgotten, orders }));
    }

    /// Takes the answer to a batch.
    pub(super) fn take_recorded(
        &mut self,
        batch: RecordBatch,
        reply: &StoreReply,
        out: &mut Outbox,
    ) {
        self.records.is_in_flight = false;
        match reply {
            StoreReply::Committed(version) => {
                self.records.timeout = SHORTEST_TIMEOUT;
                self.records.version = *version;
                self.end_batch(batch, out);
            }
            StoreReply::Conflict(rows) => {
                if self.is_fenced_by(rows) {
                    return self.depose("the fence has changed");
                }
                let row = rows.iter().find(|row| row.key == rows::BATCH_KEY);
                self.records.version = row.map_or(RowVersion(0), |row| row.version);
                let last: Option<BatchRow> =
                    row.and_then(|row| row.value.as_deref()).and_then(rows::decode);
                if last.as_ref() == Some(&batch.row) {
                    self.end_batch(batch, out);
                } else {
                    // An earlier one was carried out whose answer was lost.
                    self.record_again(batch, out);
                }
            }
            failed => {
                let is_unknown = matches!(failed, StoreReply::Failed(CallFailure::Unknown));
                log::warn!("event=record_failed targets={} reply={failed:?}", batch.lives.len());
                if is_unknown {
                    self.records.timeout *= 2;
                } else {
                    self.records.next_at = out.now + REFUSED_PAUSE;
                }
                self.record_again(batch, out);
            }
        }
    }

    /// Sends the starts that the store knows of now.
    fn end_batch(&mut self, batch: RecordBatch, out: &mut Outbox) {
        let is_opening = batch.row.is_open && !self.has_unrecorded();
        if is_opening && !self.records.is_open {
            log::info!("event=records_opened number={}", batch.row.number);
            self.records.is_open = true;
        }
        self.records.has_gaps = batch.row.is_open;
        for order in batch.orders {
            self.send_order(order, out);
        }
        for life in batch.lives {
            let Some(target) = self.targets.get_mut(&life.key) else {
                // The target was given up while it was being recorded.
                self.forgotten.push(life.name);
                continue;
            };
            target.has_row = true;
            if target.born_at() != life.born_at {
                continue;
            }
            for id in life.runs {
                self.start_planned(life.key, id, out);
            }
        }
    }

    /// Sends a start that has not been sent yet.
    pub(super) fn start_planned(&mut self, key: TargetKey, id: RunId, out: &mut Outbox) {
        let run = self.run_mut(key, id);
        if let Some(run) = run.filter(|run| run.stage == RunStage::Planned) {
            run.stage = RunStage::Starting;
            self.send_start(key, id, out);
        }
    }

    /// Returns the row that says what a target may run, and what it holds.
    fn record_of(&self, key: TargetKey, target: &Target) -> (Vec<u8>, RecordedLife) {
        let record = &target.record;
        let (born_at, name) = (record.born_at, record.name.clone());
        // An end that is not stored yet is known here only.
        let mut runs: Vec<RunId> = target.unstored.iter().map(|end| end.run).collect();
        let mut orphans = Vec::new();
        for (task, run) in &target.runs {
            runs.push(RunId { task: *task, attempt: run.attempt });
            let job = run.job.and_then(|job| self.jobs.get(&job));
            if job.is_none_or(|job| job.ending.is_some()) {
                orphans.extend(run.team.clone().map(|team| (team, run.demand)));
            }
        }
        let instance = record.instance.clone();
        let row = LedRow { born_at, instance, runs: runs.clone(), orphans };
        (rows::encode(&row), RecordedLife { key, name, born_at, runs })
    }

    fn record_again(&mut self, batch: RecordBatch, out: &Outbox) {
        for order in batch.orders {
            self.drop_order(&order, out.now);
        }
        self.forgotten.extend(batch.forgotten);
        self.unrecorded.extend(batch.lives.into_iter().map(|life| life.key));
    }

    /// Returns whether the rows of a conflict show the fence of another scheduler.
    fn is_fenced_by(&self, rows: &[StoreRow]) -> bool {
        let fence = rows::control_fence();
        rows.iter().any(|row| row.key == fence.key && row.version != self.control_fence)
    }
}
