//! State of each target as seen by this entry: availability, free slots and failures.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::PoolId;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::ZoneId;
use magnoliapin_wire::rows::BoundTarget;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;

use crate::outbox::Outbox;

/// Pause after the first refusal by a full target; it doubles with each further one.
const FIRST_FULL_PAUSE: Duration = Duration::from_millis(60);
/// Maximum number of doublings of [`FIRST_FULL_PAUSE`].
const MAX_FULL_STREAK: u32 = 7;
/// Pause after the first call without a reply; it doubles with each further one.
const FIRST_FAILURE_PAUSE: Duration = Duration::from_millis(100);
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(5_000);
/// Maximum age of a target's report of its free slots.
const MAX_FREE_SLOTS_AGE: Duration = Duration::from_millis(1_000);
/// Consecutive failures, of work that finished on other targets, after which a target is
/// quarantined.
const MAX_CONFIRMED_FAILURES: u32 = 3;
/// Consecutive failures of different work after which a target is quarantined, even if the work
/// did not finish elsewhere.
const MAX_FAILURES: u32 = 10;
const FIRST_QUARANTINE: Duration = Duration::from_secs(10);
const MAX_QUARANTINE: Duration = Duration::from_secs(600);

/// State of one target.
#[derive(Clone, Debug)]
pub(crate) struct TargetEntry {
    /// Record of the target in the platform's list.
    pub(crate) record: InstanceRecord,
    /// Pool of the target.
    pub(crate) pool: Option<PoolId>,
    /// Whether the instance is serving according to the fleet's rows.
    pub(crate) in_service: bool,
    /// Number of slots on the target that are reserved for tasks of this entry.
    pub(crate) reserved_slots: u32,
    /// Whether the target itself or another entry has reported that the target is leaving.
    pub(crate) leaving: bool,
    /// Whether this entry may send work to the target; false if another entry owns it.
    pub(crate) is_open: bool,
    /// End of the quarantine, if the target is in one.
    pub(crate) quarantined_until: Option<Moment>,
    /// Latest report of free slots, with its arrival time.
    reported_free: Option<(Moment, u32)>,
    blocked_until: Moment,
    full_streak: u32,
    call_failures: u32,
    failures: u32,
    confirmed_failures: u32,
    quarantines: u32,
    /// Whether the target announced in the list that it leaves.
    has_announced_end: bool,
    /// Previous incarnation, and whether it had announced its end.
    predecessor: Option<(TargetIncarnation, bool)>,
}

impl TargetEntry {
    fn new(record: InstanceRecord) -> Self {
        Self {
            pool: record.pool,
            has_announced_end: record.state == ListedState::Leaving,
            record,
            in_service: true,
            reserved_slots: 0,
            leaving: false,
            is_open: true,
            quarantined_until: None,
            reported_free: None,
            blocked_until: Moment::START,
            full_streak: 0,
            call_failures: 0,
            failures: 0,
            confirmed_failures: 0,
            quarantines: 0,
            predecessor: None,
        }
    }

    fn set_state(&mut self, state: ListedState) {
        self.record.state = state;
        match state {
            ListedState::Live => self.has_announced_end = false,
            ListedState::Leaving => self.has_announced_end = true,
            ListedState::Gone => {}
        }
    }

    /// Returns whether the target counts as available in its pool's `max_unavailable` budget.
    pub(crate) fn is_available(&self, now: Moment) -> bool {
        self.record.state == ListedState::Live
            && !self.leaving
            && self.in_service
            && self.quarantined_until.is_none_or(|until| until <= now)
    }

    /// Returns the estimated number of tasks that the target accepts now.
    fn free_slots(&self, now: Moment) -> u32 {
        if !self.is_open || !self.is_available(now) || self.blocked_until > now {
            return 0;
        }
        let remaining = self.record.slots.0.saturating_sub(self.reserved_slots);
        match self.reported_free {
            Some((reported_at, free)) if now.since(reported_at) < MAX_FREE_SLOTS_AGE => {
                free.min(remaining)
            }
            // Replies and lease renewals for this entry's tasks there report free slots. Without
            // such tasks, one start is sent to find out.
            _ if self.full_streak > 0 => u32::from(self.reserved_slots == 0),
            _ => remaining,
        }
    }

    pub(crate) fn bound_target(&self) -> BoundTarget {
        BoundTarget {
            instance: self.record.instance,
            run: self.record.run,
            address: self.record.address,
        }
    }
}

/// All known targets.
#[derive(Debug, Default)]
pub(crate) struct TargetRegistry {
    /// Targets by instance.
    pub(crate) entries: IndexMap<InstanceId, TargetEntry>,
    /// Whether the platform's list was applied at least once.
    pub(crate) is_listed: bool,
}

impl TargetRegistry {
    /// Applies the states of known target incarnations from a list that is not confirmed yet.
    pub(crate) fn apply_states(&mut self, records: &[InstanceRecord]) {
        for record in records {
            let known = self.entries.get_mut(&record.instance);
            if let Some(entry) = known.filter(|entry| entry.record.run == record.run) {
                entry.set_state(record.state);
            }
        }
    }

    /// Applies the platform's list. Targets that are not in it stay while tasks of this entry use
    /// them.
    pub(crate) fn apply_list(&mut self, records: Vec<InstanceRecord>) {
        self.is_listed = true;
        let listed = records.iter().map(|record| record.instance).collect::<IndexSet<_>>();
        self.entries
            .retain(|instance, entry| listed.contains(instance) || entry.reserved_slots > 0);
        for record in records {
            self.apply_record(record);
        }
    }

    fn apply_record(&mut self, record: InstanceRecord) {
        let Some(entry) = self.entries.get_mut(&record.instance) else {
            self.entries.insert(record.instance, TargetEntry::new(record));
            return;
        };
        if entry.record.run != record.run {
            let pool = entry.pool;
            let reserved_slots = entry.reserved_slots;
            let predecessor = Some((entry.record.run, entry.has_announced_end || entry.leaving));
            *entry = TargetEntry { pool, reserved_slots, predecessor, ..TargetEntry::new(record) };
        } else {
            let state = record.state;
            entry.record = record;
            entry.set_state(state);
        }
    }

    /// Sets the pool and service state of an instance from the fleet's rows.
    pub(crate) fn apply_placement(&mut self, instance: InstanceId, pool: PoolId, in_service: bool) {
        if let Some(entry) = self.entries.get_mut(&instance) {
            entry.pool = Some(pool);
            entry.in_service = in_service;
        }
    }

    /// Picks the target with the most free slots in a pool, preferably in `zone`.
    ///
    /// Targets in `avoid` are picked only if no other has a free slot, and those in `unfit` last; ties
    /// are broken randomly.
    pub(crate) fn pick(
        &self,
        pool: PoolId,
        zone: ZoneId,
        avoid: &IndexSet<InstanceId>,
        unfit: &IndexSet<InstanceId>,
        out: &mut Outbox,
    ) -> Option<BoundTarget> {
        let now = out.now;
        let score = |entry: &TargetEntry| {
            let is_same_zone = entry.record.zone == zone;
            let instance = &entry.record.instance;
            let cost = (unfit.contains(instance), avoid.contains(instance));
            (Reverse(cost), is_same_zone, entry.free_slots(now))
        };
        let members = self.entries.values().filter(|entry| entry.pool == Some(pool));
        let mut choices = members.filter(|entry| entry.free_slots(now) > 0).collect::<Vec<_>>();
        let best = choices.iter().map(|entry| score(entry)).max()?;
        choices.retain(|entry| score(entry) == best);
        let index = out.random_below(choices.len());
        choices.get(index).map(|entry| entry.bound_target())
    }

    /// Returns whether a pool has a target with an estimated free slot.
    pub(crate) fn has_room(&self, pool: PoolId, now: Moment) -> bool {
        let mut members = self.entries.values().filter(|entry| entry.pool == Some(pool));
        members.any(|entry| entry.free_slots(now) > 0)
    }

    /// Returns the total slots of a pool's available targets.
    pub(crate) fn pool_slots(&self, pool: PoolId, now: Moment) -> SlotCount {
        let members = self.entries.values().filter(|entry| entry.pool == Some(pool));
        let available = members.filter(|entry| entry.is_available(now));
        SlotCount(available.map(|entry| entry.record.slots.0).sum())
    }

    /// Returns the number of a pool's instances, and how many of them are unavailable.
    pub(crate) fn pool_counts(&self, pool: PoolId, now: Moment) -> (u32, u32) {
        let members = self.entries.values().filter(|entry| entry.pool == Some(pool));
        let present = members.filter(|entry| entry.record.state != ListedState::Gone);
        present.fold((0, 0), |(all, unavailable), entry| {
            (all + 1, unavailable + u32::from(!entry.is_available(now)))
        })
    }

    /// Returns whether incarnation `run` of a target has ended, so that none of its tasks run.
    pub(crate) fn has_ended(&self, instance: InstanceId, incarnation: TargetIncarnation) -> bool {
        match self.entries.get(&instance) {
            Some(entry) => {
                entry.record.run != incarnation || entry.record.state == ListedState::Gone
            }
            None => false,
        }
    }

    /// Returns whether incarnation `run` of a target had announced its end.
    pub(crate) fn has_announced_end(
        &self,
        instance: InstanceId,
        incarnation: TargetIncarnation,
    ) -> bool {
        let Some(entry) = self.entries.get(&instance) else { return false };
        if entry.record.run == incarnation {
            return entry.has_announced_end || entry.leaving;
        }
        entry.predecessor == Some((incarnation, true))
    }

    /// Counts a slot that a task of this entry has reserved on a target.
    pub(crate) fn reserve_slot(&mut self, instance: InstanceId) {
        let Some(entry) = self.entries.get_mut(&instance) else { return };
        entry.reserved_slots += 1;
        if let Some((_, free)) = &mut entry.reported_free {
            *free = free.saturating_sub(1);
        }
    }

    /// Releases the slot of a task of this entry.
    pub(crate) fn release_slot(&mut self, instance: InstanceId) {
        if let Some(entry) = self.entries.get_mut(&instance) {
            entry.reserved_slots = entry.reserved_slots.saturating_sub(1);
        }
    }

    /// Records the number of free slots that a target reported.
    pub(crate) fn record_free_slots(&mut self, instance: InstanceId, free: SlotCount, now: Moment) {
        let Some(entry) = self.entries.get_mut(&instance) else { return };
        entry.reported_free = Some((now, free.0));
        entry.call_failures = 0;
        if free.0 > 0 {
            entry.full_streak = entry.full_streak.saturating_sub(1);
            entry.blocked_until = Moment::START;
        }
    }

    /// Records that a target refused work because it is full.
    pub(crate) fn record_full_refusal(&mut self, instance: InstanceId, out: &mut Outbox) {
        let Some(entry) = self.entries.get_mut(&instance) else { return };
        // Refusals of several starts during one pause count once.
        if entry.blocked_until > out.now {
            return;
        }
        let pause = FIRST_FULL_PAUSE * 2_u32.saturating_pow(entry.full_streak);
        entry.full_streak = (entry.full_streak + 1).min(MAX_FULL_STREAK);
        entry.reported_free = None;
        entry.blocked_until = out.now + out.jitter(pause);
    }

    /// Records that a call to a target failed, or was refused because the task was fenced or sent
    /// to another incarnation, and pauses starts there.
    pub(crate) fn record_call_failure(&mut self, instance: InstanceId, out: &mut Outbox) {
        let Some(entry) = self.entries.get_mut(&instance) else { return };
        let pause = FIRST_FAILURE_PAUSE * 2_u32.saturating_pow(entry.call_failures.min(8));
        entry.call_failures += 1;
        entry.blocked_until = out.now + out.jitter(pause.min(MAX_FAILURE_PAUSE));
    }

    /// Marks a target as leaving. Returns whether it was not marked before.
    pub(crate) fn mark_leaving(&mut self, instance: InstanceId) -> bool {
        let Some(entry) = self.entries.get_mut(&instance) else { return false };
        !std::mem::replace(&mut entry.leaving, true)
    }

    /// Records that a task finished on a target.
    pub(crate) fn record_success(&mut self, instance: InstanceId) {
        let Some(entry) = self.entries.get_mut(&instance) else { return };
        entry.failures = 0;
        entry.confirmed_failures = 0;
    }

    /// Records that a task failed on a target. `is_confirmed` is set if its work has finished on
    /// another target.
    ///
    /// Returns whether the target was quarantined, which happens only within the pool's
    /// `max_unavailable` budget.
    pub(crate) fn record_failure(
        &mut self,
        instance: InstanceId,
        is_confirmed: bool,
        max_unavailable: u32,
        now: Moment,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&instance) else { return false };
        if is_confirmed {
            entry.confirmed_failures += 1;
        } else {
            entry.failures += 1;
        }
        let is_failing =
            entry.confirmed_failures >= MAX_CONFIRMED_FAILURES || entry.failures >= MAX_FAILURES;
        let Some(pool) = entry.pool.filter(|_| is_failing && entry.is_available(now)) else {
            return false;
        };
        let (_, unavailable) = self.pool_counts(pool, now);
        if unavailable >= max_unavailable {
            return false;
        }
        self.quarantine(instance, now);
        true
    }

    fn quarantine(&mut self, instance: InstanceId, now: Moment) {
        let Some(entry) = self.entries.get_mut(&instance) else { return };
        let duration = FIRST_QUARANTINE * 2_u32.saturating_pow(entry.quarantines.min(8));
        entry.quarantines += 1;
        entry.failures = MAX_FAILURES - 1;
        entry.confirmed_failures = MAX_CONFIRMED_FAILURES - 1;
        entry.quarantined_until = Some(now + duration.min(MAX_QUARANTINE));
    }

    /// Ends the expired quarantines and returns their targets.
    pub(crate) fn release_expired_quarantines(&mut self, now: Moment) -> Vec<InstanceId> {
        let mut released = Vec::new();
        for (instance, entry) in &mut self.entries {
            if entry.quarantined_until.take_if(|until| *until <= now).is_some() {
                released.push(*instance);
            }
        }
        released
    }
}
