//! Starts a node and stops it on a signal.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

use async_channel::Sender;
use async_signal::Signal;
use async_signal::Signals;
use error_stack::Report;
use error_stack::ResultExt;
use futures_lite::StreamExt;
use magnoliapin_http::set_socket_buffers;
use magnoliapin_http::SOCKET_BUFFER_BYTES;
use magnoliapin_scheduler::NodeEvent;
use magnoliapin_scheduler::NodeMachine;
use magnoliapin_site::NodeSettings;
use magnoliapin_site::SiteProtocol;
use rand::rngs::StdRng;
use rand::Rng;
use rand::SeedableRng;
use smol::Async;
use smol::LocalExecutor;

use crate::call_deadlines::CallDeadlines;
use crate::call_pool::CallPool;
use crate::client_server::ServerState;
use crate::clock::NodeClock;
use crate::node_loop::NodeLoop;
use crate::peer_client::PeerClient;
use crate::peer_server::PeerServer;
use crate::NodeError;

/// Size of each of the kernel's buffers of a connection of another node; larger than that of a
/// client, as the leader and its agents exchange batches.
const PEER_BUFFER_BYTES: usize = 128 * 1024;

/// Runs a node with the settings in a file until a signal stops it.
///
/// # Errors
///
/// Returns an error if the settings cannot be read or are invalid, a socket cannot be opened or the
/// signal handlers cannot be installed.
pub fn run_node(path: &Path, protocol: Rc<dyn SiteProtocol>) -> Result<(), Report<NodeError>> {
    let settings = read_settings(path, protocol.as_ref())?;
    let executor = Rc::new(LocalExecutor::new());
    let clock = NodeClock::new();
    let (sender, receiver) = async_channel::unbounded();
    let server =
        ServerState::new(Rc::clone(&executor), Rc::clone(&protocol), sender.clone(), &settings);
    let server = Rc::new(server);
    for (address, registry) in
        [(settings.client_listen, &server.clients), (settings.ready_listen, &server.readiness)]
    {
        let listener = listen(address, SOCKET_BUFFER_BYTES)?;
        executor.spawn(Rc::clone(&server).accept(listener, Arc::clone(registry))).detach();
    }
    let peer_server = PeerServer::new(Rc::clone(&executor), sender.clone());
    let peer_server = Rc::new(peer_server.with_machine(&settings));
    if let Some(address) = settings.peer_listen {
        let listener = listen(address, PEER_BUFFER_BYTES)?;
        executor.spawn(Rc::clone(&peer_server).accept(listener)).detach();
    }
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .change_context(NodeError::Signals)?;
    executor.spawn(watch_signals(signals, Rc::clone(&server), sender.clone())).detach();
    log::info!(
        "event=node_started node={} zone={} clients={} store={} parts={}",
        settings.name,
        settings.zone,
        settings.client_listen,
        settings.store,
        settings.store_limits.partition_count()
    );
    let deadlines = CallDeadlines::default();
    let node = NodeLoop {
        machine: NodeMachine::new(&settings, StdRng::from_os_rng().random()),
        pool: CallPool::new(Rc::clone(&executor), deadlines.clone(), clock),
        peers: PeerClient::new(Rc::clone(&executor), deadlines.clone()),
        peer_server,
        settings,
        clock,
        deadlines,
        server,
        protocol,
        executor: Rc::clone(&executor),
        receiver,
        sender,
    };
    smol::block_on(executor.run(node.run()));
    log::info!("event=node_stopped");
    Ok(())
}

/// Reads the settings in a file.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or one that lists every error in it.
pub fn read_settings(
    path: &Path,
    protocol: &dyn SiteProtocol,
) -> Result<NodeSettings, Report<NodeError>> {
    let unreadable = || NodeError::SettingsUnreadable(path.display().to_string());
    let text = fs::read_to_string(path).change_context_lazy(unreadable)?;
    protocol.read_settings(&text).map_err(|errors| Report::new(NodeError::SettingsInvalid(errors)))
}

fn listen(
    address: SocketAddr,
    buffer_bytes: usize,
) -> Result<Async<TcpListener>, Report<NodeError>> {
    let listener = Async::<TcpListener>::bind(address);
    let listener = listener.change_context(NodeError::Listen(address))?;
    set_socket_buffers(listener.get_ref(), buffer_bytes);
    Ok(listener)
}

/// Stops the node on SIGTERM, SIGINT or an error; only logs SIGHUP.
async fn watch_signals(mut signals: Signals, server: Rc<ServerState>, events: Sender<NodeEvent>) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => log::info!("event=settings_signal"),
            _ => {
                server.is_closing.set(true);
                server.is_ready.set(false);
                let _ = events.try_send(NodeEvent::Stop);
            }
        }
    }
}
