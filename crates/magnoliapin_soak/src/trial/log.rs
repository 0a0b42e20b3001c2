//! What a trial sent, and what became of it.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::Moment;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::StartTask;
use magnoliapin_wire::TableRead;

use crate::caller_book::marker_of;

/// How work is handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WorkClass {
    /// A request with a team's key.
    Keyed,
    /// A request without a key, for the open queue.
    Open,
    /// A job with a team's key.
    Job,
}

/// How the caller's call was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum AnswerKind {
    Output,
    Accepted,
    Refused(ErrorKind),
    Other,
}

/// One piece of work.
#[derive(Clone, Debug)]
pub(crate) struct SentWork {
    pub(crate) class: WorkClass,
    /// Entry that was called.
    pub(crate) entry: usize,
    pub(crate) sent_at: Moment,
    pub(crate) run_time: Duration,
    pub(crate) answer: Option<(Moment, AnswerKind)>,
    /// Each start, with its target.
    pub(crate) starts: Vec<(Moment, usize)>,
    pub(crate) effect_at: Option<Moment>,
}

impl SentWork {
    /// Returns the time until the caller was answered, if that was with the output.
    pub(crate) fn latency(&self) -> Option<Duration> {
        match self.answer {
            Some((at, AnswerKind::Output)) => Some(at.since(self.sent_at)),
            _ => None,
        }
    }

    /// Returns the time until the caller was refused.
    pub(crate) fn refused_after(&self) -> Option<(Duration, ErrorKind)> {
        match self.answer {
            Some((at, AnswerKind::Refused(kind))) => Some((at.since(self.sent_at), kind)),
            _ => None,
        }
    }
}

/// Calls of the platform in one second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlatformSecond {
    pub(crate) transactions: u64,
    pub(crate) row_writes: u64,
    pub(crate) reads: u64,
    pub(crate) rows_read: u64,
    pub(crate) lists: u64,
}

impl PlatformSecond {
    /// Counts every call.
    pub(crate) fn calls(&self) -> u64 {
        self.transactions + self.reads + self.lists
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.transactions += other.transactions;
        self.row_writes += other.row_writes;
        self.reads += other.reads;
        self.rows_read += other.rows_read;
        self.lists += other.lists;
    }
}

/// What a trial sent, and what became of it.
#[derive(Debug, Default)]
pub(crate) struct TrialLog {
    /// The document that the trial begins with.
    pub(crate) document: String,
    /// Work by its marker.
    pub(crate) works: Vec<SentWork>,
    /// Calls that reached the platform, by second.
    pub(crate) platform: IndexMap<u64, PlatformSecond>,
    /// Answers to calls that are no work, such as cancellations.
    pub(crate) other_answers: Vec<(Moment, u64, AnswerKind)>,
    /// Start calls that reached a target, refused ones included.
    pub(crate) start_calls: Vec<(Moment, usize)>,
    /// When each target is looked at next.
    dues: IndexMap<usize, Moment>,
}

impl TrialLog {
    pub(crate) fn new(document: String) -> Self {
        Self { document, ..Self::default() }
    }

    fn work_mut(&mut self, marker: u64) -> Option<&mut SentWork> {
        self.works.get_mut(usize::try_from(marker).ok()?)
    }

    pub(crate) fn note_answer(&mut self, now: Moment, marker: u64, answer: &CallerAnswer) {
        let kind = match answer {
            CallerAnswer::Output { .. } => AnswerKind::Output,
            CallerAnswer::Accepted(_) => AnswerKind::Accepted,
            CallerAnswer::Refused(refusal) => AnswerKind::Refused(refusal.kind),
            _ => AnswerKind::Other,
        };
        let Some(work) = self.work_mut(marker).filter(|work| work.answer.is_none()) else {
            self.other_answers.push((now, marker, kind));
            return;
        };
        work.answer = Some((now, kind));
    }

    pub(crate) fn note_start(&mut self, now: Moment, target: usize, start: &StartTask) {
        let Some(marker) = marker_of(&start.payload) else { return };
        if let Some(work) = self.work_mut(marker) {
            work.starts.push((now, target));
        }
    }

    /// Plans to look at a target at `due`. Returns whether no earlier look is planned.
    pub(crate) fn plan_due(&mut self, now: Moment, target: usize, due: Moment) -> bool {
        let planned = self.dues.get(&target).copied();
        let is_news = planned.is_none_or(|planned| planned <= now || planned > due);
        if is_news {
            self.dues.insert(target, due);
        }
        is_news
    }

    pub(crate) fn note_start_call(&mut self, now: Moment, target: usize) {
        self.start_calls.push((now, target));
    }

    pub(crate) fn note_effect(&mut self, now: Moment, marker: u64) {
        if let Some(work) = self.work_mut(marker) {
            work.effect_at.get_or_insert(now);
        }
    }

    pub(crate) fn note_platform(&mut self, now: Moment, request: &PlatformRequest) {
        let second = self.platform.entry(now.0 / 1_000_000).or_default();
        match request {
            PlatformRequest::Transact(transaction) => {
                second.transactions += 1;
                second.row_writes += transaction.writes.len() as u64;
            }
            PlatformRequest::Read(read) => {
                second.reads += 1;
                second.rows_read += match read {
                    TableRead::Keys(keys) => keys.len() as u64,
                    TableRead::Prefix { .. } => 1,
                };
            }
            PlatformRequest::Resolve(_) => second.reads += 1,
            PlatformRequest::Instances | PlatformRequest::Order(..) => second.lists += 1,
        }
    }

    /// Sums the calls that reached the platform between two moments, in whole seconds.
    pub(crate) fn platform_between(&self, from: Moment, to: Moment) -> PlatformSecond {
        let mut sum = PlatformSecond::default();
        for second in from.0 / 1_000_000..to.0 / 1_000_000 {
            if let Some(calls) = self.platform.get(&second) {
                sum.add(calls);
            }
        }
        sum
    }

    /// Returns the work sent between two moments.
    pub(crate) fn sent_between(&self, from: Moment, to: Moment) -> impl Iterator<Item = &SentWork> {
        self.works.iter().filter(move |work| work.sent_at >= from && work.sent_at < to)
    }

    /// Counts the requests answered with their output between two moments.
    pub(crate) fn outputs_between(&self, from: Moment, to: Moment) -> u64 {
        let is_due = |work: &&SentWork| match work.answer {
            Some((at, AnswerKind::Output)) => at >= from && at < to,
            _ => false,
        };
        self.works.iter().filter(is_due).count() as u64
    }
}
