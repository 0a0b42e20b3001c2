//! Moves instances to the pools that need them, and surplus instances to standby.

use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_site::InstanceName;
use magnoliapin_site::InstanceState;
use magnoliapin_site::PoolName;
use magnoliapin_site::Resources;

use super::OrderKind;
use crate::leader::Leader;
use crate::outbox::Outbox;

/// Share of an instance's capacity that tasks can use, as their demands do not add up exactly.
const USABLE_SHARE: f64 = 0.85;
/// Number of instances that a pool keeps beyond its need.
const SPARE_INSTANCES: f64 = 1.0;
/// Time that a pool must have had a surplus before an instance leaves it: about the time in which
/// an instance on standby saves the cost of a move.
const SURPLUS_TIME: Duration = Duration::from_millis(1_500);

/// Instances that a pool has and needs.
#[derive(Clone, Debug, Default)]
struct PoolBalance {
    /// Number of instances that it has or that are moving to it.
    instances: usize,
    desired: usize,
    /// Instances without runs, which can be moved at once.
    idle: Vec<InstanceName>,
}

impl Leader {
    /// Orders moves of instances to pools that lack them, and of surplus instances to standby.
    pub(super) fn plan_moves(&mut self, out: &mut Outbox) {
        let Some(standby) = self.standby_pool() else { return };
        let mut balances = self.pool_balances(out.now);
        let neediest_pool = |balances: &IndexMap<PoolName, PoolBalance>| {
            let lacking = balances
                .iter()
                .filter(|(name, balance)| **name != standby && balance.desired > balance.instances);
            // The pool that lacks the largest share of its need comes first.
            lacking
                .max_by(|(_, left), (_, right)| left.shortage().total_cmp(&right.shortage()))
                .map(|(name, _)| name.clone())
        };
        while let Some(pool) = neediest_pool(&balances) {
            if !self.may_order(out.now) || !self.has_order_budget(out.now) {
                return;
            }
            let Some((from, instance)) = take_idle_instance(&mut balances, &standby) else { break };
            self.plan_order(&instance, OrderKind::Move(pool.clone()), out);
            if let Some(balance) = balances.get_mut(&from) {
                balance.instances -= 1;
            }
            if let Some(balance) = balances.get_mut(&pool) {
                balance.instances += 1;
            }
        }
        self.move_surplus_to_standby(&balances, &standby, out);
    }

    /// Orders moves to standby of idle instances that their pools have not needed for
    /// [`SURPLUS_TIME`].
    fn move_surplus_to_standby(
        &mut self,
        balances: &IndexMap<PoolName, PoolBalance>,
        standby: &PoolName,
        out: &mut Outbox,
    ) {
        for (pool, balance) in balances {
            if pool == standby {
                continue;
            }
            let surplus = balance.instances.saturating_sub(balance.desired);
            let now = out.now;
            let since =
                self.fleet.demand.entry(pool.clone()).or_default().update_surplus(surplus > 0, now);
            if surplus == 0 || since.is_none_or(|since| now.since(since) < SURPLUS_TIME) {
                continue;
            }
            for instance in balance.idle.iter().take(surplus) {
                if !self.may_order(now) || !self.has_order_budget(now) {
                    return;
                }
                self.plan_order(instance, OrderKind::Move(standby.clone()), out);
            }
        }
    }

    fn standby_pool(&self) -> Option<PoolName> {
        let mut pools = self.config.pools.iter();
        pools.find(|(_, rule)| rule.is_standby).map(|(name, _)| name.clone())
    }

    fn pool_balances(&self, now: Moment) -> IndexMap<PoolName, PoolBalance> {
        let mut balances: IndexMap<PoolName, PoolBalance> = IndexMap::new();
        for pool in self.config.pools.keys() {
            balances.insert(pool.clone(), PoolBalance::default());
        }
        let mut capacity = Resources::NONE;
        for (name, instance) in &self.fleet.instances {
            capacity = capacity.component_max(instance.record.capacity);
            let pool = match instance.order.as_ref().map(|order| &order.kind) {
                Some(OrderKind::Move(pool)) => pool,
                _ => &instance.record.pool,
            };
            let Some(balance) = balances.get_mut(pool) else { continue };
            if instance.record.state == InstanceState::Down && instance.order.is_none() {
                continue;
            }
            balance.instances += 1;
            if instance.accepts_orders(now) && self.is_vacant(name) {
                balance.idle.push(name.clone());
            }
        }
        for (pool, balance) in &mut balances {
            let demand = self.fleet.demand.get(pool).copied().unwrap_or_default();
            let needed = demand.needed().instances(capacity) / USABLE_SHARE;
            let needed = needed.max(f64::from(demand.min_instances)) + f64::from(demand.evacuating);
            balance.desired = (needed + SPARE_INSTANCES).ceil() as usize;
        }
        balances
    }
}

impl PoolBalance {
    fn shortage(&self) -> f64 {
        let missing = self.desired.saturating_sub(self.instances) as f64;
        missing / self.desired.max(1) as f64
    }
}

/// Removes and returns an idle instance from standby, or else from the pool with the largest
/// surplus.
fn take_idle_instance(
    balances: &mut IndexMap<PoolName, PoolBalance>,
    standby: &PoolName,
) -> Option<(PoolName, InstanceName)> {
    if let Some(instance) = balances.get_mut(standby).and_then(|balance| balance.idle.pop()) {
        return Some((standby.clone(), instance));
    }
    let surplus = |balance: &PoolBalance| balance.instances.saturating_sub(balance.desired);
    let (name, balance) = balances
        .iter_mut()
        .filter(|(name, balance)| {
            *name != standby && surplus(balance) > 0 && !balance.idle.is_empty()
        })
        .max_by_key(|(_, balance)| surplus(balance))?;
    balance.idle.pop().map(|instance| (name.clone(), instance))
}
