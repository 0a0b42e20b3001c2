//! A target on a socket.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use error_stack::Report;
use magnoliapin_model::InstanceId;
use smol::Task;
use smol::Timer;

use crate::connection_board::lock;
use crate::http_server::HttpServer;
use crate::http_server::HttpService;
use crate::target_core::TargetCore;
use crate::StandinClock;
use crate::StandinError;
use crate::TargetMode;
use crate::TargetOptions;
use crate::TargetState;

const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
const DRAIN_POLL: Duration = Duration::from_millis(5);
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts target stand-ins.
pub struct TargetStandin;

impl TargetStandin {
    /// Starts to serve and to register at the platform, on the smol executor.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Listen`] if the address cannot be listened on.
    pub async fn start(options: TargetOptions) -> Result<TargetHandle, Report<StandinError>> {
        let listen = options.listen;
        let core = Arc::new(TargetCore::new(options));
        let service: Arc<dyn HttpService> = Arc::<TargetCore>::clone(&core);
        let server = HttpServer::start(listen, core.board(), service).await?;
        let ends = smol::spawn(Arc::clone(&core).end_tasks());
        let registration = smol::spawn(Arc::clone(&core).register(server.address()));
        Ok(TargetHandle { core, server, tasks: Mutex::new(vec![ends, registration]) })
    }
}

/// A running target stand-in; dropping it kills it.
pub struct TargetHandle {
    core: Arc<TargetCore>,
    server: HttpServer,
    tasks: Mutex<Vec<Task<()>>>,
}

impl TargetHandle {
    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the instance that hosts the target.
    pub fn instance(&self) -> InstanceId {
        self.core.instance()
    }

    /// Returns the tasks, leases and fences, with the ledger of effects.
    ///
    /// Only the stand-in itself may call [`TargetState::poll`] on it.
    pub fn state(&self) -> Arc<Mutex<TargetState>> {
        self.core.state()
    }

    /// Returns the clock of the target.
    pub fn clock(&self) -> StandinClock {
        self.core.clock()
    }

    /// Changes how the target behaves.
    pub fn set_mode(&self, mode: TargetMode) {
        self.core.set_mode(mode, None);
    }

    /// Closes the listener, drops every connection and lets no task end any more.
    pub async fn kill(&self) {
        self.cancel_tasks().await;
        self.server.kill().await;
        lock(&self.core.state()).halt(self.clock().now());
    }

    /// Refuses new tasks, waits for those that run and closes the listener.
    pub async fn stop(&self) {
        lock(&self.core.state()).set_draining(true);
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while self.core.is_busy() && Instant::now() < deadline {
            Timer::after(DRAIN_POLL).await;
        }
        self.server.stop(STOP_TIMEOUT).await;
        self.kill().await;
    }

    async fn cancel_tasks(&self) {
        let tasks = std::mem::take(&mut *lock(&self.tasks));
        for task in tasks {
            task.cancel().await;
        }
    }
}
