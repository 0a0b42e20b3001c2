//! A target over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use magnoliapin_model::InstanceId;
use smol::Task;
use smol::Timer;

use crate::connection_registry::lock;
use crate::http_server::HttpServer;
use crate::http_server::HttpService;
use crate::target_service::TargetService;
use crate::StandinClock;
use crate::StandinError;
use crate::TargetMode;
use crate::TargetOptions;
use crate::TargetState;

const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts target stand-ins.
pub struct TargetStandin;

impl TargetStandin {
    /// Starts serving, and registering at the platform, on the smol executor.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Listen`] if the address cannot be listened on.
    pub async fn start(options: TargetOptions) -> Result<TargetHandle, Report<StandinError>> {
        let listen = options.listen;
        let service = Arc::new(TargetService::new(options));
        let http_service: Arc<dyn HttpService> = Arc::<TargetService>::clone(&service);
        let server = HttpServer::start(listen, service.registry(), http_service).await?;
        let completion = smol::spawn(Arc::clone(&service).complete_tasks());
        let registration = smol::spawn(Arc::clone(&service).register(server.address()));
        Ok(TargetHandle {
            service,
            server,
            background_tasks: Mutex::new(vec![completion, registration]),
        })
    }
}

/// A running target stand-in; dropping it closes the listener and every connection.
pub struct TargetHandle {
    service: Arc<TargetService>,
    server: HttpServer,
    background_tasks: Mutex<Vec<Task<()>>>,
}

impl TargetHandle {
    /// Returns the local address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the instance that hosts the target.
    pub fn instance(&self) -> InstanceId {
        self.service.instance()
    }

    /// Returns the shared state of the target, including the effect ledger.
    ///
    /// Do not call [`TargetState::poll`] on it: the stand-in answers its clients with the results.
    pub fn state(&self) -> Arc<Mutex<TargetState>> {
        self.service.state()
    }

    /// Returns the clock of the target.
    pub fn clock(&self) -> StandinClock {
        self.service.clock()
    }

    /// Sets the fault mode of the target.
    pub fn set_mode(&self, mode: TargetMode) {
        self.service.set_mode(mode, None);
    }

    /// Closes the listener, aborts every connection and discards the running tasks.
    pub async fn kill(&self) {
        self.cancel_background_tasks().await;
        self.server.kill().await;
        lock(&self.service.state()).discard_running(self.clock().now());
    }

    /// Refuses new tasks, waits up to 10 s for the running ones and closes the listener.
    pub async fn stop(&self) {
        lock(&self.service.state()).set_draining(true);
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while self.service.is_busy() && Instant::now() < deadline {
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
        self.server.stop(STOP_TIMEOUT).await;
        self.kill().await;
    }

    async fn cancel_background_tasks(&self) {
        let tasks = std::mem::take(&mut *lock(&self.background_tasks));
        for task in tasks {
            task.cancel().await;
        }
    }
}
