//! The state machine of one node.

use magnoliapin_model::ByteSize;
use magnoliapin_model::ConfigVersion;
use magnoliapin_model::Moment;
use magnoliapin_site::CallFailure;
use magnoliapin_site::ClientRequest;
use magnoliapin_site::InstanceReply;
use magnoliapin_site::NodeProfile;
use magnoliapin_site::NodeSettings;
use magnoliapin_site::PeerReply;
use magnoliapin_site::PeerRequest;
use magnoliapin_site::RequestLimits;
use magnoliapin_site::StoreReply;
use magnoliapin_site::TargetReply;
use rand::Rng;

use crate::agent::Agent;
use crate::client_handler::ClientHandler;
use crate::client_handler::LeaderLocation;
use crate::election::AcquiredLease;
use crate::election::Election;
use crate::input_loader::InputLoader;
use crate::leader::Leader;
use crate::leader::LeaderIdentity;
use crate::leader::Requester;
use crate::outbox::Outbox;
use crate::peer_link::PeerLink;
use crate::site_watch::SiteWatch;
use crate::CallId;
use crate::ClientId;
use crate::NodeAction;
use crate::NodeEvent;
use crate::NodeTimes;
use crate::PeerId;

/// The state machine of a node. It does no I/O and reads no clock.
#[derive(Debug)]
pub struct NodeMachine {
    identity: LeaderIdentity,
    out: Outbox,
    site_watch: SiteWatch,
    election: Election,
    client_handler: ClientHandler,
    peer_link: PeerLink,
    leader: Option<Box<Leader>>,
    agent: Agent,
    input_loader: InputLoader,
    is_stopping: bool,
    was_ready: bool,
}

impl NodeMachine {
    /// Creates the state machine of a node that has just started.
    pub fn new(settings: &NodeSettings, seed: u64) -> Self {
        let mut out = Outbox::new(seed);
        let times = NodeTimes::new(&settings.bounds);
        let identity = LeaderIdentity {
            profile: NodeProfile {
                name: settings.name.clone(),
                zone: settings.zone.clone(),
                address: settings.peer_listen,
                incarnation: out.random.random(),
                cpu_milli: settings.cpu_milli,
                link_kbps: settings.link_kbps,
            },
            partition_count: settings.store_limits.partition_count(),
            times,
            instance_orders_per_s: settings.instance_orders_per_s,
            instance_lists_per_s: settings.instance_lists_per_s,
            store_limits: settings.store_limits,
            memory: ByteSize(u64::from(settings.memory_mb) * 1024 * 1024),
        };
        let partition_count = identity.partition_count;
        Self {
            site_watch: SiteWatch::new(),
            election: Election::new(identity.clone()),
            peer_link: PeerLink::default(),
            client_handler: ClientHandler::new(
                partition_count,
                identity.store_limits,
                identity.memory,
            ),
            input_loader: InputLoader::new(partition_count, identity.memory),
            leader: None,
            agent: Agent::default(),
            is_stopping: false,
            was_ready: false,
            identity,
            out,
        }
    }

    /// Returns whether the node is ready for new connections of clients.
    pub fn is_ready(&self) -> bool {
        self.site_watch.config().is_some() && self.is_config_confirmed() && !self.is_stopping
    }

    /// Returns whether the store has confirmed recently that the configuration is the newest one.
    fn is_config_confirmed(&self) -> bool {
        // The contact is that of the last answered call; the next one may wait as long again.
        let max_age = self.identity.times.watch_wait * 2 + self.identity.times.reply_slack;
        self.site_watch.last_contact_at().is_some_and(|at| self.out.now.since(at) < max_age)
    }

    /// Returns whether this node is the leader.
    pub fn is_leader(&self) -> bool {
        self.leader.is_some()
    }

    /// Returns the version of the configuration that this node uses.
    pub fn config_version(&self) -> ConfigVersion {
        self.site_watch.config().map(|config| config.version).unwrap_or_default()
    }

    /// Returns the limits on client requests of the configuration in force.
    pub fn request_limits(&self) -> RequestLimits {
        self.site_watch.config().map(|config| config.limits).unwrap_or_default()
    }

    /// Returns whether a planned stop is complete: no client waits for a reply, and this node
    /// does not hold the lease, so that another node can take over.
    pub fn is_stopped(&self) -> bool {
        let has_released_lease = self.leader.as_ref().is_none_or(|leader| leader.is_released());
        self.is_stopping && has_released_lease && self.client_handler.is_idle()
    }

    /// Handles one event and adds the resulting actions to `actions`.
    pub fn handle(&mut self, now: Moment, event: NodeEvent, actions: &mut Vec<NodeAction>) {
        self.out.now = now.max(self.out.now);
        match event {
            NodeEvent::Tick => self.tick(),
            NodeEvent::WallClock(wall) => self.out.set_wall_clock(wall),
            NodeEvent::Client(client, request) => self.handle_request(client, *request),
            NodeEvent::Store(call, reply) => self.handle_store_reply(call, &reply),
            NodeEvent::Target(call, reply) => self.handle_target_reply(call, &reply),
            NodeEvent::Instances(call, reply) => self.handle_instance_reply(call, &reply),
            NodeEvent::Advice(..) => {}
            NodeEvent::Peer(call, reply) => self.handle_peer_reply(call, reply),
            NodeEvent::PeerRequest(peer, request) => self.handle_peer_request(peer, request),
            NodeEvent::Stop => self.stop(),
        }
        self.load_inputs();
        self.log_readiness();
        self.out.take_actions(actions);
    }

    /// Does the work that is shared by a batch of events; called once after each batch.
    pub fn finish_batch(&mut self, actions: &mut Vec<NodeAction>) {
        self.forward_local_requests();
        if let Some(leader) = &mut self.leader {
            leader.finish_batch(&mut self.out);
        }
        self.agent.send_replies(&mut self.out);
        self.apply_leader_update();
        self.load_inputs();
        self.out.take_actions(actions);
    }

    /// Reads the inputs of the starts that lack one.
    fn load_inputs(&mut self) {
        for start in self.out.take_stored_starts() {
            if let Some(call) = self.input_loader.add_start(start, &mut self.out) {
                self.fail_start(call);
            }
        }
    }

    /// Handles a start that has failed without being sent.
    fn fail_start(&mut self, call: CallId) {
        self.handle_target_reply(call, &TargetReply::Failed(CallFailure::NotDone));
    }

    fn tick(&mut self) {
        let times = self.identity.times;
        self.site_watch.poll(&times, &mut self.out);
        let may_lead =
            self.leader.is_none() && self.site_watch.config().is_some() && !self.is_stopping;
        self.election.poll(may_lead, self.peer_link.is_process_down(), &mut self.out);
        if self.leader.is_none() {
            let (generation, address) = (self.election.generation(), self.election.address());
            if self.peer_link.set_leader(generation, address) {
                // The previous leader may never answer.
                self.client_handler.resend_to_store(&mut self.out);
            }
            let memory = self.election.publishes_limit().then_some(self.identity.memory);
            self.peer_link.poll(&self.identity.profile, memory, &mut self.out);
        }
        self.update_leader_location();
        self.client_handler.tick(&mut self.out);
        for call in self.input_loader.poll(&mut self.out) {
            self.fail_start(call);
        }
        if let Some(leader) = &mut self.leader {
            leader.tick(&mut self.out);
        }
    }

    fn handle_request(&mut self, client: ClientId, request: ClientRequest) {
        let is_config_confirmed = self.is_config_confirmed();
        self.client_handler.handle_request(client, request, is_config_confirmed, &mut self.out);
    }

    fn handle_store_reply(&mut self, call: CallId, reply: &StoreReply) {
        self.out.store_latency.record_reply(call, reply, self.out.now);
        if let Some(has_new_config) = self.site_watch.handle_reply(call, reply, &self.out) {
            if has_new_config {
                self.apply_config();
            }
            if let Some(leader) = &mut self.leader {
                leader.set_waves(self.site_watch.waves(), &mut self.out);
                leader.set_evacuated_zones(self.site_watch.evacuated_zones(), self.out.now);
            }
            self.site_watch.poll(&self.identity.times, &mut self.out);
            return;
        }
        let (is_handled, lease) = self.election.handle_reply(call, reply, &mut self.out);
        if let Some(lease) = lease {
            self.start_leading(lease);
        }
        if is_handled {
            self.client_handler.set_waiting_jobs(self.election.waiting_jobs());
            let is_overtaken = self
                .leader
                .as_ref()
                .is_some_and(|leader| leader.generation() < self.election.generation());
            if is_overtaken {
                log::warn!("event=scheduler_overtaken by={}", self.election.generation());
                self.stop_leading();
            }
            return;
        }
        if self.client_handler.handle_store_reply(call, reply, &mut self.out)
            || self.input_loader.handle_store_reply(call, reply, &mut self.out)
        {
            return;
        }
        if let Some(leader) = &mut self.leader {
            leader.handle_store_reply(call, reply, &mut self.out);
        }
        self.step_down_if_deposed();
    }

    fn handle_target_reply(&mut self, call: CallId, reply: &TargetReply) {
        self.input_loader.handle_target_reply(call, &mut self.out);
        let is_handled = self
            .leader
            .as_mut()
            .is_some_and(|leader| leader.handle_target_reply(call, reply, &mut self.out));
        if !is_handled {
            self.agent.handle_target_reply(call, reply);
        }
        self.step_down_if_deposed();
    }

    fn handle_instance_reply(&mut self, call: CallId, reply: &InstanceReply) {
        if let Some(leader) = &mut self.leader {
            leader.handle_instance_reply(call, reply, &mut self.out);
        }
        self.step_down_if_deposed();
    }

    fn apply_config(&mut self) {
        let Some(config) = self.site_watch.config().cloned() else { return };
        self.client_handler.set_config(&config);
        if let Some(leader) = &mut self.leader {
            leader.set_config(config);
        }
    }

    fn start_leading(&mut self, lease: AcquiredLease) {
        let Some(config) = self.site_watch.config().cloned() else { return };
        let waiting_jobs = self.election.waiting_jobs().to_vec();
        let smallest_memory = self.election.smallest_memory();
        let identity = self.identity.clone();
        let mut leader =
            Leader::new(identity, lease, config, waiting_jobs, smallest_memory, &mut self.out);
        leader.set_waves(self.site_watch.waves(), &mut self.out);
        leader.set_evacuated_zones(self.site_watch.evacuated_zones(), self.out.now);
        self.leader = Some(Box::new(leader));
        self.update_leader_location();
    }

    fn step_down_if_deposed(&mut self) {
        if self.leader.as_ref().is_some_and(|leader| leader.is_deposed()) {
            self.stop_leading();
        }
    }

    /// Drops the leader on this node and passes its last replies to the client handler, which sends
    /// refused requests to the store.
    fn stop_leading(&mut self) {
        let Some(mut leader) = self.leader.take() else { return };
        let replies = leader.refuse_all(&mut self.out);
        self.update_leader_location();
        for (call, reply) in replies {
            self.client_handler.handle_peer_reply(call, reply, &mut self.out);
        }
    }

    /// Updates where the client handler forwards requests to.
    fn update_leader_location(&mut self) {
        let location = match (&self.leader, self.peer_link.address()) {
            (Some(_), _) => LeaderLocation::Local,
            (None, Some(address)) => LeaderLocation::Remote(address),
            (None, None) => LeaderLocation::Unknown,
        };
        self.client_handler.set_leader(location);
    }

    /// Passes the client handler's requests to the leader on this node.
    fn forward_local_requests(&mut self) {
        for (call, request) in self.client_handler.take_local_requests() {
            match &mut self.leader {
                Some(leader) => {
                    leader.handle_peer_request(Requester::Local(call), request, &mut self.out);
                }
                None => {
                    self.client_handler.handle_peer_reply(
                        call,
                        PeerReply::NotLeader,
                        &mut self.out,
                    );
                }
            }
        }
    }

    fn handle_peer_reply(&mut self, call: CallId, reply: PeerReply) {
        if self.peer_link.handle_reply(call, &reply) {
            self.update_leader_location();
            if self.leader.is_none() && self.peer_link.is_unresponsive() {
                self.client_handler.resend_to_store(&mut self.out);
            }
            return;
        }
        let is_handled = self
            .leader
            .as_mut()
            .is_some_and(|leader| leader.handle_agent_reply(call, &reply, &mut self.out));
        if is_handled {
            return self.step_down_if_deposed();
        }
        if self.client_handler.handle_peer_reply(call, reply, &mut self.out) == Some(false) {
            self.peer_link.record_failure();
            self.update_leader_location();
        }
    }

    fn handle_peer_request(&mut self, peer: PeerId, request: PeerRequest) {
        let (calls, request) = match request {
            PeerRequest::AgentCalls(batch) => (Some((batch, Vec::new(), Vec::new())), None),
            PeerRequest::RaisedAgentCalls { batch, fences } => {
                (Some((batch, fences, Vec::new())), None)
            }
            PeerRequest::StoredInputCalls { batch, fences, inputs } => {
                (Some((batch, fences, inputs)), None)
            }
            request => (None, Some(request)),
        };
        if let Some((batch, fences, inputs)) = calls {
            let own_generation = self.leader.as_ref().map_or(0, |leader| leader.generation());
            let generation = self.election.generation().max(own_generation);
            let reply = self.agent.handle_batch(batch, fences, &inputs, generation, &mut self.out);
            return self.out.push(NodeAction::ReplyToPeer(peer, reply));
        }
        let Some(request) = request else { return };
        match &mut self.leader {
            Some(leader) => {
                leader.handle_peer_request(Requester::Peer(peer), request, &mut self.out);
                self.step_down_if_deposed();
            }
            None => self.out.push(NodeAction::ReplyToPeer(peer, PeerReply::NotLeader)),
        }
    }

    /// Passes the leader's update to the client handler and the election.
    fn apply_leader_update(&mut self) {
        let Some(leader) = &mut self.leader else { return };
        let update = leader.take_update();
        for (job, state) in update.finished_jobs {
            self.client_handler.record_final_state(job, state);
        }
        for (call, reply) in update.replies {
            self.client_handler.handle_peer_reply(call, reply, &mut self.out);
        }
        if update.was_renewed {
            self.election.record_renewal(self.out.now);
        }
    }

    fn stop(&mut self) {
        if self.is_stopping {
            return;
        }
        log::info!("event=stop_began scheduler={}", self.is_leader());
        self.is_stopping = true;
        if let Some(leader) = &mut self.leader {
            leader.release(&mut self.out);
        }
    }

    fn log_readiness(&mut self) {
        let is_ready = self.is_ready();
        if std::mem::replace(&mut self.was_ready, is_ready) != is_ready {
            log::info!("event=readiness ready={is_ready} config={}", self.config_version());
        }
    }
}
