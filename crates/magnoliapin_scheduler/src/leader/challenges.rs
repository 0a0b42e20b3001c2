//! Which evidence ends an incarnation of a target once another one claims its place.
//!
//! Anyone may write a registration, so that alone it is a claim. It ends nothing until the target that it
//! names has answered this leader. The answer proves that the incarnation lives, not that the one before
//! has ended: the registration alone names the instance. So the earlier incarnation is challenged. It stays
//! if it answers a heartbeat that was sent after the claim, and ends if it leaves [`MAX_UNANSWERED`] of
//! them unanswered.

use magnoliapin_model::Moment;
use magnoliapin_site::InstanceName;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRecord;

use crate::leader::previous_runs::PreviousIncarnation;
use crate::leader::registrations::TargetLoss;
use crate::leader::target::HeartbeatState;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;

#[cfg(test)]
#[path = "challenges_tests.rs"]
mod tests;

/// Heartbeats in a row that a challenged incarnation leaves unanswered before it has ended. Single ones are
/// lost now and then.
const MAX_UNANSWERED: u32 = 2;

/// A claim to the place of an incarnation, until a heartbeat decides which of the two lives.
#[derive(Clone, Debug)]
pub(crate) struct PlaceChallenge {
    /// The later target of the instance, which has answered.
    successor: TargetName,
    /// Heartbeats that were sent earlier decide nothing.
    since: Moment,
    /// Heartbeats sent since then that got no answer.
    unanswered: u32,
}

impl Leader {
    /// Handles the first report of an incarnation: its registration is confirmed, so that it counts
    /// against earlier targets of the same instance.
    pub(super) fn confirm_registration(&mut self, key: TargetKey, out: &mut Outbox) {
        let Some(target) = self.targets.get(&key) else { return };
        let record = target.record.clone();
        let Some(instance) = &record.instance else { return };
        if self.fleet.is_hosted_elsewhere(&record.name, instance) {
            // A target never changes its instance, so its registration is of another writer.
            log::warn!("event=instance_contradicted target={} claimed={instance}", record.name);
            return;
        }
        let is_earlier = |key: &TargetKey| {
            self.targets.get(key).is_some_and(|target| target.started_at() < record.started_at)
        };
        let hosted = self.hosts.targets_of(instance).iter().copied();
        let earlier: Vec<TargetKey> = hosted.filter(is_earlier).collect();
        for key in earlier {
            self.challenge(key, record.name.clone(), out);
        }
        self.resolve_predecessors(&record, out);
    }

    /// Challenges a target whose instance hosts a later one that has answered.
    fn challenge(&mut self, key: TargetKey, successor: TargetName, out: &mut Outbox) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        let challenge = PlaceChallenge { successor, since: out.now, unanswered: 0 };
        log::info!(
            "event=target_challenged target={} by={}",
            target.record.name,
            challenge.successor
        );
        if target.failed_heartbeats >= MAX_UNANSWERED {
            return self.end_challenged(key, &challenge.successor, out);
        }
        target.challenge = Some(challenge);
        // One that waits at the target would decide too late.
        target.heartbeat = HeartbeatState::Pausing(out.now);
        self.send_heartbeat(key, out);
    }

    /// Records that a heartbeat got no answer. Ends the target if it has lost a challenge.
    pub(super) fn record_unanswered(&mut self, key: TargetKey, sent_at: Moment, out: &mut Outbox) {
        let challenge = self.targets.get_mut(&key).and_then(|target| target.challenge.as_mut());
        let Some(challenge) = challenge.filter(|challenge| sent_at >= challenge.since) else {
            return;
        };
        challenge.unanswered += 1;
        if challenge.unanswered >= MAX_UNANSWERED {
            let successor = challenge.successor.clone();
            self.end_challenged(key, &successor, out);
        }
    }

    fn end_challenged(&mut self, key: TargetKey, successor: &TargetName, out: &mut Outbox) {
        self.remove_target(key, TargetLoss::Succeeded, out);
        let target = self.target_keys.get(successor).and_then(|key| self.targets.get(key));
        if let Some(record) = target.map(|target| target.record.clone()) {
            self.resolve_predecessors(&record, out);
        }
    }

    /// Resolves the previous incarnations on the instance of a target that has answered, but for those of
    /// targets that are registered: they are asked themselves.
    fn resolve_predecessors(&mut self, record: &TargetRecord, out: &mut Outbox) {
        let Some(instance) = record.instance.as_ref() else { return };
        if self.registrations.is_reading() {
            return;
        }
        let is_predecessor = |name: &TargetName, incarnation: &PreviousIncarnation| {
            incarnation.instance.as_ref() == Some(instance)
                && incarnation.started_at < record.started_at
                && !self.target_keys.contains_key(name)
        };
        let ended = self.previous_incarnations.iter();
        let ended = ended.filter(|(name, incarnation)| is_predecessor(name, incarnation));
        let ended: Vec<TargetName> = ended.map(|(name, _)| name.clone()).collect();
        for name in ended {
            self.record_previous_crash(&name, out);
            self.resolve_previous_incarnation(&name);
            self.obsolete_rows.push(name);
        }
    }

    /// Resolves the previous incarnations that targets which have answered replace, once all
    /// registrations are read.
    pub(super) fn resolve_all_predecessors(&mut self, out: &mut Outbox) {
        if self.previous_incarnations.is_empty() {
            return;
        }
        let confirmed = self.targets.values().filter(|target| target.has_reported);
        let is_here = |record: &TargetRecord| {
            let is_elsewhere =
                |instance: &InstanceName| self.fleet.is_hosted_elsewhere(&record.name, instance);
            !record.instance.as_ref().is_some_and(is_elsewhere)
        };
        let records: Vec<TargetRecord> = confirmed
            .map(|target| &target.record)
            .filter(|record| is_here(record))
            .cloned()
            .collect();
        for record in records {
            self.resolve_predecessors(&record, out);
        }
    }
}

impl Target {
    /// Records that a heartbeat was answered. Both targets then live, so one of them does not belong to
    /// the instance that its registration names; which one is not known, and neither needs to end.
    pub(super) fn record_answer(&mut self, sent_at: Moment) {
        let won = self.challenge.take_if(|challenge| sent_at >= challenge.since);
        if let Some(challenge) = won {
            log::warn!(
                "event=instance_contested target={} other={} instance={:?}",
                self.record.name,
                challenge.successor,
                self.record.instance
            );
        }
    }
}
