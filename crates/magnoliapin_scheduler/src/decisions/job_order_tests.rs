//! Tests of the order of jobs.
#![allow(clippy::print_stdout, reason = "one test prints its time")]

use std::time::Duration;
use std::time::Instant;

use magnoliapin_model::Moment;

use super::Deadline;
use super::JobOutlook;
use super::JobRank;
use super::RankClass;

fn outlook(class: RankClass, remaining_work: f64, accepted_ms: u64) -> JobOutlook {
    JobOutlook {
        priority: 0,
        class,
        is_over_share: false,
        value: 1.0,
        remaining_work,
        accepted_at: Moment::from_millis(accepted_ms),
    }
}

/// Late work must not take capacity from work that can be in time, however little it needs.
#[test]
fn jobs_are_ordered_by_priority_then_class_then_urgency_then_age() {
    let lower = JobOutlook { priority: 1, ..outlook(RankClass::InTime, 0.1, 0) };
    let over = |outlook| JobOutlook { is_over_share: true, ..outlook };
    let expected = [
        JobOutlook::long_running(0, Moment::from_millis(9)),
        outlook(RankClass::InTime, 1.0, 5),
        outlook(RankClass::InTime, 8.0, 3),
        outlook(RankClass::InTime, 8.0, 4),
        over(outlook(RankClass::InTime, 1.0, 0)),
        outlook(RankClass::Late, 0.0, 0),
        outlook(RankClass::Worthless, 0.0, 0),
        lower,
    ]
    .map(|outlook| outlook.rank());
    let mut sorted = expected;
    sorted.reverse();
    sorted.sort_by(JobRank::compare);
    assert_eq!(sorted, expected);
}

/// Prints the time in which a decision ranks and sorts 10,000 waiting jobs.
#[test]
fn the_time_of_a_decision_is_printed() {
    let started_at = Instant::now();
    let mut ranks: Vec<JobRank> = (0..10_000_u64)
        .map(|number| {
            let mut job = outlook(RankClass::Worthless, 0.0, number);
            let deadline = Deadline {
                due_at: Moment::START,
                allowed: Duration::from_millis(number * 7_919 % 20_000),
                remaining: Duration::from_millis(number % 977),
            };
            job.add_occurrence(&deadline, (number % 89) as f64, Moment::from_millis(10_000));
            job.rank()
        })
        .collect();
    ranks.sort_by(JobRank::compare);
    println!("{} jobs ordered in {:?}", ranks.len(), started_at.elapsed());
}
