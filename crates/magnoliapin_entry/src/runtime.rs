//! Threads that run the tasks of one entry; dropping the runtime drops all tasks at once.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::Weak;
use std::thread::Builder;
use std::thread::JoinHandle;

use error_stack::Report;
use error_stack::ResultExt;
use futures_lite::FutureExt;
use smol::Executor;
use smol::Task;

use crate::stop_signal::StopSignal;
use crate::EntryError;

/// Owns an executor and its threads. Dropping the runtime drops every task with its sockets.
#[derive(Debug)]
pub struct TaskRuntime {
    executor: Arc<Executor<'static>>,
    threads: Vec<JoinHandle<()>>,
    shutdown: StopSignal,
}

impl TaskRuntime {
    /// Starts `count` threads, at least one.
    ///
    /// # Errors
    ///
    /// Returns [`EntryError::Thread`] if a thread cannot be started.
    pub fn start(count: usize) -> Result<Self, Report<EntryError>> {
        let executor = Arc::new(Executor::new());
        let mut runtime = Self { executor, threads: Vec::new(), shutdown: StopSignal::new() };
        for number in 0..count.max(1) {
            let executor = Arc::clone(&runtime.executor);
            let shutdown = runtime.shutdown.clone();
            let thread = Builder::new()
                .name(format!("entry-{number}"))
                .spawn(move || run_tasks(&executor, &shutdown))
                .change_context(EntryError::Thread)?;
            runtime.threads.push(thread);
        }
        Ok(runtime)
    }

    /// Returns a handle for starting tasks, which does not keep the executor alive.
    pub fn spawner(&self) -> TaskSpawner {
        TaskSpawner { executor: Arc::downgrade(&self.executor) }
    }
}

impl Drop for TaskRuntime {
    fn drop(&mut self) {
        self.shutdown.raise();
        for thread in self.threads.drain(..) {
            // A thread that panicked has already stopped.
            let _ = thread.join();
        }
    }
}

/// Starts tasks on a [`TaskRuntime`].
#[derive(Clone, Debug)]
pub struct TaskSpawner {
    executor: Weak<Executor<'static>>,
}

impl TaskSpawner {
    /// Starts a task; dropping the result cancels it. Returns `None` if the runtime was dropped.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Option<Task<T>> {
        self.executor.upgrade().map(|executor| executor.spawn(future))
    }

    /// Starts a task that runs until it completes or the runtime is dropped.
    pub fn detach(&self, future: impl Future<Output = ()> + Send + 'static) {
        if let Some(task) = self.spawn(future) {
            task.detach();
        }
    }
}

fn run_tasks(executor: &Executor<'static>, shutdown: &StopSignal) {
    // A panic in a task unwinds into this loop, which then continues with the other tasks.
    while !shutdown.is_raised() {
        let run = AssertUnwindSafe(executor.run(shutdown.wait())).catch_unwind();
        if smol::block_on(run).is_err() {
            log::error!("event=task_panicked");
        }
    }
}
