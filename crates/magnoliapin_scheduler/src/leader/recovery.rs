//! Fences the partitions and reads what they hold, before anything is scheduled.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::RowRange;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;
use magnoliapin_site::StoreTransaction;
use magnoliapin_site::TargetName;

use crate::leader::Leader;
use crate::leader::LeaderCall;
use crate::leader::LeaderPhase;
use crate::leader::OldLife;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::BatchRow;
use crate::rows::FenceRow;
use crate::rows::IntakeKey;
use crate::rows::LedRow;
use crate::rows::ProgressRow;
use crate::watch::Watch;
use crate::watch::WatchKind;

/// Pause before a failed read is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How far the loading of a partition is.
#[derive(Debug, Default)]
pub(crate) struct PartLoad {
    /// Version of the fence that this scheduler wrote.
    fence: Option<RowVersion>,
    /// Jobs read so far, handed on when their progress is known.
    jobs: Vec<StoreRow>,
    progress: Vec<StoreRow>,
    /// Newest version at the first page of jobs; changes are watched from there.
    version: Option<RowVersion>,
    stage: LoadStage,
    retry_at: Option<Moment>,
}

/// How far the loading of the targets is that may run something.
#[derive(Debug, Default)]
pub(crate) struct LedLoad {
    /// Where the next page begins.
    from: String,
    retry_at: Option<Moment>,
    is_done: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum LoadStage {
    #[default]
    ReadFence,
    WriteFence(RowVersion),
    Jobs(String),
    Progress(String),
    Done,
}

impl PartLoad {
    /// Returns the version as of which the partition was read.
    pub(crate) fn version(&self) -> Option<RowVersion> {
        self.version
    }

    /// Returns the version of the partition's fence, once this scheduler has written it.
    pub(crate) fn fence(&self) -> Option<RowVersion> {
        self.fence
    }
}

impl Leader {
    /// Begins to load; the partition that is not about jobs is fenced already.
    pub(super) fn start_loading(&mut self, fence: RowVersion, out: &mut Outbox) {
        self.control_fence = fence;
        for part in 0..self.identity.parts {
            self.load(part, out);
        }
        self.load_led(out);
    }

    /// Reads the next page of the targets that may run something.
    fn load_led(&mut self, out: &mut Outbox) {
        let from = self.led_load.from.clone();
        let range = RowRange { from, ..RowRange::whole(rows::LED, rows::CONTROL_PART) };
        self.call(LeaderCall::LoadLed, StoreRequest::Read(range), out);
    }

    /// Makes calls again that failed.
    pub(super) fn retry_loading(&mut self, out: &mut Outbox) {
        if self.led_load.retry_at.is_some_and(|at| out.now >= at) {
            self.led_load.retry_at = None;
            self.load_led(out);
        }
        for part in 0..self.identity.parts {
            let load = &mut self.parts[part as usize].load;
            if load.retry_at.is_some_and(|at| out.now >= at) {
                load.retry_at = None;
                self.load(part, out);
            }
        }
    }

    /// Makes the next call for a partition.
    fn load(&mut self, part: u32, out: &mut Outbox) {
        let generation = self.generation;
        let range = |table, from: &str| RowRange {
            from: from.to_owned(),
            ..RowRange::whole(table, part.to_string())
        };
        let fence = rows::fence_row(part);
        let (kind, request) = match &self.parts[part as usize].load.stage {
            LoadStage::ReadFence => {
                (LeaderCall::ReadFence(part), StoreRequest::Read(RowRange::one(&fence)))
            }
            LoadStage::WriteFence(version) => {
                let transaction = StoreTransaction::default()
                    .with_expected(fence.clone(), *version)
                    .with_write(fence, rows::encode(&FenceRow { generation }));
                (LeaderCall::WriteFence(part), StoreRequest::Commit(transaction))
            }
            LoadStage::Jobs(from) => {
                (LeaderCall::LoadJobs(part), StoreRequest::Read(range(rows::INTAKE, from)))
            }
            LoadStage::Progress(from) => {
                (LeaderCall::LoadProgress(part), StoreRequest::Read(range(rows::PROGRESS, from)))
            }
            LoadStage::Done => return,
        };
        self.call(kind, request, out);
    }

    fn load_later(&mut self, part: u32, out: &Outbox) {
        self.parts[part as usize].load.retry_at = Some(out.now + RETRY_PAUSE);
    }

    fn set_fence(&mut self, part: u32, version: RowVersion, out: &mut Outbox) {
        let load = &mut self.parts[part as usize].load;
        load.fence = Some(version);
        load.stage = LoadStage::Jobs(String::new());
        self.load(part, out);
    }

    /// Takes the fence of a partition as it was.
    pub(super) fn take_fence(&mut self, part: u32, reply: &StoreReply, out: &mut Outbox) {
        let StoreReply::Rows { rows, .. } = reply else {
            return self.load_later(part, out);
        };
        let row = rows.first();
        let fence: Option<FenceRow> =
            row.and_then(|row| row.value.as_deref()).and_then(rows::decode);
        let version = row.map_or(RowVersion(0), |row| row.version);
        if fence.is_some_and(|fence| fence.generation > self.generation) {
            return self.depose("a partition has a newer fence");
        }
        if fence.is_some_and(|fence| fence.generation == self.generation) {
            // An earlier call of this scheduler was carried out after all.
            return self.set_fence(part, version, out);
        }
        self.parts[part as usize].load.stage = LoadStage::WriteFence(version);
        self.load(part, out);
    }

    /// Takes the answer to the write of a fence.
    pub(super) fn take_fenced(&mut self, part: u32, reply: &StoreReply, out: &mut Outbox) {
        match reply {
            StoreReply::Committed(version) => self.set_fence(part, *version, out),
            _ => {
                self.parts[part as usize].load.stage = LoadStage::ReadFence;
                self.load_later(part, out);
            }
        }
    }

    /// Takes a page of jobs.
    pub(super) fn take_jobs(&mut self, part: u32, reply: &StoreReply, out: &mut Outbox) {
        let StoreReply::Rows { rows, has_more, version } = reply else {
            return self.load_later(part, out);
        };
        let load = &mut self.parts[part as usize].load;
        load.version.get_or_insert(*version);
        load.stage = match next_page(rows, *has_more) {
            Some(from) => LoadStage::Jobs(from),
            None => LoadStage::Progress(String::new()),
        };
        load.jobs.extend(rows.iter().cloned());
        self.load(part, out);
    }

    /// Takes a page of the jobs' progress.
    pub(super) fn take_progress(&mut self, part: u32, reply: &StoreReply, out: &mut Outbox) {
        let StoreReply::Rows { rows, has_more, .. } = reply else {
            return self.load_later(part, out);
        };
        let load = &mut self.parts[part as usize].load;
        load.progress.extend(rows.iter().cloned());
        if let Some(from) = next_page(rows, *has_more) {
            load.stage = LoadStage::Progress(from);
            return self.load(part, out);
        }
        load.stage = LoadStage::Done;
        self.finish_loading(out);
    }

    /// Takes the targets that may run something.
    pub(super) fn take_led(&mut self, reply: &StoreReply, out: &mut Outbox) {
        let StoreReply::Rows { rows, has_more, .. } = reply else {
            self.led_load.retry_at = Some(out.now + RETRY_PAUSE);
            return;
        };
        for row in rows {
            if row.key == rows::BATCH_KEY {
                let batch: Option<BatchRow> = row.value.as_deref().and_then(rows::decode);
                self.hold_ordered(batch.as_ref());
                self.records.take_last(row.version, batch.as_ref());
                continue;
            }
            let led: Option<LedRow> = row.value.as_deref().and_then(rows::decode);
            match led {
                Some(led) => {
                    let life = OldLife {
                        born_at: led.born_at,
                        instance: led.instance,
                        runs: led.runs,
                        orphans: led.orphans,
                    };
                    self.expect_life(TargetName::new(&row.key), life);
                }
                None => log::error!("event=row_unreadable table={} key={}", rows::LED, row.key),
            }
        }
        if let Some(from) = next_page(rows, *has_more) {
            self.led_load.from = from;
            return self.load_led(out);
        }
        self.led_load.is_done = true;
        self.finish_loading(out);
    }

    /// Starts to schedule once everything is read.
    fn finish_loading(&mut self, out: &mut Outbox) {
        let is_done = |load: &PartLoad| load.stage == LoadStage::Done;
        if self.phase != LeaderPhase::Loading
            || !self.led_load.is_done
            || !self.parts.iter().all(|part| is_done(&part.load))
        {
            return;
        }
        self.phase = LeaderPhase::Active;
        let mut from = RowVersion(u64::MAX);
        for part in 0..self.parts.len() {
            let load = &mut self.parts[part].load;
            from = from.min(load.version.unwrap_or_default());
            let jobs = std::mem::take(&mut load.jobs);
            let progress = std::mem::take(&mut load.progress);
            self.take_loaded(&jobs, &progress, out);
        }
        self.charge_unheard();
        self.intake = Some(Watch::new_after(WatchKind::Intake, from));
        log::info!(
            "event=scheduler_loaded generation={} jobs={} old_lives={} after_ms={}",
            self.generation,
            self.jobs.len(),
            self.old_lives.len(),
            out.now.since(self.taken_at).as_millis()
        );
        self.tick(out);
    }

    fn take_loaded(&mut self, jobs: &[StoreRow], progress: &[StoreRow], out: &mut Outbox) {
        for row in jobs {
            self.take_intake_row(row, true, out);
        }
        for row in progress {
            let decoded: Option<ProgressRow> = row.value.as_deref().and_then(rows::decode);
            let Some(IntakeKey::Job(job)) = IntakeKey::read(&row.key) else { continue };
            match decoded {
                Some(decoded) => self.restore_job(job, &decoded, row.version, out),
                None => log::error!("event=row_unreadable table={} job={job}", rows::PROGRESS),
            }
        }
    }
}

/// Returns where the page after this one begins.
pub(super) fn next_page(rows: &[StoreRow], has_more: bool) -> Option<String> {
    rows.last().filter(|_| has_more).map(|row| format!("{}\0", row.key))
}
