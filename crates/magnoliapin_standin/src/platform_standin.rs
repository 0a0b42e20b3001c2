//! The platform's service over HTTP.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use error_stack::Report;
use futures_lite::future;
use smol::net::TcpStream;
use smol::Task;
use smol::Timer;

use crate::connection_registry::lock;
use crate::connection_registry::ConnectionRegistry;
use crate::http_response::HttpOutcome;
use crate::http_response::HttpRequest;
use crate::http_response::HttpResponse;
use crate::http_server::HttpServer;
use crate::http_server::HttpService;
use crate::platform_call::PlatformCall;
use crate::CallOutcome;
use crate::InstanceList;
use crate::PlatformMode;
use crate::PlatformState;
use crate::StandinClock;
use crate::StandinError;
use crate::DEFAULT_LAG;

const MAX_CONNECTIONS: usize = 4096;
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of a platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Lag of the instance list.
    pub lag: Duration,
    /// Seed of the random faults.
    pub seed: u64,
    /// Clock that times registrations.
    pub clock: StandinClock,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            lag: DEFAULT_LAG,
            seed: 0,
            clock: StandinClock::new(),
        }
    }
}

impl PlatformOptions {
    /// Sets the address to listen on.
    #[must_use]
    pub fn with_listen(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Sets the lag of the instance list.
    #[must_use]
    pub fn with_lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }

    /// Sets the seed of the random faults.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the clock.
    #[must_use]
    pub fn with_clock(mut self, clock: StandinClock) -> Self {
        self.clock = clock;
        self
    }
}

/// Starts platform stand-ins.
pub struct PlatformStandin;

impl PlatformStandin {
    /// Starts serving on the smol executor.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Listen`] if the address cannot be listened on.
    pub async fn start(options: PlatformOptions) -> Result<PlatformHandle, Report<StandinError>> {
        let mut state = PlatformState::new(options.seed);
        state.instances = InstanceList::new().with_lag(options.lag);
        let state = Arc::new(Mutex::new(state));
        let service = Arc::new(PlatformService { state: Arc::clone(&state), clock: options.clock });
        let registry = Arc::new(ConnectionRegistry::new(MAX_CONNECTIONS));
        let http_service: Arc<dyn HttpService> = Arc::<PlatformService>::clone(&service);
        let server = HttpServer::start(options.listen, registry, http_service).await?;
        let probe_task = smol::spawn(probe_overdue(service));
        let clock = options.clock;
        Ok(PlatformHandle { state, clock, server, probe_task: Mutex::new(Some(probe_task)) })
    }
}

/// A running platform stand-in; dropping it closes the listener and every connection.
pub struct PlatformHandle {
    state: Arc<Mutex<PlatformState>>,
    clock: StandinClock,
    server: HttpServer,
    probe_task: Mutex<Option<Task<()>>>,
}

impl PlatformHandle {
    /// Returns the local address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the shared state of the service.
    pub fn state(&self) -> Arc<Mutex<PlatformState>> {
        Arc::clone(&self.state)
    }

    /// Returns the clock of the platform.
    pub fn clock(&self) -> StandinClock {
        self.clock
    }

    /// Sets the fault mode of the service.
    pub fn set_mode(&self, mode: PlatformMode) {
        lock(&self.state).faults.set_mode(mode);
    }

    /// Closes the listener and aborts every connection.
    pub async fn kill(&self) {
        self.cancel_probe_task().await;
        self.server.kill().await;
    }

    /// Closes the listener and waits for calls in progress to finish.
    pub async fn stop(&self) {
        self.cancel_probe_task().await;
        self.server.stop(STOP_TIMEOUT).await;
    }

    async fn cancel_probe_task(&self) {
        let probe_task = lock(&self.probe_task).take();
        if let Some(probe_task) = probe_task {
            probe_task.cancel().await;
        }
    }
}

struct PlatformService {
    state: Arc<Mutex<PlatformState>>,
    clock: StandinClock,
}

impl HttpService for PlatformService {
    fn handle(self: Arc<Self>, request: HttpRequest) -> future::Boxed<HttpOutcome> {
        Box::pin(async move {
            match PlatformCall::from_request(&request) {
                Ok(call) if call.is_service() => self.execute_with_faults(call).await,
                Ok(call) => HttpOutcome::Respond(self.execute(call)),
                Err(response) => HttpOutcome::Respond(response),
            }
        })
    }
}

impl PlatformService {
    async fn execute_with_faults(self: Arc<Self>, call: PlatformCall) -> HttpOutcome {
        let outcome = lock(&self.state).faults.select_outcome();
        match outcome {
            CallOutcome::Answered => HttpOutcome::Respond(self.execute(call)),
            CallOutcome::Dropped => HttpOutcome::Close,
            CallOutcome::Lost => {
                self.execute(call);
                HttpOutcome::Close
            }
            CallOutcome::Delayed { before, after } => {
                let response = self.execute_after(call, before).await;
                Timer::after(after).await;
                HttpOutcome::Respond(response)
            }
        }
    }

    /// Executes a call after a delay, even if its client disconnects meanwhile.
    async fn execute_after(self: Arc<Self>, call: PlatformCall, delay: Duration) -> HttpResponse {
        let (sender, receiver) = async_channel::bounded(1);
        let execution = async move {
            Timer::after(delay).await;
            let _ = sender.try_send(self.execute(call));
        };
        smol::spawn(execution).detach();
        let not_executed = || {
            HttpResponse::error(
                hyper::StatusCode::INTERNAL_SERVER_ERROR,
                "the call was not executed",
            )
        };
        receiver.recv().await.unwrap_or_else(|_| not_executed())
    }

    fn execute(&self, call: PlatformCall) -> HttpResponse {
        call.execute(self.clock.now(), &mut lock(&self.state))
    }
}

/// Marks overdue instances as gone once their address refuses connections.
///
/// A paused target does not register, but the operating system still accepts its connections.
async fn probe_overdue(service: Arc<PlatformService>) {
    loop {
        Timer::after(PROBE_INTERVAL).await;
        let overdue = lock(&service.state).instances.overdue(service.clock.now());
        for record in overdue {
            if refuses_connections(record.address).await {
                lock(&service.state).instances.mark_gone(service.clock.now(), record.instance);
            }
        }
    }
}

async fn refuses_connections(address: SocketAddr) -> bool {
    let refused = async {
        let connected = TcpStream::connect(address).await;
        connected.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
    };
    let timed_out = async {
        Timer::after(PROBE_TIMEOUT).await;
        false
    };
    future::or(refused, timed_out).await
}
