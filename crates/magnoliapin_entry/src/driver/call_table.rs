//! The calls that one machine has in progress.

use std::future::Future;
use std::panic::AssertUnwindSafe;

use futures_lite::FutureExt;
use indexmap::IndexMap;
use magnoliapin_policy::CallId;
use magnoliapin_policy::EntryEvent;
use magnoliapin_wire::CallFailure;
use magnoliapin_wire::PlatformReply;
use magnoliapin_wire::TargetReply;
use smol::Task;

use crate::driver::DriverEvent;
use crate::driver::EntryDriver;
use crate::driver::MachineNumber;
use crate::metrics::ChildName;

/// Whom a call is made to; each has numbers of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum CallTarget {
    /// The platform's service.
    Platform,
    /// A target.
    Target,
}

/// The calls in progress. Dropping the table cancels them and closes their connections.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    tasks: IndexMap<(CallTarget, CallId), Task<()>>,
}

impl CallTable {
    /// Starts a call of the platform; a panic in it counts as an unknown outcome.
    pub(crate) fn start_platform(
        &mut self,
        driver: &EntryDriver,
        number: MachineNumber,
        call: CallId,
        reply: impl Future<Output = PlatformReply> + Send + 'static,
    ) {
        let metrics = driver.metrics.clone();
        let event = async move {
            let reply = AssertUnwindSafe(reply).catch_unwind().await.unwrap_or_else(|_| {
                metrics.count_restart(ChildName::PlatformCall);
                PlatformReply::Failed(CallFailure::Unknown)
            });
            EntryEvent::Platform { call, reply }
        };
        self.start(driver, number, (CallTarget::Platform, call), event);
    }

    /// Starts a call of a target; a panic in it counts as an unknown outcome.
    pub(crate) fn start_target(
        &mut self,
        driver: &EntryDriver,
        number: MachineNumber,
        call: CallId,
        reply: impl Future<Output = TargetReply> + Send + 'static,
    ) {
        let metrics = driver.metrics.clone();
        let event = async move {
            let reply = AssertUnwindSafe(reply).catch_unwind().await.unwrap_or_else(|_| {
                metrics.count_restart(ChildName::TargetCall);
                TargetReply::Failed(CallFailure::Unknown)
            });
            EntryEvent::Target { call, reply }
        };
        self.start(driver, number, (CallTarget::Target, call), event);
    }

    /// Forgets a call that has ended.
    pub(crate) fn remove(&mut self, target: CallTarget, call: CallId) {
        if let Some(task) = self.tasks.swap_remove(&(target, call)) {
            // Its only step left is to end; cancelling it here would gain nothing.
            task.detach();
        }
    }

    fn start(
        &mut self,
        driver: &EntryDriver,
        number: MachineNumber,
        key: (CallTarget, CallId),
        event: impl Future<Output = EntryEvent> + Send + 'static,
    ) {
        let replies = driver.replies.clone();
        let task = driver.spawner.spawn(async move {
            let event = event.await;
            // Fails only if the driver is gone, and then nobody needs the answer.
            let _ = replies.try_send(DriverEvent::Reply(number, event));
        });
        if let Some(task) = task {
            self.tasks.insert(key, task);
        }
    }
}
