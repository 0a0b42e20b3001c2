//! Renews and releases the leader's lease.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_site::QueueName;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreTransaction;
use magnoliapin_site::TargetName;

use crate::leader::job::Task;
use crate::leader::job::TaskState;
use crate::leader::Leader;
use crate::leader::LeaderCall;
use crate::leader::LeaderPhase;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::LeaseLimit;
use crate::rows::LeaseRow;
use crate::times::CONFIRMATION_VALIDITY;
use crate::times::LEASE_SLACK;

#[cfg(test)]
#[path = "lease_tests.rs"]
mod tests;

/// Timeout of a renewal that follows one without a reply.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Longest time for which a release waits until the leases of the targets are recorded.
const MAX_HANDOVER_TIME: Duration = Duration::from_millis(300);

/// State of the lease renewal.
#[derive(Debug)]
pub(crate) struct Renewal {
    next_at: Moment,
    /// When the last one was sent, while it has no reply.
    in_flight_since: Option<Moment>,
    /// Whether the last one failed.
    has_failed: bool,
    pub(super) is_releasing: bool,
    /// Until when a release waits for a batch that lists the leases of the targets.
    handover_until: Option<Moment>,
    /// When the renewal was sent that releases the lease.
    release_sent_at: Option<Moment>,
    is_released: bool,
}

impl Renewal {
    /// Creates the renewal state of a lease that was acquired at `now`.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            next_at: now,
            in_flight_since: None,
            has_failed: false,
            is_releasing: false,
            handover_until: None,
            release_sent_at: None,
            is_released: false,
        }
    }

    /// Returns whether the leases of the targets must be recorded before the lease is released.
    pub(super) fn is_handing_over(&self, now: Moment) -> bool {
        self.handover_until.is_some_and(|until| now < until)
    }
}

impl Leader {
    /// Releases the lease, so that another node can acquire it without waiting for it to expire. Before that, a
    /// batch records how long the leases of the targets last, which the next leader cannot know otherwise.
    pub(crate) fn release(&mut self, out: &mut Outbox) {
        let has_runs = self.targets.values().any(|target| target.used_lease_end().is_some());
        if !self.renewal.is_releasing && has_runs && self.phase == LeaderPhase::Active {
            self.renewal.handover_until = Some(out.now + MAX_HANDOVER_TIME);
            self.add_open_starts(out.now);
        }
        self.renewal.is_releasing = true;
        self.renewal.next_at = out.now;
    }

    /// Lets the release go on, as the batch that lists the leases of the targets is stored.
    pub(super) fn end_handover(&mut self, out: &mut Outbox) {
        if self.renewal.handover_until.take().is_some() {
            self.poll_lease(out);
        }
    }

    /// Returns whether the store has confirmed the release of the lease.
    pub(crate) fn is_released(&self) -> bool {
        self.renewal.is_released
    }

    /// Renews the lease when the renewal is due.
    pub(super) fn poll_lease(&mut self, out: &mut Outbox) {
        let is_due = out.now >= self.renewal.next_at && !self.renewal.is_handing_over(out.now);
        if self.renewal.is_released || !is_due {
            return;
        }
        // A renewal that got lost must not delay the next one until its timeout. That which releases
        // the lease must be the last one.
        let interval = self.identity.times.renewal_interval;
        let is_overdue = |sent_at| out.now.since(sent_at) >= interval && !self.renewal.is_releasing;
        if self.renewal.in_flight_since.is_some_and(|sent_at| !is_overdue(sent_at)) {
            return;
        }
        let is_probe = self.renewal.in_flight_since.is_some() || self.renewal.has_failed;
        if self.phase == LeaderPhase::Active {
            self.waiting_jobs = self.count_waiting_jobs();
        }
        let lease = LeaseRow {
            generation: self.generation,
            node: self.identity.profile.name.clone(),
            incarnation: self.identity.profile.incarnation,
            address: self.identity.profile.address,
            cpu_milli: self.identity.profile.cpu_milli,
            is_released: self.renewal.is_releasing,
            waiting_jobs: self.waiting_jobs.clone(),
        };
        let limit = LeaseLimit { smallest_memory: self.job_ledger.smallest_memory(out.now) };
        let transaction = StoreTransaction::default()
            .with_expected(rows::control_fence(), self.control_fence)
            .with_write(rows::lease_row(), rows::encode_extended(&lease, &limit));
        self.renewal.in_flight_since = Some(out.now);
        if self.renewal.is_releasing {
            self.renewal.release_sent_at = Some(out.now);
        }
        let request = StoreRequest::Commit(transaction);
        let call = match is_probe {
            true => out.probe_store(request, RENEWAL_TIMEOUT),
            false => out.call_store(request),
        };
        self.calls.insert(call, LeaderCall::Renew(out.now));
    }

    /// Handles the reply to a renewal.
    pub(super) fn handle_renewal_reply(
        &mut self,
        sent_at: Moment,
        reply: &StoreReply,
        out: &Outbox,
    ) {
        let is_last = self.renewal.in_flight_since == Some(sent_at);
        if is_last {
            self.renewal.in_flight_since = None;
        }
        match reply {
            StoreReply::Committed(_) => {
                self.record_confirmation(sent_at);
                self.renewal.has_failed = false;
                self.renewal.is_released |= self.renewal.release_sent_at == Some(sent_at);
                self.renewal.next_at = match self.renewal.is_releasing {
                    true => out.now,
                    false => sent_at + self.identity.times.renewal_interval,
                };
                self.update.was_renewed = true;
            }
            StoreReply::Conflict(_) => self.depose("the fence has changed"),
            _ if is_last => {
                self.renewal.has_failed = true;
                self.renewal.next_at = out.now + self.identity.times.renewal_interval / 4;
            }
            _ => {}
        }
    }

    /// Records that the store has confirmed a write of this leader that was sent at `sent_at` and
    /// expected the control partition's fence. The next leader replaces that fence as it acquires the
    /// lease, the fences of the other partitions only afterwards.
    pub(super) fn record_confirmation(&mut self, sent_at: Moment) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
        if self.unconfirmed_losses.is_empty() {
            return;
        }
        let unconfirmed_losses = std::mem::take(&mut self.unconfirmed_losses);
        let not_restarted = unconfirmed_losses.into_iter().filter(|name| {
            let job = self.job_keys.get(&name.job).and_then(|key| self.jobs.get(key));
            job.and_then(|job| job.task(*name)).is_some_and(|task| task.lost_at.is_some())
        });
        self.unconfirmed_losses = not_restarted.collect();
        for pool in self.pools.values_mut() {
            pool.needs_dispatch = true;
        }
    }

    /// Returns whether this leader may take decisions that another leader could undo, such as a start:
    /// only within [`CONFIRMATION_VALIDITY`] of the latest write that the store has confirmed. The
    /// process may have been paused since, and another leader may have taken over.
    pub(super) fn is_confirmed(&self, now: Moment) -> bool {
        now.since(self.confirmed_at) < CONFIRMATION_VALIDITY
    }

    /// Returns whether a start of the previous leader may still arrive at a target: it has been sent
    /// while that leader was confirmed, and is on its way for at most the timeout of an order.
    pub(super) fn may_get_previous_starts(&self, now: Moment) -> bool {
        self.generation > 1 && now < self.previous_starts_until()
    }

    /// Returns when the last start of the previous leader can have arrived.
    pub(super) fn previous_starts_until(&self) -> Moment {
        let in_transit = self.identity.times.order_timeout + LEASE_SLACK;
        self.acquired_at + CONFIRMATION_VALIDITY + in_transit
    }

    /// Returns whether the outcome of a task's last run is uncertain: the run was treated as lost,
    /// and the store has not confirmed this leader since then, or not recently.
    pub(super) fn is_loss_unconfirmed(&self, task: &Task, now: Moment) -> bool {
        task.lost_at.is_some_and(|at| self.confirmed_at <= at || !self.is_confirmed(now))
    }

    /// Marks the unconfirmed runs of the previous leader on a target as lost.
    pub(super) fn mark_unconfirmed_lost(&mut self, target: &TargetName, now: Moment) {
        for (name, _) in self.unconfirmed_runs.iter().filter(|(_, run)| run.target == *target) {
            let job = self.job_keys.get(&name.job).and_then(|key| self.jobs.get_mut(key));
            let task = job.and_then(|job| job.task_mut(*name));
            if let Some(task) = task.filter(|task| task.state == TaskState::Waiting) {
                // A start of the leader before may arrive later.
                task.lost_at = task.lost_at.max(Some(now));
                self.unconfirmed_losses.insert(*name);
            }
        }
    }

    /// Counts the jobs per queue without a started task. Jobs with a schedule do not count.
    fn count_waiting_jobs(&self) -> Vec<(QueueName, u64)> {
        let mut counts: indexmap::IndexMap<&QueueName, u64> = indexmap::IndexMap::new();
        for job in self.jobs.values() {
            if !job.has_started && job.spec.schedule.is_none() && job.final_state.is_none() {
                *counts.entry(&job.queue).or_default() += 1;
            }
        }
        counts.into_iter().map(|(queue, count)| (queue.clone(), count)).collect()
    }
}
