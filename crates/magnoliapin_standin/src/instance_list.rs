//! The platform's lagging list of instances.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::TargetRun;
use magnoliapin_wire::InstanceOrder;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;

/// Time by which the list lags behind, unless set otherwise.
pub const DEFAULT_LAG: Duration = Duration::from_secs(1);

/// Time without a registration after which an instance has lapsed.
pub const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which an instance that is gone stays in the list.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);

/// Every instance that has registered, and a view of them that lags behind.
#[derive(Clone, Debug)]
pub struct InstanceList {
    lag: Duration,
    instances: IndexMap<InstanceId, ListedInstance>,
}

#[derive(Clone, Debug)]
struct ListedInstance {
    /// Changes of the record, oldest first; never empty.
    history: VecDeque<RecordChange>,
    last_seen: Moment,
    order: Option<PendingOrder>,
}

#[derive(Clone, Debug)]
struct RecordChange {
    at: Moment,
    record: InstanceRecord,
}

#[derive(Clone, Debug)]
struct PendingOrder {
    /// Run that the order is for; a newer run has carried it out.
    run: TargetRun,
    order: InstanceOrder,
}

impl Default for InstanceList {
    fn default() -> Self {
        Self::new()
    }
}

impl InstanceList {
    /// Makes an empty list with the default lag.
    pub fn new() -> Self {
        Self { lag: DEFAULT_LAG, instances: IndexMap::new() }
    }

    /// Sets the lag of the view.
    #[must_use]
    pub fn with_lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }

    /// Takes the registration of an instance and returns the order that waits for it.
    ///
    /// The order is returned at each registration until the instance comes with another run.
    pub fn register(&mut self, now: Moment, record: &InstanceRecord) -> Option<InstanceOrder> {
        let listed = self.instances.entry(record.instance).or_insert_with(ListedInstance::new);
        listed.last_seen = now;
        listed.change(now, record);
        listed.order.take_if(|pending| pending.run != record.run);
        listed.order.as_ref().map(|pending| pending.order.clone())
    }

    /// Takes an order for an instance and returns whether there is one to take it.
    pub fn order(&mut self, instance: InstanceId, order: InstanceOrder) -> bool {
        let Some(listed) = self.instances.get_mut(&instance) else {
            return false;
        };
        let Some(record) = listed.newest().filter(|record| record.state != ListedState::Gone)
        else {
            return false;
        };
        listed.order = Some(PendingOrder { run: record.run, order });
        true
    }

    /// Returns the instances that have not registered for [`REGISTRATION_TIMEOUT`].
    pub fn lapsed(&self, now: Moment) -> Vec<InstanceRecord> {
        self.instances
            .values()
            .filter(|listed| now >= listed.last_seen + REGISTRATION_TIMEOUT)
            .filter_map(ListedInstance::newest)
            .filter(|record| record.state != ListedState::Gone)
            .cloned()
            .collect()
    }

    /// Marks an instance as gone for good.
    pub fn mark_gone(&mut self, now: Moment, instance: InstanceId) {
        let Some(listed) = self.instances.get_mut(&instance) else {
            return;
        };
        let Some(record) = listed.newest() else {
            return;
        };
        let gone = InstanceRecord { state: ListedState::Gone, ..record.clone() };
        listed.order = None;
        listed.change(now, &gone);
    }

    /// Marks every lapsed instance as gone.
    pub fn expire(&mut self, now: Moment) {
        for record in self.lapsed(now) {
            self.mark_gone(now, record.instance);
        }
    }

    /// Returns the list as it was one lag ago.
    pub fn view(&mut self, now: Moment) -> Vec<InstanceRecord> {
        let seen = now.before(self.lag);
        self.instances.retain(|_, listed| !listed.is_forgotten(seen));
        for listed in self.instances.values_mut() {
            listed.forget_before(seen);
        }
        self.instances.values().filter_map(|listed| listed.record_at(seen)).cloned().collect()
    }

    /// Returns the list without its lag.
    pub fn current(&self) -> Vec<InstanceRecord> {
        self.instances.values().filter_map(ListedInstance::newest).cloned().collect()
    }
}

impl ListedInstance {
    fn new() -> Self {
        Self { history: VecDeque::new(), last_seen: Moment::START, order: None }
    }

    fn newest(&self) -> Option<&InstanceRecord> {
        self.history.back().map(|change| &change.record)
    }

    fn change(&mut self, now: Moment, record: &InstanceRecord) {
        if self.newest() != Some(record) {
            self.history.push_back(RecordChange { at: now, record: record.clone() });
        }
    }

    fn record_at(&self, seen: Moment) -> Option<&InstanceRecord> {
        self.history.iter().rev().find(|change| change.at <= seen).map(|change| &change.record)
    }

    fn forget_before(&mut self, seen: Moment) {
        while self.history.get(1).is_some_and(|change| change.at <= seen) {
            self.history.pop_front();
        }
    }

    fn is_forgotten(&self, seen: Moment) -> bool {
        self.history.back().is_some_and(|change| {
            change.record.state == ListedState::Gone && seen >= change.at + GONE_RETENTION
        })
    }
}
