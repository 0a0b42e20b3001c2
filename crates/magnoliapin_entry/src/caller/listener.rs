//! Accepts the connections of callers, and closes them at the end of a planned stop.

use std::net::TcpListener;
use std::net::TcpStream;
use std::panic::AssertUnwindSafe;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use futures_lite::future;
use futures_lite::FutureExt;
use magnoliapin_model::ErrorKind;
use smol::io::AsyncWriteExt;
use smol::Async;
use smol::Timer;

use crate::caller::body::BodyBudget;
use crate::caller::connection::CallerConnection;
use crate::caller::fault::RequestFault;
use crate::caller::response::raw_refusal;
use crate::driver::CallerDesk;
use crate::http_connection::ConnectionGauge;
use crate::metrics::BorderName;
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
    /// Raised when connections are to close after the answer in progress.
    pub(crate) draining: StopSignal,
    open: AtomicUsize,
}

impl CallerShared {
    /// Makes the state of a listener without connections.
    pub(crate) fn new(desk: CallerDesk, metrics: Arc<EntryMetrics>, limits: EntryLimits) -> Self {
        Self {
            desk,
            metrics,
            limits,
            bodies: BodyBudget::default(),
            draining: StopSignal::new(),
            open: AtomicUsize::new(0),
        }
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
        while self.shared.open.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
            Timer::after(CLOSE_POLL).await;
        }
    }

    fn take(&self, stream: Async<TcpStream>) {
        let shared = Arc::clone(&self.shared);
        if shared.open.load(Ordering::SeqCst) >= shared.limits.caller_connections {
            shared.metrics.count_refused_connection();
            self.spawner.detach(refuse(stream));
            return;
        }
        let slot = ConnectionSlot::new(Arc::clone(&shared));
        self.spawner.detach(async move {
            let connection = CallerConnection::new(Arc::clone(&shared), stream);
            if AssertUnwindSafe(connection.run()).catch_unwind().await.is_err() {
                shared.metrics.count_restart(ChildName::CallerConnection);
            }
            drop(slot);
        });
    }

    fn socket(&self) -> MutexGuard<'_, Option<Arc<Async<TcpListener>>>> {
        self.socket.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tells a caller that too many connections are open, without waiting for it.
async fn refuse(mut stream: Async<TcpStream>) {
    let message = "too many connections are open";
    let bytes = raw_refusal(RequestFault::new(ErrorKind::Overloaded, message));
    // What the socket's buffer does not take at once is not worth waiting for.
    let _ = future::poll_once(stream.write_all(&bytes)).await;
}

/// Counts a connection as open while it lives.
struct ConnectionSlot {
    shared: Arc<CallerShared>,
    _gauge: ConnectionGauge,
}

impl ConnectionSlot {
    fn new(shared: Arc<CallerShared>) -> Self {
        shared.open.fetch_add(1, Ordering::SeqCst);
        let gauge = ConnectionGauge::new(BorderName::Caller, Arc::clone(&shared.metrics));
        Self { shared, _gauge: gauge }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.shared.open.fetch_sub(1, Ordering::SeqCst);
    }
}
