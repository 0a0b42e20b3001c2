//! Sends the work of a demo run at its arrival times and waits for its jobs to finish.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use magnoliapin_entry::TaskSpawner;
use smol::lock::Semaphore;
use smol::Task;
use smol::Timer;

use crate::demo::client::DemoClient;
use crate::demo::record::CallOutcome;
use crate::demo::record::WorkRecord;
use crate::demo::traffic::WorkArrival;

/// Most calls in flight at once.
const MAX_CONCURRENT_CALLS: usize = 512;

/// Most jobs that are polled at once.
const MAX_POLLED_JOBS: usize = 32;

/// Longest wait for the jobs to finish after the last call has completed.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Progress of the load, shared with the terminal display.
#[derive(Debug, Default)]
pub(crate) struct LoadProgress {
    /// Calls started.
    pub(crate) started_calls: AtomicU64,
    /// Calls completed, with or without a reply.
    pub(crate) completed_calls: AtomicU64,
    /// Accepted jobs without a known final state.
    pub(crate) open_jobs: AtomicU64,
}

/// Generates the load of a demo run.
pub(crate) struct DemoLoad {
    client: Arc<DemoClient>,
    spawner: TaskSpawner,
    progress: Arc<LoadProgress>,
}

impl DemoLoad {
    /// Creates a load whose tasks run on the threads of `spawner`.
    pub(crate) fn new(client: DemoClient, spawner: TaskSpawner) -> Self {
        Self { client: Arc::new(client), spawner, progress: Arc::default() }
    }

    /// Returns the progress counters.
    pub(crate) fn progress(&self) -> Arc<LoadProgress> {
        Arc::clone(&self.progress)
    }

    /// Sends each arrival at its time, waits for the jobs and returns a record for each arrival.
    pub(crate) async fn run(&self, arrivals: Vec<WorkArrival>) -> Vec<WorkRecord> {
        let calls = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
        let start = Instant::now();
        let mut tasks = Vec::new();
        for arrival in arrivals {
            Timer::at(start + arrival.at).await;
            let permit = calls.acquire_arc().await;
            let client = Arc::clone(&self.client);
            let progress = self.progress();
            progress.started_calls.fetch_add(1, Ordering::Relaxed);
            tasks.extend(self.spawner.spawn(async move {
                let record = client.send_work(&arrival).await;
                progress.completed_calls.fetch_add(1, Ordering::Relaxed);
                drop(permit);
                record
            }));
        }
        let records = join_tasks(tasks).await;
        self.await_jobs(records).await
    }

    /// Waits for the jobs to finish, then reads each once more to detect a changed final state.
    async fn await_jobs(&self, records: Vec<WorkRecord>) -> Vec<WorkRecord> {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let accepted =
            records.iter().filter(|record| matches!(record.call_outcome, CallOutcome::Accepted(_)));
        self.progress.open_jobs.store(accepted.count() as u64, Ordering::Relaxed);
        let records = self.poll_jobs(records, move |_| deadline).await;
        self.poll_jobs(records, |_| Instant::now()).await
    }

    async fn poll_jobs(
        &self,
        records: Vec<WorkRecord>,
        deadline_of: impl Fn(&WorkRecord) -> Instant,
    ) -> Vec<WorkRecord> {
        let polls = Arc::new(Semaphore::new(MAX_POLLED_JOBS));
        let mut tasks = Vec::new();
        for mut record in records {
            let CallOutcome::Accepted(mut job) = record.call_outcome else {
                tasks.extend(self.spawner.spawn(async move { record }));
                continue;
            };
            let permit = polls.acquire_arc().await;
            let client = Arc::clone(&self.client);
            let deadline = deadline_of(&record);
            let progress = self.progress();
            tasks.extend(self.spawner.spawn(async move {
                let was_final = job.final_state.is_some();
                client.poll_job(record.team, &mut job, deadline).await;
                if job.final_state.is_some() && !was_final {
                    progress.open_jobs.fetch_sub(1, Ordering::Relaxed);
                }
                record.call_outcome = CallOutcome::Accepted(job);
                drop(permit);
                record
            }));
        }
        join_tasks(tasks).await
    }
}

async fn join_tasks(tasks: Vec<Task<WorkRecord>>) -> Vec<WorkRecord> {
    let mut records = Vec::with_capacity(tasks.len());
    for task in tasks {
        records.push(task.await);
    }
    records
}
