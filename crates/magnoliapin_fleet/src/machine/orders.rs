//! Orders to the platform that follow from the rows, resent until they take effect.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::ConfigDocument;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_wire::InstanceOrder;
use magnoliapin_wire::ListedState;
use magnoliapin_wire::OrderAction;
use magnoliapin_wire::PlatformReply;

use super::FleetCallId;
use super::FleetSettings;
use crate::FleetSnapshot;
use crate::InstanceRow;
use crate::InstanceState;
use crate::InstanceStatus;
use crate::StepGoal;
use crate::UnixSeconds;

/// Tracks which orders were sent and accepted.
#[derive(Debug, Default)]
pub(super) struct OrderTracker {
    last_sent: IndexMap<InstanceId, SentOrder>,
    /// Orders whose reply is pending.
    pending: IndexMap<FleetCallId, (InstanceId, RowVersion)>,
    /// Highest epoch of an accepted order for each instance; the platform refuses orders with a
    /// lower epoch.
    accepted_epochs: IndexMap<InstanceId, RowVersion>,
}

#[derive(Clone, Debug)]
struct SentOrder {
    order: InstanceOrder,
    sent_at: Moment,
}

/// Commands to send for an instance.
#[derive(Clone, Debug, Default)]
pub(super) struct InstanceCommands {
    /// Order to the platform.
    pub(super) order: Option<InstanceOrder>,
    /// Epoch of the load query to its target, if its load is needed.
    pub(super) query_load: Option<RowVersion>,
    /// Incarnation of its target whose work must be stopped.
    pub(super) stop_incarnation: Option<TargetIncarnation>,
}

impl OrderTracker {
    /// Returns the commands that are due now and records their orders as sent.
    pub(super) fn due_commands(
        &mut self,
        snapshot: &FleetSnapshot,
        document: &ConfigDocument,
        settings: &FleetSettings,
        now: Moment,
        wall: UnixSeconds,
    ) -> Vec<(InstanceId, InstanceCommands)> {
        let mut due = Vec::new();
        for (instance, status, row) in snapshot.rows() {
            let version = status.row.as_ref().map(|row| row.version).unwrap_or_default();
            let is_accepted = self.accepted_epochs.get(&instance) == Some(&version);
            let order = required_action(status, row, is_accepted).map(|act| {
                let incarnation = ordered_incarnation(status, row);
                InstanceOrder { run: incarnation, epoch: version, act }
            });
            let order =
                order.filter(|order| self.record_if_due(instance, row, order, settings, now));
            let can_query_load = is_accepted || row.state != InstanceState::Draining;
            let query_load = (can_query_load && needs_load(status, row)).then_some(version);
            let stop_incarnation = must_stop_work(row, document, wall).then_some(row.run);
            if order.is_some() || query_load.is_some() || stop_incarnation.is_some() {
                due.push((instance, InstanceCommands { order, query_load, stop_incarnation }));
            }
        }
        self.last_sent.retain(|instance, _| snapshot.instances.contains_key(instance));
        self.accepted_epochs.retain(|instance, _| snapshot.instances.contains_key(instance));
        due
    }

    /// Records the call that carries an order.
    pub(super) fn record_call(
        &mut self,
        call: FleetCallId,
        instance: InstanceId,
        order: &InstanceOrder,
    ) {
        self.pending.insert(call, (instance, order.epoch));
    }

    /// Returns whether `call` is a pending order.
    pub(super) fn owns(&self, call: FleetCallId) -> bool {
        self.pending.contains_key(&call)
    }

    /// Handles the reply to an order.
    pub(super) fn handle_reply(&mut self, call: FleetCallId, reply: &PlatformReply) {
        let Some((instance, epoch)) = self.pending.swap_remove(&call) else { return };
        if matches!(reply, PlatformReply::Ordered) {
            let accepted = self.accepted_epochs.entry(instance).or_default();
            *accepted = epoch.max(*accepted);
        }
    }

    /// Records an order as sent unless the same order was sent recently, and returns whether to
    /// send it.
    fn record_if_due(
        &mut self,
        instance: InstanceId,
        row: &InstanceRow,
        order: &InstanceOrder,
        settings: &FleetSettings,
        now: Moment,
    ) -> bool {
        let interval = resend_interval(order, row.state, settings);
        let is_recent = self
            .last_sent
            .get(&instance)
            .is_some_and(|sent| sent.order == *order && now.since(sent.sent_at) < interval);
        if !is_recent {
            self.last_sent.insert(instance, SentOrder { order: order.clone(), sent_at: now });
        }
        !is_recent
    }
}

/// Returns the time before an order is sent again. It is longer for a reboot, and for a failed
/// instance, which the platform may be removing and then refuses to undrain.
fn resend_interval(
    order: &InstanceOrder,
    state: InstanceState,
    settings: &FleetSettings,
) -> Duration {
    let is_slow = matches!(order.act, OrderAction::Reboot { .. }) || state == InstanceState::Failed;
    if is_slow {
        settings.reboot_resend_interval
    } else {
        settings.order_resend_interval
    }
}

/// Returns the order that makes the instance match its row, or `None` if no order is needed.
fn required_action(
    status: &InstanceStatus,
    row: &InstanceRow,
    is_accepted: bool,
) -> Option<OrderAction> {
    let load = status.load.filter(|load| load.incarnation == ordered_incarnation(status, row));
    match row.state {
        InstanceState::Draining => {
            let accepts_work = load.is_some_and(|load| !load.leaving);
            (accepts_work || !is_accepted).then_some(OrderAction::Drain)
        }
        InstanceState::Rebooting => {
            let has_not_rebooted =
                status.record.as_ref().is_some_and(|record| record.run == row.run);
            match &row.goal {
                Some(StepGoal::Reboot { image }) if has_not_rebooted => {
                    Some(OrderAction::Reboot { image: image.clone() })
                }
                _ => None,
            }
        }
        InstanceState::Serving | InstanceState::Joining | InstanceState::Failed => {
            let is_leaving = load.is_some_and(|load| load.leaving);
            let is_listed_leaving = status.listed_state() == Some(ListedState::Leaving);
            (is_leaving || is_listed_leaving).then_some(OrderAction::Undrain)
        }
        InstanceState::Moving | InstanceState::Quarantined => None,
    }
}

/// Returns the incarnation that an order applies to: the one in the row for planned drains and
/// reboots, otherwise the one that the platform lists.
fn ordered_incarnation(status: &InstanceStatus, row: &InstanceRow) -> TargetIncarnation {
    let listed = status.record.as_ref().map_or(row.run, |record| record.run);
    match row.state {
        InstanceState::Rebooting => row.run,
        InstanceState::Draining if row.goal.is_some() => row.run,
        _ => listed,
    }
}

fn needs_load(status: &InstanceStatus, row: &InstanceRow) -> bool {
    let is_leaving = status.load.is_some_and(|load| load.leaving);
    match row.state {
        InstanceState::Draining | InstanceState::Joining => true,
        InstanceState::Serving | InstanceState::Failed => {
            is_leaving || status.listed_state() == Some(ListedState::Leaving)
        }
        _ => false,
    }
}

/// Returns whether an operator's forced drain has reached its time limit.
fn must_stop_work(row: &InstanceRow, document: &ConfigDocument, wall: UnixSeconds) -> bool {
    let limit_seconds = u64::from(document.maintenance.drain_seconds);
    let is_late = wall.since(row.changed_at) >= limit_seconds;
    row.state == InstanceState::Draining && row.force && row.drain && is_late
}
