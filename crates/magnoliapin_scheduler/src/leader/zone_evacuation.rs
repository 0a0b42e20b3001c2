//! Evacuation of zones that the operator requests.
//!
//! Nothing is placed in an evacuated zone, and no start is sent there: a run whose start was not sent is
//! dropped, one whose start may have been executed is stopped. Tasks that end by themselves finish in the
//! zone; long-running ones move out within the availability limits of their jobs.
//!
//! An evacuation may be requested that this node does not know yet. So, where the site bounds the time
//! of an evacuation, starts are sent only while the operator's rows are known as of a recent moment.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::Moment;
use magnoliapin_site::InstanceName;
use magnoliapin_site::PoolName;
use magnoliapin_site::TaskName;
use magnoliapin_site::ZoneName;

use crate::leader::job::Job;
use crate::leader::job::Task;
use crate::leader::job::TaskState;
use crate::leader::placement::Candidate;
use crate::leader::target::Run;
use crate::leader::target::RunStage;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::site_watch::EvacuatedZones;
use crate::times::START_TRANSIT_TIME;
use crate::NodeTimes;

#[cfg(test)]
#[path = "zone_evacuation_tests.rs"]
mod tests;

/// Time between two checks of the runs in evacuated zones.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two log messages about the progress of an evacuation.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Evacuated zones, and the progress of their evacuations.
#[derive(Debug)]
pub(super) struct ZoneEvacuation {
    /// The zones, and as of when they are known.
    evacuated: EvacuatedZones,
    next_poll_at: Moment,
    next_log_at: Moment,
    /// Progress of each evacuation as last logged.
    logged: IndexMap<ZoneName, Progress>,
    /// Whether the log says that all zones are evacuated.
    has_logged_all: bool,
    /// Whether starts are held because the operator's rows are not known as of a recent moment.
    is_holding: bool,
}

/// What is left in an evacuated zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Progress {
    targets: usize,
    instances: usize,
    /// Runs that end by themselves.
    runs: usize,
    long_running: usize,
}

impl ZoneEvacuation {
    /// Creates the state of a leader that does not know the operator's rows.
    pub(super) fn new(now: Moment) -> Self {
        Self {
            evacuated: EvacuatedZones::default(),
            next_poll_at: now,
            next_log_at: now,
            logged: IndexMap::new(),
            has_logged_all: false,
            is_holding: false,
        }
    }

    /// Returns whether a zone is evacuated.
    pub(super) fn includes(&self, zone: &ZoneName) -> bool {
        self.evacuated.zones.contains(zone)
    }

    fn is_empty(&self) -> bool {
        self.evacuated.zones.is_empty()
    }
}

/// Returns whether a start that is sent now begins before an evacuation that is not known yet can have
/// exceeded its bound. `known_at` is when the last answered call for the operator's rows was sent.
pub(super) fn may_send_start(now: Moment, known_at: Option<Moment>, times: &NodeTimes) -> bool {
    let Some(bound) = times.evacuation_time else { return true };
    // A call that waits for its agent expires with its timeout, and the agent's own call with it. The
    // target is reached later than the sender knows by at most the slack of a reply. Each repeated
    // start is checked anew.
    known_at.is_some_and(|at| now + START_TRANSIT_TIME <= at + bound)
}

/// Returns whether a long-running task whose step permits one more unavailable task may be stopped so
/// that it moves out of its zone.
///
/// `stopping` is the number of its siblings that are being stopped, `limit` the number that may be
/// unavailable, and `room` the number of targets that can take it beyond those that other tasks need. A
/// gang moves as a whole.
fn may_move_out(stopping: usize, limit: Option<u32>, gang_size: Option<u32>, room: usize) -> bool {
    let moved = gang_size.unwrap_or(1);
    let is_within_limit = limit.is_none_or(|limit| limit >= moved);
    // Without a limit, the tasks of a step still move one after the other.
    let is_its_turn = limit.is_some() || stopping == 0;
    is_within_limit && is_its_turn && room >= moved as usize
}

impl Leader {
    /// Sets the evacuated zones. Pools with targets in zones that have changed are dispatched again.
    pub(crate) fn set_evacuated_zones(&mut self, evacuated: &EvacuatedZones, now: Moment) {
        let state = &mut self.zone_evacuation;
        if state.is_holding && may_send_start(now, evacuated.known_at, &self.identity.times) {
            state.is_holding = false;
            log::info!("event=zones_known");
        }
        state.evacuated.known_at = evacuated.known_at;
        if state.evacuated.zones == evacuated.zones {
            return;
        }
        let before = std::mem::replace(&mut state.evacuated.zones, evacuated.zones.clone());
        (state.next_poll_at, state.next_log_at) = (now, now);
        state.logged.retain(|zone, _| evacuated.zones.contains(zone));
        let changed: IndexSet<&ZoneName> = before.symmetric_difference(&evacuated.zones).collect();
        let in_changed =
            self.targets.values().filter(|target| changed.contains(&target.record.zone));
        let pools: IndexSet<PoolName> =
            in_changed.map(|target| target.record.pool.clone()).collect();
        for pool in pools {
            self.mark_for_dispatch(&pool);
        }
    }

    /// Returns whether any zone is evacuated.
    pub(super) fn has_evacuated_zones(&self) -> bool {
        !self.zone_evacuation.is_empty()
    }

    /// Returns whether long-running tasks of a pool are in an evacuated zone.
    pub(super) fn has_tasks_to_move_out(&self, pool: &PoolName) -> bool {
        let Some(pool) = self.pools.get(pool).filter(|_| self.has_evacuated_zones()) else {
            return false;
        };
        let in_zones = pool.targets.iter().filter(|key| self.is_evacuated(**key));
        let mut targets = in_zones.filter_map(|key| self.targets.get(key));
        targets.any(|target| target.runs.values().any(|run| run.is_long_running))
    }

    /// Returns whether a target is in an evacuated zone.
    pub(super) fn is_evacuated(&self, key: TargetKey) -> bool {
        let target = self.targets.get(&key);
        target.is_some_and(|target| self.zone_evacuation.includes(&target.record.zone))
    }

    /// Returns whether an instance is in an evacuated zone, by the list or by a target that has answered.
    pub(super) fn is_instance_evacuated(&self, name: &InstanceName) -> bool {
        if self.zone_evacuation.is_empty() {
            return false;
        }
        let zone = self.fleet.zone_of(name);
        zone.is_some_and(|zone| self.zone_evacuation.includes(zone))
            || self.hosts.targets_of(name).iter().any(|key| {
                let has_answered = self.targets.get(key).is_some_and(|target| target.has_reported);
                has_answered && self.is_evacuated(*key)
            })
    }

    /// Returns whether starts are held because an evacuation may be unknown that has lasted too long.
    pub(super) fn holds_starts(&mut self, now: Moment) -> bool {
        let state = &mut self.zone_evacuation;
        let known_at = state.evacuated.known_at;
        let is_holding = !may_send_start(now, known_at, &self.identity.times);
        if is_holding && !std::mem::replace(&mut state.is_holding, true) {
            let age_ms = known_at.map(|at| now.since(at).as_millis());
            log::warn!("event=starts_held why=zones_unknown age_ms={age_ms:?}");
        }
        is_holding
    }

    /// Resolves a run that must not start in its zone: drops it if its start was never sent, and stops
    /// it otherwise, as the target may have begun it or a start may still arrive.
    pub(super) fn withdraw_start(&mut self, key: TargetKey, task: TaskName, out: &mut Outbox) {
        let run = self.targets.get(&key).and_then(|target| target.runs.get(&task));
        let Some(run) = run else { return };
        log::info!(
            "event=start_withdrawn task={task} attempt={} target={} sent={}",
            run.attempt,
            self.target_name(key),
            run.is_sent
        );
        if run.is_sent {
            self.stop_run(key, task);
        } else {
            self.drop_run(key, task, out);
        }
    }

    /// Withdraws the planned runs in evacuated zones, and moves long-running tasks out.
    pub(super) fn poll_zones(&mut self, out: &mut Outbox) {
        if out.now < self.zone_evacuation.next_poll_at {
            return;
        }
        self.zone_evacuation.next_poll_at = out.now + POLL_INTERVAL;
        self.mark_cold_pools(out.now);
        if self.zone_evacuation.is_empty() {
            self.zone_evacuation.has_logged_all = false;
            return;
        }
        let (mut planned, mut long_running) = (Vec::new(), Vec::new());
        let in_zones = self
            .targets
            .iter()
            .filter(|(_, target)| self.zone_evacuation.includes(&target.record.zone));
        for (key, target) in in_zones {
            for (task, run) in &target.runs {
                match run.stage {
                    RunStage::Planned => planned.push((*key, *task)),
                    RunStage::Running if run.is_long_running => {
                        long_running.push((run.percent, *key, *task));
                    }
                    _ => {}
                }
            }
        }
        for (key, task) in planned {
            self.withdraw_start(key, task, out);
        }
        // Those that are not available yet can be stopped even if the budget is used up by them.
        long_running.sort_by_key(|(percent, ..)| *percent);
        self.move_out(&long_running, out);
        if out.now >= self.zone_evacuation.next_log_at {
            self.zone_evacuation.next_log_at = out.now + LOG_INTERVAL;
            self.log_evacuations();
        }
    }

    /// Stops the long-running tasks that may move out now, at most one of each step.
    fn move_out(&mut self, long_running: &[(u32, TargetKey, TaskName)], out: &mut Outbox) {
        // Of each pool, the candidates and the number of tasks that compete for them.
        let mut pools: IndexMap<PoolName, (Vec<Candidate>, usize)> = IndexMap::new();
        let mut considered = IndexSet::new();
        for (_, key, task) in long_running {
            // The tasks of a step need the same room, and compete for the same budget.
            if !considered.insert((task.job, task.occurrence, task.step))
                || !self.may_interrupt(*key, *task, out.now)
            {
                continue;
            }
            let job = self.job_keys.get(&task.job).and_then(|job| self.jobs.get(job));
            let Some((job, spec)) = job.and_then(|job| Some((job, job.step_spec(*task)?))) else {
                continue;
            };
            let (candidates, competitors) = pools.entry(job.pool.clone()).or_insert_with(|| {
                let candidates = self.candidate_targets(&job.pool, out.now);
                let competitors = self.count_competitors(&job.pool, &candidates);
                (candidates, competitors)
            });
            let fits = |candidate: &&Candidate| self.fits_candidate(spec, *task, candidate, 0);
            let needed = *competitors + spec.tasks as usize;
            let fitting = candidates.iter().filter(fits).take(needed).count();
            let room = fitting.saturating_sub(*competitors);
            let limit = spec.max_unavailable.map(|limit| limit.max(1));
            let stopping = self.count_stopping_siblings(job, *task);
            if may_move_out(stopping, limit, spec.gang.then_some(spec.tasks), room) {
                log::info!("event=task_evacuated task={task} target={}", self.target_name(*key));
                self.stop_run(*key, *task);
                *competitors += 1;
            }
        }
    }

    /// Returns the number of long-running tasks of a pool that are to start on one of the candidates:
    /// those that are being stopped, and those that wait and fit there once there is room.
    fn count_competitors(&self, pool: &PoolName, candidates: &[Candidate]) -> usize {
        let Some(pool) = self.pools.get(pool) else { return 0 };
        let targets = pool.targets.iter().filter_map(|key| self.targets.get(key));
        let is_stopping = |run: &&Run| run.is_long_running && run.stage == RunStage::Stopping;
        let stopping = targets.flat_map(|target| target.runs.values()).filter(is_stopping).count();
        let jobs = pool.jobs.iter().filter_map(|key| self.jobs.get(key));
        let long_running =
            jobs.filter(|job| job.final_state.is_none() && job.spec.is_long_running());
        let mut waiting = 0;
        for job in long_running {
            for occurrence in &job.occurrences {
                for ((number, spec), step) in (0..).zip(&job.spec.steps).zip(&occurrence.steps) {
                    let is_waiting =
                        |task: &Task| task.state == TaskState::Waiting && !task.is_given_up();
                    let Some(index) = step.tasks.iter().position(is_waiting) else { continue };
                    let index = index as u32;
                    let name = TaskName {
                        job: job.id,
                        occurrence: occurrence.number,
                        step: number,
                        index,
                    };
                    let fits = |candidate: &Candidate| {
                        self.fits_candidate(spec, name, &candidate.emptied(), 0)
                    };
                    if step.is_open && candidates.iter().any(fits) {
                        waiting += step.tasks.iter().filter(|task| is_waiting(task)).count();
                    }
                }
            }
        }
        stopping + waiting
    }

    fn count_stopping_siblings(&self, job: &Job, task: TaskName) -> usize {
        let step = job.occurrence(task.occurrence);
        let step = step.and_then(|open| open.steps.get(usize::from(task.step)));
        let tasks = step.map_or(&[][..], |step| &step.tasks);
        let is_stopping = |(index, sibling): &(u32, &Task)| {
            let TaskState::Placed(key) = sibling.state else { return false };
            let name = TaskName { index: *index, ..task };
            let run = self.targets.get(&key).and_then(|target| target.runs.get(&name));
            run.is_some_and(|run| run.stage == RunStage::Stopping)
        };
        (0..).zip(tasks).filter(is_stopping).count()
    }

    /// Logs the progress of each evacuation that has changed, and zones that do not exist.
    fn log_evacuations(&mut self) {
        if self.registrations.is_reading() {
            return;
        }
        for zone in self.zone_evacuation.evacuated.zones.clone() {
            let progress = self.progress_of(&zone);
            if self.zone_evacuation.logged.get(&zone) == Some(&progress) {
                continue;
            }
            if progress.targets + progress.instances == 0 {
                log::warn!("event=evacuated_zone_unknown zone={zone}");
            } else {
                log::info!(
                    "event=zone_evacuation zone={zone} targets={} instances={} runs={} long_running={}",
                    progress.targets,
                    progress.instances,
                    progress.runs,
                    progress.long_running
                );
            }
            self.zone_evacuation.logged.insert(zone, progress);
        }
        let is_all = !self.targets.is_empty()
            && self
                .targets
                .values()
                .all(|target| self.zone_evacuation.includes(&target.record.zone));
        if is_all && !self.zone_evacuation.has_logged_all {
            log::warn!("event=all_zones_evacuated targets={}", self.targets.len());
        }
        self.zone_evacuation.has_logged_all = is_all;
    }

    fn progress_of(&self, zone: &ZoneName) -> Progress {
        let mut progress =
            Progress { instances: self.fleet.count_instances_in(zone), ..Progress::default() };
        for target in self.targets.values().filter(|target| target.record.zone == *zone) {
            let long_running = target.runs.values().filter(|run| run.is_long_running).count();
            progress.targets += 1;
            progress.long_running += long_running;
            progress.runs += target.runs.len() - long_running;
        }
        progress
    }
}
