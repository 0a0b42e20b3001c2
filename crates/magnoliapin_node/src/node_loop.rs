//! The event loop of a node.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use futures_lite::FutureExt;
use magnoliapin_model::Moment;
use magnoliapin_scheduler::ConnectionChoice;
use magnoliapin_scheduler::NodeAction;
use magnoliapin_scheduler::NodeEvent;
use magnoliapin_scheduler::NodeMachine;
use magnoliapin_site::AdviceReply;
use magnoliapin_site::CallFailure;
use magnoliapin_site::HttpCall;
use magnoliapin_site::HttpResponse;
use magnoliapin_site::InstanceReply;
use magnoliapin_site::NodeSettings;
use magnoliapin_site::SiteProtocol;
use magnoliapin_site::StoreReply;
use magnoliapin_site::TargetReply;
use smol::LocalExecutor;
use smol::Timer;

use crate::call_deadlines::CallDeadlines;
use crate::call_pool::CallPool;
use crate::call_pool::CallTimes;
use crate::client_server::ServerState;
use crate::clock::wall_clock;
use crate::clock::NodeClock;
use crate::peer_client::PeerClient;
use crate::peer_server::PeerServer;

/// Tick interval of the leader.
const LEADER_TICK: Duration = Duration::from_millis(20);
/// Tick interval of any other node.
const IDLE_TICK: Duration = Duration::from_millis(40);
/// Maximum number of queued events that are handled before the resulting actions are executed.
const MAX_BATCH_EVENTS: usize = 256;

/// Owns the state machine of a node, passes events to it and executes its actions.
#[derive(Debug)]
pub(crate) struct NodeLoop {
    pub(crate) machine: NodeMachine,
    pub(crate) settings: NodeSettings,
    pub(crate) clock: NodeClock,
    pub(crate) deadlines: CallDeadlines,
    pub(crate) pool: CallPool,
    pub(crate) server: Rc<ServerState>,
    pub(crate) peers: PeerClient,
    pub(crate) peer_server: Rc<PeerServer>,
    pub(crate) protocol: Rc<dyn SiteProtocol>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) receiver: Receiver<NodeEvent>,
    pub(crate) sender: Sender<NodeEvent>,
}

impl NodeLoop {
    /// Handles events until the node has stopped and no request is being served.
    pub(crate) async fn run(mut self) {
        let mut timer = Timer::after(Duration::ZERO);
        let mut actions = Vec::new();
        loop {
            let event = async { self.receiver.recv().await.ok() };
            let tick = async {
                (&mut timer).await;
                None
            };
            let event = event.or(tick).await;
            let now = self.clock.now();
            match event {
                Some(event) => self.machine.handle(now, event, &mut actions),
                None => {
                    let tick = if self.machine.is_leader() { LEADER_TICK } else { IDLE_TICK };
                    timer.set_after(tick);
                    self.deadlines.expire(now);
                    self.pool.close_idle(now);
                    self.sweep_connections();
                    self.machine.handle(now, NodeEvent::WallClock(wall_clock()), &mut actions);
                    self.machine.handle(now, NodeEvent::Tick, &mut actions);
                }
            }
            for _ in 0..MAX_BATCH_EVENTS {
                let Ok(event) = self.receiver.try_recv() else { break };
                self.machine.handle(now, event, &mut actions);
            }
            self.machine.finish_batch(&mut actions);
            for action in actions.drain(..) {
                self.execute(action, now);
            }
            self.server.is_ready.set(self.machine.is_ready());
            self.server.set_request_limits(self.machine.request_limits());
            if self.machine.is_stopped() && self.server.active_requests.get() == 0 {
                return;
            }
        }
    }

    /// Ends connections that exceed a time limit, and logs the counters of the limits.
    fn sweep_connections(&self) {
        let registries = [
            ("clients", &self.server.clients),
            ("readiness", &self.server.readiness),
            ("peers", &self.peer_server.registry),
        ];
        for (name, registry) in registries {
            registry.sweep();
            registry.log_summary(name);
        }
    }

    /// Executes an action that was decided at `decided_at`.
    fn execute(&self, action: NodeAction, decided_at: Moment) {
        let protocol = Rc::clone(&self.protocol);
        let pooled = ConnectionChoice::Pooled;
        let times_of = |timeout| CallTimes {
            send_by: decided_at + timeout,
            deadline: self.clock.now() + timeout,
        };
        match action {
            NodeAction::ReplyToClient(client, reply) => self.server.send_reply(client, reply),
            NodeAction::Store { call, request, timeout, connection } => {
                let http = protocol.encode_store_request(&request);
                let times = times_of(timeout);
                self.call(Some(self.settings.store), http, times, connection, move |result| {
                    NodeEvent::Store(
                        call,
                        match result {
                            Ok(response) => protocol.decode_store_response(&request, &response),
                            Err(failure) => StoreReply::Failed(failure),
                        },
                    )
                });
            }
            NodeAction::Target { call, target, address, request, timeout } => {
                let http = protocol.encode_target_request(&target, &request);
                let times = times_of(timeout);
                self.call(Some(address), http, times, pooled, move |result| {
                    NodeEvent::Target(
                        call,
                        match result {
                            Ok(response) => protocol.decode_target_response(&request, &response),
                            Err(failure) => TargetReply::Failed(failure),
                        },
                    )
                });
            }
            NodeAction::Instances { call, request, timeout } => {
                let http = protocol.encode_instance_request(&request);
                let times = times_of(timeout);
                self.call(self.settings.instances, http, times, pooled, move |result| {
                    NodeEvent::Instances(
                        call,
                        match result {
                            Ok(response) => protocol.decode_instance_response(&request, &response),
                            Err(failure) => InstanceReply::Failed(failure),
                        },
                    )
                });
            }
            NodeAction::Peer { call, address, request, timeout } => {
                let peers = self.peers.clone();
                let sender = self.sender.clone();
                let deadline = self.clock.now() + timeout;
                let task = async move {
                    let reply = peers.call(address, request, deadline).await;
                    // Fails only after the node has stopped.
                    let _ = sender.try_send(NodeEvent::Peer(call, reply));
                };
                self.executor.spawn(task).detach();
            }
            NodeAction::ReplyToPeer(peer, reply) => self.peer_server.send_reply(peer, reply),
            NodeAction::Advice { call, request, timeout } => {
                let http = protocol.encode_advice_request(&request);
                let times = times_of(timeout);
                self.call(self.settings.advice, http, times, pooled, move |result| {
                    NodeEvent::Advice(
                        call,
                        match result {
                            Ok(response) => protocol.decode_advice_response(&response),
                            Err(failure) => AdviceReply::Failed(failure),
                        },
                    )
                });
            }
        }
    }

    /// Makes a call in a separate task, which sends the result as an event.
    fn call(
        &self,
        address: Option<SocketAddr>,
        http: HttpCall,
        times: CallTimes,
        connection: ConnectionChoice,
        to_event: impl FnOnce(Result<HttpResponse, CallFailure>) -> NodeEvent + 'static,
    ) {
        let pool = self.pool.clone();
        let sender = self.sender.clone();
        let task = async move {
            let result = match (address, connection) {
                (Some(address), ConnectionChoice::Pooled) => pool.call(address, http, times).await,
                (Some(address), ConnectionChoice::New) => {
                    pool.call_on_new_connection(address, http, times).await
                }
                (None, _) => Err(CallFailure::NotDone),
            };
            // Fails only after the node has stopped.
            let _ = sender.try_send(to_event(result));
        };
        self.executor.spawn(task).detach();
    }
}
