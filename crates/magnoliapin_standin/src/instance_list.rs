//! The platform's lagging list of instances.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;
use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::RowVersion;
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
    order: Option<InstanceOrder>,
    /// Highest epoch of an order that was taken.
    epoch: RowVersion,
}

#[derive(Clone, Debug)]
struct RecordChange {
    at: Moment,
    record: InstanceRecord,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// No such instance is listed, or it is gone.
    NoInstance,
    /// The order is meant for another run.
    OtherRun,
    /// An order with a higher epoch was taken before.
    OldEpoch,
}

impl fmt::Display for OrderRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::NoInstance => "the instance is not listed or is gone",
            Self::OtherRun => "the instance is in another run",
            Self::OldEpoch => "the instance took an order with a higher epoch",
        })
    }
}

impl std::error::Error for OrderRefusal {}

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
        listed.order.take_if(|order| order.run != record.run);
        listed.order.clone()
    }

    /// Takes an order for an instance.
    ///
    /// # Errors
    ///
    /// Returns an [`OrderRefusal`] if the instance is not there, is in another run, or took an
    /// order with a higher epoch.
    pub fn order(
        &mut self,
        instance: InstanceId,
        order: InstanceOrder,
    ) -> Result<(), OrderRefusal> {
        let listed = self.instances.get_mut(&instance).ok_or(OrderRefusal::NoInstance)?;
        let record = listed.newest().filter(|record| record.state != ListedState::Gone);
        let record = record.ok_or(OrderRefusal::NoInstance)?;
        if record.run != order.run {
            return Err(OrderRefusal::OtherRun);
        }
        if order.epoch < listed.epoch {
            return Err(OrderRefusal::OldEpoch);
        }
        listed.epoch = order.epoch;
        listed.order = Some(order);
        Ok(())
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
        let lag = self.lag;
        self.instances.retain(|_, listed| now < listed.forgotten_at() + lag);
        for listed in self.instances.values_mut() {
            listed.forget_history(now, lag);
        }
        self.instances.values().filter_map(|listed| listed.record_at(now, lag)).cloned().collect()
    }

    /// Returns the list without its lag.
    pub fn current(&self) -> Vec<InstanceRecord> {
        self.instances.values().filter_map(ListedInstance::newest).cloned().collect()
    }
}

impl ListedInstance {
    fn new() -> Self {
        Self {
            history: VecDeque::new(),
            last_seen: Moment::START,
            order: None,
            epoch: RowVersion(0),
        }
    }

    fn newest(&self) -> Option<&InstanceRecord> {
        self.history.back().map(|change| &change.record)
    }

    fn change(&mut self, now: Moment, record: &InstanceRecord) {
        if self.newest() != Some(record) {
            self.history.push_back(RecordChange { at: now, record: record.clone() });
        }
    }

    fn record_at(&self, now: Moment, lag: Duration) -> Option<&InstanceRecord> {
        let visible = self.history.iter().rev().find(|change| now >= change.at + lag);
        visible.map(|change| &change.record)
    }

    fn forget_history(&mut self, now: Moment, lag: Duration) {
        while self.history.get(1).is_some_and(|change| now >= change.at + lag) {
            self.history.pop_front();
        }
    }

    fn forgotten_at(&self) -> Moment {
        let newest = self.history.back();
        newest
            .filter(|change| change.record.state == ListedState::Gone)
            .map_or(Moment(u64::MAX), |change| change.at + GONE_RETENTION)
    }
}
