//! Who gets the next slot, and where.

use std::time::Duration;

use indexmap::IndexSet;
use magnoliapin_model::Attempt;
use magnoliapin_model::ErrorKind;
use magnoliapin_model::InstanceId;
use magnoliapin_model::PoolId;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TaskId;
use magnoliapin_model::TeamId;
use magnoliapin_model::WorkId;
use magnoliapin_wire::rows::BoundTarget;
use magnoliapin_wire::StartTask;

use crate::commit::backoff;
use crate::invariant::invariant;
use crate::line::LinePlace;
use crate::line::TeamLoad;
use crate::work::WorkEntry;
use crate::work::WorkStage;
use crate::DispatchOrder;
use crate::EntryMachine;

/// Hundredths of a task, the unit in which the use of teams is compared.
const HUNDREDTHS: u32 = 100;
/// After its deadline a request is answered at the latest when its target was asked for this long.
pub(crate) const ASK_GRACE: Duration = Duration::from_millis(600);

impl EntryMachine {
    /// Puts work in its line.
    pub(crate) fn wait_for_slot(&mut self, work: WorkId) {
        let Some(entry) = self.work.get_mut(work) else { return };
        entry.stage = WorkStage::Waiting;
        let (pool, team, place) = (entry.pool, entry.team, entry.place(work));
        if entry.is_request() {
            self.request_lines.insert(pool, team, place);
        } else {
            self.job_lines.insert(pool, team, place);
        }
    }

    /// Tries work again after a pause that grows with its attempts.
    pub(crate) fn pause_work(&mut self, work: WorkId) {
        let pause = self.work.get(work).map_or(0, |entry| entry.attempt.0);
        let pause = backoff(pause, &mut self.out);
        let now = self.out.now;
        let Some(entry) = self.work.get_mut(work) else { return };
        entry.stage = WorkStage::Pausing;
        entry.staged_at = now + pause;
    }

    /// Puts work back in its line whose pause is over.
    pub(crate) fn end_pauses(&mut self) {
        let now = self.out.now;
        let entries = self.work.entries.iter();
        let paused = entries.filter(|(_, entry)| entry.stage == WorkStage::Pausing);
        let due = paused.filter(|(_, entry)| entry.staged_at <= now).map(|(work, _)| *work);
        for work in due.collect::<Vec<_>>() {
            self.wait_for_slot(work);
        }
    }

    /// Takes work out of its line.
    pub(crate) fn leave_line(&mut self, work: WorkId) {
        let Some(entry) = self.work.get(work) else { return };
        let (pool, team, place) = (entry.pool, entry.team, entry.place(work));
        if entry.is_request() {
            self.request_lines.remove(pool, team, place);
        } else {
            self.job_lines.remove(pool, team, place);
        }
    }

    /// Gives free slots to work that waits.
    pub(crate) fn dispatch(&mut self) {
        let mut pools = self.request_lines.pools().into_iter().collect::<IndexSet<_>>();
        if self.jobs_may_start() {
            pools.extend(self.job_lines.pools());
        }
        for pool in pools {
            while self.targets.has_room(pool, self.out.now) && self.dispatch_one(pool) {}
        }
    }

    /// Returns whether a waiting job's row can be changed now, which a start needs.
    pub(crate) fn jobs_may_start(&self) -> bool {
        self.membership.is_platform_up() && !self.membership.is_stopping()
    }

    /// Starts one piece of work in a pool. Returns whether there was any.
    fn dispatch_one(&mut self, pool: PoolId) -> bool {
        let Some((team, place)) = self.pick_work(pool) else { return false };
        let Some(entry) = self.work.get(place.work) else { return false };
        if self.is_too_late(entry) {
            self.leave_line(place.work);
            self.refuse_late(place.work);
            return true;
        }
        let avoid = entry.failed_at.union(&entry.unfit_at).copied().collect::<IndexSet<_>>();
        let Some(target) = self.targets.pick(pool, self.identity.zone, &avoid, &mut self.out)
        else {
            return false;
        };
        let is_request = entry.is_request();
        self.leave_line(place.work);
        if is_request {
            self.start_request(place.work, target);
        } else {
            self.bind_job(place.work, target);
        }
        self.pace.note_start(pool, team, self.out.now);
        if self.request_lines.waiting_at(pool, team) == 0 {
            self.pace.reset(pool, team);
        }
        true
    }

    /// Returns whether a request would most likely be stopped at its deadline, while others wait
    /// that its slot is better used for.
    fn is_too_late(&self, entry: &WorkEntry) -> bool {
        let has_others = self.request_lines.waiting_for(entry.pool) > 1;
        let run = self.run_times.expected(entry.queue).unwrap_or_default();
        entry.is_request() && has_others && self.out.now + run > entry.deadline
    }

    fn pick_work(&self, pool: PoolId) -> Option<(TeamId, LinePlace)> {
        let request = self.request_lines.pick(pool, |team| self.load(team));
        let job = if self.jobs_may_start() {
            self.job_lines.pick(pool, |team| self.load(team))
        } else {
            None
        };
        let (Some(first), Some(second)) = (request, job) else { return request.or(job) };
        let behind = |(team, place): (TeamId, LinePlace)| (self.per_weight(team), place);
        Some(if behind(second) < behind(first) { second } else { first })
    }

    /// Returns what a team runs for each thousandth of weight.
    fn per_weight(&self, team: TeamId) -> u64 {
        let load = self.load(team).unwrap_or(TeamLoad { task_hundredths: u32::MAX, weight: 1 });
        u64::from(load.task_hundredths) * 1_000 / u64::from(load.weight.max(1))
    }

    /// Returns a team's load over all entries known, or none if it may not start anything now.
    fn load(&self, team: TeamId) -> Option<TeamLoad> {
        let section = self.config.document.teams.get(&team)?;
        let part = self.allotments.parts.get(&team)?;
        let is_fresh = self.is_fresh(self.out.now);
        if !part.may_start(self.identity.entry, section.limit, is_fresh) {
            return None;
        }
        let task_hundredths = match self.options.dispatch {
            DispatchOrder::MaxMin => self.hundredths_everywhere(team, part.running),
            DispatchOrder::PerEntry => part.running.saturating_mul(HUNDREDTHS),
            DispatchOrder::Fifo => 0,
        };
        Some(TeamLoad { task_hundredths, weight: section.weight })
    }

    /// Returns what a team runs over all entries known, in hundredths of tasks.
    ///
    /// The other entries see the same shortage and serve it too, which their reports tell only
    /// later. So this entry's own tasks count once for each entry at which the team is active, and
    /// the sum is scaled to what it is when they are spread evenly.
    fn hundredths_everywhere(&self, team: TeamId, own: u32) -> u32 {
        let elsewhere = self.peers.usage_elsewhere(team, self.out.now).running;
        let entries = self.peers.entries_using(team, self.out.now) + 1;
        let counted = u64::from(elsewhere) + u64::from(own) * u64::from(entries);
        let scaled =
            counted * u64::from(HUNDREDTHS) * u64::from(entries) / (2 * u64::from(entries) - 1);
        u32::try_from(scaled).unwrap_or(u32::MAX)
    }

    /// Takes a slot of the team's part and of the target.
    pub(crate) fn reserve(&mut self, team: TeamId, target: BoundTarget) {
        let own = self.identity.entry;
        let section = self.config.document.teams.get(&team);
        let limit = section.map_or(SlotCount(0), |section| section.limit);
        let is_fresh = self.is_fresh(self.out.now);
        let part = self.allotments.part(team);
        part.running += 1;
        invariant!(
            self.out.counts,
            part.running <= part.usable(own, limit, is_fresh),
            "team {team} runs {} tasks on a part of {}",
            part.running,
            part.usable(own, limit, is_fresh)
        );
        self.targets.note_start(target.instance);
    }

    /// Gives a slot back that was taken by [`reserve`](Self::reserve).
    pub(crate) fn release(&mut self, team: TeamId, instance: InstanceId) {
        let part = self.allotments.part(team);
        invariant!(self.out.counts, part.running > 0, "team {team} gave back more than it took");
        part.running = part.running.saturating_sub(1);
        self.targets.note_end(instance);
    }

    /// Returns whether new work of a team may go straight to a target, which it then is.
    pub(crate) fn direct_target(&mut self, pool: PoolId, team: TeamId) -> Option<BoundTarget> {
        if !self.jobs_may_start() || self.job_lines.waiting_for(pool) > 0 {
            return None;
        }
        if self.request_lines.waiting_for(pool) > 0 || self.load(team).is_none() {
            return None;
        }
        self.targets.pick(pool, self.identity.zone, &IndexSet::new(), &mut self.out)
    }

    fn start_request(&mut self, work: WorkId, target: BoundTarget) {
        let Some(entry) = self.work.get_mut(work) else { return };
        entry.attempt = Attempt(entry.attempt.0 + 1);
        let (team, attempt) = (entry.team, entry.attempt);
        self.reserve(team, target);
        self.send_start(work, TaskId::new(work, attempt), target);
    }

    /// Sends an attempt, whose slot is reserved, to its target.
    pub(crate) fn send_start(&mut self, work: WorkId, task: TaskId, target: BoundTarget) {
        let Some(entry) = self.work.get_mut(work) else { return };
        if std::mem::replace(&mut entry.was_started, true) {
            self.out.counts.repeated_starts += 1;
        } else {
            self.out.counts.first_starts += 1;
        }
        entry.stage = WorkStage::Running(task);
        entry.staged_at = self.out.now;
        let request = StartTask {
            task,
            entry: self.identity.entry,
            run: target.run,
            team: entry.team,
            queue: entry.queue,
            lease_ms: u64::try_from(self.times.task_lease.as_millis()).unwrap_or(u64::MAX),
            max_run_ms: u64::try_from(entry.max_run.as_millis()).unwrap_or(u64::MAX),
            payload: entry.payload.clone(),
        };
        self.tasks.start(request, target, &mut self.out, &self.times);
    }

    /// Answers requests whose deadline has passed.
    pub(crate) fn expire_requests(&mut self) {
        let now = self.out.now;
        let due = |work: &WorkId| self.work.get(*work).is_some_and(|entry| entry.deadline <= now);
        let requests = self.work.entries.iter().filter(|(_, entry)| entry.is_request());
        let works = requests.map(|(work, _)| *work).filter(due).collect::<Vec<_>>();
        for work in works {
            self.expire_request(work);
        }
    }

    /// Refuses a request that no target took in time.
    pub(crate) fn refuse_late(&mut self, work: WorkId) {
        if self.work.get(work).is_some_and(|entry| entry.may_have_run) {
            let message = "an earlier attempt was lost and no slot came free before the deadline";
            self.refuse_work(work, ErrorKind::OutcomeUnknown, message);
        } else {
            let message = "no slot came free before the deadline";
            self.refuse_work(work, ErrorKind::NoTarget, message);
        }
    }

    fn expire_request(&mut self, work: WorkId) {
        let Some(entry) = self.work.get(work) else { return };
        match entry.stage {
            WorkStage::Waiting => {
                self.leave_line(work);
                self.refuse_late(work);
            }
            WorkStage::Pausing => self.refuse_late(work),
            WorkStage::Running(task) if self.out.now >= entry.deadline + ASK_GRACE => {
                self.tasks.abandon(task);
                let message = "the target did not answer before the deadline";
                self.refuse_work(work, ErrorKind::OutcomeUnknown, message);
            }
            WorkStage::Running(task) => self.tasks.stop_once(task, self.out.now),
            WorkStage::Storing | WorkStage::Binding(_) | WorkStage::Ending => {}
        }
    }
}
