//! Judges tasks that last: who interrupts them, and whether they run while there is room.

use std::time::Duration;

use magnoliapin_site::TargetState;
use magnoliapin_site::TaskName;

use crate::site;
use crate::world::Event;
use crate::world::World;

/// Time that a task takes until it is at work.
const START_TIME: Duration = Duration::from_secs(1);
/// Time after which a task that is not at work counts as away, whatever the cause.
const NOTICE_TIME: Duration = Duration::from_millis(4_500);
/// Time between two looks at tasks that do not run.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Looks in a row at which a task does not run though there is room.
const MOST_CHECKS: u32 = 6;
/// Time after its last run from which a task must run.
const RESTART_TIME: Duration = Duration::from_secs(6);
/// Time without faults before tasks must run.
const CALM_TIME: Duration = Duration::from_secs(7);

impl World {
    /// Judges an order that ends what a target runs: one task, or all.
    pub(crate) fn judge_order(&mut self, number: usize, only: Option<TaskName>) {
        let life = self.targets[number].record.born_at.0;
        let is_sound = self.targets[number].record.state == TargetState::Ready
            && self.faults.bad_target != Some(number);
        let tasks = self.targets[number].running_tasks();
        for task in tasks.into_iter().filter(|task| only.is_none_or(|only| only == *task)) {
            let Some(job) = self.judge.jobs.get(&task.job) else { continue };
            let spec = &job.spec.steps[usize::from(task.step)];
            let (is_cancelled, count) = (job.cancel_sent, spec.tasks);
            let Some(most) = spec.max_unavailable.filter(|_| spec.long_running) else { continue };
            let is_at_work = self.judge.is_at_work(task, self.now, START_TIME);
            let others = (0..count).filter(|index| *index != task.index);
            let away = others
                .filter(|index| {
                    let other = TaskName { index: *index, ..task };
                    self.judge.is_away(other, self.now, START_TIME, NOTICE_TIME)
                })
                .count();
            if is_at_work && is_sound && !is_cancelled && away >= most as usize {
                let text = format!("{task}: interrupted while {away} others are away");
                self.judge.fault(self.now, &text);
            }
            self.judge.note_ordered(number, life, task);
        }
    }

    /// Looks at the tasks that last and do not run.
    pub(crate) fn check_lasting(&mut self) {
        self.at(CHECK_INTERVAL, Event::Check);
        let is_calm = self.is_calm(CALM_TIME);
        let mut idle = Vec::new();
        for (id, job) in &self.judge.jobs {
            // The other team is capped.
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
                    let since = self.judge.idle_since(task).or(job.accepted_at);
                    let is_idle = self.judge.is_idle(task)
                        && since.is_some_and(|since| self.now.since(since) > RESTART_TIME);
                    if is_idle && is_calm && self.has_room(task) {
                        idle.push(task);
                    }
                }
            }
        }
        self.idle_checks.retain(|task, _| idle.contains(task));
        for task in idle {
            let checks = self.idle_checks.entry(task).or_default();
            *checks += 1;
            if *checks == MOST_CHECKS {
                let text = format!("{task}: is to last and does not run, with room for it");
                self.judge.fault(self.now, &text);
            }
        }
    }

    /// Returns whether a target has room for a task twice over, and the pool is not half full.
    fn has_room(&self, task: TaskName) -> bool {
        let spec = &self.judge.jobs[&task.job].spec.steps[usize::from(task.step)];
        let pool = site::pool_name(task.job.0 as usize % site::POOLS);
        let (mut used, mut whole, mut has_place) = (0, 0, false);
        for target in &self.targets {
            let is_open = target.is_up
                && target.record.pool == pool
                && target.record.state == TargetState::Ready;
            if !is_open {
                continue;
            }
            used += target.used().cpu_milli;
            whole += target.record.capacity.cpu_milli;
            let same = target
                .running_tasks()
                .into_iter()
                .filter(|other| other.job == task.job && other.step == task.step && *other != task);
            let is_apart = spec.anti_affinity == 0 || same.count() < spec.anti_affinity as usize;
            let free = target.record.capacity.less(target.used());
            has_place |= is_apart && spec.demand.times(2).fits(free);
        }
        has_place && used * 2 < whole
    }
}
