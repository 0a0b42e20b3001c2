//! Deadlines of all calls, checked by one timer.
//!
//! A timer of its own for each call would cost the reactor a wake-up each.

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

/// Deadlines of all calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallDeadlines {
    state: Rc<RefCell<DeadlineBook>>,
}

#[derive(Debug, Default)]
struct DeadlineBook {
    last_number: u64,
    open: BTreeMap<(Moment, u64), Rc<DeadlineFlag>>,
}

#[derive(Debug, Default)]
struct DeadlineFlag {
    is_over: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// Completes when its moment has passed.
#[derive(Debug)]
pub(crate) struct CallDeadline {
    key: (Moment, u64),
    flag: Rc<DeadlineFlag>,
    state: Rc<RefCell<DeadlineBook>>,
}

impl CallDeadlines {
    /// Adds a deadline.
    pub(crate) fn add(&self, at: Moment) -> CallDeadline {
        let mut book = self.state.borrow_mut();
        book.last_number += 1;
        let key = (at, book.last_number);
        let flag = Rc::new(DeadlineFlag::default());
        book.open.insert(key, Rc::clone(&flag));
        CallDeadline { key, flag, state: Rc::clone(&self.state) }
    }

    /// Ends the deadlines that have passed.
    pub(crate) fn expire(&self, now: Moment) {
        loop {
            let first = self
                .state
                .borrow_mut()
                .open
                .first_entry()
                .and_then(|entry| (entry.key().0 <= now).then(|| entry.remove()));
            let Some(flag) = first else { return };
            flag.is_over.set(true);
            if let Some(waker) = flag.waker.take() {
                waker.wake();
            }
        }
    }
}

impl Future for CallDeadline {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.flag.is_over.get() {
            return Poll::Ready(());
        }
        *self.flag.waker.borrow_mut() = Some(context.waker().clone());
        Poll::Pending
    }
}

impl Drop for CallDeadline {
    fn drop(&mut self) {
        self.state.borrow_mut().open.remove(&self.key);
    }
}
