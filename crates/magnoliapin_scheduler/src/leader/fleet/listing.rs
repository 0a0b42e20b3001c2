//! Lists the instances and draws conclusions from the lists.

use std::time::Duration;

use magnoliapin_site::InstanceName;
use magnoliapin_site::InstancePage;
use magnoliapin_site::InstanceRecord;
use magnoliapin_site::InstanceReply;
use magnoliapin_site::InstanceRequest;
use magnoliapin_site::InstanceState;
use magnoliapin_site::TargetName;

use crate::leader::fleet::FleetCall;
use crate::leader::fleet::FleetInstance;
use crate::leader::fleet::BUSY_LIST_INTERVAL;
use crate::leader::previous_runs::PreviousIncarnation;
use crate::leader::registrations::TargetLoss;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;

/// Interval between two lists while no orders and no waves are in progress.
const IDLE_LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Factor by which list pages are read more slowly than the rate limit of the service, which all
/// nodes share.
const LIST_RATE_DIVISOR: f64 = 2.0;

impl Leader {
    pub(super) fn handle_list(&mut self, reply: &InstanceReply, out: &mut Outbox) {
        let InstanceReply::Page(page) = reply else {
            self.fleet.is_listing = false;
            self.fleet.next_list_at = out.now + BUSY_LIST_INTERVAL;
            return;
        };
        self.fleet.pages += 1;
        self.apply_page(page, out);
        if let Some(next) = &page.next {
            let request = InstanceRequest::List { page: Some(next.clone()) };
            return self.call_instances(FleetCall::List, request, out);
        }
        let rate = self.identity.instance_lists_per_s;
        let fleet = &mut self.fleet;
        fleet.is_listing = false;
        fleet.listed_at = Some(fleet.list_started_at);
        let latest_list = fleet.lists;
        fleet.lists += 1;
        let is_readable = !std::mem::take(&mut fleet.has_unreadable_entry);
        fleet.readable_lists = if is_readable { fleet.readable_lists + 1 } else { 0 };
        // An instance that two consecutive lists leave out is removed.
        fleet.instances.retain(|_, instance| instance.list + 1 >= latest_list);
        let is_busy = fleet.has_orders_in_progress()
            || fleet.waves.values().any(|wave| !wave.is_completion_reported());
        let interval = if is_busy { BUSY_LIST_INTERVAL } else { IDLE_LIST_INTERVAL };
        // The service limits the pages per second for all nodes together.
        let min_interval =
            Duration::from_secs_f64(f64::from(fleet.pages) / rate.max(0.1) * LIST_RATE_DIVISOR);
        fleet.next_list_at = out.now + interval.max(min_interval);
        fleet.pages = 0;
        self.resolve_listed_instances(latest_list, out);
        self.resolve_gone_instances(out);
    }

    fn apply_page(&mut self, page: &InstancePage, out: &mut Outbox) {
        for why in &page.unreadable {
            log::warn!("event=instance_unreadable why={why:?}");
        }
        self.fleet.has_unreadable_entry |= !page.unreadable.is_empty();
        let requested_at = self.fleet.list_started_at;
        let list = self.fleet.lists;
        for record in &page.instances {
            let instance = self.fleet.instances.entry(record.name.clone()).or_insert_with(|| {
                let inherited_pause = self.fleet.inherited_pauses.get(&record.name).copied();
                let paused_until = inherited_pause.unwrap_or(out.now);
                FleetInstance { record: record.clone(), list, order: None, paused_until }
            });
            instance.list = list;
            instance.record = record.clone();
            instance.clear_completed_order(requested_at);
            let hosted = record.target.as_ref().and_then(|name| self.target_keys.get(name));
            if let Some(key) = hosted.copied() {
                self.correct_instance(key, &record.name);
            }
            self.check_host(record, out);
        }
    }

    /// Resolves the previous incarnations that a complete list shows to have ended.
    fn resolve_listed_instances(&mut self, list: u64, out: &mut Outbox) {
        if self.previous_incarnations.is_empty() {
            return;
        }
        let listed = self.fleet.instances.values().filter(|instance| instance.list == list);
        let records: Vec<InstanceRecord> = listed.map(|instance| instance.record.clone()).collect();
        for record in &records {
            self.resolve_ended_incarnations(record, out);
        }
    }

    /// Resolves the previous incarnations on an instance that have ended: those of other targets
    /// than the one that it hosts now, as it hosts one at a time, and all if it runs nothing. Its
    /// target may start again without a fence, so that an idle instance proves nothing while starts of
    /// the previous leader may arrive.
    fn resolve_ended_incarnations(&mut self, record: &InstanceRecord, out: &mut Outbox) {
        if self.fleet.list_started_at < self.acquired_at {
            return;
        }
        let runs_nothing = self.runs_nothing(record) && !self.may_get_previous_starts(out.now);
        let has_ended = |(name, incarnation): &(&TargetName, &PreviousIncarnation)| {
            // Its row may have been written before the list contradicted its registration.
            let is_here = incarnation.instance.as_ref() == Some(&record.name)
                && !self.fleet.is_hosted_elsewhere(name, &record.name);
            let hosts_other = record.target.as_ref().is_some_and(|hosted| hosted != *name);
            is_here && (hosts_other || runs_nothing)
        };
        let ended: Vec<TargetName> = self
            .previous_incarnations
            .iter()
            .filter(has_ended)
            .map(|(name, _)| name.clone())
            .collect();
        for name in ended {
            self.record_previous_crash(&name, out);
            self.resolve_previous_incarnation(&name);
            self.obsolete_rows.push(name);
        }
    }

    /// Resolves the previous incarnations and removes the silent targets that were hosted by
    /// instances which no longer exist. A registration contradicts a list that leaves out the
    /// instance; then the leases decide.
    fn resolve_gone_instances(&mut self, out: &mut Outbox) {
        let is_gone = |instance: Option<&InstanceName>| {
            instance.is_some_and(|instance| self.fleet.is_gone(instance))
        };
        let silent = self.targets.iter().filter(|(_, target)| {
            target.failed_heartbeats > 0
                && target.missing_since.is_some()
                && is_gone(target.record.instance.as_ref())
        });
        let silent: Vec<TargetKey> = silent.map(|(key, _)| *key).collect();
        let ended = self.previous_incarnations.iter().filter(|(name, incarnation)| {
            is_gone(incarnation.instance.as_ref()) && !self.may_be_registered(name)
        });
        let ended: Vec<TargetName> = ended.map(|(name, _)| name.clone()).collect();
        for key in silent {
            self.remove_target(key, TargetLoss::InstanceGone, out);
        }
        for name in ended {
            log::info!("event=runs_ended target={name} why=InstanceGone");
            if self.resolve_previous_incarnation(&name).is_some() {
                self.obsolete_rows.push(name);
            }
        }
    }

    /// Returns whether an instance runs nothing: it is being moved or maintained, out of service
    /// without a target, or on standby.
    fn runs_nothing(&self, record: &InstanceRecord) -> bool {
        match record.state {
            InstanceState::Moving | InstanceState::Maintained => true,
            InstanceState::Up => {
                let rule = self.config.pools.get(&record.pool);
                record.target.is_none() && rule.is_some_and(|rule| rule.is_standby)
            }
            InstanceState::Down => record.target.is_none(),
        }
    }

    /// Removes targets that an instance no longer hosts according to its record. One that answers its
    /// heartbeats lives whatever the list says about its instance, as a list may lag behind.
    fn check_host(&mut self, record: &InstanceRecord, out: &mut Outbox) {
        let runs_nothing = self.runs_nothing(record);
        let may_get_previous_starts = self.may_get_previous_starts(out.now);
        let has_ended = |target: &Target| {
            let hosts_other =
                record.target.as_ref().is_some_and(|hosted| *hosted != target.record.name);
            // A list that was requested before the target registered may not show it yet.
            let is_newer_than_list = target.discovered_at >= self.fleet.list_started_at;
            let is_alive = target.has_reported && target.failed_heartbeats == 0;
            // Starts of the previous leader concern only targets that have not reported.
            let is_idle = runs_nothing && (target.has_reported || !may_get_previous_starts);
            !is_newer_than_list && !is_alive && (hosts_other || is_idle)
        };
        let hosted = self.hosts.targets_of(&record.name).iter().copied();
        let ended: Vec<TargetKey> =
            hosted.filter(|key| self.targets.get(key).is_some_and(has_ended)).collect();
        // After a move or maintenance, the instance hosts a target with another name.
        let may_return = record.target.is_none() && record.state == InstanceState::Down;
        let loss = if may_return { TargetLoss::Unhosted } else { TargetLoss::OtherLife };
        for key in ended {
            self.remove_target(key, loss, out);
        }
    }
}
