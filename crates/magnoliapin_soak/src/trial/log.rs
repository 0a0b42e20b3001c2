//! Log of the work that a trial sends, and of its outcome.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::Moment;
use magnoliapin_wire::CallerAnswer;
use magnoliapin_wire::PlatformRequest;
use magnoliapin_wire::StartTask;
use magnoliapin_wire::TableRead;

use crate::caller_registry::marker_of;

/// How work is submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WorkClass {
    /// A request with a team's key.
    Keyed,
    /// A request without a key, for the open queue.
    Open,
    /// A job with a team's key.
    Job,
}

/// How a call was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum AnswerKind {
    Output,
    Accepted,
    Refused(ErrorKind),
    Other,
}

/// A piece of work that was sent to an entry.
#[derive(Clone, Debug)]
pub(crate) struct SentWork {
    pub(crate) class: WorkClass,
    /// Entry that was called.
    pub(crate) entry: usize,
    pub(crate) sent_at: Moment,
    pub(crate) run_time: Duration,
    pub(crate) answer: Option<(Moment, AnswerKind)>,
    /// Time and target of each start.
    pub(crate) starts: Vec<(Moment, usize)>,
    /// Time of the first effect.
    pub(crate) effect_at: Option<Moment>,
}

impl SentWork {
    /// Returns the time until the output was returned, or `None` if it was not.
    pub(crate) fn latency(&self) -> Option<Duration> {
        match self.answer {
            Some((at, AnswerKind::Output)) => Some(at.since(self.sent_at)),
            _ => None,
        }
    }

    /// Returns the time until the refusal and its kind, or `None` if the work was not refused.
    pub(crate) fn refused_after(&self) -> Option<(Duration, ErrorKind)> {
        match self.answer {
            Some((at, AnswerKind::Refused(kind))) => Some((at.since(self.sent_at), kind)),
            _ => None,
        }
    }
}

/// Platform calls in one second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlatformSecond {
    pub(crate) transactions: u64,
    pub(crate) row_writes: u64,
    pub(crate) reads: u64,
    pub(crate) rows_read: u64,
    pub(crate) lists: u64,
}

impl PlatformSecond {
    /// Returns the number of calls of all kinds.
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

/// Log of the work that a trial sends, and of its outcome.
#[derive(Debug, Default)]
pub(crate) struct TrialLog {
    /// Configuration document at the start of the trial.
    pub(crate) document: String,
    /// Work indexed by its marker.
    pub(crate) sent_work: Vec<SentWork>,
    /// Calls that reached the platform, by second of virtual time.
    pub(crate) platform: IndexMap<u64, PlatformSecond>,
    /// Answers to calls that carry no work, such as cancellations, and second answers to work.
    pub(crate) other_answers: Vec<(Moment, u64, AnswerKind)>,
    /// Time and target of each start call that reached a target, including refused ones.
    pub(crate) start_calls: Vec<(Moment, usize)>,
    /// Time of the next planned poll of each target.
    next_polls: IndexMap<usize, Moment>,
}

impl TrialLog {
    pub(crate) fn new(document: String) -> Self {
        Self { document, ..Self::default() }
    }

    fn work_mut(&mut self, marker: u64) -> Option<&mut SentWork> {
        self.sent_work.get_mut(usize::try_from(marker).ok()?)
    }

    pub(crate) fn record_answer(&mut self, now: Moment, marker: u64, answer: &CallerAnswer) {
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

    pub(crate) fn record_start(&mut self, now: Moment, target: usize, start: &StartTask) {
        let Some(marker) = marker_of(&start.payload) else { return };
        if let Some(work) = self.work_mut(marker) {
            work.starts.push((now, target));
        }
    }

    /// Plans a poll of a target at `due`. Returns false if a poll is already planned for `due` or
    /// earlier.
    pub(crate) fn schedule_poll(&mut self, now: Moment, target: usize, due: Moment) -> bool {
        let planned = self.next_polls.get(&target).copied();
        let is_earliest = planned.is_none_or(|planned| planned <= now || planned > due);
        if is_earliest {
            self.next_polls.insert(target, due);
        }
        is_earliest
    }

    pub(crate) fn record_start_call(&mut self, now: Moment, target: usize) {
        self.start_calls.push((now, target));
    }

    pub(crate) fn record_effect(&mut self, now: Moment, marker: u64) {
        if let Some(work) = self.work_mut(marker) {
            work.effect_at.get_or_insert(now);
        }
    }

    pub(crate) fn record_platform_call(&mut self, now: Moment, request: &PlatformRequest) {
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

    /// Sums the calls that reached the platform between two moments, rounded down to seconds.
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
        self.sent_work.iter().filter(move |work| work.sent_at >= from && work.sent_at < to)
    }

    /// Returns the number of requests answered with their output between two moments.
    pub(crate) fn outputs_between(&self, from: Moment, to: Moment) -> u64 {
        let is_output = |work: &&SentWork| match work.answer {
            Some((at, AnswerKind::Output)) => at >= from && at < to,
            _ => false,
        };
        self.sent_work.iter().filter(is_output).count() as u64
    }
}
