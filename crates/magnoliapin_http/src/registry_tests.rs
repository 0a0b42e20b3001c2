//! Tests of the totals of a registry and of the order of evictions.

use std::future::Future;
use std::net::TcpListener;
use std::pin::pin;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use futures_lite::future;

use super::ClientRegistry;
use super::ConnectionSlot;
use crate::BytePriority;
use crate::ClientLimits;
use crate::LimitReason;

/// Longer than the time after which a connection without progress counts as slow.
const SLOW: Duration = Duration::from_millis(600);

fn registry(limits: ClientLimits) -> Arc<ClientRegistry> {
    Arc::new(ClientRegistry::new(limits))
}

/// Opens a connection and registers it.
fn connect(registry: &Arc<ClientRegistry>) -> Option<ConnectionSlot> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("an address");
    let stream = smol::block_on(smol::net::TcpStream::connect(address)).expect("it accepts");
    registry.register(stream)
}

/// Guards against refusing a new client while slow ones hold the connections, and against evicting
/// one whose request is being served.
#[test]
fn the_slowest_connection_is_evicted_first() {
    let registry = registry(ClientLimits { connections: 3, ..ClientLimits::default() });
    let [serving, slow, slower] = [(); 3].map(|()| connect(&registry).expect("a slot"));
    serving.monitor().start_request();
    slow.monitor().record_read(100);
    slow.monitor().record_read(100_000);
    slower.monitor().record_read(100);
    thread::sleep(SLOW);
    let fourth = connect(&registry).expect("a slot");
    assert_eq!(slower.monitor().end_reason(), Some(LimitReason::EvictedForConnection));
    let fifth = connect(&registry).expect("a slot");
    assert_eq!(slow.monitor().end_reason(), Some(LimitReason::EvictedForConnection));
    assert_eq!(serving.monitor().end_reason(), None);
    fourth.monitor().start_request();
    fifth.monitor().start_request();
    assert!(connect(&registry).is_none());
}

/// Guards against bodies beyond the total, and against a total that keeps a large body from being
/// read although nothing else happens.
#[test]
fn bodies_are_bounded_together_unless_there_is_one() {
    let registry = registry(ClientLimits { all_body_bytes: 1_000, ..ClientLimits::default() });
    let [large, second] = [(); 2].map(|()| connect(&registry).expect("a slot"));
    large.monitor().start_body();
    assert!(large.reserve(5_000, BytePriority::Shared), "it is alone");
    assert!(!second.reserve(10, BytePriority::Reserved), "the other one is not slow yet");
    thread::sleep(SLOW);
    assert!(second.reserve(10, BytePriority::Reserved));
    assert_eq!(large.monitor().end_reason(), Some(LimitReason::EvictedForBody));
    assert!(second.reserve(900, BytePriority::Shared), "it is alone");
    let third = connect(&registry).expect("a slot");
    assert!(!third.reserve(50, BytePriority::Shared), "a quarter is reserved");
    assert!(third.reserve(50, BytePriority::Reserved));
    drop((second, third));
    assert_eq!(registry.lock().used_bytes, 0);
}

/// Guards against requests that no longer count when their clients disconnect.
#[test]
fn detached_bytes_count_after_the_connection_has_closed() {
    let registry = registry(ClientLimits::default());
    let slot = connect(&registry).expect("a slot");
    assert!(slot.reserve(100, BytePriority::Shared));
    let charge = slot.detach(2);
    drop(slot);
    assert_eq!(registry.lock().used_bytes, 200);
    drop(charge);
    assert_eq!(registry.lock().used_bytes, 0);
}

/// Guards against a node that spends its processor time on waiting for an evicted connection that does
/// not close.
#[test]
fn waiting_for_evicted_connections_is_not_busy() {
    let registry = registry(ClientLimits { connections: 1, ..ClientLimits::default() });
    let evicted = connect(&registry).expect("a slot");
    let _new = connect(&registry).expect("a slot");
    assert_eq!(evicted.monitor().end_reason(), Some(LimitReason::EvictedForConnection));
    let mut polls = 0;
    smol::block_on(async {
        let mut settled = pin!(registry.settle());
        future::poll_fn(|context| {
            polls += 1;
            settled.as_mut().poll(context)
        })
        .await;
    });
    // The wait ends after 100 ms.
    assert!(polls <= 200, "polled {polls} times");
}

/// Guards against a connection of another node that is evicted in favor of unknown clients.
#[test]
fn trusted_connections_are_not_evicted() {
    let registry = registry(ClientLimits { connections: 1, ..ClientLimits::default() });
    let node = connect(&registry).expect("a slot");
    node.monitor().trust();
    assert!(connect(&registry).is_none());
    assert_eq!(node.monitor().end_reason(), None);
}

/// Guards against nodes that can no longer connect, because the connections of nodes that have gone
/// without closing them take all places.
#[test]
fn trusted_connections_without_frames_are_evicted_last() {
    let registry = registry(ClientLimits::default());
    let [node, unknown] = [(); 2].map(|()| connect(&registry).expect("a slot"));
    node.monitor().finish_request();
    node.monitor().trust();
    let now = Instant::now();
    assert_eq!(node.monitor().eviction_rank(now + Duration::from_secs(10)), None);
    let later = now + Duration::from_secs(70);
    let rank = node.monitor().eviction_rank(later).expect("it can be evicted");
    assert!(unknown.monitor().eviction_rank(later).expect("it can be evicted") < rank);
    node.monitor().start_body();
    assert_eq!(node.monitor().eviction_rank(later), None);
}

/// Guards against incomplete bodies that outlive the configuration that allowed them.
#[test]
fn a_lowered_limit_refuses_incomplete_bodies_only() {
    let registry = registry(ClientLimits::default());
    let [incomplete, complete] = [(); 2].map(|()| connect(&registry).expect("a slot"));
    for slot in [&incomplete, &complete] {
        slot.monitor().start_body();
        slot.announce(1_000);
    }
    complete.monitor().start_request();
    registry.set_limits(ClientLimits { body_bytes: 999, ..ClientLimits::default() });
    assert_eq!(incomplete.monitor().end_reason(), Some(LimitReason::LargeBody));
    assert_eq!(complete.monitor().end_reason(), None);
}
