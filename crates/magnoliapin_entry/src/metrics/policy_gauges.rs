//! Counters of the running state machine.

use magnoliapin_policy::PolicyCounts;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CountLabels {
    count: &'static str,
}

/// Counters of the running state machine. They start at zero when it restarts.
#[derive(Clone, Debug, Default)]
pub(crate) struct PolicyGauges {
    gauges: Family<CountLabels, Gauge>,
}

impl PolicyGauges {
    /// Adds the gauges to a registry.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "policy_count",
            "Counters of the machine that runs now, by name",
            self.gauges.clone(),
        );
    }

    /// Sets the gauges to the values of the counters.
    pub(crate) fn set(&self, counts: &PolicyCounts) {
        for (count, value) in named_counts(counts) {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            self.gauges.get_or_create(&CountLabels { count }).set(value);
        }
    }
}

fn named_counts(counts: &PolicyCounts) -> [(&'static str, u64); 23] {
    [
        ("first_starts", counts.first_starts),
        ("repeated_starts", counts.repeated_starts),
        ("full_refusals", counts.full_refusals),
        ("late_answers", counts.late_answers),
        ("failed_target_calls", counts.failed_target_calls),
        ("failed_platform_calls", counts.failed_platform_calls),
        ("transactions", counts.transactions),
        ("row_changes", counts.row_changes),
        ("conflicts", counts.conflicts),
        ("jobs_accepted", counts.jobs_accepted),
        ("jobs_ended", counts.jobs_ended),
        ("jobs_taken_over", counts.jobs_taken_over),
        ("entries_lost", counts.entries_lost),
        ("parts_reclaimed", counts.parts_reclaimed),
        ("requests_answered", counts.requests_answered),
        ("refusals", counts.refusals),
        ("stale_refusals", counts.stale_refusals),
        ("unknown_outcomes", counts.unknown_outcomes),
        ("quarantines", counts.quarantines),
        ("configs_in_force", counts.configs_in_force),
        ("unreadable_rows", counts.unreadable_rows),
        ("checked_invariants", counts.checked_invariants),
        ("broken_invariants", counts.broken_invariants),
    ]
}
