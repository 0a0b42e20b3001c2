//! Tasks that crash every target that starts them.

use std::time::Duration;

use magnoliapin_site::JobId;
use magnoliapin_site::RunId;
use magnoliapin_site::TaskName;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::world::Event;
use crate::world::World;

/// How many jobs crash their targets, and how soon.
#[derive(Clone, Copy)]
pub(crate) struct CrashLoad {
    /// Share of the jobs that have a task which crashes its targets.
    job_share: f64,
    /// Longest time from the start of such a task to the crash, in milliseconds.
    longest_delay_ms: u64,
}

/// A few jobs whose tasks run for a while before they crash their targets.
pub(crate) const FEW_CRASHES: CrashLoad = CrashLoad { job_share: 0.04, longest_delay_ms: 1_000 };
/// So many jobs whose tasks crash their targets at once that most targets are down.
pub(crate) const CRASH_STORM: CrashLoad = CrashLoad { job_share: 0.15, longest_delay_ms: 40 };
/// Draws which jobs crash their targets, and when.
pub(crate) struct CrashSource {
    random: Pcg64Mcg,
    load: CrashLoad,
}

/// Shortest time from the start of such a task to the crash, in milliseconds.
const SHORTEST_DELAY_MS: u64 = 20;

/// Crashes under a task after which it may be given up.
pub(crate) const GIVE_UP_CRASHES: u32 = 2;
/// Crashes under a task after which its further starts are limited.
const LIMITING_CRASHES: u32 = 3;
/// Number of these further starts that is one too many.
const EXCESS_STARTS: u32 = 3;

/// What targets have observed of a task that crashes them.
#[derive(Clone, Copy, Default)]
pub(crate) struct CrashRecord {
    pub(crate) crashes: u32,
    /// Starts by nodes in touch after [`LIMITING_CRASHES`].
    further_starts: u32,
}

impl World {
    /// Lets some jobs have a task that crashes its targets.
    pub(crate) fn with_crashing_tasks(mut self, seed: u64, load: CrashLoad) -> Self {
        self.crash_source = Some(CrashSource { random: Pcg64Mcg::seed_from_u64(seed), load });
        self
    }

    /// Draws whether a new job has a task that crashes its targets.
    pub(crate) fn draw_crashing_task(&mut self, job: JobId) {
        let Some(CrashSource { random, load }) = &mut self.crash_source else { return };
        let spec = &self.checker.jobs[&job].spec;
        if spec.is_long_running() || !random.random_bool(load.job_share) {
            return;
        }
        let step = random.random_range(0..spec.steps.len());
        let index = random.random_range(0..spec.steps[step].tasks);
        let task = TaskName { job, step: step as u16, index, ..TaskName::default() };
        self.checker.crashing_tasks.insert(task, CrashRecord::default());
    }

    /// Checks a start if the task crashes its targets, and schedules the crash.
    pub(crate) fn handle_crashing_start(&mut self, target: usize, run: RunId, is_in_touch: bool) {
        let Some(record) = self.checker.crashing_tasks.get_mut(&run.task) else { return };
        let crashes = record.crashes;
        if crashes >= LIMITING_CRASHES && is_in_touch {
            record.further_starts += 1;
            if record.further_starts == EXCESS_STARTS {
                let text = format!(
                    "{}: started {EXCESS_STARTS} more times after {LIMITING_CRASHES} targets have \
                     crashed under it, {crashes} by now",
                    run.task
                );
                self.checker.report_violation(self.now, &text);
            }
        }
        let Some(CrashSource { random, load }) = &mut self.crash_source else { return };
        let delay = random.random_range(SHORTEST_DELAY_MS..load.longest_delay_ms);
        let delay = Duration::from_millis(delay);
        let incarnation = self.targets[target].record.started_at.0;
        self.schedule_after(delay, Event::TaskCrash(target, incarnation, run.task));
    }

    /// Crashes a target on which a crashing task still runs.
    pub(crate) fn crash_target_by_task(&mut self, number: usize, incarnation: u64, task: TaskName) {
        let target = &self.targets[number];
        let is_running = target.record.started_at.0 == incarnation
            && target.is_up
            && target.running_tasks().contains(&task);
        if !is_running {
            return;
        }
        self.take_target_down(number);
        let Some(CrashSource { random, .. }) = &mut self.crash_source else { return };
        let downtime = Duration::from_millis(random.random_range(1_000..6_000));
        self.targets[number].down_until = self.now + downtime;
        // This is no fault of the site, so the nodes stay in touch.
        self.schedule_after(downtime, Event::TargetRestart(number));
    }

    /// Counts a crash of a target under the crashing tasks that it runs.
    pub(crate) fn count_crash(&mut self, number: usize) {
        for task in self.targets[number].running_tasks() {
            if let Some(record) = self.checker.crashing_tasks.get_mut(&task) {
                record.crashes += 1;
            }
        }
    }
}
