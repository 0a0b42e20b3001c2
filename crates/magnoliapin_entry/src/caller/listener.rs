//! Accepts caller connections, and closes them at the end of a planned stop.

use std::net::TcpListener;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use futures_lite::future;
use futures_lite::FutureExt;
use magnoliapin_http::ClientRegistry;
use smol::net::TcpStream;
use smol::Async;
use smol::Timer;

use crate::caller::certificates::CertificateStore;
use crate::caller::connection::refuse_connection;
use crate::caller::connection::CallerConnection;
use crate::descriptor_limit::descriptor_limit;
use crate::driver::DriverHandle;
use crate::http_connection::ConnectionGauge;
use crate::metrics::ChildName;
use crate::metrics::EndpointKind;
use crate::stop_signal::StopSignal;
use crate::supervisor::ChildOutcome;
use crate::EntryLimits;
use crate::EntryMetrics;
use crate::TaskSpawner;

/// Delay after an error of the listening socket, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest wait for connections to close at the end of a planned stop.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which connections are checked for time limits.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// State shared by all caller connections.
#[derive(Debug)]
pub(crate) struct CallerShared {
    /// Forwards requests to the driver.
    pub(crate) driver: DriverHandle,
    /// Metrics of the entry.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// Limits on connections and requests.
    pub(crate) limits: EntryLimits,
    /// TLS configuration; `None` for plain text.
    pub(crate) certificates: Option<Arc<CertificateStore>>,
    /// Raised when connections must close after the response in progress.
    pub(crate) draining: StopSignal,
    /// Registry of the open connections.
    pub(crate) connections: Arc<ClientRegistry>,
}

impl CallerShared {
    /// Creates the state of a listener without connections.
    pub(crate) fn new(
        driver: DriverHandle,
        metrics: Arc<EntryMetrics>,
        limits: EntryLimits,
    ) -> Self {
        // The other half of the descriptors is for targets, the platform and the process itself.
        let limit = descriptor_limit().map_or(usize::MAX, |limit| limit / 2);
        let limit = limit.min(limits.caller_connections);
        let connections = ClientRegistry::new(limits.client_limits(limit));
        let connections = Arc::new(connections.with_observer(Arc::<EntryMetrics>::clone(&metrics)));
        let draining = StopSignal::new();
        Self { driver, metrics, limits, certificates: None, draining, connections }
    }

    /// Sets the TLS configuration; `None` serves plain text.
    #[must_use]
    pub(crate) fn with_certificates(mut self, store: Option<Arc<CertificateStore>>) -> Self {
        self.certificates = store;
        self
    }
}

/// Accepts caller connections.
#[derive(Clone, Debug)]
pub(crate) struct CallerListener {
    socket: Arc<Mutex<Option<Arc<Async<TcpListener>>>>>,
    shared: Arc<CallerShared>,
    spawner: TaskSpawner,
    finished: StopSignal,
}

impl CallerListener {
    /// Creates a listener that raises `finished` at the end of a planned stop.
    pub(crate) fn new(
        socket: Async<TcpListener>,
        shared: Arc<CallerShared>,
        spawner: TaskSpawner,
        finished: StopSignal,
    ) -> Self {
        let socket = Arc::new(Mutex::new(Some(Arc::new(socket))));
        Self { socket, shared, spawner, finished }
    }

    /// Accepts connections until the driver has stopped, then closes them.
    pub(crate) async fn run(self) -> ChildOutcome {
        let socket = self.socket().clone();
        if let Some(socket) = socket {
            self.accept_until_stopped(&socket).await;
            self.accept_backlog(&socket).await;
        }
        *self.socket() = None;
        self.shared.draining.raise();
        self.wait_until_closed().await;
        self.finished.raise();
        ChildOutcome::Done
    }

    /// Accepts until `stop_grace_period` after the driver has stopped, so that late callers receive
    /// a response.
    async fn accept_until_stopped(&self, socket: &Async<TcpListener>) {
        let accepting = async {
            loop {
                match socket.accept().await {
                    Ok((stream, _)) => {
                        self.handle_connection(TcpStream::from(stream));
                        self.shared.connections.settle().await;
                    }
                    Err(error) => {
                        log::warn!("event=accept_failed error={:?}", error.to_string());
                        self.shared.connections.evict_slowest();
                        Timer::after(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        };
        let sweeping = async {
            loop {
                Timer::after(SWEEP_INTERVAL).await;
                self.shared.connections.sweep();
            }
        };
        let stopped = async {
            self.shared.driver.state().stopped().wait().await;
            Timer::after(self.shared.limits.stop_grace_period).await;
        };
        accepting.or(sweeping).or(stopped).await;
    }

    /// Accepts the connections in the socket's backlog.
    async fn accept_backlog(&self, socket: &Async<TcpListener>) {
        while let Some(Ok((stream, _))) = future::poll_once(socket.accept()).await {
            self.handle_connection(TcpStream::from(stream));
        }
    }

    async fn wait_until_closed(&self) {
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        while !self.shared.connections.is_empty() && Instant::now() < deadline {
            self.shared.connections.sweep();
            Timer::after(CLOSE_POLL_INTERVAL).await;
        }
    }

    fn handle_connection(&self, stream: TcpStream) {
        let shared = Arc::clone(&self.shared);
        let Some(slot) = shared.connections.register(stream.clone()) else {
            self.spawner.detach(refuse_connection(shared, stream));
            return;
        };
        let gauge = ConnectionGauge::new(EndpointKind::Caller, Arc::clone(&shared.metrics));
        let connection = CallerConnection::new(Arc::clone(&shared), stream, slot);
        self.spawner.detach(async move {
            if AssertUnwindSafe(connection.run()).catch_unwind().await.is_err() {
                shared.metrics.count_restart(ChildName::CallerConnection);
            }
            drop(gauge);
        });
    }

    fn socket(&self) -> MutexGuard<'_, Option<Arc<Async<TcpListener>>>> {
        self.socket.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
