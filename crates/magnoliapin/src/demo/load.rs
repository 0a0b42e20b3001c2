//! Hands in the work of a whole run and waits for the ends of its jobs.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use magnoliapin_entry::TaskSpawner;
use smol::lock::Semaphore;
use smol::Task;
use smol::Timer;

use crate::demo::caller::DemoCaller;
use crate::demo::note::CallerTold;
use crate::demo::note::WorkNote;
use crate::demo::traffic::WorkArrival;

/// Most calls of the callers that are under way at once.
const MAX_CALLS: usize = 512;

/// Most jobs that are followed at once.
const MAX_FOLLOWED: usize = 32;

/// Longest wait for the ends of the jobs once the load is over.
const SETTLE_TIME: Duration = Duration::from_secs(60);

/// How far the load has come; shared with whoever shows it.
#[derive(Debug, Default)]
pub(crate) struct LoadProgress {
    /// Pieces of work handed in.
    pub(crate) handed_in: AtomicU64,
    /// Calls that have come to an end.
    pub(crate) told: AtomicU64,
    /// Accepted jobs whose end is not known yet.
    pub(crate) open_jobs: AtomicU64,
}

/// Hands in the work of a whole run.
pub(crate) struct DemoLoad {
    caller: Arc<DemoCaller>,
    spawner: TaskSpawner,
    progress: Arc<LoadProgress>,
}

impl DemoLoad {
    /// Makes a load that runs on the threads of `spawner`.
    pub(crate) fn new(caller: DemoCaller, spawner: TaskSpawner) -> Self {
        Self { caller: Arc::new(caller), spawner, progress: Arc::default() }
    }

    /// Returns how far the load has come.
    pub(crate) fn progress(&self) -> Arc<LoadProgress> {
        Arc::clone(&self.progress)
    }

    /// Hands in each arrival at its time and returns what became of them, jobs included.
    pub(crate) async fn run(&self, arrivals: Vec<WorkArrival>) -> Vec<WorkNote> {
        let calls = Arc::new(Semaphore::new(MAX_CALLS));
        let start = Instant::now();
        let mut tasks = Vec::new();
        for arrival in arrivals {
            Timer::at(start + arrival.at).await;
            let permit = calls.acquire_arc().await;
            let caller = Arc::clone(&self.caller);
            let progress = self.progress();
            progress.handed_in.fetch_add(1, Ordering::Relaxed);
            tasks.extend(self.spawner.spawn(async move {
                let note = caller.hand_in(&arrival).await;
                progress.told.fetch_add(1, Ordering::Relaxed);
                drop(permit);
                note
            }));
        }
        let notes = join(tasks).await;
        self.settle(notes).await
    }

    /// Waits for the ends of the jobs, then reads each once more.
    async fn settle(&self, notes: Vec<WorkNote>) -> Vec<WorkNote> {
        let deadline = Instant::now() + SETTLE_TIME;
        let open = notes.iter().filter(|note| matches!(note.told, CallerTold::Accepted(_)));
        self.progress.open_jobs.store(open.count() as u64, Ordering::Relaxed);
        let notes = self.follow(notes, move |_| deadline).await;
        self.follow(notes, |_| Instant::now()).await
    }

    async fn follow(
        &self,
        notes: Vec<WorkNote>,
        deadline_of: impl Fn(&WorkNote) -> Instant,
    ) -> Vec<WorkNote> {
        let reads = Arc::new(Semaphore::new(MAX_FOLLOWED));
        let mut tasks = Vec::new();
        for mut note in notes {
            let CallerTold::Accepted(mut job) = note.told else {
                tasks.extend(self.spawner.spawn(async move { note }));
                continue;
            };
            let permit = reads.acquire_arc().await;
            let caller = Arc::clone(&self.caller);
            let deadline = deadline_of(&note);
            let progress = self.progress();
            tasks.extend(self.spawner.spawn(async move {
                let had_end = job.end.is_some();
                caller.follow(note.team, &mut job, deadline).await;
                if job.end.is_some() && !had_end {
                    progress.open_jobs.fetch_sub(1, Ordering::Relaxed);
                }
                note.told = CallerTold::Accepted(job);
                drop(permit);
                note
            }));
        }
        join(tasks).await
    }
}

async fn join(tasks: Vec<Task<WorkNote>>) -> Vec<WorkNote> {
    let mut notes = Vec::with_capacity(tasks.len());
    for task in tasks {
        notes.push(task.await);
    }
    notes
}
