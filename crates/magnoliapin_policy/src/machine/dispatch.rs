//! Dispatch: which work gets the next free slot, and on which target.

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
use crate::wait_queues::QueuePosition;
use crate::wait_queues::TeamLoad;
use crate::work::WorkEntry;
use crate::work::WorkStage;
use crate::DispatchOrder;
use crate::EntryMachine;

/// The load of teams is compared in hundredths of a task.
const HUNDREDTHS_PER_TASK: u32 = 100;
/// Longest wait, from the deadline of a request on, for its target to confirm the stop. The
/// outcome is then reported as unknown.
pub(crate) const DEADLINE_GRACE: Duration = Duration::from_millis(600);

impl EntryMachine {
    /// Adds work to its wait queue.
    pub(crate) fn enqueue_work(&mut self, work: WorkId) {
        let Some(entry) = self.work.get_mut(work) else { return };
        entry.stage = WorkStage::Waiting;
        let (pool, team, position) = (entry.pool, entry.team, entry.queue_position(work));
        if entry.is_request() {
            self.request_wait_queues.insert(pool, team, position);
        } else {
            self.job_wait_queues.insert(pool, team, position);
        }
    }

    /// Schedules a retry after a backoff that grows with the number of attempts.
    pub(crate) fn retry_after_backoff(&mut self, work: WorkId) {
        let attempt = self.work.get(work).map_or(0, |entry| entry.attempt.0);
        let pause = backoff(attempt, &mut self.out);
        let now = self.out.now;
        let Some(entry) = self.work.get_mut(work) else { return };
        entry.stage = WorkStage::Backoff;
        entry.stage_time = now + pause;
    }

    /// Returns work to its wait queue when its backoff has elapsed.
    pub(crate) fn requeue_after_backoff(&mut self) {
        let now = self.out.now;
        let entries = self.work.entries.iter();
        let backing_off = entries.filter(|(_, entry)| entry.stage == WorkStage::Backoff);
        let due = backing_off.filter(|(_, entry)| entry.stage_time <= now).map(|(work, _)| *work);
        for work in due.collect::<Vec<_>>() {
            self.enqueue_work(work);
        }
    }

    /// Removes work from its wait queue.
    pub(crate) fn dequeue_work(&mut self, work: WorkId) {
        let Some(entry) = self.work.get(work) else { return };
        let (pool, team, position) = (entry.pool, entry.team, entry.queue_position(work));
        if entry.is_request() {
            self.request_wait_queues.remove(pool, team, position);
        } else {
            self.job_wait_queues.remove(pool, team, position);
        }
    }

    /// Assigns free slots to waiting work.
    pub(crate) fn dispatch(&mut self) {
        let mut pools = self.request_wait_queues.pools().into_iter().collect::<IndexSet<_>>();
        if self.can_start_jobs() {
            pools.extend(self.job_wait_queues.pools());
        }
        for pool in pools {
            while self.targets.has_room(pool, self.out.now) && self.dispatch_one(pool) {}
        }
    }

    /// Returns whether jobs can be started: a start changes the job's row, so the platform must
    /// answer, and this entry must not be stopping.
    pub(crate) fn can_start_jobs(&self) -> bool {
        self.membership.is_platform_up() && !self.membership.is_stopping()
    }

    /// Starts or refuses the next work of a pool. Returns `false` if no work can be started.
    fn dispatch_one(&mut self, pool: PoolId) -> bool {
        let Some((team, position)) = self.pick_work(pool) else { return false };
        let Some(entry) = self.work.get(position.work) else { return false };
        if self.would_miss_deadline(entry) {
            self.dequeue_work(position.work);
            self.refuse_expired(position.work);
            return true;
        }
        let crashed = entry.crashed.iter().map(|target| target.instance);
        let avoid = entry.failed_on.iter().copied().chain(crashed).collect::<IndexSet<_>>();
        let (unfit, zone) = (&entry.unfit_on, self.identity.zone);
        let Some(target) = self.targets.pick(pool, zone, &avoid, unfit, &mut self.out) else {
            return false;
        };
        let is_request = entry.is_request();
        self.dequeue_work(position.work);
        if is_request {
            self.start_request(position.work, target);
        } else {
            self.bind_job(position.work, target);
        }
        self.start_rates.record_start(pool, team, self.out.now);
        if self.request_wait_queues.team_len_in_pool(pool, team) == 0 {
            self.start_rates.reset(pool, team);
        }
        true
    }

    /// Returns whether a request would most likely be stopped at its deadline while other requests
    /// wait that could use the slot better.
    fn would_miss_deadline(&self, entry: &WorkEntry) -> bool {
        let has_others = self.request_wait_queues.pool_len(entry.pool) > 1;
        let run = self.run_times.expected(entry.queue).unwrap_or_default();
        entry.is_request() && has_others && self.out.now + run > entry.deadline
    }

    fn pick_work(&self, pool: PoolId) -> Option<(TeamId, QueuePosition)> {
        let request = self.request_wait_queues.pick(pool, |team| self.team_load(team));
        let job = if self.can_start_jobs() {
            self.job_wait_queues.pick(pool, |team| self.team_load(team))
        } else {
            None
        };
        let (Some(first), Some(second)) = (request, job) else { return request.or(job) };
        let sort_key =
            |(team, position): (TeamId, QueuePosition)| (self.load_per_weight(team), position);
        Some(if sort_key(second) < sort_key(first) { second } else { first })
    }

    /// Returns a team's load per unit of weight, in hundred-thousandths of a task.
    fn load_per_weight(&self, team: TeamId) -> u64 {
        let load =
            self.team_load(team).unwrap_or(TeamLoad { task_hundredths: u32::MAX, weight: 1 });
        u64::from(load.task_hundredths) * 1_000 / u64::from(load.weight.max(1))
    }

    /// Returns a team's load as the dispatch order counts it, or `None` if the team may not start
    /// work now.
    fn team_load(&self, team: TeamId) -> Option<TeamLoad> {
        let section = self.config.document.teams.get(&team)?;
        let quota = self.allotments.quotas.get(&team)?;
        let is_fresh = self.is_fresh(self.out.now);
        if !quota.may_start(self.identity.entry, section.limit, is_fresh) {
            return None;
        }
        let task_hundredths = match self.options.dispatch {
            DispatchOrder::MaxMin => self.total_task_hundredths(team, quota.running),
            DispatchOrder::PerEntry => quota.running.saturating_mul(HUNDREDTHS_PER_TASK),
            DispatchOrder::Fifo => 0,
        };
        Some(TeamLoad { task_hundredths, weight: section.weight })
    }

    /// Estimates the running tasks of a team over all known entries, in hundredths of a task.
    ///
    /// The other entries respond to the same shortage, which their reports show only later. This
    /// entry's own tasks therefore count once for each entry at which the team is active, and the
    /// sum is scaled so that it is exact if the tasks are spread evenly.
    fn total_task_hundredths(&self, team: TeamId, own: u32) -> u32 {
        let elsewhere = self.peers.usage_elsewhere(team, self.out.now).running;
        let entries = self.peers.entries_using(team, self.out.now) + 1;
        let counted = u64::from(elsewhere) + u64::from(own) * u64::from(entries);
        let scaled = counted * u64::from(HUNDREDTHS_PER_TASK) * u64::from(entries)
            / (2 * u64::from(entries) - 1);
        u32::try_from(scaled).unwrap_or(u32::MAX)
    }

    /// Reserves a slot of the team's quota slice and of the target.
    pub(crate) fn reserve_slot(&mut self, team: TeamId, target: BoundTarget) {
        let own = self.identity.entry;
        let section = self.config.document.teams.get(&team);
        let limit = section.map_or(SlotCount(0), |section| section.limit);
        let is_fresh = self.is_fresh(self.out.now);
        let quota = self.allotments.quota(team);
        quota.running += 1;
        invariant!(
            self.out.counts,
            quota.running <= quota.usable(own, limit, is_fresh),
            "team {team} runs {} tasks on a quota slice of {} slots",
            quota.running,
            quota.usable(own, limit, is_fresh)
        );
        self.targets.reserve_slot(target.instance);
    }

    /// Releases a slot reserved by [`reserve_slot`](Self::reserve_slot).
    pub(crate) fn release_slot(&mut self, team: TeamId, instance: InstanceId) {
        let quota = self.allotments.quota(team);
        invariant!(
            self.out.counts,
            quota.running > 0,
            "team {team} released a slot that it had not reserved"
        );
        quota.running = quota.running.saturating_sub(1);
        self.targets.release_slot(instance);
    }

    /// Returns a target that new work of a team can be bound to without waiting, if there is one.
    pub(crate) fn direct_target(&mut self, pool: PoolId, team: TeamId) -> Option<BoundTarget> {
        if !self.can_start_jobs() || self.job_wait_queues.pool_len(pool) > 0 {
            return None;
        }
        if self.request_wait_queues.pool_len(pool) > 0 || self.team_load(team).is_none() {
            return None;
        }
        let none = IndexSet::new();
        self.targets.pick(pool, self.identity.zone, &none, &none, &mut self.out)
    }

    fn start_request(&mut self, work: WorkId, target: BoundTarget) {
        let Some(entry) = self.work.get_mut(work) else { return };
        entry.attempt = Attempt(entry.attempt.0 + 1);
        let (team, attempt) = (entry.team, entry.attempt);
        self.reserve_slot(team, target);
        self.send_start(work, TaskId::new(work, attempt), target);
    }

    /// Sends an attempt to its target, on which a slot is reserved.
    pub(crate) fn send_start(&mut self, work: WorkId, task: TaskId, target: BoundTarget) {
        let Some(entry) = self.work.get_mut(work) else { return };
        if std::mem::replace(&mut entry.was_started, true) {
            self.out.counts.repeated_starts += 1;
        } else {
            self.out.counts.first_starts += 1;
        }
        entry.stage = WorkStage::Running(task);
        entry.stage_time = self.out.now;
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

    /// Stops or refuses requests whose deadline has passed.
    pub(crate) fn expire_requests(&mut self) {
        let now = self.out.now;
        let due = |work: &WorkId| self.work.get(*work).is_some_and(|entry| entry.deadline <= now);
        let requests = self.work.entries.iter().filter(|(_, entry)| entry.is_request());
        let works = requests.map(|(work, _)| *work).filter(due).collect::<Vec<_>>();
        for work in works {
            self.expire_request(work);
        }
    }

    /// Refuses a request that could not be started before its deadline.
    pub(crate) fn refuse_expired(&mut self, work: WorkId) {
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
                self.dequeue_work(work);
                self.refuse_expired(work);
            }
            WorkStage::Backoff => self.refuse_expired(work),
            WorkStage::Running(task) if self.out.now >= entry.deadline + DEADLINE_GRACE => {
                self.tasks.detach(task);
                let message = "the target did not answer before the deadline";
                self.refuse_work(work, ErrorKind::OutcomeUnknown, message);
            }
            WorkStage::Running(task) => self.tasks.request_stop(task, self.out.now),
            WorkStage::Storing | WorkStage::Binding(_) | WorkStage::Finishing => {}
        }
    }
}
