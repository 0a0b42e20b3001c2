//! Tests of the updates between reports.

use magnoliapin_model::UnixMillis;
use magnoliapin_site::JobId;
use magnoliapin_site::RunChange;
use magnoliapin_site::RunCompletion;
use magnoliapin_site::RunId;
use magnoliapin_site::RunOutcome;
use magnoliapin_site::RunReport;
use magnoliapin_site::RunningTask;
use magnoliapin_site::TaskName;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::KnownReport;

fn run(index: u32) -> RunId {
    let task = TaskName { job: JobId(7), index, ..TaskName::default() };
    RunId { task, attempt: 1 }
}

fn random_report(random: &mut Pcg64Mcg, last_completion: &mut u64) -> RunReport {
    let mut running = Vec::new();
    for index in 0..12 {
        if random.random_bool(0.6) {
            let checkpoint = (index % 2 == 0).then(|| random.random_range(0..3).to_string());
            running.push(RunningTask { run: run(index), checkpoint, percent: 0, gauge: None });
        }
    }
    let first = last_completion.saturating_sub(random.random_range(0..2)) + 1;
    *last_completion += random.random_range(0..3);
    let completions = (first..=*last_completion).map(|number| RunCompletion {
        number,
        run: run(number as u32),
        outcome: RunOutcome::Done,
        checkpoint: None,
    });
    let completions = completions.collect();
    RunReport {
        clock_ms: random.random_range(0..1000),
        started_at: UnixMillis(5),
        running,
        completions,
        has_more_completions: false,
    }
}

fn sorted(mut running: Vec<RunningTask>) -> Vec<RunningTask> {
    running.sort_by_key(|task| task.run);
    running
}

/// Whatever replies are lost, the receiver reconstructs each report that it gets.
#[test]
fn updates_reconstruct_reports_when_replies_are_lost() {
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let (mut sender, mut receiver) = (KnownReport::default(), KnownReport::default());
    let (mut last_completion, mut highest, mut incremental) = (0, 0, 0);
    for _ in 0..2_000 {
        let report = random_report(&mut random, &mut last_completion);
        let update = sender.replace(&report, receiver.number());
        incremental += u32::from(update.base != 0);
        if random.random_bool(0.2) {
            continue;
        }
        let received = receiver.apply(update).expect("the base is the receiver's report");
        assert_eq!(sorted(received.running), sorted(report.running));
        assert_eq!((received.clock_ms, received.started_at), (report.clock_ms, report.started_at));
        for completion in report.completions {
            let is_new = completion.number > highest;
            assert!(!is_new || received.completions.contains(&completion), "{completion:?}");
        }
        highest =
            highest.max(received.completions.iter().map(|ended| ended.number).max().unwrap_or(0));
    }
    assert!(incremental > 1_000, "most updates are incremental: {incremental}");
}

#[test]
fn an_update_of_another_report_is_rejected() {
    let mut random = Pcg64Mcg::seed_from_u64(4);
    let (mut sender, mut receiver) = (KnownReport::default(), KnownReport::default());
    let first = sender.replace(&random_report(&mut random, &mut 0), 0);
    assert!(receiver.apply(first).is_some());
    let second = sender.replace(&random_report(&mut random, &mut 0), 1);
    let third = sender.replace(&random_report(&mut random, &mut 0), 2);
    assert_eq!(receiver.apply(third), None, "it is based on the second report");
    assert!(receiver.apply(second).is_some());
}

/// A new incarnation numbers its completions from 1.
#[test]
fn a_new_incarnation_is_reported_completely() {
    let mut sender = KnownReport::default();
    let completions = |number| {
        let outcome = RunOutcome::Done;
        vec![RunCompletion { number, run: run(1), outcome, checkpoint: None }]
    };
    let before = RunReport {
        started_at: UnixMillis(1),
        completions: completions(9),
        ..RunReport::default()
    };
    sender.replace(&before, 0);
    let after = RunReport {
        started_at: UnixMillis(2),
        completions: completions(1),
        ..RunReport::default()
    };
    let update = sender.replace(&after, 1);
    assert_eq!((update.base, update.completions.len()), (0, 1));
    assert_eq!(update.started_at, Some(UnixMillis(2)));
}

/// Progress is only part of an update when the availability of the task changes with it.
#[test]
fn availability_is_reported() {
    let report = |percent| RunReport {
        running: vec![RunningTask { run: run(1), percent, ..RunningTask::default() }],
        ..RunReport::default()
    };
    let (mut sender, mut receiver) = (KnownReport::default(), KnownReport::default());
    assert!(receiver.apply(sender.replace(&report(10), 0)).is_some());
    assert!(sender.replace(&report(60), 1).changed.is_empty());
    let update = sender.replace(&report(100), 2);
    assert_eq!(update.changed.len(), 1);
}

/// Updates that do not fit the report are rejected or applied without a panic.
#[test]
fn damaged_updates_do_no_harm() {
    let mut random = Pcg64Mcg::seed_from_u64(5);
    for _ in 0..5_000 {
        let mut receiver = KnownReport::default();
        let mut sender = KnownReport::default();
        let mut last = 0;
        receiver.apply(sender.replace(&random_report(&mut random, &mut last), 0));
        let mut update = sender.replace(&random_report(&mut random, &mut last), 1);
        update.base = random.random_range(0..3);
        update.removed.push(random.random());
        update.changed.push((random.random_range(0..20), RunChange::default()));
        receiver.apply(update);
    }
}
