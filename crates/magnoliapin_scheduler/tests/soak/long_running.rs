//! Checks long-running tasks: that orders respect `max_unavailable`, and that tasks run while there
//! is room for them.

use std::time::Duration;

use magnoliapin_site::TargetState;
use magnoliapin_site::TaskName;

use crate::site;
use crate::world::Event;
use crate::world::World;

/// Time from the start of a run until its task is ready.
const STARTUP_TIME: Duration = Duration::from_secs(1);
/// Time after which a task that is not ready counts as unavailable, whatever the cause.
const UNAVAILABLE_AFTER: Duration = Duration::from_millis(4_500);
/// Time between two checks of the long-running tasks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Consecutive checks with room for an idle task after which it counts as a violation.
const IDLE_CHECK_LIMIT: u32 = 6;
/// Time after its last run, or after its job was accepted, in which a task must run again.
const MAX_RESTART_TIME: Duration = Duration::from_secs(6);
/// Time without faults before tasks must run.
const FAULT_FREE_TIME: Duration = Duration::from_secs(7);

impl World {
    /// Checks an order that interrupts what a target runs: the task `only`, or all tasks.
    pub(crate) fn check_interruption(&mut self, number: usize, only: Option<TaskName>) {
        let incarnation = self.targets[number].record.started_at.0;
        let is_target_healthy = self.targets[number].record.state == TargetState::Ready
            && self.faults.failing_target != Some(number);
        let tasks = self.targets[number].running_tasks();
        for task in tasks.into_iter().filter(|task| only.is_none_or(|only| only == *task)) {
            let Some(job) = self.checker.jobs.get(&task.job) else { continue };
            let spec = &job.spec.steps[usize::from(task.step)];
            let (is_cancelled, count) = (job.cancel_sent, spec.tasks);
            let Some(limit) = spec.max_unavailable.filter(|_| spec.long_running) else { continue };
            let is_ready = self.checker.is_ready(task, self.now, STARTUP_TIME);
            let siblings = (0..count).filter(|index| *index != task.index);
            let unavailable = siblings
                .filter(|index| {
                    let sibling = TaskName { index: *index, ..task };
                    self.checker.is_unavailable(sibling, self.now, STARTUP_TIME, UNAVAILABLE_AFTER)
                })
                .count();
            if is_ready && is_target_healthy && !is_cancelled && unavailable >= limit as usize {
                let text =
                    format!("{task}: interrupted while {unavailable} other tasks are unavailable");
                self.checker.report_violation(self.now, &text);
            }
            self.checker.record_interruption(number, incarnation, task);
        }
    }

    /// Checks that no long-running task stays idle while there is room for it.
    pub(crate) fn check_long_running(&mut self) {
        self.schedule_after(CHECK_INTERVAL, Event::CheckLongRunning);
        let is_fault_free = self.is_fault_free(FAULT_FREE_TIME);
        let mut idle = Vec::new();
        for (id, job) in &self.checker.jobs {
            // Team 1 has a cap, so its tasks may have to wait.
            if job.accepted_at.is_none() || job.cancel_sent || job.team != 0 {
                continue;
            }
            for (step, spec) in job.spec.steps.iter().enumerate() {
                if !spec.long_running {
                    continue;
                }
                for index in 0..spec.tasks {
                    let task =
                        TaskName { job: *id, step: step as u16, index, ..TaskName::default() };
                    let since = self.checker.idle_since(task).or(job.accepted_at);
                    let is_idle = self.checker.is_idle(task)
                        && since.is_some_and(|since| self.now.since(since) > MAX_RESTART_TIME);
                    if is_idle && is_fault_free && self.has_room(task) {
                        idle.push(task);
                    }
                }
            }
        }
        self.idle_checks.retain(|task, _| idle.contains(task));
        for task in idle {
            let checks = self.idle_checks.entry(task).or_default();
            *checks += 1;
            if *checks == IDLE_CHECK_LIMIT {
                let text =
                    format!("{task}: is long-running and idle although there is room for it");
                self.checker.report_violation(self.now, &text);
            }
        }
    }

    /// Returns whether a target has room for twice the demand of a task, and less than half of the
    /// pool's CPU is used.
    fn has_room(&self, task: TaskName) -> bool {
        let spec = &self.checker.jobs[&task.job].spec.steps[usize::from(task.step)];
        let pool = site::pool_name(task.job.0 as usize % site::POOLS);
        let (mut used, mut total, mut has_suitable_target) = (0, 0, false);
        for target in &self.targets {
            let is_usable = target.is_up
                && target.record.pool == pool
                && target.record.state == TargetState::Ready;
            if !is_usable {
                continue;
            }
            used += target.used().cpu_milli;
            total += target.record.capacity.cpu_milli;
            let siblings = target
                .running_tasks()
                .into_iter()
                .filter(|other| other.job == task.job && other.step == task.step && *other != task);
            let satisfies_anti_affinity =
                spec.anti_affinity == 0 || siblings.count() < spec.anti_affinity as usize;
            let free = target.record.capacity.saturating_sub(target.used());
            has_suitable_target |=
                satisfies_anti_affinity && spec.demand.saturating_mul(2).fits_in(free);
        }
        has_suitable_target && used * 2 < total
    }
}
