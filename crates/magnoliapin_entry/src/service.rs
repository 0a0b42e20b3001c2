//! Start of an entry and its tasks.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use error_stack::Report;
use error_stack::ResultExt;
use magnoliapin_http::set_socket_buffers;
use magnoliapin_http::SOCKET_BUFFER_BYTES;
use magnoliapin_model::ByteSize;
use magnoliapin_model::EntryId;
use magnoliapin_model::FairLimit;
use magnoliapin_policy::EntryIdentity;
use magnoliapin_policy::PolicyOptions;
use magnoliapin_wire::PeerCodec;
use smol::Async;
use smol::Timer;

use crate::caller::CallerListener;
use crate::caller::CallerShared;
use crate::caller::CertificateStore;
use crate::driver::DriverEvent;
use crate::driver::DriverHandle;
use crate::driver::DriverState;
use crate::driver::EntryDriver;
use crate::metrics::ChildName;
use crate::peer_link::PeerLink;
use crate::stop_signal::StopSignal;
use crate::supervisor::Supervisor;
use crate::EntryDependencies;
use crate::EntryError;
use crate::EntryHandle;
use crate::EntryMetrics;
use crate::EntryOptions;
use crate::HttpPlatform;
use crate::HttpTargets;
use crate::MonotonicClock;
use crate::PeerTransport;
use crate::SystemClock;
use crate::TaskRuntime;
use crate::UdpTransport;

const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Starts entries.
#[derive(Clone, Copy, Debug)]
pub struct EntryService;

impl EntryService {
    /// Opens the sockets of an entry and starts it.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket, the certificate or a thread cannot be set up.
    pub fn start(options: EntryOptions) -> Result<EntryHandle, Report<EntryError>> {
        Self::start_with(options, EntryDependencies::default())
    }

    /// Starts an entry with some of its external dependencies replaced.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket, the certificate or a thread cannot be set up.
    pub fn start_with(
        options: EntryOptions,
        dependencies: EntryDependencies,
    ) -> Result<EntryHandle, Report<EntryError>> {
        let (listener, caller_address) = listen(options.caller_listen)?;
        let peers = match &dependencies.peers {
            Some(peers) => Arc::clone(peers),
            None => bind_peers(options.peer_listen)?,
        };
        let metrics = Arc::new(EntryMetrics::new());
        let certificates = open_certificates(&options, &metrics)?;
        let runtime = TaskRuntime::start(options.limits.threads)?;
        let context =
            EntryContext::new(options, dependencies, peers, caller_address, metrics, &runtime);
        context.start_children(listener, certificates);
        Ok(context.into_handle(runtime))
    }
}

/// State shared by the tasks of one entry, assembled at its start.
struct EntryContext {
    options: EntryOptions,
    driver: EntryDriver,
    events: Sender<DriverEvent>,
    supervisor: Supervisor,
    finished: StopSignal,
}

impl EntryContext {
    fn new(
        options: EntryOptions,
        dependencies: EntryDependencies,
        peers: Arc<dyn PeerTransport>,
        caller_address: SocketAddr,
        metrics: Arc<EntryMetrics>,
        runtime: &TaskRuntime,
    ) -> Self {
        let (sender, receiver) = async_channel::unbounded();
        let clock = dependencies.clock.clone().unwrap_or_else(|| Arc::new(SystemClock::new()));
        let identity = EntryIdentity {
            entry: EntryId::default(),
            zone: options.zone,
            caller_address,
            peer_address: peers.local_address(),
        };
        let inputs = DriverInputs { identity, clock, peers, events: receiver, replies: sender };
        let events = inputs.replies.clone();
        let driver = make_driver(&options, dependencies, inputs, runtime, Arc::clone(&metrics));
        let supervisor = Supervisor::new(runtime.spawner(), metrics);
        Self { options, driver, events, supervisor, finished: StopSignal::new() }
    }

    fn start_children(
        &self,
        listener: Async<TcpListener>,
        certificates: Option<Arc<CertificateStore>>,
    ) {
        self.start_peer_link();
        self.start_sweep();
        let driver = self.driver.clone();
        self.supervisor.start_child(ChildName::Driver, move || Box::pin(driver.clone().run()));
        if let Some(store) = certificates.clone() {
            self.supervisor
                .start_child(ChildName::Certificates, move || Box::pin(Arc::clone(&store).run()));
        }
        self.start_listener(listener, certificates);
    }

    fn start_peer_link(&self) {
        let link = PeerLink {
            transport: Arc::clone(&self.driver.peers),
            codec: self.driver.codec.clone(),
            events: self.events.clone(),
            state: Arc::clone(&self.driver.state),
            clock: Arc::clone(&self.driver.clock),
            metrics: Arc::clone(&self.driver.metrics),
            max_queued_events: self.options.limits.max_queued_events,
        };
        self.supervisor.start_child(ChildName::Peers, move || Box::pin(link.clone().run()));
    }

    fn start_listener(
        &self,
        socket: Async<TcpListener>,
        certificates: Option<Arc<CertificateStore>>,
    ) {
        let driver = DriverHandle::new(self.events.clone(), Arc::clone(&self.driver.state));
        let metrics = Arc::clone(&self.driver.metrics);
        let shared = CallerShared::new(driver, metrics, self.options.limits.clone());
        let shared = Arc::new(shared.with_certificates(certificates));
        let spawner = self.driver.spawner.clone();
        let listener = CallerListener::new(socket, shared, spawner, self.finished.clone());
        self.supervisor.start_child(ChildName::Listener, move || Box::pin(listener.clone().run()));
    }

    fn start_sweep(&self) {
        let platform = Arc::clone(&self.driver.platform);
        let targets = Arc::clone(&self.driver.targets);
        self.supervisor.start_child(ChildName::PoolSweep, move || {
            let platform = Arc::clone(&platform);
            let targets = Arc::clone(&targets);
            Box::pin(async move {
                loop {
                    Timer::after(SWEEP_INTERVAL).await;
                    platform.sweep();
                    targets.sweep();
                }
            })
        });
    }

    fn into_handle(self, runtime: TaskRuntime) -> EntryHandle {
        EntryHandle {
            caller_address: self.driver.identity.caller_address,
            peer_address: self.driver.identity.peer_address,
            metrics: self.driver.metrics,
            state: self.driver.state,
            events: self.events,
            finished: self.finished,
            runtime: Mutex::new(Some(runtime)),
        }
    }
}

/// Inputs of the driver besides the clients for outgoing calls.
struct DriverInputs {
    identity: EntryIdentity,
    clock: Arc<dyn MonotonicClock>,
    peers: Arc<dyn PeerTransport>,
    events: Receiver<DriverEvent>,
    replies: Sender<DriverEvent>,
}

fn make_driver(
    options: &EntryOptions,
    dependencies: EntryDependencies,
    inputs: DriverInputs,
    runtime: &TaskRuntime,
    metrics: Arc<EntryMetrics>,
) -> EntryDriver {
    let limits = &options.limits;
    let platform = dependencies.platform.unwrap_or_else(|| {
        Arc::new(HttpPlatform::new(
            options.platform,
            limits.platform.clone(),
            Arc::clone(&inputs.clock),
            Arc::clone(&metrics),
            runtime.spawner(),
        ))
    });
    let targets = dependencies.targets.unwrap_or_else(|| {
        Arc::new(HttpTargets::new(
            limits.target.clone(),
            Arc::clone(&inputs.clock),
            Arc::clone(&metrics),
            runtime.spawner(),
        ))
    });
    EntryDriver {
        identity: inputs.identity,
        seed: options.seed,
        times: options.times,
        policies: PolicyOptions {
            held_inputs: FairLimit(ByteSize(limits.all_body_bytes)),
            ..PolicyOptions::default()
        },
        codec: PeerCodec::new(&options.peer_key),
        platform,
        targets,
        peers: inputs.peers,
        clock: inputs.clock,
        metrics,
        spawner: runtime.spawner(),
        events: inputs.events,
        replies: inputs.replies,
        state: Arc::new(DriverState::new(limits.timeline_events)),
    }
}

fn listen(address: SocketAddr) -> Result<(Async<TcpListener>, SocketAddr), Report<EntryError>> {
    let error = EntryError::CallerListen(address);
    let listener = Async::<TcpListener>::bind(address).change_context(error)?;
    set_socket_buffers(listener.get_ref(), SOCKET_BUFFER_BYTES);
    let address = listener.get_ref().local_addr().change_context(error)?;
    Ok((listener, address))
}

fn open_certificates(
    options: &EntryOptions,
    metrics: &Arc<EntryMetrics>,
) -> Result<Option<Arc<CertificateStore>>, Report<EntryError>> {
    let Some(files) = &options.tls else {
        return Ok(None);
    };
    let store = CertificateStore::open(files.clone(), Arc::clone(metrics))
        .change_context(EntryError::Certificate)?;
    Ok(Some(Arc::new(store)))
}

fn bind_peers(address: SocketAddr) -> Result<Arc<dyn PeerTransport>, Report<EntryError>> {
    let transport = UdpTransport::bind(address).change_context(EntryError::PeerListen(address))?;
    Ok(Arc::new(transport))
}
