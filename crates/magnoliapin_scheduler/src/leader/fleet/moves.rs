//! Moves instances to the pools that need them, and surplus instances to standby.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use magnoliapin_model::Moment;
use magnoliapin_site::InstanceName;
use magnoliapin_site::InstanceState;
use magnoliapin_site::PoolName;
use magnoliapin_site::Resources;
use magnoliapin_site::TargetState;

use super::max_unaccepted_orders;
use super::OrderKind;

use crate::decisions::pool_moves::plan_pool_moves;
use crate::decisions::pool_moves::PoolState;
use crate::leader::Leader;
use crate::outbox::Outbox;

/// Share of an instance's capacity that tasks can use, as their demands do not add up exactly.
const USABLE_SHARE: f64 = 0.85;
/// Number of instances that a pool keeps beyond its need.
const SPARE_INSTANCES: f64 = 1.0;
/// Time that a pool must have had a surplus before an instance leaves it: about the time in which
/// an instance on standby saves the cost of a move.
const SURPLUS_TIME: Duration = Duration::from_millis(1_500);

impl Leader {
    /// Orders moves of instances to pools that lack them, and of surplus instances to standby.
    pub(super) fn plan_moves(&mut self, out: &mut Outbox) {
        if !self.config.pools.values().any(|rule| rule.is_standby) || !self.may_order(out.now) {
            return;
        }
        let states = self.pool_states(out.now);
        let plan = plan_pool_moves(states, self.order_budget(out.now));
        for moved in plan.moves {
            self.plan_order(&moved.instance, OrderKind::Move(moved.pool), out);
        }
        let released: IndexSet<InstanceName> = plan.released.into_iter().collect();
        for name in &released {
            if let Some(key) = self.hosted_target(name) {
                self.fleet.reserved.insert(key);
            }
        }
        self.fleet.released = released;
    }

    fn pool_states(&mut self, now: Moment) -> Vec<PoolState> {
        let mut states: IndexMap<PoolName, PoolState> = IndexMap::new();
        for (name, rule) in &self.config.pools {
            let state = PoolState {
                name: name.clone(),
                is_standby: rule.is_standby,
                ..PoolState::default()
            };
            states.insert(name.clone(), state);
        }
        let mut capacity = Resources::NONE;
        let mut busy: IndexMap<&PoolName, Vec<(bool, u32, &InstanceName)>> = IndexMap::new();
        for (name, instance) in &self.fleet.instances {
            capacity = capacity.component_max(instance.record.capacity);
            if self.is_instance_evacuated(name) {
                continue;
            }
            let pool = match instance.order.as_ref().map(|order| &order.kind) {
                Some(OrderKind::Move(pool)) => pool,
                _ => &instance.record.pool,
            };
            let Some(state) = states.get_mut(pool) else { continue };
            if instance.record.state == InstanceState::Down && instance.order.is_none() {
                continue;
            }
            state.instances += 1;
            if !instance.accepts_orders(now) {
                continue;
            }
            if self.is_vacant(name) {
                state.idle.push(name.clone());
            } else if let Some(used) = self.releasable_use(name) {
                // Those that were released before stay so, as they will be idle soonest.
                let is_new = !self.fleet.released.contains(name);
                busy.entry(pool).or_default().push((is_new, used, name));
            }
        }
        for (pool, mut instances) in busy {
            instances.sort_unstable();
            let names = instances.into_iter().map(|(_, _, name)| name.clone());
            states[pool].releasable = names.collect();
        }
        for (name, state) in &mut states {
            let demand = self.fleet.demand.entry(name.clone()).or_default();
            let evacuating = f64::from(demand.evacuating);
            let min_instances = f64::from(demand.min_instances);
            let instances = |amount: f64| {
                let needed = (amount / USABLE_SHARE).max(min_instances);
                (needed + evacuating + SPARE_INSTANCES).ceil() as usize
            };
            state.needed = instances(demand.needed_in_time().instances(capacity));
            state.needed_with_backlog = instances(demand.needed().instances(capacity));
            let has_surplus = state.instances > state.needed_with_backlog;
            let since = demand.update_surplus(has_surplus, now);
            state.has_lasting_surplus = since.is_some_and(|at| now.since(at) >= SURPLUS_TIME);
        }
        states.into_values().collect()
    }

    /// Returns the CPU in use on an instance that can be kept from new work until it is idle; `None`
    /// if its tasks do not end by themselves or it is leaving anyway.
    fn releasable_use(&self, name: &InstanceName) -> Option<u32> {
        let key = self.hosted_target(name)?;
        let target = self.targets.get(&key)?;
        let ends_by_itself = !target.runs.values().any(|run| run.is_long_running);
        let is_free = target.record.state == TargetState::Ready
            && !self.fleet.reserved.contains(&key)
            && target.has_reported;
        (ends_by_itself && is_free).then_some(target.used.cpu_milli)
    }

    /// Returns how many orders may be given now.
    fn order_budget(&mut self, now: Moment) -> usize {
        self.fleet.recent_orders.retain(|at| now.since(*at) < Duration::from_secs(1));
        let rate = self.identity.instance_orders_per_s;
        let by_rate = (rate as usize).saturating_sub(self.fleet.recent_orders.len());
        by_rate.min(max_unaccepted_orders(rate).saturating_sub(self.fleet.unaccepted_orders))
    }
}
