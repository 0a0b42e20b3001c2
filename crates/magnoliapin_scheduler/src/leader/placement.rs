//! Decides on which target a task runs.

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

/// Numbers of runs that each scheduler has for itself: it cannot know the last one that the
/// scheduler before it has used on a target that does not answer.
const ATTEMPTS_PER_GENERATION: u32 = 100;

/// One in so many targets is kept free for the waiting tasks of a job that lasts: they follow each
/// other there, and the other tasks of the pool need the rest.
const KEPT_SHARE: usize = 8;

/// Room on a target, while tasks are being placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    pub(super) target: TargetKey,
    free: Resources,
    capacity: Resources,
}

impl Place {
    /// Returns how much of the target is free, from 0 to 2.
    fn emptiness(&self) -> f64 {
        let share = |free: u32, whole: u32| f64::from(free) / f64::from(whole.max(1));
        share(self.free.cpu_milli, self.capacity.cpu_milli)
            + share(self.free.memory_mb, self.capacity.memory_mb)
    }
}

/// A task and the target that was chosen for it.
#[derive(Clone, Copy, Debug)]
struct Choice {
    task: TaskName,
    place: usize,
}

impl Leader {
    /// Returns the targets of a pool that can take work.
    pub(super) fn open_places(&self, pool: &PoolName, now: Moment) -> Vec<Place> {
        let Some(pool) = self.pools.get(pool) else {
            return Vec::new();
        };
        let targets = pool.targets.iter().filter_map(|key| Some((*key, self.targets.get(key)?)));
        targets
            .filter(|(_, target)| target.is_open(now, &self.identity.times))
            .map(|(key, target)| Place {
                target: key,
                free: target.free(),
                capacity: target.record.capacity,
            })
            .collect()
    }

    /// Starts the waiting tasks of a job for which there is room.
    pub(super) fn place_job(&mut self, key: JobKey, places: &mut Vec<Place>, out: &mut Outbox) {
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
            let choices = self.choose(key, occurrence, step, places, out.now);
            for choice in choices {
                self.start(key, choice.task, places[choice.place].target, out);
            }
        }
        self.keep_room(key, places, out.now);
        places.retain(|place| place.free.cpu_milli > 0 && place.free.memory_mb > 0);
    }

    /// Keeps targets free of other tasks until those that last and found no room fit there;
    /// else smaller tasks would take all room that becomes free.
    fn keep_room(&self, key: JobKey, places: &mut Vec<Place>, now: Moment) {
        let Some(job) = self.jobs.get(&key).filter(|job| job.spec.is_long_running()) else {
            return;
        };
        let most = places.len().div_ceil(KEPT_SHARE);
        let room = self.team_room(job.team.as_ref());
        for occurrence in &job.occurrences {
            for (number, step) in occurrence.steps.iter().enumerate() {
                let spec = &job.spec.steps[number];
                if !spec.demand.fits(room) {
                    continue;
                }
                let name = |index| TaskName {
                    job: job.id,
                    occurrence: occurrence.number,
                    step: number as u16,
                    index,
                };
                let waiting = step.tasks.iter().zip(0..).filter(|(task, index)| {
                    let is_free =
                        !self.unheard.contains_key(&name(*index)) && !self.is_unsure(task, now);
                    task.state == TaskState::Waiting && is_free
                });
                for (_, index) in waiting.take(most) {
                    let Some(place) = self.nearest_place(spec, name(index), places) else { break };
                    places.swap_remove(place);
                }
            }
        }
    }

    /// Returns the place that lacks the least room for a task.
    fn nearest_place(&self, spec: &StepSpec, name: TaskName, places: &[Place]) -> Option<usize> {
        let missing = |place: &Place| {
            let lack = spec.demand.less(place.free);
            let share = |lack: u32, whole: u32| f64::from(lack) / f64::from(whole.max(1));
            share(lack.cpu_milli, place.capacity.cpu_milli)
                + share(lack.memory_mb, place.capacity.memory_mb)
        };
        let fits_empty = |place: &Place| {
            let empty = Place { free: place.capacity, ..*place };
            self.fits_place(spec, name, &empty, 0)
        };
        let fitting = places.iter().enumerate().filter(|(_, place)| fits_empty(place));
        fitting
            .min_by(|(_, one), (_, other)| missing(one).total_cmp(&missing(other)))
            .map(|(number, _)| number)
    }

    /// Chooses targets for the waiting tasks of a step, and takes their room.
    fn choose(
        &self,
        key: JobKey,
        occurrence: u32,
        step: u16,
        places: &mut [Place],
        now: Moment,
    ) -> Vec<Choice> {
        let Some(job) = self.jobs.get(&key) else {
            return Vec::new();
        };
        let spec = &job.spec.steps[usize::from(step)];
        let Some(state) = job.occurrence(occurrence).map(|open| &open.steps[usize::from(step)])
        else {
            return Vec::new();
        };
        let mut room = self.team_room(job.team.as_ref());
        let before: Vec<Place> = places.to_vec();
        let mut choices: Vec<Choice> = Vec::new();
        for (index, task) in state.tasks.iter().enumerate() {
            let name = TaskName { job: job.id, occurrence, step, index: index as u32 };
            let is_free = !self.unheard.contains_key(&name) && !self.is_unsure(task, now);
            if task.state != TaskState::Waiting || !is_free {
                continue;
            }
            if !spec.demand.fits(room) {
                break;
            }
            let Some(place) = self.best_place(job, spec, name, task, places, &choices) else {
                break;
            };
            room = room.less(spec.demand);
            places[place].free = places[place].free.less(spec.demand);
            choices.push(Choice { task: name, place });
        }
        // A gang starts whole or not at all.
        let waiting = state.waiting as usize;
        let is_split = choices.len() < waiting || waiting < state.tasks.len();
        if spec.gang && is_split {
            places.copy_from_slice(&before);
            return Vec::new();
        }
        choices
    }

    fn best_place(
        &self,
        job: &Job,
        spec: &StepSpec,
        name: TaskName,
        task: &Task,
        places: &[Place],
        choices: &[Choice],
    ) -> Option<usize> {
        let mut best: Option<(usize, f64)> = None;
        for (number, place) in places.iter().enumerate() {
            let chosen = choices.iter().filter(|choice| choice.place == number).count();
            if !self.fits_place(spec, name, place, chosen) {
                continue;
            }
            let cost = self.place_cost(job, spec, task, place);
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((number, cost));
            }
        }
        best.map(|(number, _)| number)
    }

    /// Returns whether a task may run at a place, where `chosen` others of its step will start.
    pub(super) fn fits_place(
        &self,
        spec: &StepSpec,
        name: TaskName,
        place: &Place,
        chosen: usize,
    ) -> bool {
        let target = &self.targets[&place.target];
        let has_label = spec.requirement.as_deref().is_none_or(|label| target.has_label(label));
        // A second run of the same task would hide the first in the book of the target.
        if !spec.demand.fits(place.free) || !has_label || target.runs.contains_key(&name) {
            return false;
        }
        if spec.anti_affinity == 0 {
            return true;
        }
        let running = target.runs.keys().filter(|other| is_same_step(other, &name)).count();
        chosen + running < spec.anti_affinity as usize
    }

    /// Returns how bad a target is for a task.
    fn place_cost(&self, _job: &Job, spec: &StepSpec, task: &Task, place: &Place) -> f64 {
        /// A target at which the task failed is the last choice.
        const FAILED_BEFORE: f64 = 100.0;
        /// The data lie elsewhere.
        const REMOTE: f64 = 10.0;
        let target = &self.targets[&place.target];
        let mut cost = place.emptiness();
        if task.avoid == Some(place.target) {
            cost += FAILED_BEFORE;
        }
        if spec.affinity.as_deref().is_some_and(|rack| !target.has_label(rack)) {
            cost += REMOTE;
        }
        cost
    }

    /// Returns what a team may still start.
    pub(super) fn team_room(&self, team: Option<&TeamName>) -> Resources {
        const NO_LIMIT: Resources =
            Resources { cpu_milli: u32::MAX, memory_mb: u32::MAX, accelerators: u32::MAX };
        let Some(team) = team else { return NO_LIMIT };
        let Some(rule) = self.config.teams.iter().find(|rule| rule.name == *team) else {
            return NO_LIMIT;
        };
        let is_capped = rule.cap != Resources::NONE;
        if is_capped && self.has_unknown_runs() {
            // They may be this team's, and stop within the grace time of a stop.
            return Resources::NONE;
        }
        let used = self.team_use.get(team).copied().unwrap_or_default();
        let used = used + self.unaccounted_use(team);
        let left = |cap: u32, used: u32| if cap == 0 { u32::MAX } else { cap.saturating_sub(used) };
        Resources {
            cpu_milli: left(rule.cap.cpu_milli, used.cpu_milli),
            memory_mb: left(rule.cap.memory_mb, used.memory_mb),
            accelerators: left(rule.cap.accelerators, used.accelerators),
        }
    }

    /// Returns whether a target runs something of a job that is not known any more.
    fn has_unknown_runs(&self) -> bool {
        let is_unknown = |run: &Run| run.is_unknown;
        self.targets.values().any(|target| target.runs.values().any(is_unknown))
    }

    /// Returns the most that a team may have running on targets that have not told what the
    /// scheduler before started there.
    fn unaccounted_use(&self, team: &TeamName) -> Resources {
        let orphans = self.old_lives.values().flat_map(|life| &life.orphans);
        let unheard = self.unheard.values().filter_map(|run| run.charge.as_ref());
        let charges = orphans.chain(unheard).filter(|(owner, _)| owner == team);
        let named = charges.fold(Resources::NONE, |sum, (_, demand)| sum + *demand);
        if !self.has_unrecorded() {
            return named;
        }
        let inherited = self.jobs.values().filter(|job| {
            job.is_inherited && job.ending.is_none() && job.team.as_ref() == Some(team)
        });
        inherited.map(Job::most_unaccounted).fold(named, |sum, most| sum + most)
    }

    /// Starts a task on a target.
    fn start(&mut self, key: JobKey, name: TaskName, target_key: TargetKey, out: &mut Outbox) {
        let first =
            (self.generation.saturating_sub(1) as u32).saturating_mul(ATTEMPTS_PER_GENERATION);
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let Some(spec) = job.step_spec(name) else { return };
        let mut run = Run {
            attempt: 0,
            job: Some(key),
            team: job.team.clone(),
            demand: spec.demand,
            is_long: spec.long_running,
            is_unknown: false,
            stage: RunStage::Planned,
            since: out.now,
            confirmed_at: None,
            percent: 0,
            progressed_at: out.now,
            unanswered: 0,
            estimate_ms: spec.estimate_ms,
        };
        let is_gang = spec.gang;
        let Some(step) = job.step_mut(name) else { return };
        step.set_state(name.index, TaskState::Placed(target_key));
        let highest = step.tasks.iter().map(|task| task.attempt).max().unwrap_or_default();
        let task = &mut step.tasks[name.index as usize];
        // The members of a gang share the number.
        run.attempt = if is_gang {
            highest.max(first) + u32::from(name.index == 0)
        } else {
            task.attempt.max(first) + 1
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
        }
        self.unrecorded.insert(target_key);
        let has_row = self.targets.get(&target_key).is_some_and(|target| target.has_row);
        if self.records.is_open() && has_row {
            self.start_planned(target_key, id, out);
        }
    }
}

fn is_same_step(one: &TaskName, other: &TaskName) -> bool {
    one.job == other.job && one.occurrence == other.occurrence && one.step == other.step
}
