//! The one task that owns the decisions of a node.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use futures_lite::FutureExt;
use magnoliapin_scheduler::NodeAction;
use magnoliapin_scheduler::NodeEvent;
use magnoliapin_scheduler::NodeMachine;
use magnoliapin_site::AdviceReply;
use magnoliapin_site::CallFailure;
use magnoliapin_site::HttpAnswer;
use magnoliapin_site::HttpCall;
use magnoliapin_site::InstanceReply;
use magnoliapin_site::NodeSettings;
use magnoliapin_site::SiteProtocol;
use magnoliapin_site::StoreReply;
use magnoliapin_site::TargetReply;
use smol::LocalExecutor;
use smol::Timer;

use crate::call_deadlines::CallDeadlines;
use crate::call_pool::CallPool;
use crate::client_server::ServerState;
use crate::clock::wall_clock;
use crate::clock::NodeClock;
use crate::peer_client::PeerClient;
use crate::peer_server::PeerServer;

/// Time between two ticks of the leader.
const LEADER_TICK: Duration = Duration::from_millis(20);
/// Time between two ticks of any other node.
const IDLE_TICK: Duration = Duration::from_millis(40);
/// Events that are handled before the actions that follow are carried out.
const MOST_EVENTS: usize = 256;

/// Owns the decisions of a node.
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
    /// Handles events until a planned stop is done.
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
                    self.machine.handle(now, NodeEvent::WallClock(wall_clock()), &mut actions);
                    self.machine.handle(now, NodeEvent::Tick, &mut actions);
                }
            }
            for _ in 0..MOST_EVENTS {
                let Ok(event) = self.receiver.try_recv() else { break };
                self.machine.handle(now, event, &mut actions);
            }
            self.machine.finish_batch(&mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
            self.server.is_ready.set(self.machine.is_ready());
            if self.machine.is_stopped() && self.server.serving.get() == 0 {
                return;
            }
        }
    }

    fn carry_out(&self, action: NodeAction) {
        let protocol = Rc::clone(&self.protocol);
        match action {
            NodeAction::Answer(client, answer) => self.server.answer(client, answer),
            NodeAction::Store { call, request, timeout } => {
                let http = protocol.write_store_call(&request);
                self.call(Some(self.settings.store), http, timeout, move |answer| {
                    NodeEvent::Store(
                        call,
                        match answer {
                            Ok(answer) => protocol.read_store_answer(&request, &answer),
                            Err(failure) => StoreReply::Failed(failure),
                        },
                    )
                });
            }
            NodeAction::Target { call, target, address, request, timeout } => {
                let http = protocol.write_target_call(&target, &request);
                self.call(Some(address), http, timeout, move |answer| {
                    NodeEvent::Target(
                        call,
                        match answer {
                            Ok(answer) => protocol.read_target_answer(&request, &answer),
                            Err(failure) => TargetReply::Failed(failure),
                        },
                    )
                });
            }
            NodeAction::Instances { call, request, timeout } => {
                let http = protocol.write_instance_call(&request);
                self.call(self.settings.instances, http, timeout, move |answer| {
                    NodeEvent::Instances(
                        call,
                        match answer {
                            Ok(answer) => protocol.read_instance_answer(&request, &answer),
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
                    // Nobody is left to be told once the node has stopped.
                    let _ = sender.try_send(NodeEvent::Peer(call, reply));
                };
                self.executor.spawn(task).detach();
            }
            NodeAction::AnswerPeer(peer, reply) => self.peer_server.answer(peer, reply),
            NodeAction::Advice { call, request, timeout } => {
                let http = protocol.write_advice_call(&request);
                self.call(self.settings.advice, http, timeout, move |answer| {
                    NodeEvent::Advice(
                        call,
                        match answer {
                            Ok(answer) => protocol.read_advice_answer(&answer),
                            Err(failure) => AdviceReply::Failed(failure),
                        },
                    )
                });
            }
        }
    }

    /// Makes a call in a task of its own, which brings the answer back as an event.
    fn call(
        &self,
        address: Option<SocketAddr>,
        http: HttpCall,
        timeout: Duration,
        read: impl FnOnce(Result<HttpAnswer, CallFailure>) -> NodeEvent + 'static,
    ) {
        let pool = self.pool.clone();
        let sender = self.sender.clone();
        let deadline = self.clock.now() + timeout;
        let task = async move {
            let answer = match address {
                Some(address) => pool.call(address, http, deadline).await,
                None => Err(CallFailure::NotDone),
            };
            // Nobody is left to be told once the node has stopped.
            let _ = sender.try_send(read(answer));
        };
        self.executor.spawn(task).detach();
    }
}
