//! Measures the time of one plan by fleet size.

use std::io;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use magnoliapin_fleet::plan;
use magnoliapin_fleet::DemandHistory;
use magnoliapin_fleet::FleetSnapshot;
use magnoliapin_fleet::InstanceStatus;
use magnoliapin_fleet::StepWrites;
use magnoliapin_fleet::UnixSeconds;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::QueueId;

use crate::deployment::instance_id;
use crate::deployment::pool_id;
use crate::deployment::record;
use crate::deployment::trial_start;

/// Measured fleet sizes, as instances and pools.
const SIZES: [(usize, usize); 3] = [(50, 5), (500, 20), (3_300, 101)];
const ROUNDS: usize = 41;

/// Measures each fleet size and writes the table in Markdown.
pub(crate) fn write_table(output: &mut impl Write) -> io::Result<()> {
    writeln!(output, "Time of one plan, median and longest of {ROUNDS}:\n")?;
    writeln!(output, "| instances | pools | steps | median ms | longest ms |")?;
    writeln!(output, "|---|---|---|---|---|")?;
    for (instances, pools) in SIZES {
        let (steps, times) = measure(instances, pools);
        let (median, longest) = (millis(times[ROUNDS / 2]), millis(times[ROUNDS - 1]));
        writeln!(output, "| {instances} | {pools} | {steps} | {median:.2} | {longest:.2} |")?;
    }
    Ok(())
}

/// Returns the number of steps and the sorted times of plans for a fleet in which maintenance, a
/// roll-out and moves are due at once.
fn measure(instances: usize, pools: usize) -> (usize, Vec<Duration>) {
    let mut document = document(instances, pools);
    let mut snapshot = snapshot(instances, pools);
    let mut history = DemandHistory::default();
    for (number, queue) in document.queues.keys().enumerate() {
        history.observe(*queue, 10.0 * (number % 7) as f64, trial_start());
        history.observe(*queue, 10.0 * (number % 7) as f64, trial_start().after(3_600));
    }
    for step in plan(&snapshot, &document, &history, trial_start()) {
        if let Ok(writes) = StepWrites::new(&snapshot, &document, &step, trial_start()) {
            writes.apply_to(&mut snapshot, &[]);
        }
    }
    document.pools.values_mut().for_each(|section| section.image = "two".to_owned());
    let now = UnixSeconds(trial_start().0 + 20 * 86_400);
    let mut steps = 0;
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let started_at = Instant::now();
            steps = plan(&snapshot, &document, &history, now).len();
            started_at.elapsed()
        })
        .collect();
    times.sort();
    (steps, times)
}

fn document(instances: usize, pools: usize) -> ConfigDocument {
    let mut document = ConfigDocument::default();
    for number in 0..pools {
        let pool = pool_id(&format!("pool-{number}"));
        let section = document.pools.entry(pool).or_default();
        section.instances = u32::try_from(instances / pools).unwrap_or(u32::MAX);
        section.max_unavailable = 2;
        section.spare = number + 1 == pools;
        section.image = "one".to_owned();
        if !section.spare {
            let queue = QueueId::new(&format!("queue-{number}")).unwrap();
            document.queues.entry(queue).or_default().pool = pool;
        }
    }
    document.maintenance.max_racks = 40;
    document
}

fn snapshot(instances: usize, pools: usize) -> FleetSnapshot {
    let mut snapshot = FleetSnapshot::default();
    for number in 0..instances {
        let record = record(number, number / 4, 4, &format!("pool-{}", number % pools));
        let status = InstanceStatus { record: Some(record), ..InstanceStatus::default() };
        snapshot.instances.insert(instance_id(number), status);
    }
    snapshot
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
