//! The platform's service on a socket.

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

use crate::connection_board::lock;
use crate::connection_board::ConnectionBoard;
use crate::http_answer::HttpAnswer;
use crate::http_answer::HttpOutcome;
use crate::http_answer::HttpRequest;
use crate::http_server::HttpServer;
use crate::http_server::HttpService;
use crate::platform_call::PlatformCall;
use crate::CallFate;
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
    /// Address to listen on; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Time by which the instance list lags behind.
    pub lag: Duration,
    /// Decides on the faults.
    pub seed: u64,
    /// Clock of the platform.
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

    /// Sets the seed of the faults.
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
    /// Starts to serve on the smol executor.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Listen`] if the address cannot be listened on.
    pub async fn start(options: PlatformOptions) -> Result<PlatformHandle, Report<StandinError>> {
        let mut state = PlatformState::new(options.seed);
        state.instances = InstanceList::new().with_lag(options.lag);
        let state = Arc::new(Mutex::new(state));
        let core = Arc::new(PlatformCore { state: Arc::clone(&state), clock: options.clock });
        let board = Arc::new(ConnectionBoard::new(MAX_CONNECTIONS));
        let service: Arc<dyn HttpService> = Arc::<PlatformCore>::clone(&core);
        let server = HttpServer::start(options.listen, board, service).await?;
        let probes = smol::spawn(probe_lapsed(core));
        let clock = options.clock;
        Ok(PlatformHandle { state, clock, server, probes: Mutex::new(Some(probes)) })
    }
}

/// A running platform stand-in; dropping it kills it.
pub struct PlatformHandle {
    state: Arc<Mutex<PlatformState>>,
    clock: StandinClock,
    server: HttpServer,
    probes: Mutex<Option<Task<()>>>,
}

impl PlatformHandle {
    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns what the service holds.
    pub fn state(&self) -> Arc<Mutex<PlatformState>> {
        Arc::clone(&self.state)
    }

    /// Returns the clock of the platform.
    pub fn clock(&self) -> StandinClock {
        self.clock
    }

    /// Changes how the service behaves.
    pub fn set_mode(&self, mode: PlatformMode) {
        lock(&self.state).faults.set_mode(mode);
    }

    /// Closes the listener and drops every connection.
    pub async fn kill(&self) {
        self.cancel_probes().await;
        self.server.kill().await;
    }

    /// Closes the listener and lets calls in progress finish.
    pub async fn stop(&self) {
        self.cancel_probes().await;
        self.server.stop(STOP_TIMEOUT).await;
    }

    async fn cancel_probes(&self) {
        let probes = lock(&self.probes).take();
        if let Some(probes) = probes {
            probes.cancel().await;
        }
    }
}

struct PlatformCore {
    state: Arc<Mutex<PlatformState>>,
    clock: StandinClock,
}

impl HttpService for PlatformCore {
    fn answer(self: Arc<Self>, request: HttpRequest) -> future::Boxed<HttpOutcome> {
        Box::pin(async move {
            match PlatformCall::from_request(&request) {
                Ok(call) if call.is_service() => self.meet_fate(call).await,
                Ok(call) => HttpOutcome::Answer(self.carry_out(call)),
                Err(answer) => HttpOutcome::Answer(answer),
            }
        })
    }
}

impl PlatformCore {
    async fn meet_fate(self: Arc<Self>, call: PlatformCall) -> HttpOutcome {
        let fate = lock(&self.state).faults.draw();
        match fate {
            CallFate::Answered => HttpOutcome::Answer(self.carry_out(call)),
            CallFate::Dropped => HttpOutcome::Close,
            CallFate::Lost => {
                self.carry_out(call);
                HttpOutcome::Close
            }
            CallFate::Delayed { before, after } => {
                let answer = self.carry_out_later(call, before).await;
                Timer::after(after).await;
                HttpOutcome::Answer(answer)
            }
        }
    }

    /// Carries a call out after a wait, also if its caller goes away meanwhile.
    async fn carry_out_later(self: Arc<Self>, call: PlatformCall, wait: Duration) -> HttpAnswer {
        let (sender, receiver) = async_channel::bounded(1);
        let carried_out = async move {
            Timer::after(wait).await;
            let _ = sender.try_send(self.carry_out(call));
        };
        smol::spawn(carried_out).detach();
        let lost = || HttpAnswer::error(hyper::StatusCode::INTERNAL_SERVER_ERROR, "no answer");
        receiver.recv().await.unwrap_or_else(|_| lost())
    }

    fn carry_out(&self, call: PlatformCall) -> HttpAnswer {
        call.carry_out(self.clock.now(), &mut lock(&self.state))
    }
}

/// Marks lapsed instances as gone once nothing listens on their address any more.
///
/// A paused target does not register, but the system still takes connections for it.
async fn probe_lapsed(core: Arc<PlatformCore>) {
    loop {
        Timer::after(PROBE_INTERVAL).await;
        let lapsed = lock(&core.state).instances.lapsed(core.clock.now());
        for record in lapsed {
            if is_refused(record.address).await {
                lock(&core.state).instances.mark_gone(core.clock.now(), record.instance);
            }
        }
    }
}

async fn is_refused(address: SocketAddr) -> bool {
    let refused = async {
        let connected = TcpStream::connect(address).await;
        connected.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
    };
    let late = async {
        Timer::after(PROBE_TIMEOUT).await;
        false
    };
    future::or(refused, late).await
}
