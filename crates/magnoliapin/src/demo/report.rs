//! What the demo found, and whether everything that must hold did.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::WorkOutcome;
use magnoliapin_standin::WorkCounts;
use magnoliapin_wire::JobState;
use serde::Serialize;

use crate::demo::note::CallerTold;
use crate::demo::note::JobNote;
use crate::demo::note::WorkNote;

const LONGEST_LATENCY_MS: u64 = 600_000;

/// What the demo found.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct DemoReport {
    /// Seed of the load and of the faults.
    pub(crate) seed: u64,
    /// Length of the load.
    pub(crate) seconds: u64,
    /// Pieces of work that callers handed in.
    pub(crate) handed_in: u64,
    /// Jobs accepted.
    pub(crate) accepted: u64,
    /// Jobs that finished.
    pub(crate) finished: u64,
    /// Jobs that ended in another way, by state.
    pub(crate) ended_otherwise: IndexMap<&'static str, u64>,
    /// Requests answered.
    pub(crate) answered: u64,
    /// Accepted jobs without an end, or finished without an effect.
    pub(crate) lost: u64,
    /// Non-idempotent work with more than one effect, and jobs that ended twice.
    pub(crate) doubled: u64,
    /// Moments at which a team had more running than its limit.
    pub(crate) over_limit: u64,
    /// Moments at which planned work broke a pool's availability budget.
    pub(crate) budget_broken: u64,
    /// Refusals that said `not_run` of work that has an effect.
    pub(crate) not_run_but_ran: u64,
    /// Moments at which the budgets were looked at; 0 if the platform's table held no instance.
    pub(crate) budget_samples: u64,
    /// Most instances that planned work held back at once, over all pools.
    pub(crate) planned_peak: u64,
    /// Requests answered with another answer than their own.
    pub(crate) wrong_answers: u64,
    /// Median time to an answer, in milliseconds.
    pub(crate) p50_ms: u64,
    /// Time within which 99 of 100 requests were answered, in milliseconds.
    pub(crate) p99_ms: u64,
    /// Transactions at the platform for each accepted job.
    pub(crate) transactions_per_job: f64,
    /// Refusals, by kind.
    pub(crate) refused: IndexMap<ErrorKind, u64>,
    /// Work whose caller does not know whether it ran.
    pub(crate) unknown: u64,
    /// Further effects of idempotent work.
    pub(crate) reruns: u64,
    /// Work that no entry took a connection for.
    pub(crate) not_sent: u64,
}

impl DemoReport {
    /// Counts the notes of the callers against the ledgers of the targets.
    pub(crate) fn new(
        notes: &[WorkNote],
        effects_of: impl Fn(u64) -> WorkCounts,
        seconds: u64,
        seed: u64,
    ) -> Self {
        let mut report = Self { seconds, seed, handed_in: notes.len() as u64, ..Self::default() };
        let mut latencies = LatencyCounts::new();
        for note in notes {
            let effects = effects_of(note.marker);
            report.count_effects(note, effects);
            report.count_told(note, effects, &mut latencies);
        }
        report.p50_ms = latencies.quantile_ms(0.50);
        report.p99_ms = latencies.quantile_ms(0.99);
        report
    }

    /// Returns whether something that must hold was broken.
    pub(crate) fn is_broken(&self) -> bool {
        let counts = [
            self.lost,
            self.doubled,
            self.over_limit,
            self.budget_broken,
            self.not_run_but_ran,
            self.wrong_answers,
        ];
        counts.iter().any(|count| *count > 0)
    }

    /// Returns the report as a few lines.
    pub(crate) fn text(&self) -> String {
        let refused: u64 = self.refused.values().sum();
        let kinds: Vec<String> =
            self.refused.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
        let others: Vec<String> =
            self.ended_otherwise.iter().map(|(state, count)| format!("{state} {count}")).collect();
        let budget_note = if self.budget_samples == 0 {
            "no instance in the table to look at".to_owned()
        } else {
            format!("planned work held back up to {} instances", self.planned_peak)
        };
        let verdict = if self.is_broken() { "BROKEN" } else { "everything that must hold held" };
        format!(
            "{} pieces of work in {} s (seed {})\n\
             requests  answered {}, p50 {} ms, p99 {} ms\n\
             jobs      accepted {}, finished {}, {}\n\
             refused   {refused} ({}); outcome unknown {}, not sent {}\n\
             reruns of idempotent work {}; transactions for each job {:.2}\n\
             lost {}, doubled {}, not run but ran {}, wrong answers {}\n\
             over limit {}, budget broken {}; {budget_note}\n\
             {verdict}\n",
            self.handed_in,
            self.seconds,
            self.seed,
            self.answered,
            self.p50_ms,
            self.p99_ms,
            self.accepted,
            self.finished,
            if others.is_empty() { "none ended otherwise".to_owned() } else { others.join(", ") },
            kinds.join(", "),
            self.unknown,
            self.not_sent,
            self.reruns,
            self.transactions_per_job,
            self.lost,
            self.doubled,
            self.not_run_but_ran,
            self.wrong_answers,
            self.over_limit,
            self.budget_broken,
        )
    }

    fn count_effects(&mut self, note: &WorkNote, effects: WorkCounts) {
        let further = u64::from(effects.effects.saturating_sub(1));
        if note.queue.idempotent {
            self.reruns += further;
        } else {
            self.doubled += further;
        }
    }

    fn count_told(&mut self, note: &WorkNote, effects: WorkCounts, latencies: &mut LatencyCounts) {
        match note.told {
            CallerTold::Answered { latency, is_own } => {
                self.answered += 1;
                self.wrong_answers += u64::from(!is_own);
                self.lost += u64::from(effects.effects == 0);
                latencies.record(latency);
            }
            CallerTold::Refused { kind, outcome } => {
                *self.refused.entry(kind).or_default() += 1;
                let ran = effects.effects > 0;
                self.not_run_but_ran += u64::from(outcome == WorkOutcome::NotRun && ran);
                self.unknown += u64::from(outcome == WorkOutcome::Unknown);
            }
            CallerTold::NoAnswer => self.unknown += 1,
            CallerTold::NotSent => {
                self.not_sent += 1;
                self.not_run_but_ran += u64::from(effects.effects > 0);
            }
            CallerTold::Accepted(job) => self.count_job(job, effects),
        }
    }

    fn count_job(&mut self, job: JobNote, effects: WorkCounts) {
        self.accepted += 1;
        self.doubled += u64::from(job.ended_twice);
        match job.end {
            None | Some(JobState::Accepted) => self.lost += 1,
            Some(JobState::Finished) => {
                self.finished += 1;
                self.lost += u64::from(effects.effects == 0);
            }
            Some(state) => {
                let name = crate::command::work::state_text(state);
                *self.ended_otherwise.entry(name).or_default() += 1;
            }
        }
    }
}

/// Counts of latencies.
struct LatencyCounts {
    histogram: Option<Histogram<u64>>,
}

impl LatencyCounts {
    fn new() -> Self {
        Self { histogram: Histogram::new_with_max(LONGEST_LATENCY_MS, 3).ok() }
    }

    fn record(&mut self, latency: Duration) {
        let millis = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(millis.max(1));
        }
    }

    fn quantile_ms(&self, quantile: f64) -> u64 {
        self.histogram.as_ref().map_or(0, |histogram| histogram.value_at_quantile(quantile))
    }
}
