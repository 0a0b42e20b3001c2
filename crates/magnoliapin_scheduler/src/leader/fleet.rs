//! The instances: the list of them, and the orders that move and maintain them.

mod evacuation;
mod listing;
mod moves;
mod pool_demand;
mod waves;

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::Moment;
use magnoliapin_site::CallFailure;
use magnoliapin_site::InstanceName;
use magnoliapin_site::InstanceRecord;
use magnoliapin_site::InstanceReply;
use magnoliapin_site::InstanceRequest;
use magnoliapin_site::InstanceState;
use magnoliapin_site::OrderRefusal;
use magnoliapin_site::OrderSender;
use magnoliapin_site::PoolName;
use magnoliapin_site::TargetName;
use magnoliapin_site::TargetRecord;
use magnoliapin_site::ZoneName;

use self::pool_demand::PoolDemand;
use self::waves::WaveProgress;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::outbox::Outbox;
use crate::rows::AssignmentBatchRow;
use crate::CallId;
use crate::NodeAction;

#[cfg(test)]
#[path = "fleet/order_tests.rs"]
mod tests;

/// Interval between two lists of the instances while orders or waves are in progress.
const BUSY_LIST_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a call to the instance service.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum age of the store's last confirmation at which the leader gives orders: the store, which
/// records orders first, would refuse most later ones.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(900);
/// Pause of an instance after an order that was refused or got no reply.
const ORDER_PAUSE: Duration = Duration::from_millis(400);
/// Orders that may always wait for the service to accept them at the same time.
const MIN_UNACCEPTED_ORDERS: usize = 24;
/// Time for which orders at the full rate may wait for the service to accept them.
const UNACCEPTED_ORDERS_TIME: Duration = Duration::from_millis(200);

/// The instances, their orders and the maintenance waves.
#[derive(Debug)]
pub(crate) struct Fleet {
    instances: IndexMap<InstanceName, FleetInstance>,
    calls: IndexMap<CallId, FleetCall>,
    /// Number of complete lists so far; instances that recent lists leave out are removed.
    lists: u64,
    /// Number of consecutive complete lists so far in which every entry could be decoded.
    readable_lists: u64,
    /// Whether an entry of the current list could not be decoded.
    has_unreadable_entry: bool,
    /// When the latest complete list was requested; `None` before the first.
    listed_at: Option<Moment>,
    list_started_at: Moment,
    next_list_at: Moment,
    is_listing: bool,
    /// Number of pages read so far of the current list.
    pages: u32,
    next_plan_at: Moment,
    /// Times of the orders within the last second.
    recent_orders: Vec<Moment>,
    /// Orders that the service had not accepted at the last plan, and those planned since.
    unaccepted_orders: usize,
    /// Orders that are not recorded in the store yet.
    planned_orders: Vec<PlannedOrder>,
    /// When each instance was given its last order.
    ordered_at: IndexMap<InstanceName, Moment>,
    /// Instances that the previous leader may have given orders to, and until when they get no
    /// orders.
    inherited_pauses: IndexMap<InstanceName, Moment>,
    /// No instance gets an order before this moment.
    first_order_at: Moment,
    waves: IndexMap<u64, WaveProgress>,
    demand: IndexMap<PoolName, PoolDemand>,
    /// Targets that get no new work because their instances are to be moved or maintained.
    reserved: IndexSet<TargetKey>,
    /// Instances that get no new work because another pool needs them.
    released: IndexSet<InstanceName>,
}

/// An instance and its order in progress.
#[derive(Clone, Debug)]
struct FleetInstance {
    record: InstanceRecord,
    /// Number of the last list that included it.
    list: u64,
    order: Option<FleetOrder>,
    /// It gets no order before this moment.
    paused_until: Moment,
}

/// An order for an instance.
#[derive(Clone, Debug)]
struct FleetOrder {
    kind: OrderKind,
    /// When the service accepted the order; `None` before.
    accepted_at: Option<Moment>,
}

/// An order that is sent once it is recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PlannedOrder {
    instance: InstanceName,
    request: InstanceRequest,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum OrderKind {
    Move(PoolName),
    Maintain(u64),
}

#[derive(Clone, Debug)]
enum FleetCall {
    List,
    Order(InstanceName),
}

impl Fleet {
    /// Creates a fleet without instances, which is listed at the next poll.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            instances: IndexMap::new(),
            calls: IndexMap::new(),
            lists: 0,
            readable_lists: 0,
            has_unreadable_entry: false,
            listed_at: None,
            list_started_at: now,
            next_list_at: now,
            is_listing: false,
            pages: 0,
            next_plan_at: now,
            recent_orders: Vec::new(),
            unaccepted_orders: 0,
            planned_orders: Vec::new(),
            ordered_at: IndexMap::new(),
            inherited_pauses: IndexMap::new(),
            first_order_at: now,
            waves: IndexMap::new(),
            demand: IndexMap::new(),
            reserved: IndexSet::new(),
            released: IndexSet::new(),
        }
    }

    /// Schedules the next list of the instances for the next poll.
    pub(crate) fn list_soon(&mut self, now: Moment) {
        self.next_list_at = self.next_list_at.min(now);
    }

    /// Returns whether any orders wait to be recorded.
    pub(crate) fn has_planned_orders(&self) -> bool {
        !self.planned_orders.is_empty()
    }

    /// Removes and returns the orders that wait to be recorded.
    pub(crate) fn take_planned_orders(&mut self) -> Vec<PlannedOrder> {
        std::mem::take(&mut self.planned_orders)
    }

    /// Returns whether an instance no longer exists: two consecutive lists leave it out, and no
    /// entry that could not be decoded may stand for it.
    pub(crate) fn is_gone(&self, name: &InstanceName) -> bool {
        self.readable_lists >= 2 && !self.instances.contains_key(name)
    }

    /// Returns whether an instance has been ordered to move or to be maintained after a moment.
    pub(crate) fn was_ordered_after(&self, name: &InstanceName, at: Moment) -> bool {
        self.ordered_at.get(name).is_some_and(|ordered_at| *ordered_at >= at)
    }

    /// Returns whether the previous leader may have ordered an instance to move or to be maintained.
    pub(crate) fn was_ordered_before(&self, name: &InstanceName) -> bool {
        let state = self.instances.get(name).map(|instance| instance.record.state);
        self.inherited_pauses.contains_key(name)
            || matches!(state, Some(InstanceState::Moving | InstanceState::Maintained))
    }

    /// Returns the state of an instance and its target for log messages; `None` if it is not listed.
    pub(crate) fn describe(&self, name: &InstanceName) -> Option<String> {
        let record = &self.instances.get(name)?.record;
        let target = record.target.as_ref().map_or("none", TargetName::as_str);
        Some(format!("{:?}:{target}", record.state))
    }

    /// Returns whether the list shows a target on the instance and in the pool that its registration states.
    pub(crate) fn hosts(&self, record: &TargetRecord) -> bool {
        let instance = record.instance.as_ref().and_then(|name| self.instances.get(name));
        instance.is_some_and(|instance| {
            instance.record.target.as_ref() == Some(&record.name)
                && instance.record.pool == record.pool
        })
    }

    /// Returns whether a complete list was requested after a moment.
    pub(crate) fn was_listed_after(&self, at: Moment) -> bool {
        self.listed_at.is_some_and(|listed_at| listed_at > at)
    }

    /// Returns the instance on which the list shows a target.
    pub(crate) fn instance_of(&self, target: &TargetName) -> Option<&InstanceName> {
        let hosts = |instance: &FleetInstance| instance.record.target.as_ref() == Some(target);
        self.instances.iter().find(|(_, instance)| hosts(instance)).map(|(name, _)| name)
    }

    /// Returns whether the list shows a target on another instance than `name`.
    pub(crate) fn is_hosted_elsewhere(&self, target: &TargetName, name: &InstanceName) -> bool {
        self.instance_of(target).is_some_and(|instance| instance != name)
    }

    /// Returns the zone of an instance; `None` if it is not listed.
    pub(crate) fn zone_of(&self, name: &InstanceName) -> Option<&ZoneName> {
        Some(&self.instances.get(name)?.record.zone)
    }

    /// Returns the number of listed instances in a zone.
    pub(crate) fn count_instances_in(&self, zone: &ZoneName) -> usize {
        self.instances.values().filter(|instance| instance.record.zone == *zone).count()
    }

    fn has_orders_in_progress(&self) -> bool {
        self.instances.values().any(|instance| instance.order.is_some())
    }
}

impl FleetInstance {
    /// Returns whether the instance can be given an order now.
    fn accepts_orders(&self, now: Moment) -> bool {
        self.order.is_none() && self.record.state == InstanceState::Up && now >= self.paused_until
    }
}

impl Leader {
    /// Starts listing the instances, and plans orders, when it is time.
    pub(super) fn poll_fleet(&mut self, out: &mut Outbox) {
        if out.now >= self.fleet.next_list_at && !self.fleet.is_listing {
            self.fleet.is_listing = true;
            self.fleet.list_started_at = out.now;
            self.call_instances(FleetCall::List, InstanceRequest::List { page: None }, out);
        }
        if out.now >= self.fleet.next_plan_at && self.fleet.listed_at.is_some() {
            self.fleet.next_plan_at = out.now + PLAN_INTERVAL;
            self.plan_fleet(out);
        }
    }

    fn plan_fleet(&mut self, out: &mut Outbox) {
        let before = std::mem::take(&mut self.fleet.reserved);
        let unaccepted =
            self.fleet.instances.values().filter(|instance| instance.has_unaccepted_order());
        self.fleet.unaccepted_orders = unaccepted.count();
        self.measure_demand(out.now);
        self.evacuate_draining(out);
        self.plan_waves(out);
        self.plan_moves(out);
        self.reserve_ordered();
        let reserved = self.fleet.reserved.clone();
        for (key, target) in &mut self.targets {
            target.is_reserved = reserved.contains(key);
        }
        for key in before.iter().filter(|key| !reserved.contains(*key)) {
            let pool = self.targets.get(key).map(|target| target.record.pool.clone());
            if let Some(pool) = pool {
                self.mark_for_dispatch(&pool);
            }
        }
    }

    /// Reserves the targets of instances that have an order, so that they get no new work.
    fn reserve_ordered(&mut self) {
        let ordered: Vec<InstanceName> = self
            .fleet
            .instances
            .iter()
            .filter(|(_, instance)| instance.order.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        for name in ordered {
            if let Some(key) = self.hosted_target(&name) {
                self.fleet.reserved.insert(key);
            }
        }
    }

    fn call_instances(&mut self, kind: FleetCall, request: InstanceRequest, out: &mut Outbox) {
        let call = out.next_call();
        out.push(NodeAction::Instances { call, request, timeout: CALL_TIMEOUT });
        self.fleet.calls.insert(call, kind);
    }

    /// Handles a reply of the instance service.
    pub(crate) fn handle_instance_reply(
        &mut self,
        call: CallId,
        reply: &InstanceReply,
        out: &mut Outbox,
    ) {
        match self.fleet.calls.swap_remove(&call) {
            Some(FleetCall::List) => self.handle_list(reply, out),
            Some(FleetCall::Order(instance)) => self.handle_order_reply(&instance, reply, out),
            None => {}
        }
    }

    /// Returns whether this leader may give orders.
    pub(super) fn may_order(&self, now: Moment) -> bool {
        now.since(self.confirmed_at) < MAX_CONFIRMATION_AGE && now >= self.fleet.first_order_at
    }

    /// Pauses orders to the instances that the previous leader may have given orders to, as an
    /// order that has just been recorded may still be in transit. If the batch row cannot be
    /// decoded, all instances are paused.
    pub(super) fn pause_inherited_orders(&mut self, batch: Option<&AssignmentBatchRow>) {
        let until = self.acquired_at + self.identity.times.order_spacing + CALL_TIMEOUT;
        let Some(batch) = batch else {
            self.fleet.first_order_at = until;
            return;
        };
        for name in &batch.ordered_instances {
            self.fleet.inherited_pauses.insert(name.clone(), until);
        }
    }

    /// Returns the instances that the next leader must not give orders to for a while.
    pub(super) fn recently_ordered_instances(&mut self, now: Moment) -> Vec<InstanceName> {
        let spacing = self.identity.times.order_spacing + CALL_TIMEOUT;
        self.fleet.ordered_at.retain(|_, at| now.since(*at) < spacing);
        self.fleet.inherited_pauses.retain(|_, until| now < *until);
        let ordered = self.fleet.ordered_at.keys();
        // The instances that the previous leader gave orders to are passed on as well.
        ordered.chain(self.fleet.inherited_pauses.keys()).cloned().collect()
    }

    /// Returns whether the limits on the rate and number of orders permit one more.
    fn has_order_budget(&mut self, now: Moment) -> bool {
        self.fleet.recent_orders.retain(|at| now.since(*at) < Duration::from_secs(1));
        let rate = self.identity.instance_orders_per_s;
        (self.fleet.recent_orders.len() as f64) < rate
            && self.fleet.unaccepted_orders < max_unaccepted_orders(rate)
    }

    /// Plans an order, which is sent once it is recorded in the store.
    fn plan_order(&mut self, name: &InstanceName, kind: OrderKind, out: &mut Outbox) {
        let sender =
            OrderSender { node: self.identity.profile.name.clone(), fence: self.generation };
        let Some(instance) = self.fleet.instances.get_mut(name) else { return };
        log::info!(
            "event=instance_ordered instance={name} kind={kind:?} pool={} state={:?}",
            instance.record.pool,
            instance.record.state
        );
        instance.order = Some(FleetOrder { kind: kind.clone(), accepted_at: None });
        self.fleet.unaccepted_orders += 1;
        self.fleet.recent_orders.push(out.now);
        self.fleet.ordered_at.insert(name.clone(), out.now);
        let instance = name.clone();
        let request = match kind {
            OrderKind::Move(pool) => InstanceRequest::Move { instance, pool, sender },
            OrderKind::Maintain(wave) => InstanceRequest::Maintain { instance, wave, sender },
        };
        self.fleet.next_list_at = self.fleet.next_list_at.min(out.now + BUSY_LIST_INTERVAL);
        self.fleet.planned_orders.push(PlannedOrder { instance: name.clone(), request });
    }

    /// Sends an order that has been recorded in the store.
    pub(super) fn send_order(&mut self, order: PlannedOrder, out: &mut Outbox) {
        self.fleet.ordered_at.insert(order.instance.clone(), out.now);
        self.call_instances(FleetCall::Order(order.instance), order.request, out);
    }

    /// Returns whether an order moves an instance whose zone has been evacuated since it was planned.
    pub(super) fn is_move_outdated(&self, order: &PlannedOrder) -> bool {
        matches!(order.request, InstanceRequest::Move { .. })
            && self.is_instance_evacuated(&order.instance)
    }

    /// Drops an order that could not be recorded; a later plan may give it again.
    pub(super) fn drop_order(&mut self, order: &PlannedOrder, now: Moment) {
        if let Some(instance) = self.fleet.instances.get_mut(&order.instance) {
            instance.order = None;
            instance.paused_until = now + ORDER_PAUSE;
        }
    }

    fn handle_order_reply(&mut self, name: &InstanceName, reply: &InstanceReply, out: &mut Outbox) {
        let Some(instance) = self.fleet.instances.get_mut(name) else { return };
        let Some(order) = instance.order.clone() else { return };
        match reply {
            InstanceReply::Ordered => {
                instance.order =
                    Some(FleetOrder { accepted_at: Some(out.now), kind: order.kind.clone() });
                if let OrderKind::Maintain(wave) = order.kind {
                    self.mark_maintenance_started(wave, name);
                }
            }
            InstanceReply::Refused(OrderRefusal::Fenced) => {
                self.depose("the service for instances obeys a newer leader");
            }
            InstanceReply::Refused(refusal) => {
                log::info!("event=instance_order_refused instance={name} why={refusal:?}");
                instance.order = None;
                instance.paused_until = out.now + ORDER_PAUSE;
                if let OrderKind::Maintain(wave) = order.kind {
                    self.handle_refused_order(wave, name, *refusal);
                }
            }
            InstanceReply::Failed(CallFailure::NotDone) => {
                instance.order = None;
                instance.paused_until = out.now + ORDER_PAUSE;
            }
            // A later plan repeats the order, which gets the same reply if it was executed.
            InstanceReply::Failed(CallFailure::Unknown) | InstanceReply::Page(_) => {
                log::warn!("event=instance_order_unanswered instance={name}");
                instance.order = None;
                instance.paused_until = out.now + ORDER_PAUSE;
            }
        }
    }

    /// Returns whether an instance certainly runs nothing: no target that may be there does. One that the
    /// list shows elsewhere is not.
    pub(super) fn is_vacant(&self, name: &InstanceName) -> bool {
        let is_target_vacant = |target: &Target| {
            let has_no_previous_runs = self.has_no_previous_runs(&target.record.name);
            target.is_vacant(has_no_previous_runs, self.confirmed_at)
        };
        let keys = self.hosts.targets_of(name);
        let hosted = keys.iter().filter_map(|key| self.targets.get(key));
        let mut here = hosted.filter(|target| {
            keys.len() == 1 || !self.fleet.is_hosted_elsewhere(&target.record.name, name)
        });
        // The previous leader may have started runs on a target that this leader has not seen
        // registered.
        let listed =
            self.fleet.instances.get(name).and_then(|instance| instance.record.target.as_ref());
        let is_listed_vacant = listed.is_none_or(|target| {
            self.target_keys.contains_key(target) || self.has_no_previous_runs(target)
        });
        is_listed_vacant && here.all(is_target_vacant)
    }

    /// Returns the target that an instance hosts: the one that the list shows, else the one that started
    /// last of those that have answered, as any other may be an entry of another writer.
    pub(super) fn hosted_target(&self, name: &InstanceName) -> Option<TargetKey> {
        let listed =
            self.fleet.instances.get(name).and_then(|instance| instance.record.target.as_ref());
        let hosted = self.hosts.targets_of(name).iter().copied();
        hosted.max_by_key(|key| {
            let target = self.targets.get(key);
            let is_listed = target.is_some_and(|target| listed == Some(&target.record.name));
            let has_reported = target.is_some_and(|target| target.has_reported);
            (is_listed, has_reported, target.map(Target::started_at))
        })
    }
}

/// Returns how many orders may wait to be accepted by a service that takes `rate` of them a second.
fn max_unaccepted_orders(rate: f64) -> usize {
    ((rate * UNACCEPTED_ORDERS_TIME.as_secs_f64()) as usize).max(MIN_UNACCEPTED_ORDERS)
}

impl FleetInstance {
    fn has_unaccepted_order(&self) -> bool {
        self.order.as_ref().is_some_and(|order| order.accepted_at.is_none())
    }

    /// Clears the order if a list requested at `requested_at` shows that it is complete.
    fn clear_completed_order(&mut self, requested_at: Moment) {
        let Some(order) = &self.order else { return };
        let is_listed_after = order.accepted_at.is_some_and(|at| requested_at > at);
        let is_applied = match &order.kind {
            OrderKind::Move(pool) => self.record.pool == *pool,
            OrderKind::Maintain(_) => true,
        };
        if is_listed_after && is_applied && self.record.state == InstanceState::Up {
            self.order = None;
        }
    }
}
