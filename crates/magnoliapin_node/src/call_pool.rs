//! Makes calls, on connections that are kept for the next ones.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Sender;
use futures_lite::FutureExt;
use indexmap::IndexMap;
use magnoliapin_model::Moment;
use magnoliapin_site::CallFailure;
use magnoliapin_site::HttpAnswer;
use magnoliapin_site::HttpCall;
use smol::LocalExecutor;

use crate::call_deadlines::CallDeadlines;
use crate::connection::Connection;

/// Connections that are opened to one address at most.
const MOST_CONNECTIONS: usize = 8;

/// Makes calls.
#[derive(Clone, Debug)]
pub(crate) struct CallPool {
    executor: Rc<LocalExecutor<'static>>,
    deadlines: CallDeadlines,
    lanes: Rc<RefCell<IndexMap<SocketAddr, Lane>>>,
}

/// Connections to one address.
#[derive(Debug, Default)]
struct Lane {
    idle: Vec<Connection>,
    used: usize,
    /// Calls that wait for a connection.
    waiting: VecDeque<Sender<()>>,
}

impl CallPool {
    /// Makes a pool without connections.
    pub(crate) fn new(executor: Rc<LocalExecutor<'static>>, deadlines: CallDeadlines) -> Self {
        Self { executor, deadlines, lanes: Rc::default() }
    }

    /// Makes a call, which has failed at `deadline`.
    ///
    /// # Errors
    ///
    /// Returns whether the call may have been carried out.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        call: HttpCall,
        deadline: Moment,
    ) -> Result<HttpAnswer, CallFailure> {
        let deadline = self.deadlines.add(deadline);
        let sent = RefCell::new(false);
        let exchange = async {
            let place = self.take_place(address).await;
            let mut connection = match self.take_idle(address) {
                Some(connection) => connection,
                None => Connection::open(address, &self.executor)
                    .await
                    .map_err(|_| CallFailure::NotDone)?,
            };
            *sent.borrow_mut() = true;
            let answer = connection.exchange(address, call).await?;
            place.give_back(connection);
            Ok(answer)
        };
        let expired = async {
            deadline.await;
            // Other connections to the address may have gone silent like this one.
            if let Some(lane) = self.lanes.borrow_mut().get_mut(&address) {
                lane.idle.clear();
            }
            Err(if *sent.borrow() { CallFailure::Unknown } else { CallFailure::NotDone })
        };
        exchange.or(expired).await
    }

    /// Waits until one more connection may be used.
    async fn take_place(&self, address: SocketAddr) -> Place<'_> {
        let turn = {
            let mut lanes = self.lanes.borrow_mut();
            let lane = lanes.entry(address).or_default();
            if lane.used < MOST_CONNECTIONS {
                lane.used += 1;
                None
            } else {
                let (sender, receiver) = async_channel::bounded(1);
                lane.waiting.push_back(sender);
                Some(receiver)
            }
        };
        if let Some(turn) = turn {
            // The place is handed over, so it is counted already.
            let _ = turn.recv().await;
        }
        Place { pool: self, address }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut lanes = self.lanes.borrow_mut();
        let lane = lanes.get_mut(&address)?;
        while let Some(connection) = lane.idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }
}

/// The right to use a connection to an address.
struct Place<'p> {
    pool: &'p CallPool,
    address: SocketAddr,
}

impl Place<'_> {
    fn give_back(&self, connection: Connection) {
        if let Some(lane) = self.pool.lanes.borrow_mut().get_mut(&self.address) {
            lane.idle.push(connection);
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut lanes = self.pool.lanes.borrow_mut();
        let Some(lane) = lanes.get_mut(&self.address) else { return };
        while let Some(next) = lane.waiting.pop_front() {
            if next.try_send(()).is_ok() {
                return;
            }
        }
        lane.used -= 1;
    }
}
