//! A pool of HTTP connections that are reused for further calls.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use futures_lite::FutureExt;
use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_site::CallFailure;
use magnoliapin_site::HttpCall;
use magnoliapin_site::HttpResponse;
use smol::LocalExecutor;

use crate::call_deadlines::CallDeadlines;
use crate::clock::NodeClock;
use crate::connection::Connection;

#[cfg(test)]
#[path = "call_pool_tests.rs"]
mod tests;

/// Maximum number of open connections to one address.
const MAX_CONNECTIONS: usize = 8;
/// Time after which an unused connection is closed; longer than the pause between two heartbeats
/// of a target.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);
/// Time between two searches for unused connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two log lines about calls that waited in vain for a connection.
const STARVATION_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time bounds of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimes {
    /// The call is not sent from this moment on, which counts from the decision to make it.
    pub(crate) send_by: Moment,
    /// The call fails at this moment.
    pub(crate) deadline: Moment,
}

/// Makes HTTP calls on pooled connections; clones share the pool.
#[derive(Clone, Debug)]
pub(crate) struct CallPool {
    executor: Rc<LocalExecutor<'static>>,
    deadlines: CallDeadlines,
    clock: NodeClock,
    endpoints: Rc<RefCell<IndexMap<SocketAddr, Endpoint>>>,
    next_idle_check_at: Rc<Cell<Moment>>,
}

/// Connections to one address.
#[derive(Debug, Default)]
struct Endpoint {
    /// Unused connections, each with the moment of its last use.
    idle: Vec<(Moment, Connection)>,
    /// Permits that are in use.
    in_use: usize,
    /// Calls that wait for a permit, in the order of their arrival.
    waiters: VecDeque<Sender<()>>,
    /// Earliest time of the next log line about calls that waited in vain.
    next_log_at: Moment,
}

impl Endpoint {
    /// Logs that a call has expired while it waited for a connection, at most once a second.
    fn log_starvation(&mut self, address: SocketAddr, now: Moment) {
        if now >= self.next_log_at {
            self.next_log_at = now + STARVATION_LOG_INTERVAL;
            log::warn!(
                "event=call_without_connection address={address} in_use={} waiting={}",
                self.in_use,
                self.waiters.len()
            );
        }
    }
}

impl CallPool {
    /// Creates a pool without connections.
    pub(crate) fn new(
        executor: Rc<LocalExecutor<'static>>,
        deadlines: CallDeadlines,
        clock: NodeClock,
    ) -> Self {
        Self {
            executor,
            deadlines,
            clock,
            endpoints: Rc::default(),
            next_idle_check_at: Rc::default(),
        }
    }

    /// Closes the connections that have not been used for a while.
    pub(crate) fn close_idle(&self, now: Moment) {
        if now < self.next_idle_check_at.get() {
            return;
        }
        self.next_idle_check_at.set(now + IDLE_CHECK_INTERVAL);
        self.endpoints.borrow_mut().retain(|_, endpoint| {
            endpoint.idle.retain(|(used_at, _)| now.since(*used_at) < MAX_IDLE_TIME);
            !endpoint.idle.is_empty() || endpoint.in_use > 0
        });
    }

    /// Makes a call within `times`.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the call may have been carried out.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        call: HttpCall,
        times: CallTimes,
    ) -> Result<HttpResponse, CallFailure> {
        let deadline = self.deadlines.add(times.deadline);
        let has_permit = Cell::new(false);
        let is_sent = Cell::new(false);
        let exchange = async {
            let permit = self.acquire_permit(address).await;
            has_permit.set(true);
            let mut connection = match self.take_idle(address) {
                Some(connection) => connection,
                None => Connection::open(address, &self.executor)
                    .await
                    .map_err(|_| CallFailure::NotDone)?,
            };
            self.check_may_send(&times)?;
            is_sent.set(true);
            let response = connection.exchange(address, call).await?;
            permit.return_connection(connection);
            Ok(response)
        };
        let expired = async {
            deadline.await;
            // Other connections to the address may be unresponsive too.
            if let Some(endpoint) = self.endpoints.borrow_mut().get_mut(&address) {
                endpoint.idle.clear();
                if !has_permit.get() {
                    endpoint.log_starvation(address, self.clock.now());
                }
            }
            Err(if is_sent.get() { CallFailure::Unknown } else { CallFailure::NotDone })
        };
        exchange.or(expired).await
    }

    /// Makes a call on a new connection at once, whatever the others wait for. If it succeeds, the
    /// connection replaces the unused ones, which may have gone silent.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the call may have been carried out.
    pub(crate) async fn call_on_new_connection(
        &self,
        address: SocketAddr,
        call: HttpCall,
        times: CallTimes,
    ) -> Result<HttpResponse, CallFailure> {
        let deadline = self.deadlines.add(times.deadline);
        let is_sent = Cell::new(false);
        let exchange = async {
            let mut connection = Connection::open(address, &self.executor)
                .await
                .map_err(|_| CallFailure::NotDone)?;
            self.check_may_send(&times)?;
            is_sent.set(true);
            let response = connection.exchange(address, call).await?;
            let mut endpoints = self.endpoints.borrow_mut();
            endpoints.entry(address).or_default().idle = vec![(self.clock.now(), connection)];
            Ok(response)
        };
        let expired = async {
            deadline.await;
            Err(if is_sent.get() { CallFailure::Unknown } else { CallFailure::NotDone })
        };
        exchange.or(expired).await
    }

    /// Checks the clock again just before a call is sent, as the process may have been paused since
    /// the call was decided.
    fn check_may_send(&self, times: &CallTimes) -> Result<(), CallFailure> {
        let now = self.clock.now();
        match now < times.send_by && now < times.deadline {
            true => Ok(()),
            false => Err(CallFailure::NotDone),
        }
    }

    /// Waits until another connection may be used.
    async fn acquire_permit(&self, address: SocketAddr) -> ConnectionPermit<'_> {
        let handover = {
            let mut endpoints = self.endpoints.borrow_mut();
            let endpoint = endpoints.entry(address).or_default();
            if endpoint.in_use < MAX_CONNECTIONS {
                endpoint.in_use += 1;
                None
            } else {
                let (sender, receiver) = async_channel::bounded(1);
                endpoint.waiters.push_back(sender);
                Some(receiver)
            }
        };
        if let Some(handover) = handover {
            // A dropped permit is handed over, so it is already counted in `in_use`.
            let _ = handover.recv().await;
        }
        ConnectionPermit { pool: self, address }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut endpoints = self.endpoints.borrow_mut();
        let endpoint = endpoints.get_mut(&address)?;
        while let Some((_, connection)) = endpoint.idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }
}

/// Permission to use a connection to an address; dropping it hands it to the next waiter.
struct ConnectionPermit<'p> {
    pool: &'p CallPool,
    address: SocketAddr,
}

impl ConnectionPermit<'_> {
    /// Returns a usable connection to the pool.
    fn return_connection(&self, connection: Connection) {
        if let Some(endpoint) = self.pool.endpoints.borrow_mut().get_mut(&self.address) {
            endpoint.idle.push((self.pool.clock.now(), connection));
        }
    }
}

impl Drop for ConnectionPermit<'_> {
    fn drop(&mut self) {
        let mut endpoints = self.pool.endpoints.borrow_mut();
        let Some(endpoint) = endpoints.get_mut(&self.address) else { return };
        while let Some(waiter) = endpoint.waiters.pop_front() {
            if waiter.try_send(()).is_ok() {
                return;
            }
        }
        endpoint.in_use -= 1;
    }
}
