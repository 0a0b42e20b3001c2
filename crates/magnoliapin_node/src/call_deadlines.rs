//! Deadlines of all calls, checked by one timer.
//!
//! A separate timer for each call would wake the reactor once per call.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use magnoliapin_model::Moment;

/// Deadlines of all calls; clones share their state.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallDeadlines {
    registry: Rc<RefCell<DeadlineRegistry>>,
}

#[derive(Debug, Default)]
struct DeadlineRegistry {
    last_number: u64,
    pending: BTreeMap<(Moment, u64), Rc<DeadlineState>>,
}

#[derive(Debug, Default)]
struct DeadlineState {
    is_expired: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// A future that completes when its deadline has passed; dropping it removes the deadline.
#[derive(Debug)]
pub(crate) struct CallDeadline {
    key: (Moment, u64),
    state: Rc<DeadlineState>,
    registry: Rc<RefCell<DeadlineRegistry>>,
}

impl CallDeadlines {
    /// Adds a deadline.
    pub(crate) fn add(&self, at: Moment) -> CallDeadline {
        let mut registry = self.registry.borrow_mut();
        registry.last_number += 1;
        let key = (at, registry.last_number);
        let state = Rc::new(DeadlineState::default());
        registry.pending.insert(key, Rc::clone(&state));
        CallDeadline { key, state, registry: Rc::clone(&self.registry) }
    }

    /// Completes the deadlines that have passed.
    pub(crate) fn expire(&self, now: Moment) {
        loop {
            let first = self
                .registry
                .borrow_mut()
                .pending
                .first_entry()
                .and_then(|entry| (entry.key().0 <= now).then(|| entry.remove()));
            let Some(state) = first else { return };
            state.is_expired.set(true);
            if let Some(waker) = state.waker.take() {
                waker.wake();
            }
        }
    }
}

impl Future for CallDeadline {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.state.is_expired.get() {
            return Poll::Ready(());
        }
        *self.state.waker.borrow_mut() = Some(context.waker().clone());
        Poll::Pending
    }
}

impl Drop for CallDeadline {
    fn drop(&mut self) {
        self.registry.borrow_mut().pending.remove(&self.key);
    }
}
