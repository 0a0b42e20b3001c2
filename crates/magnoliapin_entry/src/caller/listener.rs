//! Accepts the connections of callers, and closes them at the end of a planned stop.

use std::net::TcpListener;
use std::net::TcpStream;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use futures_lite::future;
use futures_lite::FutureExt;
use smol::Async;
use smol::Timer;

use crate::caller::board::ConnectionBoard;
use crate::caller::body::BodyBudget;
use crate::caller::certificates::CertificateStore;
use crate::caller::connection::CallerConnection;
use crate::descriptor_limit::descriptor_limit;
use crate::driver::CallerDesk;
use crate::metrics::ChildName;
use crate::stop_signal::StopSignal;
use crate::supervisor::ChildEnd;
use crate::EntryLimits;
use crate::EntryMetrics;
use crate::TaskSpawner;

/// Pause after an error of the listening socket, such as too few file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for connections to close at the end of a planned stop.
const CLOSE_TIME: Duration = Duration::from_secs(5);
const CLOSE_POLL: Duration = Duration::from_millis(5);

/// What all connections of callers share.
#[derive(Debug)]
pub(crate) struct CallerShared {
    /// Takes requests.
    pub(crate) desk: CallerDesk,
    /// Counts answers.
    pub(crate) metrics: Arc<EntryMetrics>,
    /// Bounds.
    pub(crate) limits: EntryLimits,
    /// Bytes of bodies in memory.
    pub(crate) bodies: BodyBudget,
    /// Certificate for TLS; none serves plain text.
    pub(crate) certificates: Option<Arc<CertificateStore>>,
    /// Raised when connections are to close after the answer in progress.
    pub(crate) draining: StopSignal,
    /// Open connections.
    pub(crate) connections: Arc<ConnectionBoard>,
}

impl CallerShared {
    /// Makes the state of a listener without connections.
    pub(crate) fn new(desk: CallerDesk, metrics: Arc<EntryMetrics>, limits: EntryLimits) -> Self {
        // The other half of the descriptors is for targets, the platform and the process itself.
        let limit = descriptor_limit().map_or(usize::MAX, |limit| limit / 2);
        let limit = limit.min(limits.caller_connections);
        let connections = Arc::new(ConnectionBoard::new(limit, Arc::clone(&metrics)));
        let bodies = BodyBudget::default();
        let draining = StopSignal::new();
        Self { desk, metrics, limits, bodies, certificates: None, draining, connections }
    }

    /// Sets the certificate for TLS; none serves plain text.
    #[must_use]
    pub(crate) fn with_certificates(mut self, store: Option<Arc<CertificateStore>>) -> Self {
        self.certificates = store;
        self
    }
}

/// Accepts the connections of callers.
#[derive(Clone, Debug)]
pub(crate) struct CallerListener {
    socket: Arc<Mutex<Option<Arc<Async<TcpListener>>>>>,
    shared: Arc<CallerShared>,
    spawner: TaskSpawner,
    finished: StopSignal,
}

impl CallerListener {
    /// Makes a listener that raises `finished` at the end of a planned stop.
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
    pub(crate) async fn run(self) -> ChildEnd {
        let socket = self.socket().clone();
        if let Some(socket) = socket {
            self.accept_until_stopped(&socket).await;
            self.accept_waiting(&socket).await;
        }
        *self.socket() = None;
        self.shared.draining.raise();
        self.wait_until_closed().await;
        self.finished.raise();
        ChildEnd::Done
    }

    /// Accepts until a while after the driver has stopped, so that late callers get an answer.
    async fn accept_until_stopped(&self, socket: &Async<TcpListener>) {
        let accepting = async {
            loop {
                match socket.accept().await {
                    Ok((stream, _)) => self.take(stream),
                    Err(error) => {
                        log::warn!("event=accept_failed error={:?}", error.to_string());
                        Timer::after(ACCEPT_PAUSE).await;
                    }
                }
            }
        };
        let stopped = async {
            self.shared.desk.state().stopped().wait().await;
            Timer::after(self.shared.limits.stop_linger).await;
        };
        accepting.or(stopped).await;
    }

    /// Accepts the connections that wait already.
    async fn accept_waiting(&self, socket: &Async<TcpListener>) {
        while let Some(Ok((stream, _))) = future::poll_once(socket.accept()).await {
            self.take(stream);
        }
    }

    async fn wait_until_closed(&self) {
        let deadline = Instant::now() + CLOSE_TIME;
        while !self.shared.connections.is_empty() && Instant::now() < deadline {
            Timer::after(CLOSE_POLL).await;
        }
    }

    fn take(&self, stream: Async<TcpStream>) {
        let shared = Arc::clone(&self.shared);
        let connection = CallerConnection::new(Arc::clone(&shared), stream);
        let Some(place) = shared.connections.take_place(connection.watch()) else {
            shared.metrics.count_refused_connection();
            self.spawner.detach(connection.refuse());
            return;
        };
        self.spawner.detach(async move {
            if AssertUnwindSafe(connection.run()).catch_unwind().await.is_err() {
                shared.metrics.count_restart(ChildName::CallerConnection);
            }
            drop(place);
        });
    }

    fn socket(&self) -> MutexGuard<'_, Option<Arc<Async<TcpListener>>>> {
        self.socket.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
