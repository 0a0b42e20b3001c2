//! What the entry knows of each target: whether it takes work, how full it is, whether it fails.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::PoolId;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetRun;
use magnoliapin_model::ZoneId;
use magnoliapin_wire::rows::BoundTarget;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;

use crate::outbox::Outbox;

const FIRST_PROBE: Duration = Duration::from_millis(60);
/// Longest pause, in doublings of the first one.
const MAX_FULL_STREAK: u32 = 7;
const FIRST_SUSPICION: Duration = Duration::from_millis(100);
const MAX_SUSPICION: Duration = Duration::from_millis(5_000);
/// What a target said of its free slots is used for this long.
const FREE_AGE: Duration = Duration::from_millis(1_000);
/// Failures of work that others ran to its end, in a row, after which a target is set apart.
const MAX_PROVED_FAILURES: u32 = 3;
/// Failures in a row of different work after which a target is set apart without further proof.
const MAX_FAILURES: u32 = 10;
const FIRST_QUARANTINE: Duration = Duration::from_secs(10);
const MAX_QUARANTINE: Duration = Duration::from_secs(600);

/// One target.
#[derive(Clone, Debug)]
pub(crate) struct TargetEntry {
    /// The platform's record of it.
    pub(crate) record: InstanceRecord,
    /// Pool that it belongs to.
    pub(crate) pool: Option<PoolId>,
    /// Whether the fleet's rows say that it serves.
    pub(crate) in_service: bool,
    /// Tasks of this entry there.
    pub(crate) held: u32,
    /// Whether it said itself, or another entry said, that it is leaving.
    pub(crate) leaving: bool,
    /// Whether this entry may send work to it; false for one that another entry owns.
    pub(crate) is_open: bool,
    /// End of its quarantine.
    pub(crate) quarantined_until: Option<Moment>,
    free: Option<(Moment, u32)>,
    blocked_until: Moment,
    full_streak: u32,
    call_failures: u32,
    failures: u32,
    proved_failures: u32,
    quarantines: u32,
}

impl TargetEntry {
    fn new(record: InstanceRecord) -> Self {
        Self {
            pool: record.pool,
            record,
            in_service: true,
            held: 0,
            leaving: false,
            is_open: true,
            quarantined_until: None,
            free: None,
            blocked_until: Moment::START,
            full_streak: 0,
            call_failures: 0,
            failures: 0,
            proved_failures: 0,
            quarantines: 0,
        }
    }

    /// Returns whether the target counts as available for its pool's budget.
    pub(crate) fn is_available(&self, now: Moment) -> bool {
        self.record.state == ListedState::Live
            && !self.leaving
            && self.in_service
            && self.quarantined_until.is_none_or(|until| until <= now)
    }

    /// Returns how many more tasks the target seems to take now.
    fn free_slots(&self, now: Moment) -> u32 {
        if !self.is_open || !self.is_available(now) || self.blocked_until > now {
            return 0;
        }
        let own = self.record.slots.0.saturating_sub(self.held);
        match self.free {
            Some((said_at, free)) if now.since(said_at) < FREE_AGE => free.min(own),
            // The tasks there and their renewals tell when a slot comes free; else one start does.
            _ if self.full_streak > 0 => u32::from(self.held == 0),
            _ => own,
        }
    }

    pub(crate) fn bound(&self) -> BoundTarget {
        BoundTarget {
            instance: self.record.instance,
            run: self.record.run,
            address: self.record.address,
        }
    }
}

/// Every target known.
#[derive(Debug, Default)]
pub(crate) struct TargetBook {
    /// The targets.
    pub(crate) entries: IndexMap<InstanceId, TargetEntry>,
    /// Whether the list was ever read.
    pub(crate) is_listed: bool,
}

impl TargetBook {
    /// Takes the states of known runs from the platform's list, ahead of the list itself.
    pub(crate) fn take_states(&mut self, records: &[InstanceRecord]) {
        for record in records {
            let known = self.entries.get_mut(&record.instance);
            if let Some(entry) = known.filter(|entry| entry.record.run == record.run) {
                entry.record.state = record.state;
            }
        }
    }

    /// Takes the platform's list.
    pub(crate) fn take_list(&mut self, records: Vec<InstanceRecord>) {
        self.is_listed = true;
        let listed = records.iter().map(|record| record.instance).collect::<IndexSet<_>>();
        self.entries.retain(|instance, entry| listed.contains(instance) || entry.held > 0);
        for record in records {
            self.take_record(record);
        }
    }

    fn take_record(&mut self, record: InstanceRecord) {
        let Some(entry) = self.entries.get_mut(&record.instance) else {
            self.entries.insert(record.instance, TargetEntry::new(record));
            return;
        };
        if entry.record.run != record.run {
            let pool = entry.pool;
            let held = entry.held;
            *entry = TargetEntry { pool, held, ..TargetEntry::new(record) };
        } else {
            entry.record = record;
        }
    }

    /// Takes the pool and service state of an instance from the fleet's rows.
    pub(crate) fn take_place(&mut self, instance: InstanceId, pool: PoolId, in_service: bool) {
        if let Some(entry) = self.entries.get_mut(&instance) {
            entry.pool = Some(pool);
            entry.in_service = in_service;
        }
    }

    /// Picks the target with the most free slots in a pool: in `zone` if any there has one.
    pub(crate) fn pick(
        &self,
        pool: PoolId,
        zone: ZoneId,
        avoid: &IndexSet<InstanceId>,
        out: &mut Outbox,
    ) -> Option<BoundTarget> {
        let now = out.now;
        let score = |entry: &TargetEntry| {
            let near = entry.record.zone == zone;
            (near, entry.free_slots(now))
        };
        let members = self.entries.values().filter(|entry| entry.pool == Some(pool));
        let open = members.filter(|entry| entry.free_slots(now) > 0).collect::<Vec<_>>();
        let fit = open.iter().copied().filter(|entry| !avoid.contains(&entry.record.instance));
        let mut choices = fit.collect::<Vec<_>>();
        if choices.is_empty() {
            choices = open;
        }
        let best = choices.iter().map(|entry| score(entry)).max()?;
        choices.retain(|entry| score(entry) == best);
        let drawn = out.draw_below(choices.len());
        choices.get(drawn).map(|entry| entry.bound())
    }

    /// Returns whether a pool has a target that may take work now.
    pub(crate) fn has_room(&self, pool: PoolId, now: Moment) -> bool {
        let mut members = self.entries.values().filter(|entry| entry.pool == Some(pool));
        members.any(|entry| entry.free_slots(now) > 0)
    }

    /// Sums the slots of a pool's available targets.
    pub(crate) fn pool_slots(&self, pool: PoolId, now: Moment) -> SlotCount {
        let members = self.entries.values().filter(|entry| entry.pool == Some(pool));
        let available = members.filter(|entry| entry.is_available(now));
        SlotCount(available.map(|entry| entry.record.slots.0).sum())
    }

    /// Counts a pool's instances: all of them, and those that are unavailable.
    pub(crate) fn pool_counts(&self, pool: PoolId, now: Moment) -> (u32, u32) {
        let members = self.entries.values().filter(|entry| entry.pool == Some(pool));
        let present = members.filter(|entry| entry.record.state != ListedState::Gone);
        present.fold((0, 0), |(all, unavailable), entry| {
            (all + 1, unavailable + u32::from(!entry.is_available(now)))
        })
    }

    /// Returns whether `run` of an instance is over, so that nothing of it runs any more.
    pub(crate) fn is_over(&self, instance: InstanceId, run: TargetRun) -> bool {
        match self.entries.get(&instance) {
            Some(entry) => entry.record.run != run || entry.record.state == ListedState::Gone,
            None => false,
        }
    }

    /// Notes that a task of this entry was sent to a target.
    pub(crate) fn note_start(&mut self, instance: InstanceId) {
        let Some(entry) = self.entries.get_mut(&instance) else { return };
        entry.held += 1;
        if let Some((_, free)) = &mut entry.free {
            *free = free.saturating_sub(1);
        }
    }

    /// Notes that a task of this entry is over.
    pub(crate) fn note_end(&mut self, instance: InstanceId) {
        if let Some(entry) = self.entries.get_mut(&instance) {
            entry.held = entry.held.saturating_sub(1);
        }
    }

    /// Notes what a target said of its free slots.
    pub(crate) fn note_free(&mut self, instance: InstanceId, free: SlotCount, now: Moment) {
        let Some(entry) = self.entries.get_mut(&instance) else { return };
        entry.free = Some((now, free.0));
        entry.call_failures = 0;
        if free.0 > 0 {
            entry.full_streak = entry.full_streak.saturating_sub(1);
            entry.blocked_until = Moment::START;
        }
    }

    /// Notes that a target refused work because it is full.
    pub(crate) fn note_full(&mut self, instance: InstanceId, out: &mut Outbox) {
        let Some(entry) = self.entries.get_mut(&instance) else { return };
        // Starts that were refused together are one piece of news.
        if entry.blocked_until > out.now {
            return;
        }
        let doubled = FIRST_PROBE * 2_u32.saturating_pow(entry.full_streak);
        entry.full_streak = (entry.full_streak + 1).min(MAX_FULL_STREAK);
        entry.free = None;
        entry.blocked_until = out.now + out.jitter(doubled);
    }

    /// Notes that a call of a target got no answer.
    pub(crate) fn note_call_failure(&mut self, instance: InstanceId, out: &mut Outbox) {
        let Some(entry) = self.entries.get_mut(&instance) else { return };
        let doubled = FIRST_SUSPICION * 2_u32.saturating_pow(entry.call_failures.min(8));
        entry.call_failures += 1;
        entry.blocked_until = out.now + out.jitter(doubled.min(MAX_SUSPICION));
    }

    /// Notes that a target is leaving. Returns whether that is news.
    pub(crate) fn note_leaving(&mut self, instance: InstanceId) -> bool {
        let Some(entry) = self.entries.get_mut(&instance) else { return false };
        !std::mem::replace(&mut entry.leaving, true)
    }

    /// Notes that a target ran a task to its end.
    pub(crate) fn note_success(&mut self, instance: InstanceId) {
        let Some(entry) = self.entries.get_mut(&instance) else { return };
        entry.failures = 0;
        entry.proved_failures = 0;
    }

    /// Notes that a task failed at a target. `proved` tells that it ran to its end elsewhere.
    ///
    /// Returns whether the target is set apart now, which it is only within its pool's budget.
    pub(crate) fn note_failure(
        &mut self,
        instance: InstanceId,
        proved: bool,
        max_unavailable: u32,
        now: Moment,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&instance) else { return false };
        if proved {
            entry.proved_failures += 1;
        } else {
            entry.failures += 1;
        }
        let is_bad = entry.proved_failures >= MAX_PROVED_FAILURES || entry.failures >= MAX_FAILURES;
        let Some(pool) = entry.pool.filter(|_| is_bad && entry.is_available(now)) else {
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
        let doubled = FIRST_QUARANTINE * 2_u32.saturating_pow(entry.quarantines.min(8));
        entry.quarantines += 1;
        entry.failures = MAX_FAILURES - 1;
        entry.proved_failures = MAX_PROVED_FAILURES - 1;
        entry.quarantined_until = Some(now + doubled.min(MAX_QUARANTINE));
    }

    /// Ends the quarantines whose time is over and returns their targets.
    pub(crate) fn release(&mut self, now: Moment) -> Vec<InstanceId> {
        let mut released = Vec::new();
        for (instance, entry) in &mut self.entries {
            if entry.quarantined_until.take_if(|until| *until <= now).is_some() {
                released.push(*instance);
            }
        }
        released
    }
}
