//! The platform's instance list, which lags behind registrations.

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

/// Default lag of the list.
pub const DEFAULT_LAG: Duration = Duration::from_secs(1);

/// Time since the last registration after which an instance is overdue.
pub const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which an instance stays listed as gone.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);

/// Registered instances, with a view that lags behind the registrations.
#[derive(Clone, Debug)]
pub struct InstanceList {
    lag: Duration,
    instances: IndexMap<InstanceId, ListedInstance>,
}

#[derive(Clone, Debug)]
struct ListedInstance {
    /// Changes of the record, oldest first; never empty after the first registration.
    history: VecDeque<RecordChange>,
    last_registration_at: Moment,
    order: Option<InstanceOrder>,
    /// Highest epoch of an accepted order.
    order_epoch: RowVersion,
}

#[derive(Clone, Debug)]
struct RecordChange {
    at: Moment,
    record: InstanceRecord,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRefusal {
    /// The instance is not listed or is gone.
    NoInstance,
    /// The order is for another incarnation of the instance.
    OtherIncarnation,
    /// An order with a higher epoch was accepted before.
    StaleEpoch,
}

impl fmt::Display for OrderRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::NoInstance => "the instance is not listed or is gone",
            Self::OtherIncarnation => "the order is for another incarnation of the instance",
            Self::StaleEpoch => "an order with a higher epoch was already accepted",
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
    /// Creates an empty list with the default lag.
    pub fn new() -> Self {
        Self { lag: DEFAULT_LAG, instances: IndexMap::new() }
    }

    /// Sets the lag of the view.
    #[must_use]
    pub fn with_lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }

    /// Registers an instance and returns its pending order.
    ///
    /// The order is returned at each registration until the instance registers another incarnation.
    pub fn register(&mut self, now: Moment, record: &InstanceRecord) -> Option<InstanceOrder> {
        let listed = self.instances.entry(record.instance).or_insert_with(ListedInstance::new);
        listed.last_registration_at = now;
        listed.update_record(now, record);
        listed.order.take_if(|order| order.run != record.run);
        listed.order.clone()
    }

    /// Stores an order for an instance, replacing its pending one.
    ///
    /// # Errors
    ///
    /// Returns an [`OrderRefusal`] if the instance is not listed or is gone, if the order is for
    /// another incarnation, or if an order with a higher epoch was accepted.
    pub fn order(
        &mut self,
        instance: InstanceId,
        order: InstanceOrder,
    ) -> Result<(), OrderRefusal> {
        let listed = self.instances.get_mut(&instance).ok_or(OrderRefusal::NoInstance)?;
        let record = listed.latest().filter(|record| record.state != ListedState::Gone);
        let record = record.ok_or(OrderRefusal::NoInstance)?;
        if record.run != order.run {
            return Err(OrderRefusal::OtherIncarnation);
        }
        if order.epoch < listed.order_epoch {
            return Err(OrderRefusal::StaleEpoch);
        }
        listed.order_epoch = order.epoch;
        listed.order = Some(order);
        Ok(())
    }

    /// Returns the instances that have not registered for [`REGISTRATION_TIMEOUT`].
    pub fn overdue(&self, now: Moment) -> Vec<InstanceRecord> {
        self.instances
            .values()
            .filter(|listed| now >= listed.last_registration_at + REGISTRATION_TIMEOUT)
            .filter_map(ListedInstance::latest)
            .filter(|record| record.state != ListedState::Gone)
            .cloned()
            .collect()
    }

    /// Marks an instance as gone and discards its pending order.
    pub fn mark_gone(&mut self, now: Moment, instance: InstanceId) {
        let Some(listed) = self.instances.get_mut(&instance) else {
            return;
        };
        let Some(record) = listed.latest() else {
            return;
        };
        let gone = InstanceRecord { state: ListedState::Gone, ..record.clone() };
        listed.order = None;
        listed.update_record(now, &gone);
    }

    /// Marks every overdue instance as gone.
    pub fn mark_overdue_gone(&mut self, now: Moment) {
        for record in self.overdue(now) {
            self.mark_gone(now, record.instance);
        }
    }

    /// Returns the list as of one lag ago, and prunes what no later view can show.
    pub fn view(&mut self, now: Moment) -> Vec<InstanceRecord> {
        let lag = self.lag;
        self.instances.retain(|_, listed| now < listed.removed_at() + lag);
        for listed in self.instances.values_mut() {
            listed.prune_history(now, lag);
        }
        self.instances.values().filter_map(|listed| listed.record_at(now, lag)).cloned().collect()
    }

    /// Returns the list without the lag.
    pub fn current(&self) -> Vec<InstanceRecord> {
        self.instances.values().filter_map(ListedInstance::latest).cloned().collect()
    }
}

impl ListedInstance {
    fn new() -> Self {
        Self {
            history: VecDeque::new(),
            last_registration_at: Moment::START,
            order: None,
            order_epoch: RowVersion(0),
        }
    }

    fn latest(&self) -> Option<&InstanceRecord> {
        self.history.back().map(|change| &change.record)
    }

    fn update_record(&mut self, now: Moment, record: &InstanceRecord) {
        if self.latest() != Some(record) {
            self.history.push_back(RecordChange { at: now, record: record.clone() });
        }
    }

    fn record_at(&self, now: Moment, lag: Duration) -> Option<&InstanceRecord> {
        let visible = self.history.iter().rev().find(|change| now >= change.at + lag);
        visible.map(|change| &change.record)
    }

    fn prune_history(&mut self, now: Moment, lag: Duration) {
        while self.history.get(1).is_some_and(|change| now >= change.at + lag) {
            self.history.pop_front();
        }
    }

    fn removed_at(&self) -> Moment {
        let latest = self.history.back();
        latest
            .filter(|change| change.record.state == ListedState::Gone)
            .map_or(Moment(u64::MAX), |change| change.at + GONE_RETENTION)
    }
}
