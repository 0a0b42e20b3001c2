//! Keeps the scheduler's lease.

use magnoliapin_model::Moment;
use magnoliapin_site::QueueName;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreTransaction;

use crate::leader::job::Task;
use crate::leader::job::TaskState;
use crate::leader::Leader;
use crate::leader::LeaderCall;
use crate::leader::LeaderPhase;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::LeaseRow;
use crate::times::TRUST_TIME;

/// Where the renewal of the lease stands.
#[derive(Debug)]
pub(crate) struct Renewal {
    next_at: Moment,
    is_in_flight: bool,
    is_releasing: bool,
    is_released: bool,
}

impl Renewal {
    /// Makes the renewal of a lease that was taken just now.
    pub(crate) fn new(now: Moment) -> Self {
        Self { next_at: now, is_in_flight: false, is_releasing: false, is_released: false }
    }
}

impl Leader {
    /// Gives the lease up at the next renewal, so that another node takes it at once.
    pub(crate) fn release(&mut self, out: &mut Outbox) {
        self.renewal.is_releasing = true;
        self.renewal.next_at = out.now;
    }

    /// Returns whether the lease is given up.
    pub(crate) fn is_released(&self) -> bool {
        self.renewal.is_released
    }

    /// Renews the lease when it is time.
    pub(super) fn poll_lease(&mut self, out: &mut Outbox) {
        if self.renewal.is_in_flight || self.renewal.is_released || out.now < self.renewal.next_at {
            return;
        }
        if self.phase == LeaderPhase::Active {
            self.waiting = self.waiting_jobs();
        }
        let lease = LeaseRow {
            generation: self.generation,
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            address: self.identity.address,
            power: self.identity.power,
            is_released: self.renewal.is_releasing,
            waiting: self.waiting.clone(),
        };
        let transaction = StoreTransaction::default()
            .with_expected(rows::control_fence(), self.control_fence)
            .with_write(rows::lease_row(), rows::encode(&lease));
        self.renewal.is_in_flight = true;
        let request = StoreRequest::Commit(transaction);
        self.call(LeaderCall::Renew(out.now), request, out);
    }

    /// Takes the answer to a renewal.
    pub(super) fn take_renewed(&mut self, sent_at: Moment, reply: &StoreReply, out: &Outbox) {
        self.renewal.is_in_flight = false;
        match reply {
            StoreReply::Committed(_) => {
                self.note_confirmed(sent_at);
                self.renewal.next_at = sent_at + self.identity.times.beat;
                self.renewal.is_released = self.renewal.is_releasing;
                self.news.was_renewed = true;
            }
            StoreReply::Conflict(_) => self.depose("the fence has changed"),
            _ => self.renewal.next_at = out.now + self.identity.times.beat / 4,
        }
    }

    /// Notes that the store confirmed this scheduler.
    pub(super) fn note_confirmed(&mut self, sent_at: Moment) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
        if self.unsure.is_empty() {
            return;
        }
        let unsure = std::mem::take(&mut self.unsure);
        let still_unsure = unsure.into_iter().filter(|name| {
            let job = self.job_keys.get(&name.job).and_then(|key| self.jobs.get(key));
            job.and_then(|job| job.task(*name)).is_some_and(|task| task.lost_at.is_some())
        });
        self.unsure = still_unsure.collect();
        for pool in self.pools.values_mut() {
            pool.is_stirred = true;
        }
    }

    /// Returns whether what became of a task's last run is open: it was taken for lost, and the
    /// store has not confirmed this scheduler since, or not lately.
    pub(super) fn is_unsure(&self, task: &Task, now: Moment) -> bool {
        task.lost_at
            .is_some_and(|at| self.confirmed_at <= at || now.since(self.confirmed_at) >= TRUST_TIME)
    }

    /// Doubts what became of the tasks whose targets have not told.
    pub(super) fn doubt_unheard(&mut self, now: Moment) {
        for name in self.unheard.keys() {
            let job = self.job_keys.get(&name.job).and_then(|key| self.jobs.get_mut(key));
            let task = job.and_then(|job| job.task_mut(*name));
            if let Some(task) = task.filter(|task| task.state == TaskState::Waiting) {
                task.lost_at = Some(now);
                self.unsure.insert(*name);
            }
        }
    }

    /// Counts the jobs of each queue none of whose tasks has started. Jobs that wait for their
    /// time do not count.
    fn waiting_jobs(&self) -> Vec<(QueueName, u64)> {
        let mut waiting: indexmap::IndexMap<&QueueName, u64> = indexmap::IndexMap::new();
        for job in self.jobs.values() {
            if !job.has_started && job.spec.schedule.is_none() && job.ending.is_none() {
                *waiting.entry(&job.queue).or_default() += 1;
            }
        }
        waiting.into_iter().map(|(queue, count)| (queue.clone(), count)).collect()
    }
}
