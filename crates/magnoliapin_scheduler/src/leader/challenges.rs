//! Which evidence ends an incarnation of a target once another one claims its place.
//!
//! Anyone may write a registration, so that alone it is a claim: of a later target on the instance of an
//! earlier one, or of a later incarnation under the name of a target that has answered. It ends nothing
//! by itself. The incarnation in question is challenged: it stays if it answers a heartbeat that was sent
//! after the claim.
//!
//! A later target of the instance counts once it has answered itself. That proves that it lives, not that
//! the one before has ended, as the registration alone names the instance. So the earlier one ends only if
//! its address refuses [`MAX_UNANSWERED`] heartbeats. One that is only silent may be cut off: it ends once the
//! list of instances shows the other one, or its lease is over, or after [`SILENT_TIME`] if no list shows it.
//!
//! A later incarnation under the same name is called in place of one that leaves as many unanswered. The
//! runs of the earlier one end with the first report of the later one, or with their lease.

use std::time::Duration;

use magnoliapin_model::Moment;
use magnoliapin_model::UnixMillis;
use magnoliapin_site::CallFailure;
use magnoliapin_site::InstanceName;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::TargetReply;

use crate::leader::previous_runs::PreviousIncarnation;
use crate::leader::registrations::TargetLoss;
use crate::leader::target::HeartbeatState;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::unused_registrations::UnusedReason;
use crate::leader::Leader;
use crate::outbox::Outbox;

#[cfg(test)]
#[path = "challenges_tests.rs"]
mod tests;

/// Heartbeats in a row that a challenged incarnation leaves unanswered, or that its address refuses, before the
/// challenge is lost. Single ones are lost now and then.
const MAX_UNANSWERED: u32 = 2;
/// Silence after which an incarnation has ended if a later target of its instance answers. It is as long as a
/// task may wait although there is room for it.
const SILENT_TIME: Duration = Duration::from_secs(3);
/// Time in which an address refuses a connection. What takes longer may not have arrived.
const REFUSAL_TIME: Duration = Duration::from_millis(250);

/// Who claims the place of an incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PlaceClaim {
    /// A later target of its instance, which has answered.
    Successor(TargetName),
    /// A later registration under its name.
    Registration(TargetRecord),
}

/// A claim to the place of an incarnation, until a heartbeat decides which of the two lives.
#[derive(Clone, Debug)]
pub(crate) struct PlaceChallenge {
    claim: PlaceClaim,
    /// Heartbeats that were sent earlier decide nothing.
    since: Moment,
    /// Heartbeats sent since then that got no answer.
    unanswered: u32,
}

/// Returns whether the reply to a call shows that nobody listens at the address of its target.
pub(super) fn is_refusal(reply: &TargetReply, sent_at: Moment, now: Moment) -> bool {
    *reply == TargetReply::Failed(CallFailure::NotDone) && now.since(sent_at) < REFUSAL_TIME
}

impl Leader {
    /// Handles the first report of an incarnation: its registration is confirmed, so that it counts
    /// against earlier targets of the same instance.
    pub(super) fn confirm_registration(&mut self, key: TargetKey, out: &mut Outbox) {
        let Some(target) = self.targets.get(&key) else { return };
        self.unused_registrations.forget(&target.record.name, "used", out.now);
        if let Some(listed) = self.fleet.instance_of(&target.record.name).cloned() {
            self.correct_instance(key, &listed);
        }
        let Some(target) = self.targets.get(&key) else { return };
        let record = target.record.clone();
        self.check_lapsed(&record, out);
        let Some(instance) = &record.instance else { return };
        let is_earlier = |key: &TargetKey| {
            self.targets.get(key).is_some_and(|target| target.started_at() < record.started_at)
        };
        let hosted = self.hosts.targets_of(instance).iter().copied();
        let earlier: Vec<TargetKey> = hosted.filter(is_earlier).collect();
        for key in earlier {
            self.challenge(key, PlaceClaim::Successor(record.name.clone()), out);
        }
        self.resolve_predecessors(&record, out);
    }

    /// Takes the instance on which the list shows a target, or with which its incarnation was recorded. A target
    /// never changes its instance, so that a registration which states another one is of another writer.
    pub(super) fn correct_instance(&mut self, key: TargetKey, instance: &InstanceName) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        if target.record.instance.as_ref() == Some(instance) {
            return;
        }
        let before = target.record.clone();
        log::warn!(
            "event=instance_contradicted target={} claimed={} known={instance}",
            before.name,
            before.instance.clone().unwrap_or_default()
        );
        target.record.instance = Some(instance.clone());
        let record = target.record.clone();
        self.move_indexed(key, &before, &record);
        // The next leader relies on the instance in its row.
        if self.targets.get(&key).is_some_and(|target| target.has_row) {
            self.unrecorded.insert(key);
        }
    }

    /// Challenges a target. A claim to its name goes before one to its instance, as it tells where its next
    /// incarnation is.
    pub(super) fn challenge(&mut self, key: TargetKey, claim: PlaceClaim, out: &mut Outbox) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        let current = target.challenge.as_ref().map(|challenge| &challenge.claim);
        let is_to_instance = matches!(claim, PlaceClaim::Successor(_));
        if current.is_some_and(|current| is_to_instance || *current == claim) {
            return;
        }
        let name = &target.record.name;
        // An entry that was refuted may be written again and again.
        let is_known = claim
            .refuted_reason()
            .is_some_and(|reason| self.unused_registrations.is_noted(name, &reason));
        if !is_known {
            log::info!("event=target_challenged target={name} by={}", claim.describe());
        }
        let is_lost = match is_to_instance {
            true => target.has_ended(out.now),
            false => target.failed_heartbeats >= MAX_UNANSWERED,
        };
        if is_lost {
            return self.end_challenged(key, claim, out);
        }
        target.challenge = Some(PlaceChallenge { claim, since: out.now, unanswered: 0 });
        // One that waits at the target would decide too late.
        target.heartbeat = HeartbeatState::Pausing(out.now);
        self.send_heartbeat(key, out);
    }

    /// Records that a heartbeat got no answer. Ends the incarnation if it has lost a challenge.
    pub(super) fn record_unanswered(
        &mut self,
        key: TargetKey,
        sent_at: Moment,
        reply: &TargetReply,
        out: &mut Outbox,
    ) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        let is_refused = is_refusal(reply, sent_at, out.now);
        target.refused_heartbeats = if is_refused { target.refused_heartbeats + 1 } else { 0 };
        let Some(challenge) = &mut target.challenge else { return };
        if sent_at < challenge.since {
            return;
        }
        challenge.unanswered += 1;
        let (since, unanswered) = (challenge.since, challenge.unanswered);
        let is_to_instance = matches!(challenge.claim, PlaceClaim::Successor(_));
        let is_listed = self.fleet.was_listed_after(since) && self.fleet.hosts(&target.record);
        let is_lost = match is_to_instance {
            true => target.is_refusing() || (!is_listed && target.has_ended(out.now)),
            false => unanswered >= MAX_UNANSWERED,
        };
        if let Some(challenge) = target.challenge.take_if(|_| is_lost) {
            self.end_challenged(key, challenge.claim, out);
        }
    }

    fn end_challenged(&mut self, key: TargetKey, claim: PlaceClaim, out: &mut Outbox) {
        match claim {
            PlaceClaim::Successor(successor) => {
                self.remove_target(key, TargetLoss::Succeeded, out);
                let target = self.target_keys.get(&successor).and_then(|key| self.targets.get(key));
                if let Some(record) = target.map(|target| target.record.clone()) {
                    self.resolve_predecessors(&record, out);
                }
            }
            PlaceClaim::Registration(record) => self.replace_by_unconfirmed(key, record, out),
        }
    }

    /// Logs that an incarnation still answers although another one claims its place.
    pub(super) fn log_refuted(&mut self, name: &TargetName, claim: &PlaceClaim, now: Moment) {
        match claim {
            // Both live, so that one of them does not belong to the instance, but neither needs to end.
            PlaceClaim::Successor(other) => {
                log::warn!("event=instance_contested target={name} other={other}");
            }
            PlaceClaim::Registration(record) => {
                let reason = UnusedReason::LaterStart(record.started_at);
                self.unused_registrations.note(name, reason, now);
            }
        }
    }

    /// Handles the reply of another target at the address of one. If that has answered there before, it has
    /// ended, and one that is registered later under its name takes its place. If not, its registration names
    /// a wrong address, which tells nothing about its earlier runs. Returns whether the target is removed.
    pub(super) fn handle_other_name(&mut self, key: TargetKey, out: &mut Outbox) -> bool {
        let Some(target) = self.targets.get_mut(&key) else { return true };
        let challenge = target.challenge.take();
        let loss = match target.is_start_confirmed {
            true => TargetLoss::OtherName,
            false if target.runs.is_empty() => TargetLoss::NeverHeard,
            false => return false,
        };
        self.remove_target(key, loss, out);
        if let Some(PlaceClaim::Registration(record)) = challenge.map(|challenge| challenge.claim) {
            self.apply_record(record, out);
        }
        // A later target of the instance may have answered before.
        self.resolve_all_predecessors(out);
        true
    }

    /// Takes the start that a target reports for that of its incarnation: its registration is of another
    /// writer.
    pub(super) fn correct_start(&mut self, key: TargetKey, started_at: UnixMillis) {
        let Some(target) = self.targets.get_mut(&key) else { return };
        log::warn!(
            "event=start_refuted target={} registered={} reported={started_at}",
            target.record.name,
            target.started_at()
        );
        target.record.started_at = started_at;
    }

    /// Replaces an incarnation by the one that a report shows to be the next. If the registration of that is
    /// not known, it is taken to be as the last one was.
    pub(super) fn replace_by_reported(
        &mut self,
        key: TargetKey,
        started_at: UnixMillis,
        out: &mut Outbox,
    ) {
        let Some(target) = self.targets.get(&key) else { return };
        let registered = match target.challenge.as_ref().map(|challenge| &challenge.claim) {
            Some(PlaceClaim::Registration(record)) if record.started_at == started_at => {
                Some(record.clone())
            }
            _ => None,
        };
        let is_assumed = registered.is_none();
        let record = registered.unwrap_or_else(|| {
            let cold_left = self.cold_time(&target.record.pool);
            TargetRecord { started_at, cold_left, ..target.record.clone() }
        });
        self.replace_incarnation(key, record, out);
        if let Some(target) = self.targets.get_mut(&key) {
            target.is_start_confirmed = true;
            target.is_record_assumed = is_assumed;
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
        let records: Vec<TargetRecord> = confirmed.map(|target| target.record.clone()).collect();
        for record in records {
            self.resolve_predecessors(&record, out);
        }
    }
}

impl PlaceClaim {
    /// Returns why the registration behind the claim is not used once it is refuted; `None` if it still is.
    fn refuted_reason(&self) -> Option<UnusedReason> {
        match self {
            Self::Successor(_) => None,
            Self::Registration(record) => Some(UnusedReason::LaterStart(record.started_at)),
        }
    }

    /// Returns the claim for log messages.
    fn describe(&self) -> String {
        match self {
            Self::Successor(name) => format!("successor:{name}"),
            Self::Registration(record) => format!("registration:{}", record.started_at),
        }
    }
}

impl Target {
    /// Records that a heartbeat was answered, so that the incarnation lives. Returns the claim that this refutes.
    pub(super) fn record_answer(&mut self, sent_at: Moment) -> Option<PlaceClaim> {
        let refuted = self.challenge.take_if(|challenge| sent_at >= challenge.since);
        refuted.map(|challenge| challenge.claim)
    }

    /// Returns whether it has answered a later heartbeat than one, or its registration was read later.
    pub(super) fn has_changed_since(&self, sent_at: Moment) -> bool {
        let is_to_earlier_address = self.address_read_at.is_some_and(|at| sent_at <= at);
        is_to_earlier_address || sent_at < self.last_contact_at.max(self.discovered_at)
    }

    /// Returns whether nobody listens at its address any more.
    fn is_refusing(&self) -> bool {
        self.refused_heartbeats >= MAX_UNANSWERED
    }

    /// Returns whether it has ended, given that a later target of its instance lives.
    fn has_ended(&self, now: Moment) -> bool {
        let is_silent = self.failed_heartbeats >= MAX_UNANSWERED
            && now.since(self.last_heard_at()) >= SILENT_TIME;
        self.is_refusing() || is_silent
    }

    /// Returns whether an answer to a heartbeat refutes the start that the registration states: no answer has
    /// confirmed it, and the heartbeat was sent after it had been read.
    pub(super) fn refutes_start(&self, sent_at: Moment) -> bool {
        let is_current = matches!(self.heartbeat, HeartbeatState::InFlight(_, at) if at == sent_at);
        !self.is_start_confirmed && is_current && sent_at >= self.discovered_at
    }
}
