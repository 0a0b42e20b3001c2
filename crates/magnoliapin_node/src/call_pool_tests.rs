//! Tests of the pool of connections.

use std::io::Read;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use magnoliapin_model::Moment;
use magnoliapin_site::CallFailure;
use magnoliapin_site::HttpCall;
use smol::LocalExecutor;
use smol::Timer;

use super::CallPool;
use super::CallTimes;
use super::MAX_CONNECTIONS;
use crate::call_deadlines::CallDeadlines;
use crate::clock::NodeClock;

/// Longest time that a test waits for a call.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the times of a call that may be sent until it fails.
fn times_until(deadline: Moment) -> CallTimes {
    CallTimes { send_by: deadline, deadline }
}

/// A process that was paused between the decision and the call must not send an order whose time
/// has passed: the tick that expires the call's deadline runs only afterwards.
#[test]
fn a_call_past_its_deadline_is_not_sent() {
    assert_not_sent(times_until(Moment::START));
}

/// Guards against an order that is sent late because its deadline was computed after a pause that
/// followed the decision.
#[test]
fn a_call_that_was_decided_long_ago_is_not_sent() {
    let deadline = NodeClock::new().now() + TEST_TIMEOUT;
    assert_not_sent(CallTimes { send_by: Moment::START, deadline });
}

/// Asserts that nothing is written to the connection of a call with these times.
fn assert_not_sent(times: CallTimes) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let executor = Rc::new(LocalExecutor::new());
    let pool = CallPool::new(Rc::clone(&executor), CallDeadlines::default(), NodeClock::new());
    let call = HttpCall { method: "POST", path: "/start".to_owned(), ..HttpCall::default() };
    let result = smol::block_on(executor.run(async {
        let call = async { Some(pool.call(address, call, times).await) };
        let timeout = async {
            Timer::after(TEST_TIMEOUT).await;
            None
        };
        call.or(timeout).await
    }));
    assert_eq!(result, Some(Err(CallFailure::NotDone)));
    drop(pool);
    let (mut stream, _) = listener.accept().expect("the connection of the call");
    stream.set_read_timeout(Some(Duration::from_millis(200))).expect("a timeout");
    let mut received = Vec::new();
    // Ends with a reset, an end of the stream or a timeout.
    let _ = stream.read_to_end(&mut received);
    assert_eq!(received, []);
}

#[test]
fn unused_connections_are_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the connection of the call");
        let mut request = [0; 1024];
        let _ = stream.read(&mut request);
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        std::io::Write::write_all(&mut stream, response).expect("the response is sent");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
        let mut rest = Vec::new();
        // The connection is reset, as its linger time is zero.
        stream.read_to_end(&mut rest).map_err(|error| error.kind())
    });
    let executor = Rc::new(LocalExecutor::new());
    let clock = NodeClock::new();
    let pool = CallPool::new(Rc::clone(&executor), CallDeadlines::default(), clock);
    let call = HttpCall { method: "GET", path: "/".to_owned(), ..HttpCall::default() };
    smol::block_on(executor.run(async {
        let deadline = clock.now() + TEST_TIMEOUT;
        assert!(pool.call(address, call, times_until(deadline)).await.is_ok());
        pool.close_idle(clock.now() + Duration::from_secs(1));
        assert_eq!(pool.endpoints.borrow()[&address].idle.len(), 1);
        pool.close_idle(clock.now() + Duration::from_secs(20));
        assert!(pool.endpoints.borrow().is_empty());
        // Lets the task of the connection end.
        Timer::after(Duration::from_millis(50)).await;
    }));
    let end = server.join().expect("the server ends");
    assert!(!matches!(end, Err(std::io::ErrorKind::WouldBlock)), "the connection stayed open");
}

/// Guards against a probe that waits behind calls to a server that was silent: each holds one of the
/// pool's connections until its timeout, long after the server answers again.
#[test]
fn a_call_on_a_new_connection_does_not_wait_for_silent_ones() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let accept = || listener.accept().expect("a connection").0;
        let silent_streams: Vec<_> = (0..MAX_CONNECTIONS).map(|_| accept()).collect();
        let mut stream = accept();
        let mut request = [0; 1024];
        let _ = stream.read(&mut request);
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        std::io::Write::write_all(&mut stream, response).expect("the response is sent");
        silent_streams.len()
    });
    let executor = Rc::new(LocalExecutor::new());
    let clock = NodeClock::new();
    let pool = CallPool::new(Rc::clone(&executor), CallDeadlines::default(), clock);
    let call = || HttpCall { method: "GET", path: "/".to_owned(), ..HttpCall::default() };
    let deadline = clock.now() + TEST_TIMEOUT;
    let result = smol::block_on(executor.run(async {
        // One more than there are connections, so that the last one waits.
        for _ in 0..=MAX_CONNECTIONS {
            let (pool, call) = (pool.clone(), call());
            executor
                .spawn(async move { pool.call(address, call, times_until(deadline)).await })
                .detach();
        }
        while pool.endpoints.borrow().get(&address).is_none_or(|first| first.waiters.is_empty()) {
            Timer::after(Duration::from_millis(1)).await;
        }
        let call = async {
            Some(pool.call_on_new_connection(address, call(), times_until(deadline)).await)
        };
        let timeout = async {
            Timer::after(TEST_TIMEOUT).await;
            None
        };
        call.or(timeout).await
    }));
    assert_eq!(result.map(|result| result.map(|response| response.status)), Some(Ok(200)));
    assert_eq!(pool.endpoints.borrow()[&address].idle.len(), 1);
    assert_eq!(server.join().expect("the server ends"), MAX_CONNECTIONS);
}
