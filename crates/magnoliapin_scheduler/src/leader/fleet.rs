//! The instances: which there are, and the orders that move and maintain them.

mod evacuation;
mod moves;
mod needs;
mod waves;

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::Moment;
use magnoliapin_site::CallFailure;
use magnoliapin_site::InstanceName;
use magnoliapin_site::InstancePage;
use magnoliapin_site::InstanceRecord;
use magnoliapin_site::InstanceReply;
use magnoliapin_site::InstanceRequest;
use magnoliapin_site::InstanceState;
use magnoliapin_site::OrderRefusal;
use magnoliapin_site::OrderSender;
use magnoliapin_site::PoolName;
use magnoliapin_site::TargetName;

use self::needs::PoolDemand;
use self::waves::WaveProgress;
use crate::leader::registrations::TargetLoss;
use crate::leader::target::Target;
use crate::leader::target::TargetKey;
use crate::leader::Leader;
use crate::leader::OldLife;
use crate::outbox::Outbox;
use crate::rows::BatchRow;
use crate::CallId;
use crate::NodeAction;

/// Time between two lists while orders are under way.
const BUSY_LIST_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two lists otherwise.
const IDLE_LIST_INTERVAL: Duration = Duration::from_millis(500);
/// How much more slowly than the service allows lists are read.
const LIST_SHARE: f64 = 2.0;
/// Time between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a call of the service has failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// An order is given only this long after the store has confirmed the lease: later ones would
/// mostly be refused by the store, which records them first.
const ORDER_VALIDITY: Duration = Duration::from_millis(900);
/// Pause before an order is given again that was refused or had no answer.
const ORDER_PAUSE: Duration = Duration::from_millis(400);
/// Orders that may be under way at once.
const MOST_ORDERS: usize = 24;

/// The instances and what is planned for them.
#[derive(Debug)]
pub(crate) struct Fleet {
    instances: IndexMap<InstanceName, FleetInstance>,
    calls: IndexMap<CallId, FleetCall>,
    /// Counts whole lists, to tell instances that are gone.
    lists: u64,
    /// When the list that was read last had been asked for; none before the first.
    listed_at: Option<Moment>,
    list_started_at: Moment,
    next_list_at: Moment,
    is_listing: bool,
    /// Pages of the list that is being read.
    pages: u32,
    next_plan_at: Moment,
    /// Moments of the orders of the last second.
    recent_orders: Vec<Moment>,
    /// Orders that the store does not know of yet.
    planned_orders: Vec<PlannedOrder>,
    /// When instances were given their last orders.
    ordered_at: IndexMap<InstanceName, Moment>,
    /// Instances that the scheduler before may have given orders to, and until when they are left
    /// alone.
    held_until: IndexMap<InstanceName, Moment>,
    /// No order at all before this.
    first_order_at: Moment,
    waves: IndexMap<u64, WaveProgress>,
    demand: IndexMap<PoolName, PoolDemand>,
    /// Targets that get no new work, as their instances are to be moved or maintained.
    reserved: IndexSet<TargetKey>,
}

/// An instance.
#[derive(Clone, Debug)]
struct FleetInstance {
    record: InstanceRecord,
    /// Number of the list that named it last.
    list: u64,
    order: Option<FleetOrder>,
    /// No order before this.
    paused_until: Moment,
}

/// An order for an instance.
#[derive(Clone, Debug)]
struct FleetOrder {
    kind: OrderKind,
    /// When the service said that it has taken the order.
    taken_at: Option<Moment>,
}

/// An order that is sent once the store knows of it.
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
    /// Makes a fleet of which nothing is known.
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            instances: IndexMap::new(),
            calls: IndexMap::new(),
            lists: 0,
            listed_at: None,
            list_started_at: now,
            next_list_at: now,
            is_listing: false,
            pages: 0,
            next_plan_at: now,
            recent_orders: Vec::new(),
            planned_orders: Vec::new(),
            ordered_at: IndexMap::new(),
            held_until: IndexMap::new(),
            first_order_at: now,
            waves: IndexMap::new(),
            demand: IndexMap::new(),
            reserved: IndexSet::new(),
        }
    }

    /// Has the instances listed at the next occasion.
    pub(crate) fn list_soon(&mut self, now: Moment) {
        self.next_list_at = self.next_list_at.min(now);
    }

    /// Returns whether orders wait to be recorded.
    pub(crate) fn has_planned_orders(&self) -> bool {
        !self.planned_orders.is_empty()
    }

    /// Hands over the orders that wait to be recorded.
    pub(crate) fn take_planned_orders(&mut self) -> Vec<PlannedOrder> {
        std::mem::take(&mut self.planned_orders)
    }

    fn has_orders(&self) -> bool {
        self.instances.values().any(|instance| instance.order.is_some())
    }
}

impl FleetInstance {
    /// Returns whether an order can be given to it now.
    fn is_free(&self, now: Moment) -> bool {
        self.order.is_none() && self.record.state == InstanceState::Up && now >= self.paused_until
    }
}

impl Leader {
    /// Lists the instances, and plans for them, when it is time.
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
        self.measure_demand(out.now);
        self.empty_draining(out);
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
                self.stir(&pool);
            }
        }
    }

    /// Keeps new work off instances that have an order.
    fn reserve_ordered(&mut self) {
        let ordered: Vec<InstanceName> = self
            .fleet
            .instances
            .iter()
            .filter(|(_, instance)| instance.order.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        for name in ordered {
            if let Some(key) = self.target_of(&name) {
                self.fleet.reserved.insert(key);
            }
        }
    }

    fn call_instances(&mut self, kind: FleetCall, request: InstanceRequest, out: &mut Outbox) {
        let call = out.next_call();
        out.push(NodeAction::Instances { call, request, timeout: CALL_TIMEOUT });
        self.fleet.calls.insert(call, kind);
    }

    /// Takes an answer of the service for instances.
    pub(crate) fn take_instance_reply(
        &mut self,
        call: CallId,
        reply: &InstanceReply,
        out: &mut Outbox,
    ) {
        match self.fleet.calls.swap_remove(&call) {
            Some(FleetCall::List) => self.take_list(reply, out),
            Some(FleetCall::Order(instance)) => self.take_order_reply(&instance, reply, out),
            None => {}
        }
    }

    fn take_list(&mut self, reply: &InstanceReply, out: &mut Outbox) {
        let InstanceReply::Page(page) = reply else {
            self.fleet.is_listing = false;
            self.fleet.next_list_at = out.now + BUSY_LIST_INTERVAL;
            return;
        };
        self.fleet.pages += 1;
        self.take_page(page, out);
        if let Some(next) = &page.next {
            let request = InstanceRequest::List { page: Some(next.clone()) };
            return self.call_instances(FleetCall::List, request, out);
        }
        let rate = self.identity.instance_lists_per_s;
        let fleet = &mut self.fleet;
        fleet.is_listing = false;
        fleet.listed_at = Some(fleet.list_started_at);
        let last = fleet.lists;
        fleet.lists += 1;
        // One that two lists in a row leave out is gone.
        fleet.instances.retain(|_, instance| instance.list + 1 >= last);
        let is_busy = fleet.has_orders() || fleet.waves.values().any(|wave| !wave.is_over());
        let interval = if is_busy { BUSY_LIST_INTERVAL } else { IDLE_LIST_INTERVAL };
        // The service gives only so many pages in a second, to all nodes together.
        let least = Duration::from_secs_f64(f64::from(fleet.pages) / rate.max(0.1) * LIST_SHARE);
        fleet.next_list_at = out.now + interval.max(least);
        fleet.pages = 0;
    }

    fn take_page(&mut self, page: &InstancePage, out: &mut Outbox) {
        for why in &page.unreadable {
            log::warn!("event=instance_unreadable why={why:?}");
        }
        let asked_at = self.fleet.list_started_at;
        let list = self.fleet.lists;
        for record in &page.instances {
            let instance = self.fleet.instances.entry(record.name.clone()).or_insert_with(|| {
                let held_until = self.fleet.held_until.get(&record.name).copied();
                let paused_until = held_until.unwrap_or(out.now);
                FleetInstance { record: record.clone(), list, order: None, paused_until }
            });
            instance.list = list;
            instance.record = record.clone();
            instance.settle(asked_at);
            self.check_old_lives(record);
            self.check_host(record, out);
        }
    }

    /// Settles the lives that an instance hosted before: it hosts one target at a time.
    fn check_old_lives(&mut self, record: &InstanceRecord) {
        if self.fleet.list_started_at < self.taken_at {
            return;
        }
        let is_off = self.is_off(record);
        let is_over = |(name, life): &(&TargetName, &OldLife)| {
            let is_here = life.instance.as_ref() == Some(&record.name);
            let is_other = record.target.as_ref().is_some_and(|now| now != *name);
            is_here && (is_other || is_off)
        };
        let over: Vec<TargetName> =
            self.old_lives.iter().filter(is_over).map(|(name, _)| name.clone()).collect();
        for name in over {
            self.settle_life(&name);
            self.forgotten.push(name);
        }
    }

    /// Returns whether an instance runs nothing: it is on its way, being maintained, out of service
    /// without a target, or on standby.
    fn is_off(&self, record: &InstanceRecord) -> bool {
        match record.state {
            InstanceState::Moving | InstanceState::Maintained => true,
            InstanceState::Up => {
                let rule = self.config.pools.get(&record.pool);
                record.target.is_none() && rule.is_some_and(|rule| rule.is_standby)
            }
            InstanceState::Down => record.target.is_none(),
        }
    }

    /// Compares the target that an instance hosts with the one that is led there.
    fn check_host(&mut self, record: &InstanceRecord, out: &mut Outbox) {
        let is_off = self.is_off(record);
        let is_over = |target: &Target| {
            let is_here = target.record.instance.as_ref() == Some(&record.name);
            let is_other = record.target.as_ref().is_some_and(|now| *now != target.record.name);
            // A list may be older than a registration.
            let is_older = target.discovered_at >= self.fleet.list_started_at;
            is_here && !is_older && (is_other || is_off)
        };
        let over: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, target)| is_over(target))
            .map(|(key, _)| *key)
            .collect();
        for key in over {
            self.remove_target(key, TargetLoss::OtherLife, out);
        }
    }

    /// Returns whether this scheduler may give orders.
    fn may_order(&self, now: Moment) -> bool {
        now.since(self.confirmed_at) < ORDER_VALIDITY && now >= self.fleet.first_order_at
    }

    /// Leaves the instances alone that the scheduler before may have given orders to: one whose
    /// order has just been recorded may still be on its way.
    pub(super) fn hold_ordered(&mut self, batch: Option<&BatchRow>) {
        let until = self.taken_at + self.identity.times.order_spacing + CALL_TIMEOUT;
        let Some(batch) = batch else {
            self.fleet.first_order_at = until;
            return;
        };
        for name in &batch.ordered {
            self.fleet.held_until.insert(name.clone(), until);
        }
    }

    /// Returns the instances that the next scheduler must leave alone for a while.
    pub(super) fn recent_orders(&mut self, now: Moment) -> Vec<InstanceName> {
        let spacing = self.identity.times.order_spacing + CALL_TIMEOUT;
        self.fleet.ordered_at.retain(|_, at| now.since(*at) < spacing);
        self.fleet.held_until.retain(|_, until| now < *until);
        let own = self.fleet.ordered_at.keys();
        // What the scheduler before had ordered holds for the next one, too.
        own.chain(self.fleet.held_until.keys()).cloned().collect()
    }

    /// Returns whether one more order may be given now.
    fn has_order_room(&mut self, now: Moment) -> bool {
        self.fleet.recent_orders.retain(|at| now.since(*at) < Duration::from_secs(1));
        let rate = self.identity.instance_orders_per_s;
        let under_way =
            self.fleet.instances.values().filter(|instance| instance.is_ordering()).count();
        (self.fleet.recent_orders.len() as f64) < rate && under_way < MOST_ORDERS
    }

    /// Gives an order.
    fn order(&mut self, name: &InstanceName, kind: OrderKind, out: &mut Outbox) {
        let sender = OrderSender { node: self.identity.node.clone(), fence: self.generation };
        let Some(instance) = self.fleet.instances.get_mut(name) else { return };
        log::info!(
            "event=instance_ordered instance={name} kind={kind:?} pool={} state={:?}",
            instance.record.pool,
            instance.record.state
        );
        instance.order = Some(FleetOrder { kind: kind.clone(), taken_at: None });
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

    /// Sends an order that the store knows of now.
    pub(super) fn send_order(&mut self, order: PlannedOrder, out: &mut Outbox) {
        self.fleet.ordered_at.insert(order.instance.clone(), out.now);
        self.call_instances(FleetCall::Order(order.instance), order.request, out);
    }

    /// Drops an order that could not be recorded; the next plan decides anew.
    pub(super) fn drop_order(&mut self, order: &PlannedOrder, now: Moment) {
        if let Some(instance) = self.fleet.instances.get_mut(&order.instance) {
            instance.order = None;
            instance.paused_until = now + ORDER_PAUSE;
        }
    }

    fn take_order_reply(&mut self, name: &InstanceName, reply: &InstanceReply, out: &mut Outbox) {
        let Some(instance) = self.fleet.instances.get_mut(name) else { return };
        let Some(order) = instance.order.clone() else { return };
        match reply {
            InstanceReply::Ordered => {
                instance.order =
                    Some(FleetOrder { taken_at: Some(out.now), kind: order.kind.clone() });
                if let OrderKind::Maintain(wave) = order.kind {
                    self.note_maintained(wave, name);
                }
            }
            InstanceReply::Refused(OrderRefusal::Fenced) => {
                self.depose("the service for instances obeys a newer scheduler");
            }
            InstanceReply::Refused(refusal) => {
                log::info!("event=instance_order_refused instance={name} why={refusal:?}");
                instance.order = None;
                instance.paused_until = out.now + ORDER_PAUSE;
                if let OrderKind::Maintain(wave) = order.kind {
                    self.note_refused(wave, name, *refusal);
                }
            }
            InstanceReply::Failed(CallFailure::NotDone) => {
                instance.order = None;
                instance.paused_until = out.now + ORDER_PAUSE;
            }
            // The same order again tells: it is answered alike if it was carried out.
            InstanceReply::Failed(CallFailure::Unknown) | InstanceReply::Page(_) => {
                log::warn!("event=instance_order_unanswered instance={name}");
                instance.order = None;
                instance.paused_until = out.now + ORDER_PAUSE;
            }
        }
    }

    /// Returns whether nothing runs on an instance for certain.
    fn is_vacant(&self, name: &InstanceName) -> bool {
        match self.target_of(name).and_then(|key| self.targets.get(&key)) {
            Some(target) => {
                let is_clear = self.is_clear(&target.record.name);
                target.is_vacant(is_clear, self.confirmed_at)
            }
            // A target that has not registered yet may have had a start all the same.
            None => self
                .fleet
                .instances
                .get(name)
                .and_then(|instance| instance.record.target.as_ref())
                .is_none_or(|target| self.is_clear(target)),
        }
    }

    /// Returns the target that an instance hosts: the one that was born last.
    fn target_of(&self, name: &InstanceName) -> Option<TargetKey> {
        let hosted =
            self.targets.iter().filter(|(_, target)| target.record.instance.as_ref() == Some(name));
        hosted.max_by_key(|(_, target)| target.born_at()).map(|(key, _)| *key)
    }
}

impl FleetInstance {
    fn is_ordering(&self) -> bool {
        self.order.as_ref().is_some_and(|order| order.taken_at.is_none())
    }

    /// Ends an order that a list asked for at `asked_at` shows to be done.
    fn settle(&mut self, asked_at: Moment) {
        let Some(order) = &self.order else { return };
        let is_listed_after = order.taken_at.is_some_and(|at| asked_at > at);
        let is_there = match &order.kind {
            OrderKind::Move(pool) => self.record.pool == *pool,
            OrderKind::Maintain(_) => true,
        };
        if is_listed_after && is_there && self.record.state == InstanceState::Up {
            self.order = None;
        }
    }
}
