//! Tests of the order of jobs.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::JobSpec;
use magnoliapin_site::PoolName;
use magnoliapin_site::QueueName;
use magnoliapin_site::QueueRule;
use magnoliapin_site::StepSpec;

use super::allowed_time;
use super::critical_path;
use crate::decisions::job_order::Deadline;
use crate::decisions::job_order::RankClass;
use crate::decisions::job_order::LATE_FACTOR;
use crate::leader::queue_statistics::QueueStatistics;
use crate::rows::JobRule;

fn queue(stretch_factor: f64) -> QueueRule {
    QueueRule {
        name: QueueName::new("queue"),
        host: String::new(),
        path_prefix: String::new(),
        pool: PoolName::new("pool"),
        priority: 0,
        max_attempts: 3,
        stretch_factor,
        target_latency: Duration::MAX,
        is_public: false,
        advice: None,
    }
}

/// A client's estimates and an operator's factors must not overflow: the panic would end the
/// leader, and then each of its successors, as the job is stored.
#[test]
fn no_estimate_or_factor_overflows() {
    let steps = (0..256).map(|number| StepSpec {
        tasks: 1,
        estimate_ms: u64::MAX,
        after: if number == 0 { Vec::new() } else { vec![number - 1] },
        ..StepSpec::default()
    });
    let spec = JobSpec { steps: steps.collect(), ..JobSpec::default() };
    let mut statistics = QueueStatistics::default();
    for _ in 0..2 {
        for factor in [-1.0, 0.0, 1.6, 1e300, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
            let ideal = critical_path(&spec, &statistics, |_| true);
            let allowed = allowed_time(ideal, &JobRule::new(&queue(factor)));
            let late = allowed.saturating_mul(LATE_FACTOR);
            assert!(Moment::START + late >= Moment::START, "{factor}: {late:?}");
            let deadline = Deadline { due_at: Moment::START, allowed, remaining: ideal };
            let class = deadline.class(Moment::START);
            assert!(class >= RankClass::InTime, "{factor}: {class:?}");
        }
        statistics.record_run(u64::MAX, Duration::MAX);
    }
}
