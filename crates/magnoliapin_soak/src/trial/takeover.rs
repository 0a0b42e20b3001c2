//! Time from the loss or pause of an entry until its jobs and quota slices are taken over.

use std::time::Duration;

use magnoliapin_model::EntryId;
use magnoliapin_model::Moment;
use magnoliapin_wire::rows::AllotmentRow;
use magnoliapin_wire::rows::JobRow;
use magnoliapin_wire::rows::RowKey;
use magnoliapin_wire::rows::RowValue;
use magnoliapin_wire::TableRead;
use magnoliapin_wire::TableRow;

use crate::trial::log::AnswerKind;
use crate::trial::log::WorkClass;
use crate::trial::placement::even_load;
use crate::trial::TrialPlan;
use crate::trial::TrialWorld;

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(50);
const RUN_TIME: Duration = Duration::from_secs(2);
const WATCH_TIME: Duration = Duration::from_secs(40);
const LOST_ENTRY: usize = 4;

/// How the entry is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryLoss {
    /// It is killed and does not restart during the measurement.
    Kill,
    /// It pauses for the given time, longer than its lease, and then continues.
    Pause(Duration),
}

/// Effects of the loss of one entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct TakeoverFigures {
    /// Accepted jobs of the entry that had not taken effect.
    pub jobs: usize,
    /// Time until the last of its jobs that had not started was started; `None` if there was no
    /// such job.
    pub jobs_run_after: Option<Duration>,
    /// Time until no job names the entry as its holder.
    pub jobs_taken_over_after: Duration,
    /// Time until no quota allotment has a slice of the entry.
    pub slices_reclaimed_after: Duration,
    /// Jobs of the entry that did not take effect exactly once.
    pub lost_or_doubled: usize,
    /// Jobs of the entry that were started more than once.
    pub started_again: usize,
    /// Number of broken invariants.
    pub violations: usize,
}

/// Measures the loss of one entry under a load of jobs that occupies every slot.
pub fn measure(seed: u64, loss: EntryLoss) -> TakeoverFigures {
    let mut trial = TrialWorld::new(TrialPlan::new(seed));
    let jobs = |load: f64| {
        let load = even_load(load, RUN_TIME);
        load.into_iter().map(|demand| demand.with_class(WorkClass::Job)).collect::<Vec<_>>()
    };
    trial.drive(SECOND * 20, |_| jobs(1.1));
    let lost_entry = trial.world.entries[LOST_ENTRY].id;
    let at = trial.now();
    let unfinished = unfinished_jobs(&trial);
    match loss {
        EntryLoss::Kill => trial.world.kill_entry(LOST_ENTRY, WATCH_TIME * 2),
        EntryLoss::Pause(span) => {
            trial.world.entries[LOST_ENTRY].paused_until = Some(at + span);
        }
    }
    let mut figures = TakeoverFigures { jobs: unfinished.len(), ..TakeoverFigures::default() };
    while trial.now() < at + WATCH_TIME {
        trial.drive(STEP, |_| jobs(0.5));
        let since = trial.now().since(at);
        if is_job_holder(&mut trial, lost_entry) {
            figures.jobs_taken_over_after = since;
        }
        if has_slice(&mut trial, lost_entry) {
            figures.slices_reclaimed_after = since;
        }
    }
    trial.run_for(SECOND * 20);
    for marker in unfinished {
        let work = &trial.world.callers.works[marker];
        let sent = &trial.log().sent_work[marker];
        let had_started = sent.starts.first().is_some_and(|(started, _)| *started <= at);
        let first = sent.starts.first().map(|(started, _)| started.since(at));
        if !had_started {
            figures.jobs_run_after = figures.jobs_run_after.max(first);
        }
        figures.lost_or_doubled += usize::from(work.effects != 1);
        figures.started_again += usize::from(sent.starts.len() > 1);
    }
    figures.violations = trial.violations().len();
    figures
}

/// Returns the markers of the entry's accepted jobs that have not taken effect.
fn unfinished_jobs(trial: &TrialWorld) -> Vec<usize> {
    let is_accepted =
        |answer: &Option<(Moment, AnswerKind)>| matches!(answer, Some((_, AnswerKind::Accepted)));
    let items = trial.log().sent_work.iter().enumerate();
    let entry_jobs =
        items.filter(|(_, work)| work.entry == LOST_ENTRY && is_accepted(&work.answer));
    entry_jobs.filter(|(_, work)| work.effect_at.is_none()).map(|(marker, _)| marker).collect()
}

/// Returns whether a job names the entry as its holder.
fn is_job_holder(trial: &mut TrialWorld, entry: EntryId) -> bool {
    let rows = scan(trial, RowKey::JOB_PREFIX);
    let mut jobs = rows.iter().filter_map(|row| JobRow::from_json(&row.value).ok());
    jobs.any(|job| job.holder == entry)
}

/// Returns whether a quota allotment has a slice of the entry.
fn has_slice(trial: &mut TrialWorld, entry: EntryId) -> bool {
    let rows = scan(trial, RowKey::ALLOTMENT_PREFIX);
    let mut rows = rows.iter().filter_map(|row| AllotmentRow::from_json(&row.value).ok());
    rows.any(|row| row.parts.contains_key(&entry))
}

fn scan(trial: &mut TrialWorld, prefix: &str) -> Vec<TableRow> {
    let read =
        TableRead::Prefix { prefix: prefix.to_owned(), after: String::new(), limit: u32::MAX };
    trial.world.platform.table.read(&read)
}
