//! Calls in progress of one machine.

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

/// Destination of a call; call numbers are unique per destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum CallDestination {
    /// The platform's service.
    Platform,
    /// A target.
    Target,
}

/// Calls in progress. Dropping the table cancels them and closes their connections.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    tasks: IndexMap<(CallDestination, CallId), Task<()>>,
}

impl CallTable {
    /// Starts a call to the platform; a panic in the call is reported as an unknown outcome.
    pub(crate) fn start_platform_call(
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
        self.start(driver, number, (CallDestination::Platform, call), event);
    }

    /// Starts a call to a target; a panic in the call is reported as an unknown outcome.
    pub(crate) fn start_target_call(
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
        self.start(driver, number, (CallDestination::Target, call), event);
    }

    /// Removes a completed call.
    pub(crate) fn remove(&mut self, destination: CallDestination, call: CallId) {
        if let Some(task) = self.tasks.swap_remove(&(destination, call)) {
            // The task has sent its reply and is about to finish; cancelling it would gain nothing.
            task.detach();
        }
    }

    fn start(
        &mut self,
        driver: &EntryDriver,
        number: MachineNumber,
        key: (CallDestination, CallId),
        event: impl Future<Output = EntryEvent> + Send + 'static,
    ) {
        let replies = driver.replies.clone();
        let task = driver.spawner.spawn(async move {
            let event = event.await;
            // Fails only if the event channel is closed, and then the reply is not needed.
            let _ = replies.try_send(DriverEvent::Reply(number, event));
        });
        if let Some(task) = task {
            self.tasks.insert(key, task);
        }
    }
}
