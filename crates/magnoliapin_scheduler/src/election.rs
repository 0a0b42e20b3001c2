//! Decides when this node takes the scheduler's lease.
//!
//! Taking it too early is safe: the one before is fenced at the store and at every target, so a
//! wrong guess costs a short pause and nothing else.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_site::QueueName;
use magnoliapin_site::StoreReply;
use magnoliapin_site::StoreRequest;
use magnoliapin_site::StoreRow;
use magnoliapin_site::StoreTransaction;
use rand::Rng;

use crate::leader::LeaderIdentity;
use crate::outbox::Outbox;
use crate::rows;
use crate::rows::FenceRow;
use crate::rows::LeaseRow;
use crate::watch::Watch;
use crate::watch::WatchKind;
use crate::watch::WatchNews;
use crate::CallId;
use crate::NodeTimes;

/// Span over which the nodes spread their attempts, so that mostly one makes it.
const ATTEMPT_SPREAD: Duration = Duration::from_millis(150);
/// Answers of the store that lie between a renewal and the news of it.
const LAG_FACTOR: u32 = 3;
/// How much later a node takes over that has less processor than the holder had.
const WEAKER_DELAY: Duration = Duration::from_millis(250);
/// How long a node has followed a scheduler before it replaces one that is much weaker.
const STRONGER_DELAY: Duration = Duration::from_millis(500);
/// Processor of a much stronger node, in percent of the holder's.
const MUCH_STRONGER_PERCENT: u32 = 150;

/// A lease that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TakenLease {
    /// Generation of the new scheduler.
    pub(crate) generation: u64,
    /// Version of the first partition's fence.
    pub(crate) fence_version: RowVersion,
    /// When the call that took it was sent.
    pub(crate) taken_at: Moment,
}

/// Follows the lease and takes it when its holder is silent.
#[derive(Debug)]
pub(crate) struct Election {
    identity: LeaderIdentity,
    watch: Watch,
    /// The lease as it was seen last, with its version.
    seen: Option<(LeaseRow, RowVersion)>,
    /// When it changed last, as seen from here; none before the first read.
    changed_at: Option<Moment>,
    /// Since when the scheduler of the lease was followed.
    followed_since: Option<Moment>,
    attempt: Option<Attempt>,
    /// No attempt before this.
    attempt_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    call: CallId,
    generation: u64,
    sent_at: Moment,
}

impl Election {
    /// Makes the election of a node that has just started.
    pub(crate) fn new(identity: LeaderIdentity) -> Self {
        Self {
            identity,
            watch: Watch::new(WatchKind::Lease),
            seen: None,
            changed_at: None,
            followed_since: None,
            attempt: None,
            attempt_at: Moment::START,
        }
    }

    /// Returns where the scheduler is that was seen last.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.seen.as_ref().and_then(|(lease, _)| lease.address)
    }

    /// Returns the waiting jobs that the scheduler told last.
    pub(crate) fn waiting(&self) -> &[(QueueName, u64)] {
        self.seen.as_ref().map_or(&[], |(lease, _)| &lease.waiting)
    }

    /// Returns the generation of the lease as it was seen last.
    pub(crate) fn generation(&self) -> u64 {
        self.seen.as_ref().map_or(0, |(lease, _)| lease.generation)
    }

    /// Returns when the store last answered a call about the lease, by when the call was sent.
    pub(crate) fn heard_at(&self) -> Option<Moment> {
        self.watch.heard_at()
    }

    /// Watches the lease, and takes it if its holder is silent or has given it up. `is_gone` says
    /// that nobody listens where the holder was.
    pub(crate) fn poll(&mut self, may_lead: bool, is_gone: bool, out: &mut Outbox) {
        let times = self.identity.times;
        self.watch.poll(&times, out);
        if may_lead && self.attempt.is_none() && self.is_free(is_gone, &times, out) {
            self.try_take(out);
        }
    }

    /// Takes the answer of a call. Returns whether the call was the election's, and the lease if
    /// it was taken.
    pub(crate) fn take_reply(
        &mut self,
        call: CallId,
        reply: &StoreReply,
        out: &mut Outbox,
    ) -> (bool, Option<TakenLease>) {
        if let Some(attempt) = self.attempt.filter(|attempt| attempt.call == call) {
            self.attempt = None;
            return (true, self.end_attempt(attempt, reply, out));
        }
        match self.watch.take_reply(call, reply, out) {
            Some(WatchNews::Read(StoreReply::Rows { rows, .. })) => {
                if rows.is_empty() && self.changed_at.is_none() {
                    self.changed_at = Some(out.now);
                }
                (true, self.take_rows(&rows, out))
            }
            Some(WatchNews::Changed(StoreReply::Rows { rows, .. })) => {
                (true, self.take_rows(&rows, out))
            }
            Some(_) => (true, None),
            None => (false, None),
        }
    }

    /// Notes that this node has renewed or given up its lease.
    pub(crate) fn note_renewed(&mut self, now: Moment) {
        self.changed_at = Some(now);
    }

    fn take_rows(&mut self, rows: &[StoreRow], out: &mut Outbox) -> Option<TakenLease> {
        let row = rows.iter().rfind(|row| row.key == rows::LEASE_KEY)?;
        let known = self.seen.as_ref().map_or(RowVersion(0), |(_, version)| *version);
        if row.version <= known {
            return None;
        }
        let lease: Option<LeaseRow> = row.value.as_deref().and_then(rows::decode);
        let Some(lease) = lease else {
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
            self.followed_since = Some(out.now);
        }
        self.changed_at = Some(out.now);
        self.attempt_at = out.now;
        self.seen = Some((lease, row.version));
        None
    }

    /// Returns whether the lease is there for the taking.
    fn is_free(&self, is_gone: bool, times: &NodeTimes, out: &Outbox) -> bool {
        let (Some(changed_at), Some(heard_at)) = (self.changed_at, self.watch.heard_at()) else {
            return false;
        };
        if out.now < self.attempt_at {
            return false;
        }
        let Some((lease, _)) = &self.seen else {
            return true;
        };
        // A process that was started again has nothing left of what it did before.
        let is_here = lease.node == self.identity.node;
        let is_own = is_here && lease.incarnation == self.identity.incarnation;
        // A stronger node goes first.
        let is_weaker = self.identity.power < lease.power;
        let delay = if is_weaker { WEAKER_DELAY } else { Duration::ZERO };
        if lease.is_released || (is_here && !is_own) {
            return out.now.since(changed_at) >= delay;
        }
        let silence = if is_own {
            times.silence * 2
        } else if is_gone {
            // Nobody listens there, and the next renewal has not come.
            times.beat * 3 / 2
        } else {
            times.silence
        };
        let silence = silence + delay;
        // A slow store tells of a renewal only after the renewal and the watch have waited for it.
        let silence = silence + out.store_pace.lag() * LAG_FACTOR;
        // The store must have answered all the while, or its silence is taken for the holder's.
        let is_silent =
            out.now.since(changed_at) > silence && heard_at.since(changed_at) > silence / 2;
        is_silent || self.is_much_stronger(lease, out.now)
    }

    /// Returns whether the holder should let this node schedule, as it has far more processor: a
    /// weak one falls behind at the first surge, and a change costs less than that.
    fn is_much_stronger(&self, lease: &LeaseRow, now: Moment) -> bool {
        let least = lease.power.saturating_mul(MUCH_STRONGER_PERCENT) / 100;
        let has_followed = self.followed_since.is_some_and(|at| now.since(at) >= STRONGER_DELAY);
        self.identity.power > least && (has_followed || lease.generation == 1)
    }

    fn try_take(&mut self, out: &mut Outbox) {
        let (generation, version) = self
            .seen
            .as_ref()
            .map_or((1, RowVersion(0)), |(lease, version)| (lease.generation + 1, *version));
        let lease = LeaseRow {
            generation,
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            address: self.identity.address,
            power: self.identity.power,
            is_released: false,
            waiting: self.waiting().to_vec(),
        };
        let transaction = StoreTransaction::default()
            .with_expected(rows::lease_row(), version)
            .with_write(rows::lease_row(), rows::encode(&lease))
            .with_write(rows::control_fence(), rows::encode(&FenceRow { generation }));
        let call = out.call_store(StoreRequest::Commit(transaction));
        self.attempt = Some(Attempt { call, generation, sent_at: out.now });
    }

    fn end_attempt(
        &mut self,
        attempt: Attempt,
        reply: &StoreReply,
        out: &mut Outbox,
    ) -> Option<TakenLease> {
        let spread = out.random.random_range(0..ATTEMPT_SPREAD.as_millis() as u64);
        self.attempt_at = out.now + Duration::from_millis(spread);
        match reply {
            StoreReply::Committed(version) => {
                self.changed_at = Some(out.now);
                Some(TakenLease {
                    generation: attempt.generation,
                    fence_version: *version,
                    taken_at: attempt.sent_at,
                })
            }
            StoreReply::Conflict(rows) => {
                self.take_rows(&rows.clone(), out);
                None
            }
            _ => None,
        }
    }
}
