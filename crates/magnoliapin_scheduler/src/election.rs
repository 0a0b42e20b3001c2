//! Leader election: decides when this node acquires the leader's lease.
//!
//! Acquiring it too early is safe: the previous leader is fenced at the store and at every target,
//! so a wrong decision costs no more than a short pause in scheduling.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::ByteSize;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::QueueName;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;
use magnoliapin_site::StoreTransaction;
use rand::Rng;

use crate::fence::next_generation;
use crate::leader::LeaderIdentity;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::FenceRow;
use crate::rows::LeaseLimit;
use crate::rows::LeaseRow;
use crate::watch::Watch;
use crate::watch::WatchKind;
use crate::watch::WatchUpdate;
use crate::CallId;
use crate::NodeTimes;

#[cfg(test)]
#[path = "election_tests.rs"]
mod tests;

/// Upper bound of the random delay between attempts, so that nodes rarely compete.
const ATTEMPT_JITTER: Duration = Duration::from_millis(150);
/// Number of store replies between a renewal and its observation by another node.
const LATENCY_FACTOR: u32 = 3;
/// Extra delay of a node with less CPU than the previous leader, so that stronger nodes go first.
const WEAKER_NODE_DELAY: Duration = Duration::from_millis(250);
/// How long a node must have seen a much weaker leader before it replaces it; it replaces the very
/// first leader at once.
const STRONGER_NODE_DELAY: Duration = Duration::from_millis(500);
/// CPU that a much stronger node exceeds, in percent of the leader's.
const STRONGER_NODE_PERCENT: u32 = 150;

/// A lease that this node has acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AcquiredLease {
    /// Generation of the new leader.
    pub(crate) generation: u64,
    /// Version of the control partition's fence.
    pub(crate) fence_version: RowVersion,
    /// When the call that acquired it was sent.
    pub(crate) requested_at: Moment,
}

/// Watches the lease and acquires it when its holder is unresponsive.
#[derive(Debug)]
pub(crate) struct Election {
    identity: LeaderIdentity,
    watch: Watch,
    /// The lease as last seen, with its version.
    last_lease: Option<(LeaseRow, RowVersion)>,
    /// What its holder has published with it.
    last_limit: LeaseLimit,
    /// When a change of the lease was last observed; `None` before the first read.
    changed_at: Option<Moment>,
    /// When the lease's current generation was first seen.
    generation_seen_at: Option<Moment>,
    attempt: Option<AcquireAttempt>,
    /// Earliest time of the next attempt.
    next_attempt_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct AcquireAttempt {
    call: CallId,
    generation: u64,
    sent_at: Moment,
}

impl Election {
    /// Creates the election state of a node that has just started.
    pub(crate) fn new(identity: LeaderIdentity) -> Self {
        Self {
            identity,
            watch: Watch::new(WatchKind::Lease),
            last_lease: None,
            last_limit: LeaseLimit::default(),
            changed_at: None,
            generation_seen_at: None,
            attempt: None,
            next_attempt_at: Moment::START,
        }
    }

    /// Returns the address of the leader in the lease as last seen.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.last_lease.as_ref().and_then(|(lease, _)| lease.address)
    }

    /// Returns the number of waiting jobs per queue, as last reported by the leader.
    pub(crate) fn waiting_jobs(&self) -> &[(QueueName, u64)] {
        self.last_lease.as_ref().map_or(&[], |(lease, _)| &lease.waiting_jobs)
    }

    /// Returns the memory of the smallest machine of a node, as last published by a leader.
    pub(crate) fn smallest_memory(&self) -> Option<ByteSize> {
        Some(self.last_limit.smallest_memory).filter(|memory| *memory > ByteSize(0))
    }

    /// Returns whether the leader publishes its limit on jobs.
    pub(crate) fn publishes_limit(&self) -> bool {
        self.smallest_memory().is_some()
    }

    /// Returns the generation of the lease as last seen; 0 if there is none.
    pub(crate) fn generation(&self) -> u64 {
        self.last_lease.as_ref().map_or(0, |(lease, _)| lease.generation)
    }

    /// Watches the lease, and tries to acquire it if its holder is unresponsive or has released it.
    /// `is_process_down` states that connections to the holder's process fail.
    pub(crate) fn poll(&mut self, may_lead: bool, is_process_down: bool, out: &mut Outbox) {
        let times = self.identity.times;
        self.watch.poll(&times, out);
        if may_lead && self.attempt.is_none() && self.can_acquire(is_process_down, &times, out) {
            self.try_acquire(out);
        }
    }

    /// Handles a reply of the store. Returns whether the call was made by the election, and the
    /// lease if it was acquired.
    pub(crate) fn handle_reply(
        &mut self,
        call: CallId,
        reply: &StoreReply,
        out: &mut Outbox,
    ) -> (bool, Option<AcquiredLease>) {
        if let Some(attempt) = self.attempt.filter(|attempt| attempt.call == call) {
            self.attempt = None;
            return (true, self.finish_attempt(attempt, reply, out));
        }
        match self.watch.handle_reply(call, reply, out) {
            Some(WatchUpdate::Read(StoreReply::Rows { rows, .. })) => {
                if rows.is_empty() && self.changed_at.is_none() {
                    self.changed_at = Some(out.now);
                }
                (true, self.apply_rows(&rows, out))
            }
            Some(WatchUpdate::Changed(StoreReply::Rows { rows, .. })) => {
                (true, self.apply_rows(&rows, out))
            }
            Some(_) => (true, None),
            None => (false, None),
        }
    }

    /// Records that this node has renewed or released its lease.
    pub(crate) fn record_renewal(&mut self, now: Moment) {
        self.changed_at = Some(now);
    }

    fn apply_rows(&mut self, rows: &[StoreRow], out: &mut Outbox) -> Option<AcquiredLease> {
        let row = rows.iter().rfind(|row| row.key == rows::LEASE_KEY)?;
        let last_version = self.last_lease.as_ref().map_or(RowVersion(0), |(_, version)| *version);
        if row.version <= last_version {
            return None;
        }
        let lease: Option<(LeaseRow, LeaseLimit)> =
            row.value.as_deref().and_then(rows::decode_extended);
        let Some((lease, limit)) = lease else {
            log::error!("event=row_unreadable table={} version={}", rows::LEASE, row.version);
            return None;
        };
        if lease.generation != self.generation() {
            log::info!(
                "event=scheduler_seen generation={} node={} version={}",
                lease.generation,
                lease.node,
                row.version
            );
            self.generation_seen_at = Some(out.now);
        }
        self.changed_at = Some(out.now);
        self.next_attempt_at = out.now;
        self.last_lease = Some((lease, row.version));
        self.last_limit = limit;
        None
    }

    /// Returns whether this node may try to acquire the lease now.
    fn can_acquire(&self, is_process_down: bool, times: &NodeTimes, out: &Outbox) -> bool {
        let (Some(changed_at), Some(last_contact_at), Some(answered_since)) =
            (self.changed_at, self.watch.last_contact_at(), self.watch.answered_since())
        else {
            return false;
        };
        if out.now < self.next_attempt_at {
            return false;
        }
        let Some((lease, _)) = &self.last_lease else {
            return true;
        };
        // A restarted process has lost the state of the incarnation that held the lease.
        let is_same_node = lease.node == self.identity.profile.name;
        let is_same_incarnation =
            is_same_node && lease.incarnation == self.identity.profile.incarnation;
        // Stronger nodes go first.
        let is_weaker = self.identity.profile.cpu_milli < lease.cpu_milli;
        let delay = if is_weaker { WEAKER_NODE_DELAY } else { Duration::ZERO };
        if lease.is_released || (is_same_node && !is_same_incarnation) {
            return out.now.since(changed_at) >= delay;
        }
        let timeout = if is_same_incarnation {
            times.leader_timeout * 2
        } else if is_process_down {
            // Connections to the process fail, and the next renewal is overdue.
            times.renewal_interval * 3 / 2
        } else {
            times.leader_timeout
        };
        let timeout = timeout + delay;
        // With a slow store, both the renewal and the watch that reports it are delayed.
        let timeout = timeout + out.store_latency.recent_answered_max() * LATENCY_FACTOR;
        // Only the time counts in which the store has answered, or its outage would count as the
        // holder's.
        let silent_since = changed_at.max(answered_since);
        let is_unresponsive = out.now.since(silent_since) > timeout
            && last_contact_at.since(silent_since) > timeout / 2;
        is_unresponsive || self.is_much_stronger(lease, out.now)
    }

    /// Returns whether this node has so much more CPU than the leader that it should take over. A
    /// weak leader falls behind at the first load peak, which costs more than a takeover.
    fn is_much_stronger(&self, lease: &LeaseRow, now: Moment) -> bool {
        let threshold = lease.cpu_milli.saturating_mul(STRONGER_NODE_PERCENT) / 100;
        let has_waited =
            self.generation_seen_at.is_some_and(|at| now.since(at) >= STRONGER_NODE_DELAY);
        self.identity.profile.cpu_milli > threshold && (has_waited || lease.generation == 1)
    }

    /// Returns the limit that this node publishes as it acquires the lease.
    fn own_limit(&self) -> LeaseLimit {
        let own = self.identity.memory;
        LeaseLimit { smallest_memory: self.smallest_memory().map_or(own, |last| last.min(own)) }
    }

    fn try_acquire(&mut self, out: &mut Outbox) {
        let (generation, version) =
            self.last_lease.as_ref().map_or((1, RowVersion(0)), |(lease, version)| {
                (next_generation(lease.generation), *version)
            });
        let lease = LeaseRow {
            generation,
            node: self.identity.profile.name.clone(),
            incarnation: self.identity.profile.incarnation,
            address: self.identity.profile.address,
            cpu_milli: self.identity.profile.cpu_milli,
            is_released: false,
            waiting_jobs: self.waiting_jobs().to_vec(),
        };
        let transaction = StoreTransaction::default()
            .with_expected(rows::lease_row(), version)
            .with_write(rows::lease_row(), rows::encode_extended(&lease, &self.own_limit()))
            .with_write(rows::control_fence(), rows::encode(&FenceRow { generation }));
        let call = out.call_store(StoreRequest::Commit(transaction));
        self.attempt = Some(AcquireAttempt { call, generation, sent_at: out.now });
    }

    fn finish_attempt(
        &mut self,
        attempt: AcquireAttempt,
        reply: &StoreReply,
        out: &mut Outbox,
    ) -> Option<AcquiredLease> {
        let jitter = out.random.random_range(0..ATTEMPT_JITTER.as_millis() as u64);
        self.next_attempt_at = out.now + Duration::from_millis(jitter);
        match reply {
            StoreReply::Committed(version) => {
                self.changed_at = Some(out.now);
                Some(AcquiredLease {
                    generation: attempt.generation,
                    fence_version: *version,
                    requested_at: attempt.sent_at,
                })
            }
            StoreReply::Conflict(rows) => {
                self.apply_rows(&rows.clone(), out);
                None
            }
            _ => None,
        }
    }
}
