//! Results of the demo, with the invariants that must hold.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::WorkOutcome;
use magnoliapin_standin::WorkCounts;
use magnoliapin_wire::JobState;
use serde::Serialize;

use crate::demo::record::CallOutcome;
use crate::demo::record::JobRecord;
use crate::demo::record::WorkRecord;

const MAX_LATENCY_MS: u64 = 600_000;

/// Results of a demo run.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct DemoReport {
    /// Seed of the load and of the faults.
    pub(crate) seed: u64,
    /// Duration of the load, in seconds.
    pub(crate) seconds: u64,
    /// Requests and jobs that clients tried to send.
    pub(crate) handed_in: u64,
    /// Jobs accepted.
    pub(crate) accepted: u64,
    /// Jobs that finished successfully.
    pub(crate) finished: u64,
    /// Jobs with another final state, by state.
    pub(crate) ended_otherwise: IndexMap<&'static str, u64>,
    /// Requests with a successful reply.
    pub(crate) answered: u64,
    /// Accepted jobs without a final state, and finished jobs or answered requests without an
    /// effect.
    pub(crate) lost: u64,
    /// Additional effects of non-idempotent work, and jobs whose final state changed.
    pub(crate) doubled: u64,
    /// Changes of a team's running work that left the team over its limit.
    pub(crate) over_limit: u64,
    /// Violations of a pool's availability budget by planned work.
    pub(crate) budget_broken: u64,
    /// Work that has an effect although its refusal reported `not_run` or it was not sent.
    pub(crate) not_run_but_ran: u64,
    /// Samples of the budgets in which the platform's table held an instance.
    pub(crate) budget_samples: u64,
    /// Most instances that were unavailable for planned work in one sample, over all pools.
    pub(crate) planned_peak: u64,
    /// Requests whose reply differs from their payload.
    pub(crate) wrong_answers: u64,
    /// Median latency of answered requests, in milliseconds.
    pub(crate) p50_ms: u64,
    /// 99th percentile of the latency of answered requests, in milliseconds.
    pub(crate) p99_ms: u64,
    /// Platform transactions per accepted job.
    pub(crate) transactions_per_job: f64,
    /// Refusals, by kind of error.
    pub(crate) refused: IndexMap<ErrorKind, u64>,
    /// Calls whose outcome is unknown: the work may have run.
    pub(crate) unknown: u64,
    /// Additional effects of idempotent work.
    pub(crate) reruns: u64,
    /// Calls that were not sent to any entry.
    pub(crate) not_sent: u64,
}

impl DemoReport {
    /// Compares the clients' records with the effects in the targets' ledgers.
    pub(crate) fn new(
        records: &[WorkRecord],
        effects_of: impl Fn(u64) -> WorkCounts,
        seconds: u64,
        seed: u64,
    ) -> Self {
        let mut report = Self { seconds, seed, handed_in: records.len() as u64, ..Self::default() };
        let mut latencies = LatencyHistogram::new();
        for record in records {
            let effects = effects_of(record.marker);
            report.count_effects(record, effects);
            report.count_outcome(record, effects, &mut latencies);
        }
        report.p50_ms = latencies.quantile_ms(0.50);
        report.p99_ms = latencies.quantile_ms(0.99);
        report
    }

    /// Returns whether any invariant was violated.
    pub(crate) fn has_violations(&self) -> bool {
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

    /// Returns the report as text for the terminal.
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
        let verdict =
            if self.has_violations() { "BROKEN" } else { "everything that must hold held" };
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

    fn count_effects(&mut self, record: &WorkRecord, effects: WorkCounts) {
        let additional = u64::from(effects.effects.saturating_sub(1));
        if record.queue.idempotent {
            self.reruns += additional;
        } else {
            self.doubled += additional;
        }
    }

    fn count_outcome(
        &mut self,
        record: &WorkRecord,
        effects: WorkCounts,
        latencies: &mut LatencyHistogram,
    ) {
        match record.call_outcome {
            CallOutcome::Answered { latency, matches_payload } => {
                self.answered += 1;
                self.wrong_answers += u64::from(!matches_payload);
                self.lost += u64::from(effects.effects == 0);
                latencies.record(latency);
            }
            CallOutcome::Refused { kind, outcome } => {
                *self.refused.entry(kind).or_default() += 1;
                let ran = effects.effects > 0;
                self.not_run_but_ran += u64::from(outcome == WorkOutcome::NotRun && ran);
                self.unknown += u64::from(outcome == WorkOutcome::Unknown);
            }
            CallOutcome::NoAnswer => self.unknown += 1,
            CallOutcome::NotSent => {
                self.not_sent += 1;
                self.not_run_but_ran += u64::from(effects.effects > 0);
            }
            CallOutcome::Accepted(job) => self.count_job(job, effects),
        }
    }

    fn count_job(&mut self, job: JobRecord, effects: WorkCounts) {
        self.accepted += 1;
        self.doubled += u64::from(job.final_state_changed);
        match job.final_state {
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

/// Histogram of latencies in milliseconds.
struct LatencyHistogram {
    histogram: Option<Histogram<u64>>,
}

impl LatencyHistogram {
    fn new() -> Self {
        Self { histogram: Histogram::new_with_max(MAX_LATENCY_MS, 3).ok() }
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
