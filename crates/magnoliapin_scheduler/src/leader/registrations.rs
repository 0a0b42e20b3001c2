//! Applies registrations of targets.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::StoreReply;
use magnoliapin_site::TargetChange;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRecord;

use crate::leader::challenges::PlaceClaim;
use crate::leader::target::HeartbeatState;
use crate::leader::target::TargetKey;
use crate::leader::unused_registrations::UnusedReason;
use crate::leader::Leader;
use crate::leader::Pool;
use crate::outbox::Outbox;
use crate::watch::WatchUpdate;

#[cfg(test)]
#[path = "registrations_tests.rs"]
mod tests;

/// Time by which the clocks of a target and of this node may differ, in milliseconds.
const MAX_CLOCK_ERROR_MS: u64 = 24 * 3_600 * 1_000;

/// Why the leader removes an incarnation of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetLoss {
    /// The incarnation has ended, so it has no runs left: the list shows that its instance hosts another
    /// target, or none although it is not down.
    OtherLife,
    /// The incarnation has ended: a target with another name replies at the address where it did.
    OtherName,
    /// The incarnation has ended: a later target of its instance answers, and it does not.
    Succeeded,
    /// The incarnation has ended, as its instance is down and hosts no target. Its next one may get its
    /// late starts.
    Unhosted,
    /// The target is deregistered and silent, and its instance no longer exists.
    InstanceGone,
    /// The target is deregistered and its lease has expired.
    LeaseOver,
    /// The target has never reported to this leader, and is deregistered or registered with the address of
    /// another one.
    NeverHeard,
}

impl Leader {
    /// Handles an update of the watch of registrations.
    pub(super) fn handle_registration_update(&mut self, update: WatchUpdate, out: &mut Outbox) {
        match update {
            WatchUpdate::Read(StoreReply::Targets { changes, .. }) => {
                self.listed_targets.extend(changes.iter().filter_map(listed_name).cloned());
                self.apply_target_changes(changes, out);
                if !self.registrations.is_reading() {
                    self.mark_unlisted_missing(out);
                    self.resolve_all_predecessors(out);
                }
            }
            WatchUpdate::Changed(StoreReply::Targets { changes, .. }) => {
                self.apply_target_changes(changes, out);
            }
            WatchUpdate::Lost => {
                log::warn!("event=registration_history_lost generation={}", self.generation);
                self.listed_targets.clear();
            }
            _ => {}
        }
    }

    fn apply_target_changes(&mut self, changes: Vec<TargetChange>, out: &mut Outbox) {
        for change in changes {
            match change {
                TargetChange::Registered(record) if is_from_future(&record, out) => {
                    let reason = UnusedReason::FutureStart(record.started_at);
                    self.unused_registrations.note(&record.name, reason, out.now);
                    self.unused_registrations.drop_held(&record.name);
                    self.mark_missing(&record.name, out);
                }
                TargetChange::Registered(record) => self.apply_record(record, out),
                TargetChange::Removed(name) => {
                    self.unused_registrations.forget(&name, "gone", out.now);
                    self.mark_missing(&name, out);
                }
                TargetChange::Invalid(name, reason) => {
                    let reason = UnusedReason::unreadable(&reason);
                    self.unused_registrations.note(&name, reason, out.now);
                    self.unused_registrations.drop_held(&name);
                    self.mark_missing(&name, out);
                }
            }
        }
    }

    /// Marks the targets that a complete list does not contain as missing.
    fn mark_unlisted_missing(&mut self, out: &mut Outbox) {
        let listed_targets = std::mem::take(&mut self.listed_targets);
        self.unused_registrations.retain(|name| listed_targets.contains(name), out.now);
        let missing: Vec<TargetName> = self
            .target_keys
            .keys()
            .filter(|name| !listed_targets.contains(*name))
            .cloned()
            .collect();
        for name in missing {
            self.mark_missing(&name, out);
        }
    }

    /// Returns whether a target is registered, or not all registrations are read.
    pub(super) fn may_be_registered(&self, name: &TargetName) -> bool {
        let target = self.target_keys.get(name).and_then(|key| self.targets.get(key));
        self.registrations.is_reading()
            || target.is_some_and(|target| target.missing_since.is_none())
    }

    /// Marks a target as no longer registered.
    fn mark_missing(&mut self, name: &TargetName, out: &mut Outbox) {
        let key = self.target_keys.get(name);
        let Some(target) = key.and_then(|key| self.targets.get_mut(key)) else {
            return;
        };
        if target.missing_since.is_none() {
            log::info!("event=target_missing target={name} runs={}", target.runs.len());
            target.missing_since = Some(out.now);
        }
    }

    /// Adds a registered target, updates its record, or replaces its incarnation.
    pub(super) fn apply_record(&mut self, record: TargetRecord, out: &mut Outbox) {
        let Some(key) = self.target_keys.get(&record.name).copied() else {
            match self.is_pool_used(&record) {
                true => self.add_target(record, out),
                false => self.unused_registrations.hold(record, out.now),
            }
            return;
        };
        let Some(target) = self.targets.get_mut(&key) else { return };
        if target.started_at() != record.started_at {
            match target.is_start_confirmed {
                // It is outdated: the current incarnation has reported before it arrived.
                true if target.started_at() > record.started_at => {
                    let reason = UnusedReason::EarlierStart(record.started_at);
                    self.unused_registrations.note(&record.name, reason, out.now);
                }
                true => self.challenge(key, PlaceClaim::Registration(record), out),
                false => self.replace_incarnation(key, record, out),
            }
            return;
        }
        let target_pool = target.record.pool.clone();
        if self.contradicts_incarnation(key, &record) {
            let reason = UnusedReason::OtherPlace(record.started_at);
            return self.unused_registrations.note(&record.name, reason, out.now);
        }
        // On sites without starts, another pool shows another incarnation.
        if record.started_at == UnixMillis::default() && target_pool != record.pool {
            return self.replace_incarnation(key, record, out);
        }
        self.update_record(key, &record, out);
    }

    /// Returns whether a target of a registration may be needed: the configuration or an unfinished job
    /// names its pool, or it may have runs of the previous leader.
    fn is_pool_used(&self, record: &TargetRecord) -> bool {
        let has_jobs = |pool: &Pool| !pool.jobs.is_empty();
        self.config.pools.contains_key(&record.pool)
            || self.pools.get(&record.pool).is_some_and(has_jobs)
            || self.previous_incarnations.contains_key(&record.name)
    }

    /// Adds the targets whose registrations were held back until their pool is used.
    pub(super) fn poll_held_registrations(&mut self, out: &mut Outbox) {
        let held = self.unused_registrations.held();
        let used: Vec<TargetRecord> =
            held.filter(|record| self.is_pool_used(record)).cloned().collect();
        for record in used {
            self.unused_registrations.drop_held(&record.name);
            self.apply_record(record, out);
        }
    }

    /// Replaces the registration of an incarnation by a newer one.
    fn update_record(&mut self, key: TargetKey, record: &TargetRecord, out: &mut Outbox) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        if target.record.state != record.state {
            log::info!(
                "event=target_state target={} state={:?} runs={}",
                record.name,
                record.state,
                target.runs.len()
            );
        }
        self.unused_registrations.forget(&record.name, "used", out.now);
        target.missing_since = None;
        target.is_record_assumed = false;
        if target.record.address != record.address {
            // Calls to the earlier address, those of this moment included, show nothing about it.
            target.address_read_at = Some(out.now);
            target.heartbeat = HeartbeatState::Pausing(out.now + Duration::from_millis(1));
        }
        // The same row may be read again much later, after changes were missed.
        if target.record.cold_left != record.cold_left {
            target.cold_until = out.now + record.cold_left;
        }
        let before = std::mem::replace(&mut target.record, record.clone());
        self.move_indexed(key, &before, record);
        self.mark_for_dispatch(&record.pool);
    }

    /// Moves a target whose registration has changed to its pool and its instance.
    pub(super) fn move_indexed(
        &mut self,
        key: TargetKey,
        before: &TargetRecord,
        now: &TargetRecord,
    ) {
        self.hosts.remove(before.instance.as_ref(), key);
        self.hosts.add(now.instance.as_ref(), key);
        if before.pool != now.pool {
            if let Some(pool) = self.pools.get_mut(&before.pool) {
                pool.targets.swap_remove(&key);
            }
            self.pools.entry(now.pool.clone()).or_default().targets.insert(key);
        }
    }

    /// Returns whether a registration with the start of an incarnation that has reported is of another
    /// writer: pool, instance, zone and address stay with an incarnation. If the list of instances agrees
    /// with that one only, the earlier registration was.
    fn contradicts_incarnation(&self, key: TargetKey, record: &TargetRecord) -> bool {
        let Some(target) = self.targets.get(&key) else { return false };
        let known = &target.record;
        if !target.is_start_confirmed || record.started_at == UnixMillis::default() {
            return false;
        }
        let is_same = known.pool == record.pool
            && known.instance == record.instance
            && known.zone == record.zone;
        let is_own =
            target.is_record_assumed || (self.fleet.hosts(record) && !self.fleet.hosts(known));
        // It has answered at the known address.
        known.address != record.address || !(is_same || is_own)
    }

    fn add_target(&mut self, record: TargetRecord, out: &mut Outbox) {
        if self.unused_registrations.may_announce(&record.name, out.now) {
            log::info!(
                "event=target_learned target={} pool={} zone={} state={:?} born={}",
                record.name,
                record.pool,
                record.zone,
                record.state,
                record.started_at
            );
        }
        self.last_target_key += 1;
        let key = TargetKey(self.last_target_key);
        self.target_keys.insert(record.name.clone(), key);
        self.pools.entry(record.pool.clone()).or_default().targets.insert(key);
        self.hosts.add(record.instance.as_ref(), key);
        let known = self.previous_incarnations.get(&record.name);
        let known = known.filter(|incarnation| incarnation.started_at == record.started_at);
        let known_instance = known.and_then(|incarnation| incarnation.instance.clone());
        let target = self.new_target(record, out.now);
        self.targets.insert(key, target);
        if let Some(instance) = known_instance {
            self.correct_instance(key, &instance);
        }
    }

    /// Removes a target whose incarnation can no longer execute runs, and treats its runs as lost.
    pub(super) fn remove_target(&mut self, key: TargetKey, loss: TargetLoss, out: &mut Outbox) {
        let Some(target) = self.targets.swap_remove(&key) else { return };
        let name = target.record.name.clone();
        self.keep_fence(&target, out);
        self.hosts.remove(target.record.instance.as_ref(), key);
        let is_confirmed = target.is_start_confirmed;
        if is_confirmed || self.unused_registrations.may_announce(&name, out.now) {
            log::info!("event=target_gone target={name} runs={} why={loss:?}", target.runs.len());
        }
        if !is_confirmed {
            self.unused_registrations.note(&name, UnusedReason::NeverAnswered, out.now);
        }
        self.target_keys.swap_remove(&name);
        if let Some(pool) = self.pools.get_mut(&target.record.pool) {
            pool.targets.swap_remove(&key);
        }
        let may_come_back = matches!(loss, TargetLoss::Unhosted | TargetLoss::InstanceGone);
        let is_lapsed = matches!(loss, TargetLoss::LeaseOver | TargetLoss::NeverHeard);
        if !is_lapsed {
            self.record_crash(&target, out);
        } else {
            self.remember_lapsed_target(&target, out.now);
        }
        let late_until: Vec<Option<Moment>> =
            target.runs.values().map(|run| self.late_until(&target, run)).collect();
        for ((task, run), late_until) in target.runs.into_iter().zip(late_until) {
            self.release_team(&run);
            let late_until = late_until.filter(|until| may_come_back && *until > out.now);
            if let Some(until) = late_until {
                self.late_starts.add_awaited(task, name.clone(), until, out.now);
            }
            let ended_at = late_until.unwrap_or(out.now);
            self.requeue_lost_run(key, task, run.attempt, ended_at.max(out.now), out);
        }
        // A target that has never reported may still execute runs of the previous leader.
        let is_resolved = loss != TargetLoss::NeverHeard;
        let started_at = target.record.started_at;
        let mut has_row = target.has_row;
        if is_resolved
            && self.previous_incarnations.get(&name).is_some_and(|old| old.started_at == started_at)
        {
            has_row |= self.resolve_previous_incarnation(&name).is_some();
        }
        if has_row {
            self.obsolete_rows.push(name);
        }
    }
}

/// Returns whether a registration names a start that no target can have had. Its order among the
/// incarnations of an instance would be wrong.
fn is_from_future(record: &TargetRecord, out: &Outbox) -> bool {
    record.started_at.0.saturating_sub(out.wall_now().0) > MAX_CLOCK_ERROR_MS
}

/// Returns the target that a change registers; `None` if the change removes it.
fn listed_name(change: &TargetChange) -> Option<&TargetName> {
    match change {
        TargetChange::Registered(record) => Some(&record.name),
        TargetChange::Removed(_) | TargetChange::Invalid(..) => None,
    }
}
