//! Orders to the platform that follow from the rows, sent until they show effect.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::TargetRun;
use magnoliapin_wire::InstanceOrder;
use magnoliapin_wire::ListedState;
use magnoliapin_wire::OrderAct;
use magnoliapin_wire::PlatformReply;

use super::FleetCall;
use super::FleetTimes;
use crate::FleetSnapshot;
use crate::InstanceFacts;
use crate::InstanceRow;
use crate::InstanceState;
use crate::StepGoal;
use crate::UnixSeconds;

/// Remembers when orders were sent last.
#[derive(Debug, Default)]
pub(super) struct OrderTracker {
    sent_at: IndexMap<InstanceId, SentOrder>,
    /// Orders without an answer yet.
    pending: IndexMap<FleetCall, (InstanceId, RowVersion)>,
    /// Highest epoch of which the platform took an order, so that it refuses those before.
    taken: IndexMap<InstanceId, RowVersion>,
}

#[derive(Clone, Debug)]
struct SentOrder {
    order: InstanceOrder,
    at: Moment,
}

/// What an instance needs besides its row.
#[derive(Clone, Debug, Default)]
pub(super) struct InstanceNeed {
    /// Order to send.
    pub(super) order: Option<InstanceOrder>,
    /// Epoch under which its target is asked for its load, if it must be known.
    pub(super) ask_load: Option<RowVersion>,
    /// Run whose work is to be stopped.
    pub(super) stop_run: Option<TargetRun>,
}

impl OrderTracker {
    /// Returns what each instance needs now.
    pub(super) fn needs(
        &mut self,
        snapshot: &FleetSnapshot,
        document: &ConfigDocument,
        times: &FleetTimes,
        now: Moment,
        wall: UnixSeconds,
    ) -> Vec<(InstanceId, InstanceNeed)> {
        let mut needs = Vec::new();
        for (instance, facts, row) in snapshot.rows() {
            let version = facts.row.as_ref().map(|row| row.version).unwrap_or_default();
            let is_taken = self.taken.get(&instance) == Some(&version);
            let order = wanted_act(facts, row, is_taken).map(|act| {
                let run = wanted_run(facts, row);
                InstanceOrder { run, epoch: version, act }
            });
            let order = order.filter(|order| self.is_due(instance, row, order, times, now));
            let is_ready = is_taken || row.state != InstanceState::Draining;
            let ask_load = (is_ready && wants_load(facts, row)).then_some(version);
            let stop_run = wants_stop(row, document, wall).then_some(row.run);
            if order.is_some() || ask_load.is_some() || stop_run.is_some() {
                needs.push((instance, InstanceNeed { order, ask_load, stop_run }));
            }
        }
        self.sent_at.retain(|instance, _| snapshot.instances.contains_key(instance));
        self.taken.retain(|instance, _| snapshot.instances.contains_key(instance));
        needs
    }

    /// Remembers an order that is sent.
    pub(super) fn note_call(
        &mut self,
        call: FleetCall,
        instance: InstanceId,
        order: &InstanceOrder,
    ) {
        self.pending.insert(call, (instance, order.epoch));
    }

    /// Returns whether an answer belongs to an order.
    pub(super) fn owns(&self, call: FleetCall) -> bool {
        self.pending.contains_key(&call)
    }

    /// Takes the answer to an order.
    pub(super) fn take_reply(&mut self, call: FleetCall, reply: &PlatformReply) {
        let Some((instance, epoch)) = self.pending.swap_remove(&call) else { return };
        if matches!(reply, PlatformReply::Ordered) {
            let taken = self.taken.entry(instance).or_default();
            *taken = epoch.max(*taken);
        }
    }

    fn is_due(
        &mut self,
        instance: InstanceId,
        row: &InstanceRow,
        order: &InstanceOrder,
        times: &FleetTimes,
        now: Moment,
    ) -> bool {
        let interval = interval(order, row.state, times);
        let is_sent = self
            .sent_at
            .get(&instance)
            .is_some_and(|sent| sent.order == *order && now.since(sent.at) < interval);
        if !is_sent {
            self.sent_at.insert(instance, SentOrder { order: order.clone(), at: now });
        }
        !is_sent
    }
}

/// Returns how long an order is given before it is sent again. A failed instance may be one that
/// the platform takes away, and refuses to be kept.
fn interval(order: &InstanceOrder, state: InstanceState, times: &FleetTimes) -> Duration {
    let is_slow = matches!(order.act, OrderAct::Reboot { .. }) || state == InstanceState::Failed;
    if is_slow {
        times.reboot_interval
    } else {
        times.order_interval
    }
}

/// Returns the order that brings the instance in line with its row, if it is not yet.
fn wanted_act(facts: &InstanceFacts, row: &InstanceRow, is_taken: bool) -> Option<OrderAct> {
    let load = facts.load.filter(|load| load.run == wanted_run(facts, row));
    match row.state {
        InstanceState::Draining => {
            let takes_work = load.is_some_and(|load| !load.leaving);
            (takes_work || !is_taken).then_some(OrderAct::Drain)
        }
        InstanceState::Rebooting => {
            let is_old = facts.record.as_ref().is_some_and(|record| record.run == row.run);
            match &row.goal {
                Some(StepGoal::Reboot { image }) if is_old => {
                    Some(OrderAct::Reboot { image: image.clone() })
                }
                _ => None,
            }
        }
        InstanceState::Serving | InstanceState::Joining | InstanceState::Failed => {
            let is_leaving = load.is_some_and(|load| load.leaving);
            let is_listed_leaving = facts.listed_state() == Some(ListedState::Leaving);
            (is_leaving || is_listed_leaving).then_some(OrderAct::Undrain)
        }
        InstanceState::Moving | InstanceState::Quarantined => None,
    }
}

/// Returns the run that an order is meant for: the one that drains or restarts, else the current.
fn wanted_run(facts: &InstanceFacts, row: &InstanceRow) -> TargetRun {
    let listed = facts.record.as_ref().map_or(row.run, |record| record.run);
    match row.state {
        InstanceState::Rebooting => row.run,
        InstanceState::Draining if row.goal.is_some() => row.run,
        _ => listed,
    }
}

fn wants_load(facts: &InstanceFacts, row: &InstanceRow) -> bool {
    let is_leaving = facts.load.is_some_and(|load| load.leaving);
    match row.state {
        InstanceState::Draining | InstanceState::Joining => true,
        InstanceState::Serving | InstanceState::Failed => {
            is_leaving || facts.listed_state() == Some(ListedState::Leaving)
        }
        _ => false,
    }
}

/// Returns whether an operator's forced drain has outlived its bound.
fn wants_stop(row: &InstanceRow, document: &ConfigDocument, wall: UnixSeconds) -> bool {
    let bound = u64::from(document.maintenance.drain_seconds);
    let is_late = wall.since(row.changed_at) >= bound;
    row.state == InstanceState::Draining && row.force && row.drain && is_late
}
