//! Chooses the targets on which tasks run.

use magnoliapin_model::Moment;
use magnoliapin_site::PoolName;
use magnoliapin_site::Resources;
use magnoliapin_site::RunId;
use magnoliapin_site::StepSpec;
use magnoliapin_site::TaskName;
use magnoliapin_site::TeamName;

use crate::leader::job::Job;
use crate::leader::job::JobKey;
use crate::leader::job::Task;
use crate::leader::job::TaskState;
use crate::leader::target::Run;
use crate::leader::target::RunStage;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;

/// Attempt numbers reserved for each generation of the leader: a new leader cannot find out the
/// last number that the previous one used on an unresponsive target.
const ATTEMPTS_PER_GENERATION: u32 = 100;

/// Size of a run in the assignment row of its target, with its team and demand if its job has finished.
const RUN_BYTES: usize = 80;

/// One in this many targets is reserved for the waiting tasks of a long-running job: they are
/// placed there one after the other, and the other tasks of the pool need the rest.
const RESERVED_TARGET_DIVISOR: usize = 8;

/// A target and its free resources, while tasks are being placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) target: TargetKey,
    pub(super) free: Resources,
    capacity: Resources,
    /// Tasks on it under which targets have crashed.
    suspects: u32,
    /// Starts that it accepts now; `None` if it is at full speed.
    cold_starts: Option<u32>,
}

impl Candidate {
    /// Returns the candidate as it is without its runs.
    pub(super) fn emptied(&self) -> Self {
        Self { free: self.capacity, ..*self }
    }

    /// Returns whether the candidate is slow.
    pub(super) fn is_cold(&self) -> bool {
        self.cold_starts.is_some()
    }

    /// Counts a start.
    fn count_start(&mut self) {
        self.cold_starts = self.cold_starts.map(|left| left.saturating_sub(1));
    }

    /// Returns the sum of the free shares of processor and memory, from 0 to 2.
    fn free_share(&self) -> f64 {
        let share = |free: u32, whole: u32| f64::from(free) / f64::from(whole.max(1));
        share(self.free.cpu_milli, self.capacity.cpu_milli)
            + share(self.free.memory_mb, self.capacity.memory_mb)
    }
}

/// A task and the index of the candidate that was chosen for it.
#[derive(Clone, Copy, Debug)]
struct Placement {
    task: TaskName,
    candidate: usize,
}

impl Leader {
    /// Returns the targets of a pool that accept new work.
    pub(super) fn candidate_targets(&self, pool: &PoolName, now: Moment) -> Vec<Candidate> {
        if self.awaits_capacities(pool, now) {
            return Vec::new();
        }
        let Some(pool) = self.pools.get(pool) else {
            return Vec::new();
        };
        let targets = pool.targets.iter().filter_map(|key| Some((*key, self.targets.get(key)?)));
        targets
            .filter(|(_, target)| {
                target.accepts_work(now, &self.identity.times, &self.zone_evacuation)
            })
            .map(|(key, target)| Candidate {
                target: key,
                free: target.free(),
                capacity: target.record.capacity,
                suspects: self.count_suspects(target),
                cold_starts: self.cold_starts_left(target, now),
            })
            .collect()
    }

    /// Returns whether a pool's targets do not enforce their capacity, and the registrations that show
    /// it are too old to place anything by them.
    pub(super) fn awaits_capacities(&self, pool: &PoolName, now: Moment) -> bool {
        let rule = self.config.pools.get(pool);
        rule.is_some_and(|rule| !rule.enforces_capacity) && !self.knows_capacities(now)
    }

    /// Returns whether the registrations are recent. The capacity of a target may have shrunk since,
    /// and a target that does not enforce it starts whatever it is told to.
    fn knows_capacities(&self, now: Moment) -> bool {
        let times = &self.identity.times;
        // The contact is that of the last answered call; the next one may wait as long again.
        let max_age = times.watch_wait * 2 + times.reply_slack;
        self.registrations.last_contact_at().is_some_and(|at| now.since(at) <= max_age)
    }

    /// Starts the waiting tasks of a job that fit on the candidates.
    pub(super) fn place_job(
        &mut self,
        key: JobKey,
        candidates: &mut Vec<Candidate>,
        out: &mut Outbox,
    ) {
        let Some(job) = self.jobs.get(&key) else { return };
        let mut open = Vec::new();
        for occurrence in &job.occurrences {
            for (number, step) in occurrence.steps.iter().enumerate() {
                if step.is_open && step.waiting > 0 {
                    open.push((occurrence.number, number as u16));
                }
            }
        }
        for (occurrence, step) in open {
            let placements = self.choose_targets(key, occurrence, step, candidates, out.now);
            for placement in placements {
                self.start_task(key, placement.task, candidates[placement.candidate].target, out);
            }
        }
        self.reserve_room(key, candidates, out.now);
        candidates.retain(|candidate| candidate.free.cpu_milli > 0 && candidate.free.memory_mb > 0);
    }

    /// Removes candidates so that the long-running tasks which found no room will fit there;
    /// otherwise smaller tasks would take all room that becomes free.
    fn reserve_room(&self, key: JobKey, candidates: &mut Vec<Candidate>, now: Moment) {
        let Some(job) = self.jobs.get(&key).filter(|job| job.spec.is_long_running()) else {
            return;
        };
        let limit = candidates.len().div_ceil(RESERVED_TARGET_DIVISOR);
        let room = self.team_headroom(job.team.as_ref());
        for occurrence in &job.occurrences {
            for (number, step) in occurrence.steps.iter().enumerate() {
                let spec = &job.spec.steps[number];
                if !spec.demand.fits_in(room) {
                    continue;
                }
                let name = |index| TaskName {
                    job: job.id,
                    occurrence: occurrence.number,
                    step: number as u16,
                    index,
                };
                let waiting = step.tasks.iter().zip(0..).filter(|(task, index)| {
                    task.state == TaskState::Waiting
                        && !task.needs_isolation()
                        && self.is_startable(job, name(*index), task, now)
                });
                for (_, index) in waiting.take(limit) {
                    let Some(candidate) = self.closest_candidate(spec, name(index), candidates)
                    else {
                        break;
                    };
                    candidates.swap_remove(candidate);
                }
            }
        }
    }

    /// Returns the candidate that lacks the least resources for a task.
    fn closest_candidate(
        &self,
        spec: &StepSpec,
        name: TaskName,
        candidates: &[Candidate],
    ) -> Option<usize> {
        let missing = |candidate: &Candidate| {
            let lack = spec.demand.saturating_sub(candidate.free);
            let share = |lack: u32, whole: u32| f64::from(lack) / f64::from(whole.max(1));
            share(lack.cpu_milli, candidate.capacity.cpu_milli)
                + share(lack.memory_mb, candidate.capacity.memory_mb)
        };
        let fits_empty =
            |candidate: &Candidate| self.fits_candidate(spec, name, &candidate.emptied(), 0);
        let fitting = candidates.iter().enumerate().filter(|(_, candidate)| fits_empty(candidate));
        fitting
            .min_by(|(_, left), (_, right)| missing(left).total_cmp(&missing(right)))
            .map(|(number, _)| number)
    }

    /// Chooses candidates for the waiting tasks of a step, and subtracts the resources of the
    /// tasks.
    fn choose_targets(
        &self,
        key: JobKey,
        occurrence: u32,
        step: u16,
        candidates: &mut [Candidate],
        now: Moment,
    ) -> Vec<Placement> {
        let Some(job) = self.jobs.get(&key) else {
            return Vec::new();
        };
        let spec = &job.spec.steps[usize::from(step)];
        let Some(state) = job.occurrence(occurrence).map(|open| &open.steps[usize::from(step)])
        else {
            return Vec::new();
        };
        let mut room = self.team_headroom(job.team.as_ref());
        let original: Vec<Candidate> = candidates.to_vec();
        let mut placements: Vec<Placement> = Vec::new();
        for (index, task) in state.tasks.iter().enumerate() {
            let name = TaskName { job: job.id, occurrence, step, index: index as u32 };
            let is_placed_alone = task.needs_isolation() && !spec.gang;
            if task.state != TaskState::Waiting
                || is_placed_alone
                || !self.is_startable(job, name, task, now)
            {
                continue;
            }
            if !spec.demand.fits_in(room) {
                break;
            }
            let Some(candidate) =
                self.best_candidate(job, spec, name, task, candidates, &placements)
            else {
                break;
            };
            room = room.saturating_sub(spec.demand);
            candidates[candidate].free = candidates[candidate].free.saturating_sub(spec.demand);
            candidates[candidate].suspects += u32::from(!task.crashes.is_empty());
            candidates[candidate].count_start();
            placements.push(Placement { task: name, candidate });
        }
        // A gang is started as a whole or not at all.
        let waiting = state.waiting as usize;
        let is_split = placements.len() < waiting || waiting < state.tasks.len();
        if spec.gang && is_split {
            candidates.copy_from_slice(&original);
            return Vec::new();
        }
        placements
    }

    /// Updates the free resources of a candidate after a task was started there.
    pub(super) fn refresh_candidate(&self, candidate: &mut Candidate) {
        if let Some(target) = self.targets.get(&candidate.target) {
            candidate.free = target.free();
            candidate.count_start();
        }
    }

    /// Returns whether a waiting task can have no run that is still going on.
    pub(super) fn is_startable(&self, job: &Job, name: TaskName, task: &Task, now: Moment) -> bool {
        // The count of crashes must outlast this leader, so the last is stored before the next start.
        let is_counted = !task.needs_isolation() || job.stored_changes >= task.crash_change;
        is_counted
            && !task.is_given_up()
            && !self.unconfirmed_runs.contains_key(&name)
            && !self.is_loss_unconfirmed(task, now)
    }

    fn best_candidate(
        &self,
        job: &Job,
        spec: &StepSpec,
        name: TaskName,
        task: &Task,
        candidates: &[Candidate],
        placements: &[Placement],
    ) -> Option<usize> {
        let mut best: Option<(usize, f64)> = None;
        for (number, candidate) in candidates.iter().enumerate() {
            let chosen =
                placements.iter().filter(|placement| placement.candidate == number).count();
            if !self.fits_candidate(spec, name, candidate, chosen) {
                continue;
            }
            let cost = self.placement_cost(job, spec, task, candidate);
            if best.is_none_or(|(_, lowest)| cost < lowest) {
                best = Some((number, cost));
            }
        }
        best.map(|(number, _)| number)
    }

    /// Returns whether a task may run on a candidate that was already chosen for `chosen` other
    /// tasks of its step.
    pub(super) fn fits_candidate(
        &self,
        spec: &StepSpec,
        name: TaskName,
        candidate: &Candidate,
        chosen: usize,
    ) -> bool {
        let is_limited = candidate.cold_starts == Some(0);
        if is_limited || !spec.demand.fits_in(candidate.free) {
            return false;
        }
        let target = &self.targets[&candidate.target];
        let has_label = spec.requirement.as_deref().is_none_or(|label| target.has_label(label));
        // The row with its runs must not be larger than the store takes.
        if target.runs.len() + target.unstored.len() + chosen >= self.max_runs_per_target() {
            return false;
        }
        // A second run of the same task would replace the first in the target's map of runs.
        if !has_label || target.runs.contains_key(&name) {
            return false;
        }
        if spec.anti_affinity == 0 {
            return true;
        }
        let running = target.runs.keys().filter(|task| is_same_step(task, &name)).count();
        chosen + running < spec.anti_affinity as usize
    }

    /// Returns the number of runs that the assignment row of a target has room for.
    pub(super) fn max_runs_per_target(&self) -> usize {
        (self.identity.store_limits.value_bytes() / RUN_BYTES).max(1)
    }

    /// Returns the cost of placing a task on a candidate; the lowest cost is chosen.
    fn placement_cost(
        &self,
        _job: &Job,
        spec: &StepSpec,
        task: &Task,
        candidate: &Candidate,
    ) -> f64 {
        /// Cost of a slow target, higher than all other costs together: it gets work only when the
        /// others have no capacity.
        const COLD_COST: f64 = 1_000.0;
        /// Cost of the target on which the task last failed, higher than the costs below together.
        const FAILED_BEFORE_COST: f64 = 100.0;
        /// Cost of a target that is not on the rack of the task's data.
        const REMOTE_DATA_COST: f64 = 10.0;
        /// Cost of each other task on the target under which targets have crashed, if this is one.
        const SUSPECT_COST: f64 = 3.0;
        let target = &self.targets[&candidate.target];
        let mut cost = candidate.free_share();
        if !task.crashes.is_empty() {
            cost += SUSPECT_COST * f64::from(candidate.suspects);
        }
        if candidate.is_cold() {
            cost += COLD_COST;
        }
        if task.avoided_target == Some(candidate.target) {
            cost += FAILED_BEFORE_COST;
        }
        if spec.affinity.as_deref().is_some_and(|rack| !target.has_label(rack)) {
            cost += REMOTE_DATA_COST;
        }
        cost
    }

    /// Returns the resources that a team may still use.
    pub(super) fn team_headroom(&self, team: Option<&TeamName>) -> Resources {
        const NO_LIMIT: Resources =
            Resources { cpu_milli: u32::MAX, memory_mb: u32::MAX, accelerators: u32::MAX };
        let Some(team) = team else { return NO_LIMIT };
        let Some(rule) = self.config.teams.iter().find(|rule| rule.name == *team) else {
            return NO_LIMIT;
        };
        let is_capped = rule.cap != Resources::NONE;
        if is_capped && self.has_unknown_runs() {
            // These runs may belong to the team. They are being stopped, which takes at most the
            // grace period of a stop.
            return Resources::NONE;
        }
        let used = self.team_use.get(team).copied().unwrap_or_default();
        let used = used + self.unresolved_use(team);
        let remaining =
            |cap: u32, used: u32| if cap == 0 { u32::MAX } else { cap.saturating_sub(used) };
        Resources {
            cpu_milli: remaining(rule.cap.cpu_milli, used.cpu_milli),
            memory_mb: remaining(rule.cap.memory_mb, used.memory_mb),
            accelerators: remaining(rule.cap.accelerators, used.accelerators),
        }
    }

    /// Returns whether a target has a run whose job is unknown.
    fn has_unknown_runs(&self) -> bool {
        let has_unknown_job = |run: &Run| run.has_unknown_job;
        self.targets.values().any(|target| target.runs.values().any(has_unknown_job))
    }

    /// Returns an upper bound of the resources that a team uses on targets which have not reported
    /// the runs of the previous leader.
    fn unresolved_use(&self, team: &TeamName) -> Resources {
        let orphans =
            self.previous_incarnations.values().flat_map(|incarnation| &incarnation.orphans);
        let unconfirmed = self.unconfirmed_runs.values().filter_map(|run| run.charge.as_ref());
        let charges = orphans.chain(unconfirmed).filter(|(owner, _)| owner == team);
        let recorded = charges.fold(Resources::NONE, |sum, (_, demand)| sum + *demand);
        if !self.may_have_unrecorded_runs() {
            return recorded;
        }
        let inherited = self.jobs.values().filter(|job| {
            job.is_inherited && job.final_state.is_none() && job.team.as_ref() == Some(team)
        });
        inherited.map(Job::max_unresolved_use).fold(recorded, |sum, bound| sum + bound)
    }

    /// Places a task on a target. Its start is sent once the run is recorded in the store; while
    /// the store is slow, it is sent at once to a target that has an assignment row.
    pub(super) fn start_task(
        &mut self,
        key: JobKey,
        name: TaskName,
        target_key: TargetKey,
        out: &mut Outbox,
    ) {
        let attempt_base =
            (self.generation.saturating_sub(1) as u32).saturating_mul(ATTEMPTS_PER_GENERATION);
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let Some(spec) = job.step_spec(name) else { return };
        let mut run = Run {
            attempt: 0,
            job: Some(key),
            team: job.team.clone(),
            demand: spec.demand,
            is_long_running: spec.long_running,
            is_isolated: job.task(name).is_some_and(Task::needs_isolation),
            has_unknown_job: false,
            stage: RunStage::Planned,
            is_sent: false,
            placed_at: out.now,
            is_found: false,
            confirmed_at: None,
            percent: 0,
            unconfirmed_starts: 0,
            open_starts: 0,
            start_sent_at: None,
            has_broken_off: false,
            is_listed: false,
            awaits_report: false,
            estimate_ms: spec.estimate_ms,
        };
        let is_gang = spec.gang;
        let Some(step) = job.step_mut(name) else { return };
        step.set_state(name.index, TaskState::Placed(target_key));
        let highest = step.tasks.iter().map(|task| task.attempt).max().unwrap_or_default();
        let task = &mut step.tasks[name.index as usize];
        // The members of a gang share the attempt number.
        run.attempt = if is_gang {
            highest.max(attempt_base) + u32::from(name.index == 0)
        } else {
            task.attempt.max(attempt_base) + 1
        };
        task.attempt = run.attempt;
        task.lost_at = None;
        job.has_started = true;
        let id = RunId { task: name, attempt: run.attempt };
        log::info!(
            "event=task_started task={name} attempt={} target={} age_ms={}",
            id.attempt,
            self.target_name(target_key),
            out.now.since(self.jobs[&key].accepted_at).as_millis()
        );
        self.charge_team(&run);
        if let Some(target) = self.targets.get_mut(&target_key) {
            target.add_run(name, run);
            target.record_placement(out.now);
        }
        self.unrecorded.insert(target_key);
        let has_row = self.targets.get(&target_key).is_some_and(|target| target.has_row);
        if self.records.sends_unrecorded_starts() && has_row {
            self.start_planned(target_key, id, out);
        }
    }
}

fn is_same_step(left: &TaskName, right: &TaskName) -> bool {
    left.job == right.job && left.occurrence == right.occurrence && left.step == right.step
}
