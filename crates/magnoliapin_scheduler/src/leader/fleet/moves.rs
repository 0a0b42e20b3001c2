//! Moves instances to the pools that need them, and those that none needs to standby.

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

/// Part of an instance's room that tasks fill, as they do not fit each other exactly.
const FILL: f64 = 0.85;
/// Instances that a pool keeps beyond what it needs.
const SPARE_INSTANCES: f64 = 1.0;
/// How long a pool must have had too many instances before one leaves it: about the time in which
/// an instance on standby saves what a move costs.
const SURPLUS_TIME: Duration = Duration::from_millis(1_500);

/// How a pool stands.
#[derive(Clone, Debug, Default)]
struct PoolStand {
    /// Instances that it has or that are on their way to it.
    instances: usize,
    wanted: usize,
    /// Instances without any runs, which can leave at once.
    idle: Vec<InstanceName>,
}

impl Leader {
    /// Moves instances between the pools.
    pub(super) fn plan_moves(&mut self, out: &mut Outbox) {
        let Some(standby) = self.standby_pool() else { return };
        let mut stands = self.pool_stands(out.now);
        let wants = |stands: &IndexMap<PoolName, PoolStand>| {
            let short = stands
                .iter()
                .filter(|(name, stand)| **name != standby && stand.wanted > stand.instances);
            // The pool that lacks the largest part of what it needs comes first.
            short
                .max_by(|(_, one), (_, other)| one.shortage().total_cmp(&other.shortage()))
                .map(|(name, _)| name.clone())
        };
        while let Some(pool) = wants(&stands) {
            if !self.may_order(out.now) || !self.has_order_room(out.now) {
                return;
            }
            let Some((from, instance)) = take_giver(&mut stands, &standby) else { break };
            self.order(&instance, OrderKind::Move(pool.clone()), out);
            if let Some(stand) = stands.get_mut(&from) {
                stand.instances -= 1;
            }
            if let Some(stand) = stands.get_mut(&pool) {
                stand.instances += 1;
            }
        }
        self.park(&stands, &standby, out);
    }

    /// Sends idle instances to standby that their pool has not needed for a while.
    fn park(
        &mut self,
        stands: &IndexMap<PoolName, PoolStand>,
        standby: &PoolName,
        out: &mut Outbox,
    ) {
        for (pool, stand) in stands {
            if pool == standby {
                continue;
            }
            let surplus = stand.instances.saturating_sub(stand.wanted);
            let now = out.now;
            let since =
                self.fleet.demand.entry(pool.clone()).or_default().surplus_since(surplus > 0, now);
            if surplus == 0 || since.is_none_or(|since| now.since(since) < SURPLUS_TIME) {
                continue;
            }
            for instance in stand.idle.iter().take(surplus) {
                if !self.may_order(now) || !self.has_order_room(now) {
                    return;
                }
                self.order(instance, OrderKind::Move(standby.clone()), out);
            }
        }
    }

    fn standby_pool(&self) -> Option<PoolName> {
        let mut pools = self.config.pools.iter();
        pools.find(|(_, rule)| rule.is_standby).map(|(name, _)| name.clone())
    }

    fn pool_stands(&self, now: Moment) -> IndexMap<PoolName, PoolStand> {
        let mut stands: IndexMap<PoolName, PoolStand> = IndexMap::new();
        for pool in self.config.pools.keys() {
            stands.insert(pool.clone(), PoolStand::default());
        }
        let mut capacity = Resources::NONE;
        for (name, instance) in &self.fleet.instances {
            capacity = capacity.or_more(instance.record.capacity);
            let pool = match instance.order.as_ref().map(|order| &order.kind) {
                Some(OrderKind::Move(pool)) => pool,
                _ => &instance.record.pool,
            };
            let Some(stand) = stands.get_mut(pool) else { continue };
            if instance.record.state == InstanceState::Down && instance.order.is_none() {
                continue;
            }
            stand.instances += 1;
            if instance.is_free(now) && self.is_vacant(name) {
                stand.idle.push(name.clone());
            }
        }
        for (pool, stand) in &mut stands {
            let demand = self.fleet.demand.get(pool).copied().unwrap_or_default();
            let needed = demand.needed().instances(capacity) / FILL;
            let needed = needed.max(f64::from(demand.apart)) + f64::from(demand.leaving);
            stand.wanted = (needed + SPARE_INSTANCES).ceil() as usize;
        }
        stands
    }
}

impl PoolStand {
    fn shortage(&self) -> f64 {
        let missing = self.wanted.saturating_sub(self.instances) as f64;
        missing / self.wanted.max(1) as f64
    }
}

/// Takes an idle instance from standby, or else from the pool with the largest surplus.
fn take_giver(
    stands: &mut IndexMap<PoolName, PoolStand>,
    standby: &PoolName,
) -> Option<(PoolName, InstanceName)> {
    if let Some(instance) = stands.get_mut(standby).and_then(|stand| stand.idle.pop()) {
        return Some((standby.clone(), instance));
    }
    let surplus = |stand: &PoolStand| stand.instances.saturating_sub(stand.wanted);
    let (name, stand) = stands
        .iter_mut()
        .filter(|(name, stand)| *name != standby && surplus(stand) > 0 && !stand.idle.is_empty())
        .max_by_key(|(_, stand)| surplus(stand))?;
    stand.idle.pop().map(|instance| (name.clone(), instance))
}
