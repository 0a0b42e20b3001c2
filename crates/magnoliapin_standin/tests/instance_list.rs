//! Lag, overdue registrations and orders of the instance list.

use std::time::Duration;

use magnoliapin_model::InstanceId;
use magnoliapin_model::Moment;
use magnoliapin_model::RackId;
use magnoliapin_model::RowVersion;
use magnoliapin_model::SlotCount;
use magnoliapin_model::TargetIncarnation;
use magnoliapin_model::ZoneId;
use magnoliapin_standin::InstanceList;
use magnoliapin_standin::OrderRefusal;
use magnoliapin_standin::GONE_RETENTION;
use magnoliapin_standin::REGISTRATION_TIMEOUT;
use magnoliapin_wire::InstanceOrder;
use magnoliapin_wire::InstanceRecord;
use magnoliapin_wire::ListedState;
use magnoliapin_wire::OrderAction;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn instance() -> InstanceId {
    InstanceId::new("i1").expect("a name")
}

fn record(incarnation: u64, state: ListedState) -> InstanceRecord {
    InstanceRecord {
        instance: instance(),
        zone: ZoneId::new("z1").expect("a name"),
        rack: RackId::new("r1").expect("a name"),
        pool: None,
        address: ([127, 0, 0, 1], 9).into(),
        run: TargetIncarnation(incarnation),
        slots: SlotCount(8),
        image: "one".to_owned(),
        state,
    }
}

fn order(incarnation: u64, epoch: u64, act: OrderAction) -> InstanceOrder {
    InstanceOrder { run: TargetIncarnation(incarnation), epoch: RowVersion(epoch), act }
}

#[test]
fn view_lags_behind_registrations() {
    let mut list = InstanceList::new().with_lag(Duration::from_secs(1));
    list.register(at(0), &record(1, ListedState::Live));
    assert!(list.view(at(999)).is_empty());
    assert_eq!(list.view(at(1000)), [record(1, ListedState::Live)]);
    list.register(at(1200), &record(1, ListedState::Leaving));
    assert_eq!(list.view(at(2199))[0].state, ListedState::Live);
    assert_eq!(list.view(at(2200))[0].state, ListedState::Leaving);
    assert_eq!(list.current()[0].state, ListedState::Leaving);
}

#[test]
fn overdue_instance_is_marked_gone_then_removed() {
    let mut list = InstanceList::new().with_lag(Duration::ZERO);
    list.register(at(0), &record(1, ListedState::Live));
    list.mark_overdue_gone(at(4999));
    assert_eq!(list.view(at(4999))[0].state, ListedState::Live);
    let overdue_at = Moment::START + REGISTRATION_TIMEOUT;
    list.mark_overdue_gone(overdue_at);
    assert_eq!(list.view(overdue_at)[0].state, ListedState::Gone);
    let refusal = list.order(instance(), order(1, 1, OrderAction::Drain));
    assert_eq!(refusal, Err(OrderRefusal::NoInstance));
    let removed_at = overdue_at + GONE_RETENTION;
    assert_eq!(list.view(removed_at.before(Duration::from_millis(1))).len(), 1);
    assert!(list.view(removed_at).is_empty());
}

#[test]
fn order_is_bound_to_incarnation_and_epoch() {
    let mut list = InstanceList::new();
    list.register(at(0), &record(1, ListedState::Live));
    let reboot = order(1, 5, OrderAction::Reboot { image: "two".to_owned() });
    assert_eq!(list.order(instance(), reboot.clone()), Ok(()));
    let old = list.order(instance(), order(1, 4, OrderAction::Undrain));
    assert_eq!(old, Err(OrderRefusal::StaleEpoch));
    assert_eq!(list.register(at(1), &record(1, ListedState::Live)), Some(reboot.clone()));
    assert_eq!(list.register(at(2), &record(1, ListedState::Live)), Some(reboot.clone()));
    assert_eq!(list.register(at(3), &record(2, ListedState::Live)), None);
    assert_eq!(list.order(instance(), reboot), Err(OrderRefusal::OtherIncarnation));
    assert_eq!(list.register(at(4), &record(2, ListedState::Live)), None);
}
